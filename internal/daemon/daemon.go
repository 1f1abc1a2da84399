// Package daemon is a controller's process: one owner of all state that works
// through a queue of commands in batches, and the goroutines that carry its
// effects out and bring the answers back as commands.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"oakpick/internal/config"
	"oakpick/internal/controller"
	"oakpick/internal/distribution"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
	"oakpick/internal/transport"
)

type queuedEvent struct {
	event    message.Event
	raw      transport.RawRequest
	reply    chan message.Reply
	deadline time.Time // when whoever asked has been told to come back; zero: nobody asked
}

// expired tells whether an item is a question whose user has gone: to answer it would only
// keep others waiting. What changes something is carried out all the same.
func (it queuedEvent) expired(now time.Time) bool {
	call, ok := it.event.(message.UserRequest)
	return ok && call.Kind == message.Poll && !it.deadline.IsZero() && now.After(it.deadline)
}

type pendingRequest struct {
	reply    chan message.Reply
	raw      transport.RawRequest
	request  message.Request
	deadline time.Time
}

type daemon struct {
	config     *config.Config
	log        *slog.Logger
	controller *controller.Controller
	startedAt  time.Time
	queue      chan queuedEvent
	pending    map[uint64]pendingRequest
	lastID     uint64
	healthy    atomic.Bool
	metrics    *metrics

	state   *storage.Client
	workers *transport.WorkerClient
	cloud   *transport.CloudClient
	peers   *transport.PeerClient
	// Requests that are with other controllers, and who was last known to lead.
	forwarded  *transport.ForwardedRequests
	leader     string
	goroutines *errgroup.Group
	ctx        context.Context
	tracker    *trackerService // nil: not switched on
}

const maxBatch = 64

// Run serves until the context ends or something that the process cannot do
// without fails.
func Run(ctx context.Context, cfg *config.Config, extensions config.Extensions, log *slog.Logger) error {
	s := cfg.Settings
	runtime.GOMAXPROCS(max(1, int(s.Limits.CPU)))
	debug.SetMemoryLimit(int64(s.Limits.MemoryMB * 0.7 * (1 << 20)))
	debug.SetGCPercent(300)

	front, err := net.Listen("tcp4", cfg.FrontListen)
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	cluster, err := net.Listen("tcp4", cfg.PeerListen)
	if err != nil {
		return fmt.Errorf("cluster_listen: %w", err)
	}
	var seed [16]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return err
	}
	parent := ctx
	group, ctx := errgroup.WithContext(parent)
	report := config.Seconds(s.Workers.HeartbeatIntervalS)
	d := &daemon{
		config: cfg, log: log, startedAt: time.Now(), goroutines: group, ctx: ctx,
		controller: controller.New(cfg, hex.EncodeToString(seed[:8]), binary.LittleEndian.Uint64(seed[8:])),
		metrics:    newMetrics(),
		queue:      make(chan queuedEvent, 4*maxBatch), pending: map[uint64]pendingRequest{},
		state: storage.NewClient(cfg.Services.State, report/2, controller.TermLease(s.Workers)/2),
		cloud: transport.NewCloudClient(cfg.Services.Cloud, s.Workers),
		peers: transport.NewPeerClient(cfg.Node, cfg.Peers, s.Workers), forwarded: transport.NewForwardedRequests(),
	}
	d.healthy.Store(true)
	limit := transport.NewConcurrencyLimit(s.Limits.MaxConnections/4, report, func() { d.metrics.shed.Add(1) })
	sockets := s.Sockets()
	fs := transport.NewAPIServer(d, limit, sockets.Frontend, config.Seconds(s.Workers.LeaseS))
	d.workers = transport.NewWorkerClient(s.Workers, func() int { return sockets.CommandsNow(fs.OpenConnections()) })
	mounted := map[string]http.Handler{protocol.PathAdmin: newAdminHandler(d, limit)}
	if extensions.Distribution != nil {
		if d.tracker, err = newTrackerService(d, extensions.Distribution, seed); err != nil {
			return err
		}
		mounted[distribution.PathPrefix] = d.tracker.peerHandler()
		d.tracker.start()
	}
	ps := transport.NewPeerServer(d, limit, mounted)
	group.Go(func() error { return fs.Serve(front) })
	group.Go(func() error { return ps.Serve(ctx, cluster, sockets.Frontend, 40*report) })
	group.Go(func() error { d.runEventLoop(); return nil })
	group.Go(func() error { <-ctx.Done(); _ = front.Close(); return ctx.Err() })
	log.Info("oakpick serves", "node", cfg.Node, "front", cfg.FrontListen, "cluster", cfg.PeerListen)
	if err := group.Wait(); parent.Err() == nil {
		return err
	}
	return nil // what the servers say of being closed is no failure
}

// Handle is the way in for requests: it hands a command to the owner.
func (d *daemon) Handle(request message.Request, raw transport.RawRequest, wait time.Duration) message.Reply {
	began := time.Now()
	defer func() { d.metrics.recordRequest(request, time.Since(began)) }()
	ch := make(chan message.Reply, 1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	// The body belongs to the server's buffers, which the next request reuses.
	raw.Body = append([]byte(nil), raw.Body...)
	select {
	case d.queue <- queuedEvent{request, raw, ch, began.Add(wait)}:
	case <-timer.C:
		return transport.Unavailable("too busy")
	}
	select {
	case r := <-ch:
		return r
	case <-timer.C:
		return transport.Unavailable("not decided in time")
	}
}

// Healthy tells whether the node can take requests.
func (d *daemon) Healthy() bool { return d.healthy.Load() }

// enqueue brings an answer to the owner.
func (d *daemon) enqueue(command message.Event) {
	select {
	case d.queue <- queuedEvent{event: command}:
	case <-d.ctx.Done():
	}
}

// runEventLoop is the owner's loop.
func (d *daemon) runEventLoop() {
	tick := time.NewTicker(config.Seconds(d.config.Settings.Workers.HeartbeatIntervalS / 40))
	defer tick.Stop()
	commands := make([]message.Event, 0, maxBatch)
	for {
		var open bool
		if commands, open = d.nextBatch(commands[:0], tick.C); !open {
			return
		}
		led := d.controller.Leads()
		now := message.Now{Monotonic: time.Since(d.startedAt), WallMs: time.Now().UnixMilli()}
		for _, effect := range d.controller.Step(now, commands) {
			d.performEffect(effect)
		}
		if led && !d.controller.Leads() {
			d.failPendingRequests()
		}
		d.noteLeader()
		d.metrics.pauses.Store(d.controller.Stats.Pauses)
		d.metrics.longestPauseMs.Store(d.controller.Stats.LongestPauseMs)
		d.healthy.Store(d.controller.Healthy())
		if d.tracker != nil {
			d.tracker.observeLeadership(d.controller.Leadership())
		}
	}
}

// nextBatch waits for a batch of commands, or for the tick; not open: the process is to end.
func (d *daemon) nextBatch(commands []message.Event, tick <-chan time.Time) (_ []message.Event, open bool) {
	select {
	case <-d.ctx.Done():
		return commands, false
	case <-tick:
		return append(commands, message.Tick{}), true
	case it := <-d.queue:
		now := time.Now()
		for taken := 1; ; taken++ {
			if it.expired(now) {
				d.metrics.expired.Add(1)
			} else {
				commands = append(commands, d.accept(it))
			}
			if taken == maxBatch {
				return commands, true
			}
			select {
			case it = <-d.queue:
			default:
				return commands, true
			}
		}
	}
}

// noteLeader has requests that are with a former leader put to the one that leads now.
func (d *daemon) noteLeader() {
	leader := d.controller.KnownLeader()
	if leader != "" && leader != d.leader {
		d.leader = leader
		d.forwarded.CancelExcept(leader)
	}
}

// accept numbers a request, so that its reply finds the way back.
func (d *daemon) accept(it queuedEvent) message.Event {
	request, ok := it.event.(message.Request)
	if !ok {
		return it.event
	}
	d.lastID++
	d.pending[d.lastID] = pendingRequest{it.reply, it.raw, request, it.deadline}
	return request.WithID(d.lastID)
}

// failPendingRequests refuses what a former leader had not answered yet.
func (d *daemon) failPendingRequests() {
	for id, w := range d.pending {
		w.reply <- transport.Unavailable("the leader has changed")
		delete(d.pending, id)
	}
}

func (d *daemon) performEffect(effect message.Effect) {
	switch e := effect.(type) {
	case message.Reply:
		if w, ok := d.pending[e.ID]; ok {
			delete(d.pending, e.ID)
			w.reply <- e
		}
	case message.Forward:
		w, ok := d.pending[e.ID]
		if !ok {
			return
		}
		delete(d.pending, e.ID)
		if w.raw.FromPeer {
			// The peer holds us for the leader, and we know of another: it will
			// learn. To hand it on could go round in circles.
			w.reply <- transport.Unavailable("not the leader")
			return
		}
		d.goroutines.Go(func() error { d.forward(e.Peer, w); return nil })
	case message.StateCall:
		d.goroutines.Go(func() error {
			began := time.Now()
			d.enqueue(message.StateResult{StateResult: d.state.Do(e.StateCall)})
			d.metrics.recordStateCall(e.Op, time.Since(began))
			return nil
		})
	case message.CloudCall:
		d.goroutines.Go(func() error {
			if d.pastDeadline(e.NotAfter) {
				d.enqueue(message.CloudResult{ID: e.ID, Outcome: rpc.NotSent})
				return nil
			}
			d.enqueue(d.cloud.Do(e))
			return nil
		})
	case message.CommandsCall:
		d.goroutines.Go(func() error {
			if d.pastDeadline(e.NotAfter) {
				d.enqueue(message.CommandsResult{ID: e.ID, Machine: e.Machine, Outcome: rpc.NotSent})
				return nil
			}
			d.enqueue(d.workers.Send(e))
			return nil
		})
	case message.PeerCall:
		d.goroutines.Go(func() error { d.enqueue(d.peers.StepDown(d.ctx, e)); return nil })
	case message.Log:
		level := [...]slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelError}[e.Level]
		d.log.Log(d.ctx, level, e.Message, e.Args...)
	}
}

// pastDeadline tells whether the time is over within which something may be sent; 0: it has none.
func (d *daemon) pastDeadline(until time.Duration) bool {
	return until > 0 && time.Since(d.startedAt) >= until
}

// forward hands a request to the leader, and its answer back. If another leads before there
// is one, the request is decided anew.
func (d *daemon) forward(peer string, w pendingRequest) {
	ctx, cancel := context.WithTimeout(d.ctx, forwardTimeout)
	defer cancel()
	ctx, done := d.forwarded.Begin(ctx, peer)
	defer done()
	r, err := d.peers.Forward(ctx, peer, w.raw.Method, w.raw.Path, w.raw.Body)
	if err != nil && errors.Is(context.Cause(ctx), transport.ErrLeaderChanged) {
		select {
		case d.queue <- queuedEvent{event: w.request, raw: w.raw, reply: w.reply, deadline: w.deadline}:
		case <-d.ctx.Done():
		}
		return
	}
	if err != nil {
		r = transport.Unavailable("the leader can't be reached")
		r.CloseConnection = true
	}
	w.reply <- r
}

// forwardTimeout is how long another controller may take for a user's request.
const forwardTimeout = protocol.PollTimeoutS * time.Second
