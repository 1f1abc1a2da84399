package daemon

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/distribution/tracker"
	"oakpick/internal/election"
	"oakpick/internal/message"
)

const (
	maxTrackerBatch      = 64 // commands per step
	trackerQueueCapacity = 4 * maxTrackerBatch
	// ticksPerInventory is the number of ticks per inventory interval.
	ticksPerInventory = 8
	// trackerRetriesPerHeartbeat is the number of retries of the tracker per heartbeat interval.
	trackerRetriesPerHeartbeat = 20
)

// trackerLoop is the event loop of the tracker. It has a queue of its own, so that the tracker
// and the scheduler don't delay each other.
type trackerLoop struct {
	process    *process
	clients    *clients
	queue      chan trackerEvent
	leadership atomic.Pointer[election.View]
	metrics    *trackerMetrics
	// inventoryInterval is also the timeout of a request and the delay of its retry.
	inventoryInterval time.Duration

	// The fields below are used only by the goroutine of run.

	tracker *tracker.Tracker
	pending *pendingRequests[trackerEvent]
}

// trackerEvent is either a request or the result of an effect. A request has a function that
// creates its command, and a channel for its reply.
type trackerEvent struct {
	newCommand commandFunc
	request    trackerRequest
	reply      chan message.Reply // has room for one reply, so that sending never blocks
	result     tracker.Command    // nil for a request
}

func newTrackerLoop(p *process, clients *clients, settings *config.Distribution) *trackerLoop {
	cfg := p.config
	interval := config.Seconds(settings.InventoryIntervalS)
	l := &trackerLoop{
		process: p, clients: clients, inventoryInterval: interval, metrics: newTrackerMetrics(),
		queue: make(chan trackerEvent, trackerQueueCapacity), pending: newPendingRequests[trackerEvent](),
		tracker: tracker.New(tracker.Parameters{
			ReportInterval: interval, IdleReportInterval: config.Seconds(settings.IdleInventoryIntervalS),
			RetryInterval: config.Seconds(cfg.Settings.Workers.HeartbeatIntervalS / trackerRetriesPerHeartbeat),
			StoreSlots:    settings.StoreSlots, Zones: cfg.Settings.Zones,
			ProcessID: cfg.Node + "-" + p.identity.incarnation, Seed: p.identity.seed,
		}),
	}
	l.leadership.Store(&election.View{})
	return l
}

// observeLeadership publishes the current leadership to the tracker. Only the controller's event
// loop calls it.
func (l *trackerLoop) observeLeadership(view election.View) {
	if *l.leadership.Load() != view {
		l.leadership.Store(&view)
	}
}

// submit passes a command to the tracker and waits for the reply. Any goroutine may call it.
func (l *trackerLoop) submit(newCommand commandFunc, request trackerRequest) message.Reply {
	event := trackerEvent{newCommand: newCommand, request: request, reply: make(chan message.Reply, 1)}
	reply, err := submit(l.queue, event, event.reply, l.inventoryInterval)
	if err != nil {
		return trackerUnavailable(err.Error(), l.inventoryInterval)
	}
	return reply
}

// run steps the tracker until the process's context ends.
func (l *trackerLoop) run() {
	ticker := time.NewTicker(l.inventoryInterval / ticksPerInventory)
	defer ticker.Stop()
	for {
		commands := make([]tracker.Command, 0, maxTrackerBatch)
		select {
		case <-l.process.ctx.Done():
			return
		case <-ticker.C:
			commands = append(commands, tracker.Tick{})
		case event := <-l.queue:
			commands = append(commands, l.accept(event))
		}
		l.step(l.drainQueue(commands))
	}
}

// drainQueue appends the commands of queued events, up to maxTrackerBatch in all.
func (l *trackerLoop) drainQueue(commands []tracker.Command) []tracker.Command {
	for len(commands) < maxTrackerBatch {
		select {
		case event := <-l.queue:
			commands = append(commands, l.accept(event))
		default:
			return commands
		}
	}
	return commands
}

// step passes commands to the tracker and performs the resulting effects.
func (l *trackerLoop) step(commands []tracker.Command) {
	startedAt := time.Now()
	effects := l.tracker.Step(l.process.uptime(), *l.leadership.Load(), commands)
	l.metrics.recordStep(time.Since(startedAt), l.tracker)
	for _, effect := range effects {
		l.performEffect(effect)
	}
}

// accept gives a request a new ID, adds it to the pending requests and returns its command. The
// result of an effect is returned unchanged.
func (l *trackerLoop) accept(event trackerEvent) tracker.Command {
	if event.result != nil {
		return event.result
	}
	return event.newCommand(l.pending.add(event))
}

// performEffect performs an effect, in a goroutine of its own if it may block. Results are queued
// as events.
func (l *trackerLoop) performEffect(effect tracker.Effect) {
	switch e := effect.(type) {
	case tracker.Reply:
		if event, ok := l.pending.take(e.ID); ok {
			event.reply <- encodeTrackerReply(e)
		}
	case tracker.Forward:
		l.forward(e)
	case tracker.StateCall:
		l.process.goroutines.Go(func() error {
			result := tracker.StateResult{StateResult: l.clients.state.Do(e.StateCall)}
			enqueue(l.process.ctx, l.queue, trackerEvent{result: result})
			return nil
		})
	case tracker.Log:
		l.process.log.Info(e.Text, e.Args...)
	}
}

// forward sends a pending request to the leader.
func (l *trackerLoop) forward(forward tracker.Forward) {
	event, ok := l.pending.take(forward.ID)
	if !ok {
		return
	}
	if event.request.fromPeer {
		event.reply <- trackerUnavailable("not the leader", l.inventoryInterval) // forwarding it again could create a loop
		return
	}
	l.process.goroutines.Go(func() error { event.reply <- l.forwardTo(forward.Peer, event.request); return nil })
}

// forwardTo sends a request to the leader and waits for the reply.
func (l *trackerLoop) forwardTo(peer string, request trackerRequest) message.Reply {
	ctx, cancel := context.WithTimeout(l.process.ctx, l.inventoryInterval)
	defer cancel()
	path := request.path
	if request.query != "" {
		path += "?" + request.query
	}
	reply, err := l.clients.peers.Forward(ctx, peer, request.method, path, request.body)
	if err != nil {
		return trackerUnavailable("the leader can't be reached", l.inventoryInterval)
	}
	if !json.Valid(reply.Body) {
		// A leader without a tracker, because it runs another version or has the tracker
		// disabled, doesn't answer in JSON.
		return trackerUnavailable("the leader does not track weights", l.inventoryInterval)
	}
	return reply
}

func encodeTrackerReply(reply tracker.Reply) message.Reply {
	body, err := json.Marshal(reply.Body)
	if err != nil {
		return trackerUnavailable("the answer can't be encoded", reply.RetryAfter)
	}
	return message.Reply{Status: reply.Status, Body: body, RetryAfterS: retrySeconds(reply.RetryAfter)}
}
