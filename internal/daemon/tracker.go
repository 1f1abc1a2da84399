package daemon

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"oakpick/internal/config"
	"oakpick/internal/controller"
	"oakpick/internal/distribution"
	"oakpick/internal/distribution/tracker"
	"oakpick/internal/message"
	"oakpick/internal/transport"
)

// trackerService serves the tracker of weights: an owner of its state with a queue of its
// own, so that nothing of it waits behind the scheduler's or holds that up.
type trackerService struct {
	d          *daemon
	tracker    *tracker.Tracker
	listener   net.Listener
	server     *fasthttp.Server
	queue      chan trackerEvent
	pending    map[uint64]trackerEvent
	lastID     uint64
	leadership atomic.Pointer[controller.LeadershipView]
	limit      *transport.ConcurrencyLimit
	timeout    time.Duration // for which a request may take, too
	metrics    *trackerMetrics
}

// trackerEvent is a command with the way back for its reply.
type trackerEvent struct {
	newCommand func(id uint64) tracker.Command
	request    trackerRequest
	reply      chan message.Reply
	result     tracker.Command // an answer to an effect, instead
}

// trackerRequest is a request as it came, for handing it on.
type trackerRequest struct {
	method, path, query string
	body                []byte
	fromPeer            bool
}

const (
	trackerBatch           = 64
	trackerQueue           = 4 * trackerBatch
	ticksPerInterval       = 8 // a report
	idleInventoryIntervals = 3 // for which an idle connection is kept
	// keepAliveShare is the part of the connections from which on each is closed with its
	// answer, so that a fleet of any size is served in turns.
	keepAliveShare = 0.75
)

func newTrackerService(d *daemon, settings *config.Distribution, seed [16]byte) (*trackerService, error) {
	address, err := settings.TrackerAddress(d.config.PeerListen)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("distribution: %w", err)
	}
	report, idle := config.Seconds(settings.InventoryIntervalS), config.Seconds(settings.IdleInventoryIntervalS)
	t := &trackerService{
		d: d, listener: listener, queue: make(chan trackerEvent, trackerQueue), pending: map[uint64]trackerEvent{},
		timeout: report,
		tracker: tracker.New(tracker.Parameters{
			Report: report, IdleReport: idle, Retry: config.Seconds(d.config.Settings.Workers.HeartbeatIntervalS / 20), StoreSlots: settings.StoreFetchers,
			Zones: d.config.Settings.Zones, Boot: fmt.Sprintf("%s-%x", d.config.Node, seed[:8]), Seed: binary.LittleEndian.Uint64(seed[8:]),
		}),
		metrics: newTrackerMetrics(),
	}
	t.limit = transport.NewConcurrencyLimit(settings.Connections/4, report, func() { t.metrics.shed.Inc() })
	t.leadership.Store(&controller.LeadershipView{})
	metricsPage := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(t.metrics.registry, promhttp.HandlerOpts{}))
	t.server = &fasthttp.Server{
		Concurrency: settings.Connections, MaxRequestBodySize: distribution.MaxMessageBytes,
		ReadTimeout: idleInventoryIntervals * idle, IdleTimeout: idleInventoryIntervals * idle, WriteTimeout: idle,
		ReadBufferSize: 4096, WriteBufferSize: 4096, ReduceMemoryUsage: true, NoDefaultServerHeader: true, CloseOnShutdown: true,
		Logger: transport.DiscardLogger{},
		Handler: func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) == "/metrics" {
				metricsPage(ctx)
				return
			}
			t.serve(ctx, int(keepAliveShare*float64(settings.Connections)))
		},
	}
	return t, nil
}

// start serves until the daemon's context ends.
func (t *trackerService) start() {
	t.d.goroutines.Go(func() error { return t.server.Serve(t.listener) })
	t.d.goroutines.Go(func() error { t.runEventLoop(); return nil })
	t.d.goroutines.Go(func() error { <-t.d.ctx.Done(); return errors.Join(t.d.ctx.Err(), t.listener.Close()) })
	t.d.log.Info("tracker of weights serves", "listen", t.listener.Addr().String())
}

// observeLeadership notes the node's term. Only the daemon's owner calls it.
func (t *trackerService) observeLeadership(v controller.LeadershipView) {
	if *t.leadership.Load() != v {
		t.leadership.Store(&v)
	}
}

// runEventLoop is the owner's loop.
func (t *trackerService) runEventLoop() {
	tick := time.NewTicker(t.timeout / ticksPerInterval)
	defer tick.Stop()
	for {
		commands := make([]tracker.Command, 0, trackerBatch)
		select {
		case <-t.d.ctx.Done():
			return
		case <-tick.C:
			commands = append(commands, tracker.Tick{})
		case it := <-t.queue:
			commands = append(commands, t.accept(it))
		}
		commands = t.drain(commands)
		began := time.Now()
		effects := t.tracker.Step(time.Since(t.d.startedAt), *t.leadership.Load(), commands)
		t.metrics.recordStep(time.Since(began), t.tracker)
		for _, e := range effects {
			t.performEffect(e)
		}
	}
}

func (t *trackerService) drain(commands []tracker.Command) []tracker.Command {
	for len(commands) < trackerBatch {
		select {
		case it := <-t.queue:
			commands = append(commands, t.accept(it))
		default:
			return commands
		}
	}
	return commands
}

// accept numbers a request, so that its reply finds the way back.
func (t *trackerService) accept(it trackerEvent) tracker.Command {
	if it.result != nil {
		return it.result
	}
	t.lastID++
	t.pending[t.lastID] = it
	return it.newCommand(t.lastID)
}

func (t *trackerService) performEffect(effect tracker.Effect) {
	switch e := effect.(type) {
	case tracker.Reply:
		if it, ok := t.pending[e.ID]; ok {
			delete(t.pending, e.ID)
			it.reply <- trackerReply(e)
		}
	case tracker.Forward:
		it, ok := t.pending[e.ID]
		if !ok {
			return
		}
		delete(t.pending, e.ID)
		if it.request.fromPeer {
			it.reply <- trackerUnavailable("not the leader", t.timeout) // to hand it on could go round in circles
			return
		}
		t.d.goroutines.Go(func() error { it.reply <- t.forward(e.Peer, it.request); return nil })
	case tracker.StateCall:
		t.d.goroutines.Go(func() error {
			result := tracker.StateResult{StateResult: t.d.state.Do(e.StateCall)}
			select {
			case t.queue <- trackerEvent{result: result}:
			case <-t.d.ctx.Done():
			}
			return nil
		})
	case tracker.Log:
		t.d.log.Info(e.Text, e.Args...)
	}
}

// forward hands a request to the controller that leads.
func (t *trackerService) forward(peer string, r trackerRequest) message.Reply {
	ctx, cancel := context.WithTimeout(t.d.ctx, t.timeout)
	defer cancel()
	path := r.path
	if r.query != "" {
		path += "?" + r.query
	}
	reply, err := t.d.peers.Forward(ctx, peer, r.method, path, r.body)
	if err != nil {
		return trackerUnavailable("the leader can't be reached", t.timeout)
	}
	if !json.Valid(reply.Body) {
		// It doesn't track weights: another version, or not switched on there.
		return trackerUnavailable("the leader does not track weights", t.timeout)
	}
	return reply
}

// trackerReply encodes a reply.
func trackerReply(e tracker.Reply) message.Reply {
	body, err := json.Marshal(e.Body)
	if err != nil {
		return trackerUnavailable("the answer can't be encoded", e.RetryAfter)
	}
	return message.Reply{Status: e.Status, Body: body, RetryAfterS: retrySeconds(e.RetryAfter)}
}

// retrySeconds rounds up to the whole seconds that a header can tell.
func retrySeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

func trackerUnavailable(why string, after time.Duration) message.Reply {
	return trackerError(http.StatusServiceUnavailable, why, max(1, retrySeconds(after)))
}

func trackerError(status int, why string, retryAfter int) message.Reply {
	body, err := json.Marshal(distribution.ErrorAnswer{Error: why})
	if err != nil {
		body = []byte("{}")
	}
	return message.Reply{Status: status, Body: body, RetryAfterS: retryAfter}
}

// answer answers a request, whether it came straight or from a peer.
func (t *trackerService) answer(r trackerRequest) message.Reply {
	command, refusal := parseTrackerRequest(r)
	if command == nil {
		return refusal
	}
	if r.fromPeer { // which has let it in
		return t.submit(command, r)
	}
	return t.limit.Run(func() message.Reply { return t.submit(command, r) })
}

// submit hands a command to the owner and waits for the reply.
func (t *trackerService) submit(command func(id uint64) tracker.Command, r trackerRequest) message.Reply {
	timer := time.NewTimer(t.timeout)
	defer timer.Stop()
	it := trackerEvent{newCommand: command, request: r, reply: make(chan message.Reply, 1)}
	select {
	case t.queue <- it:
	case <-timer.C:
		return trackerUnavailable("too busy", t.timeout)
	}
	select {
	case reply := <-it.reply:
		return reply
	case <-timer.C:
		return trackerUnavailable("not decided in time", t.timeout)
	}
}
