package agent

import (
	"context"
	"time"
)

const (
	maxEventBatch  = 64 // events per step
	ticksPerReport = 20 // ticks per configured report interval
)

// run is the event loop. It owns Core and returns when the context ends.
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

// step passes events to Core and executes the resulting effects.
func (a *Agent) step(ctx context.Context, events []Event) {
	effects := a.core.Step(time.Since(a.startedAt), events...)
	a.releaseCancels(events)
	a.publishState()
	for _, e := range effects {
		a.execute(ctx, e)
	}
}

// drainEvents appends events that are already queued, up to maxEventBatch in total.
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

// releaseCancels deletes the cancel functions of fetches that have ended.
func (a *Agent) releaseCancels(events []Event) {
	for _, e := range events {
		if result, ok := e.(ChunkResult); ok {
			delete(a.cancels, result.ID)
		}
	}
}

// publishState copies Core's state to the metrics and to the chunk sets that the server reads.
func (a *Agent) publishState() {
	a.metrics.update(a.core)
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.chunkSets)
	for d := range a.core.versions {
		a.chunkSets[d], _ = a.core.Chunks(d) // the manifest is known: d is a key of Core's versions
	}
}

// start runs a task in a goroutine of the group and queues the event that the task returns.
func (a *Agent) start(ctx context.Context, task func() Event) {
	a.group.Go(func() error {
		a.enqueue(ctx, task())
		return nil
	})
}

// enqueue queues an event for the event loop, unless the context ends first.
func (a *Agent) enqueue(ctx context.Context, e Event) {
	select {
	case a.events <- e:
	case <-ctx.Done():
	}
}
