package fake

import (
	"container/heap"
	"time"
)

// tickInterval is the simulated time between two ticks of the workers and controllers.
const tickInterval = 50 * time.Millisecond

// event is a call that is scheduled for a simulated time.
type event struct {
	at  time.Duration
	seq int // scheduling order, by which events of the same time are ordered
	run func()
}

// eventQueue is a heap of events, ordered by time.
type eventQueue []event

// Len returns the number of events. It is part of heap.Interface, as are Less, Swap, Push and Pop.
func (q eventQueue) Len() int { return len(q) }

// Less orders events by time, and events of the same time by scheduling order.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap swaps two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes and returns the last event.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (q *eventQueue) add(e event) { heap.Push(q, e) }

// next removes and returns the earliest event.
func (q *eventQueue) next() event { return heap.Pop(q).(event) }

// After schedules a call after a delay in simulated time.
func (w *World) After(delay time.Duration, call func()) {
	w.seq++
	w.events.add(event{w.Now + delay, w.seq, call})
}

// Run advances simulated time by d in whole ticks, rounding d up.
func (w *World) Run(d time.Duration) {
	end := w.Now + d
	for w.Now < end {
		w.runEvents(w.Now + tickInterval)
		w.tick()
	}
}

// RunUntil advances simulated time until the condition holds, but at most by the timeout.
// It reports whether the condition holds.
func (w *World) RunUntil(timeout time.Duration, condition func() bool) bool {
	end := w.Now + timeout
	for w.Now < end {
		if condition() {
			return true
		}
		w.Run(tickInterval)
	}
	return condition()
}

// AdvanceTo advances simulated time to the given time, which may lie between two ticks.
func (w *World) AdvanceTo(to time.Duration) {
	for w.Now < to {
		next := min(to, w.lastTick+tickInterval)
		w.runEvents(next)
		if next == w.lastTick+tickInterval {
			w.tick()
		}
	}
}

// NextEventAt returns when the next event or tick is due.
func (w *World) NextEventAt() time.Duration {
	next := w.lastTick + tickInterval
	if len(w.events) > 0 {
		next = min(next, w.events[0].at)
	}
	return next
}

// runEvents runs all events that are due up to the given time, and sets the clock to that time.
func (w *World) runEvents(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := w.events.next()
		w.Now = max(w.Now, e.at)
		e.run()
	}
	w.Now = until
}

// tick lets the workers and controllers handle everything that is due, and checks the invariants.
func (w *World) tick() {
	w.lastTick = w.Now
	for _, name := range w.workerNames {
		w.Workers[name].tick()
	}
	for _, c := range w.Controllers {
		c.Tick()
	}
	w.checkInvariants()
}
