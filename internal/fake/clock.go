package fake

import (
	"container/heap"
	"time"
)

// tickInterval is how often everybody handles what has become due.
const tickInterval = 50 * time.Millisecond

// event is something that is planned.
type event struct {
	at  time.Duration
	seq int // in the order of planning: events of the same time keep it
	run func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

// Len, Less, Swap, Push and Pop are heap.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less orders events by time, and those of the same time by the order of planning.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap swaps two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop takes the last event.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (q *eventQueue) add(e event) { heap.Push(q, e) }

// next takes the earliest event.
func (q *eventQueue) next() event { return heap.Pop(q).(event) }

// After plans a call.
func (w *World) After(delay time.Duration, call func()) {
	w.seq++
	w.events.add(event{w.Now + delay, w.seq, call})
}

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	end := w.Now + d
	for w.Now < end {
		w.runEvents(w.Now + tickInterval)
		w.tick()
	}
}

// RunUntil lets time pass until a condition holds, for so long at most, and tells whether it
// does.
func (w *World) RunUntil(most time.Duration, condition func() bool) bool {
	end := w.Now + most
	for w.Now < end {
		if condition() {
			return true
		}
		w.Run(tickInterval)
	}
	return condition()
}

// AdvanceTo lets time pass until a moment, in steps of any length.
func (w *World) AdvanceTo(to time.Duration) {
	for w.Now < to {
		next := min(to, w.lastTick+tickInterval)
		w.runEvents(next)
		if next == w.lastTick+tickInterval {
			w.tick()
		}
	}
}

// NextEventAt is when the next event or tick is due.
func (w *World) NextEventAt() time.Duration {
	next := w.lastTick + tickInterval
	if len(w.events) > 0 {
		next = min(next, w.events[0].at)
	}
	return next
}

// runEvents runs everything that is planned until a moment.
func (w *World) runEvents(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := w.events.next()
		w.Now = max(w.Now, e.at)
		e.run()
	}
	w.Now = until
}

// tick has everybody handle what has become due, and checks the rules.
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
