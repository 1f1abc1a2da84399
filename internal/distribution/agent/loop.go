package agent

import (
	"context"
	"time"
)

const (
	maxEventBatch  = 64 // events of one step
	ticksPerReport = 20
)

// run is the event loop: it owns Core, and ends with the context.
func (a *Agent) run(ctx context.Context) {
	ticker := time.NewTicker(a.core.settings.ReportInterval / ticksPerReport)
	defer ticker.Stop()
	for {
		var events []Event
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			events = append(events, Tick{})
		case e := <-a.events:
			events = append(events, e)
		}
		a.step(ctx, a.drainEvents(events))
	}
}

// step hands events to Core and starts what Core decides.
func (a *Agent) step(ctx context.Context, events []Event) {
	effects := a.core.Step(time.Since(a.startedAt), events...)
	a.releaseCancels(events)
	a.publishState()
	for _, e := range effects {
		a.execute(ctx, e)
	}
}

// drainEvents adds the events that are queued already, up to a batch.
func (a *Agent) drainEvents(events []Event) []Event {
	for len(events) < maxEventBatch {
		select {
		case e := <-a.events:
			events = append(events, e)
		default:
			return events
		}
	}
	return events
}

// releaseCancels drops the cancel functions of fetches that have ended.
func (a *Agent) releaseCancels(events []Event) {
	for _, e := range events {
		if result, ok := e.(ChunkResult); ok {
			delete(a.cancels, result.ID)
		}
	}
}

// publishState shows the server and the metrics what Core has.
func (a *Agent) publishState() {
	a.metrics.update(a.core)
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.chunkSets)
	for d := range a.core.versions {
		a.chunkSets[d], _ = a.core.Chunks(d) // known, since it is one of Core's versions
	}
}

// start runs a task in a goroutine of the group and queues the event that it returns.
func (a *Agent) start(ctx context.Context, task func() Event) {
	a.group.Go(func() error {
		a.enqueue(ctx, task())
		return nil
	})
}

// enqueue hands an event to Core's owner.
func (a *Agent) enqueue(ctx context.Context, e Event) {
	select {
	case a.events <- e:
	case <-ctx.Done():
	}
}
