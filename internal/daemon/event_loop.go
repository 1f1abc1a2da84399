package daemon

import (
	"sync/atomic"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/controller"
	"oakpick/internal/election"
	"oakpick/internal/message"
	"oakpick/internal/transport"
)

const (
	maxBatch      = 64 // events per step
	queueCapacity = 4 * maxBatch
	// ticksPerHeartbeat is the number of ticks per heartbeat interval.
	ticksPerHeartbeat = 40
)

// eventLoop passes events to the controller and performs its effects.
type eventLoop struct {
	process   *process
	clients   *clients
	queue     chan queuedEvent
	forwarded *transport.ForwardedRequests
	metrics   *metrics
	healthy   atomic.Bool

	// The fields below are used only by the goroutine of run.

	controller  *controller.Controller
	pending     *pendingRequests[queuedEvent]
	knownLeader string // last known leader; empty until one is known
	// observeLeadership is called with the current leadership after every step, unless it is nil.
	observeLeadership func(election.View)
}

func newEventLoop(p *process, clients *clients) *eventLoop {
	l := &eventLoop{
		process: p, clients: clients,
		queue: make(chan queuedEvent, queueCapacity), pending: newPendingRequests[queuedEvent](),
		controller: controller.New(p.config, p.identity.incarnation, p.identity.seed),
		forwarded:  transport.NewForwardedRequests(), metrics: newMetrics(),
	}
	l.healthy.Store(true)
	return l
}

// queuedEvent is an event queued for the controller. The fields other than event are set only
// for requests.
type queuedEvent struct {
	event    message.Event
	raw      transport.RawRequest
	reply    chan message.Reply // has room for one reply, so that sending never blocks
	deadline time.Time          // when Handle stops waiting and refuses the request; zero if there is none
}

// expired reports whether an event is a poll that Handle has already refused: answering it would
// only delay other requests. Requests that change something are always processed.
func (e *queuedEvent) expired(now time.Time) bool {
	request, ok := e.event.(message.UserRequest)
	return ok && request.Kind == message.Poll && !e.deadline.IsZero() && now.After(e.deadline)
}

// Handle passes a request to the controller and waits for the reply. Any goroutine may call it.
func (l *eventLoop) Handle(request message.Request, raw transport.RawRequest, timeout time.Duration) message.Reply {
	receivedAt := time.Now()
	defer func() { l.metrics.recordRequest(request, time.Since(receivedAt)) }()
	// The body belongs to the server's buffers, which the next request reuses.
	raw.Body = append([]byte(nil), raw.Body...)
	event := queuedEvent{event: request, raw: raw, reply: make(chan message.Reply, 1), deadline: receivedAt.Add(timeout)}
	reply, err := submit(l.queue, event, event.reply, timeout)
	if err != nil {
		return transport.Unavailable(err.Error())
	}
	return reply
}

// Healthy reports whether the node can serve requests. Any goroutine may call it.
func (l *eventLoop) Healthy() bool { return l.healthy.Load() }

// run steps the controller until the process's context ends.
func (l *eventLoop) run() {
	interval := config.Seconds(l.process.config.Settings.Workers.HeartbeatIntervalS / ticksPerHeartbeat)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	events := make([]message.Event, 0, maxBatch)
	for {
		var open bool
		if events, open = l.nextBatch(events[:0], ticker.C); !open {
			return
		}
		l.step(events)
	}
}

// step passes events to the controller, performs the resulting effects and publishes the state
// that other goroutines read.
func (l *eventLoop) step(events []message.Event) {
	wasLeader := l.controller.Leading()
	now := message.Now{Monotonic: l.process.uptime(), WallMs: time.Now().UnixMilli()}
	for _, effect := range l.controller.Step(now, events) {
		l.performEffect(effect)
	}
	if wasLeader && !l.controller.Leading() {
		l.failPendingRequests()
	}
	l.updateKnownLeader()
	l.metrics.pauses.Store(l.controller.Stats().Pauses)
	l.metrics.longestPauseMs.Store(l.controller.Stats().LongestPauseMs)
	l.healthy.Store(l.controller.Healthy())
	if l.observeLeadership != nil {
		l.observeLeadership(l.controller.Leadership())
	}
}

// nextBatch waits for events or the tick, and appends them. open is false once the process's
// context has ended.
func (l *eventLoop) nextBatch(events []message.Event, tick <-chan time.Time) (_ []message.Event, open bool) {
	select {
	case <-l.process.ctx.Done():
		return events, false
	case <-tick:
		return append(events, message.Tick{}), true
	case first := <-l.queue:
		return l.drainQueue(events, first), true
	}
}

// drainQueue appends an event and those queued behind it, up to maxBatch. Expired polls are
// dropped, but count towards maxBatch.
func (l *eventLoop) drainQueue(events []message.Event, next queuedEvent) []message.Event {
	now := time.Now()
	for taken := 1; ; taken++ {
		if next.expired(now) {
			l.metrics.expiredPolls.Add(1)
		} else {
			events = append(events, l.accept(next))
		}
		if taken == maxBatch {
			return events
		}
		select {
		case next = <-l.queue:
		default:
			return events
		}
	}
}

// accept gives a request a new ID and adds it to the pending requests. Other events are
// returned unchanged.
func (l *eventLoop) accept(queued queuedEvent) message.Event {
	request, ok := queued.event.(message.Request)
	if !ok {
		return queued.event
	}
	return request.WithID(l.pending.add(queued))
}

// failPendingRequests refuses the requests that are pending when this node stops leading.
func (l *eventLoop) failPendingRequests() {
	for id, request := range l.pending.byID {
		request.reply <- transport.Unavailable("the leader has changed")
		delete(l.pending.byID, id)
	}
}

// updateKnownLeader records a new leader and cancels the requests that were forwarded to other
// controllers, so that they are queued again.
func (l *eventLoop) updateKnownLeader() {
	leader := l.controller.KnownLeader()
	if leader != "" && leader != l.knownLeader {
		l.knownLeader = leader
		l.forwarded.CancelExcept(leader)
	}
}
