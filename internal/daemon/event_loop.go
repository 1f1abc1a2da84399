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
	maxBatch      = 64 // events of a step
	queueCapacity = 4 * maxBatch
	// ticksPerHeartbeat is how many ticks there are in a heartbeat interval.
	ticksPerHeartbeat = 40
)

// eventLoop feeds the controller with events and carries its effects out.
type eventLoop struct {
	process   *process
	clients   *clients
	queue     chan queuedEvent
	forwarded *transport.ForwardedRequests
	metrics   *metrics
	healthy   atomic.Bool

	// What follows belongs to the goroutine of run.

	controller  *controller.Controller
	pending     *pendingRequests[queuedEvent]
	knownLeader string // the last that was known; empty: none yet
	// observeLeadership is told after every step who leads; nil: nobody wants to know.
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

// queuedEvent is an event on its way to the controller. Only requests have more than the event.
type queuedEvent struct {
	event    message.Event
	raw      transport.RawRequest
	reply    chan message.Reply // takes one reply without blocking
	deadline time.Time          // when the sender has been told to come back; zero: there is none
}

// expired tells whether an event is a poll whose user has gone: to answer it would only
// keep others waiting. What changes something is carried out all the same.
func (e *queuedEvent) expired(now time.Time) bool {
	request, ok := e.event.(message.UserRequest)
	return ok && request.Kind == message.Poll && !e.deadline.IsZero() && now.After(e.deadline)
}

// Handle hands a request to the controller and waits for the reply. Any goroutine may call it.
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

// Healthy tells whether the node can take requests. Any goroutine may call it.
func (l *eventLoop) Healthy() bool { return l.healthy.Load() }

// run steps the controller until the process ends.
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

// step takes events in, carries the effects out and publishes what others need of the state.
func (l *eventLoop) step(events []message.Event) {
	wasLeader := l.controller.Leads()
	now := message.Now{Monotonic: l.process.uptime(), WallMs: time.Now().UnixMilli()}
	for _, effect := range l.controller.Step(now, events) {
		l.performEffect(effect)
	}
	if wasLeader && !l.controller.Leads() {
		l.failPendingRequests()
	}
	l.observeLeader()
	l.metrics.pauses.Store(l.controller.Stats().Pauses)
	l.metrics.longestPauseMs.Store(l.controller.Stats().LongestPauseMs)
	l.healthy.Store(l.controller.Healthy())
	if l.observeLeadership != nil {
		l.observeLeadership(l.controller.Leadership())
	}
}

// nextBatch waits for events, or for the tick, and appends them; not open: the process ends.
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

// drainQueue appends an event and those that are queued behind it, up to maxBatch. Expired ones
// count, too, but are dropped.
func (l *eventLoop) drainQueue(events []message.Event, next queuedEvent) []message.Event {
	now := time.Now()
	for taken := 1; ; taken++ {
		if next.expired(now) {
			l.metrics.expired.Add(1)
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

// accept makes a request pending, under an ID of its own.
func (l *eventLoop) accept(queued queuedEvent) message.Event {
	request, ok := queued.event.(message.Request)
	if !ok {
		return queued.event
	}
	return request.WithID(l.pending.add(queued))
}

// failPendingRequests refuses what a former leader had not answered yet.
func (l *eventLoop) failPendingRequests() {
	for id, request := range l.pending.byID {
		request.reply <- transport.Unavailable("the leader has changed")
		delete(l.pending.byID, id)
	}
}

// observeLeader has requests that are with a former leader put to the one that leads now.
func (l *eventLoop) observeLeader() {
	leader := l.controller.KnownLeader()
	if leader != "" && leader != l.knownLeader {
		l.knownLeader = leader
		l.forwarded.CancelExcept(leader)
	}
}
