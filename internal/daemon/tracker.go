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
	"oakpick/internal/coordination"
	"oakpick/internal/distribution"
	"oakpick/internal/distribution/tracker"
	"oakpick/internal/transport"
)

// trackerService serves the tracker of weights: an owner of its state with a queue of its
// own, so that nothing of it waits behind the scheduler's or holds that up.
type trackerService struct {
	d        *daemon
	tracker  *tracker.Tracker
	listener net.Listener
	server   *fasthttp.Server
	queue    chan trackerItem
	waits    map[uint64]trackerItem
	nextID   uint64
	term     atomic.Pointer[coordination.TermView]
	limit    *transport.Limit
	report   time.Duration // for which a request may take, too
	metrics  *trackerMetrics
}

// trackerItem is a command with the way back for its reply.
type trackerItem struct {
	command func(id uint64) tracker.Command
	request trackerRequest
	reply   chan coordination.Reply
	event   tracker.Command // an answer to an effect, instead
}

// trackerRequest is a request as it came, for handing it on.
type trackerRequest struct {
	method, path, query string
	body                []byte
	fromPeer            bool
}

const (
	trackerBatch       = 64
	trackerQueue       = 4 * trackerBatch
	trackerTicks       = 8 // a report
	trackerIdleReports = 3 // for which an idle connection is kept
	// keepAliveShare is the part of the connections from which on each is closed with its
	// answer, so that a fleet of any size is served in turns.
	keepAliveShare = 0.75
)

func newTrackerService(d *daemon, settings *config.Distribution, seed [16]byte) (*trackerService, error) {
	address, err := settings.TrackerAddress(d.cfg.PeerListen)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("distribution: %w", err)
	}
	report, idle := config.Seconds(settings.ReportS), config.Seconds(settings.IdleReportS)
	t := &trackerService{
		d: d, listener: listener, queue: make(chan trackerItem, trackerQueue), waits: map[uint64]trackerItem{},
		report: report,
		tracker: tracker.New(tracker.Parameters{
			ReportInterval: report, IdleReportInterval: idle, RetryInterval: config.Seconds(d.cfg.Settings.Workers.Report / 20), StoreSlots: settings.StoreSlots,
			Zones: d.cfg.Settings.Zones, ProcessID: fmt.Sprintf("%s-%x", d.cfg.Node, seed[:8]), Seed: binary.LittleEndian.Uint64(seed[8:]),
		}),
		metrics: newTrackerMetrics(),
	}
	t.limit = transport.NewLimit(settings.Connections/4, report, func() { t.metrics.shed.Inc() })
	t.term.Store(&coordination.TermView{})
	metricsPage := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(t.metrics.registry, promhttp.HandlerOpts{}))
	t.server = &fasthttp.Server{
		Concurrency: settings.Connections, MaxRequestBodySize: distribution.MaxMessageBytes,
		ReadTimeout: trackerIdleReports * idle, IdleTimeout: trackerIdleReports * idle, WriteTimeout: idle,
		ReadBufferSize: 4096, WriteBufferSize: 4096, ReduceMemoryUsage: true, NoDefaultServerHeader: true, CloseOnShutdown: true,
		Logger: transport.Quiet{},
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
	t.d.group.Go(func() error { return t.server.Serve(t.listener) })
	t.d.group.Go(func() error { t.own(); return nil })
	t.d.group.Go(func() error { <-t.d.ctx.Done(); return errors.Join(t.d.ctx.Err(), t.listener.Close()) })
	t.d.log.Info("tracker of weights serves", "listen", t.listener.Addr().String())
}

// see notes the node's term. Only the daemon's owner calls it.
func (t *trackerService) see(v coordination.TermView) {
	if *t.term.Load() != v {
		t.term.Store(&v)
	}
}

// own is the owner's loop.
func (t *trackerService) own() {
	tick := time.NewTicker(t.report / trackerTicks)
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
		effects := t.tracker.Step(time.Since(t.d.began), *t.term.Load(), commands)
		t.metrics.stepped(time.Since(began), t.tracker)
		for _, e := range effects {
			t.perform(e)
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
func (t *trackerService) accept(it trackerItem) tracker.Command {
	if it.event != nil {
		return it.event
	}
	t.nextID++
	t.waits[t.nextID] = it
	return it.command(t.nextID)
}

func (t *trackerService) perform(effect tracker.Effect) {
	switch e := effect.(type) {
	case tracker.Reply:
		if it, ok := t.waits[e.ID]; ok {
			delete(t.waits, e.ID)
			it.reply <- trackerReply(e)
		}
	case tracker.Forward:
		it, ok := t.waits[e.ID]
		if !ok {
			return
		}
		delete(t.waits, e.ID)
		if it.request.fromPeer {
			it.reply <- trackerBusy("not the leader", t.report) // to hand it on could go round in circles
			return
		}
		t.d.group.Go(func() error { it.reply <- t.forward(e.Peer, it.request); return nil })
	case tracker.StateCall:
		t.d.group.Go(func() error {
			result := tracker.StateResult{StateResult: t.d.state.Do(e.StateCall)}
			select {
			case t.queue <- trackerItem{event: result}:
			case <-t.d.ctx.Done():
			}
			return nil
		})
	case tracker.Log:
		t.d.log.Info(e.Text, e.Args...)
	}
}

// forward hands a request to the controller that leads.
func (t *trackerService) forward(peer string, r trackerRequest) coordination.Reply {
	ctx, cancel := context.WithTimeout(t.d.ctx, t.report)
	defer cancel()
	path := r.path
	if r.query != "" {
		path += "?" + r.query
	}
	reply, ok := t.d.peers.Forward(ctx, peer, r.method, path, r.body)
	if !ok {
		return trackerBusy("the leader can't be reached", t.report)
	}
	if !json.Valid(reply.Body) {
		// It doesn't track weights: another version, or not switched on there.
		return trackerBusy("the leader does not track weights", t.report)
	}
	return reply
}

// trackerReply encodes a reply.
func trackerReply(e tracker.Reply) coordination.Reply {
	body, err := json.Marshal(e.Body)
	if err != nil {
		return trackerBusy("the answer can't be encoded", e.RetryAfter)
	}
	return coordination.Reply{Status: e.Status, Body: body, RetryAfter: retrySeconds(e.RetryAfter)}
}

// retrySeconds rounds up to the whole seconds that a header can tell.
func retrySeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}

func trackerBusy(why string, after time.Duration) coordination.Reply {
	return trackerError(http.StatusServiceUnavailable, why, max(1, retrySeconds(after)))
}

func trackerError(status int, why string, retryAfter int) coordination.Reply {
	body, err := json.Marshal(distribution.ErrorAnswer{Error: why})
	if err != nil {
		body = []byte("{}")
	}
	return coordination.Reply{Status: status, Body: body, RetryAfter: retryAfter}
}

// answer answers a request, whether it came straight or from a peer.
func (t *trackerService) answer(r trackerRequest) coordination.Reply {
	command, refusal := parseTrackerRequest(r)
	if command == nil {
		return refusal
	}
	if r.fromPeer { // which has let it in
		return t.do(command, r)
	}
	return t.limit.Run(func() coordination.Reply { return t.do(command, r) })
}

// do hands a command to the owner and waits for the reply.
func (t *trackerService) do(command func(id uint64) tracker.Command, r trackerRequest) coordination.Reply {
	timer := time.NewTimer(t.report)
	defer timer.Stop()
	it := trackerItem{command: command, request: r, reply: make(chan coordination.Reply, 1)}
	select {
	case t.queue <- it:
	case <-timer.C:
		return trackerBusy("too busy", t.report)
	}
	select {
	case reply := <-it.reply:
		return reply
	case <-timer.C:
		return trackerBusy("not decided in time", t.report)
	}
}
