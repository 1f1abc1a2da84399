package controller_test

import (
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// Users look closely at jobs that have just been accepted, are about to end, or
// are being cancelled, at every controller, while the leader crashes, is paused, or
// loses the state service at any moment of that: the record only moves forward.
func TestRepeatedQueriesDuringFaults(t *testing.T) {
	faults := map[string]func(w *fake.World, at time.Duration){
		"none":           func(*fake.World, time.Duration) {},
		"leader crashes": func(w *fake.World, at time.Duration) { w.After(at, w.Controllers[0].Crash) },
		"is paused": func(w *fake.World, at time.Duration) {
			w.After(at, func() { w.Controllers[0].PausedUntil = w.Now + 3*time.Second })
		},
		"refused": func(w *fake.World, at time.Duration) {
			w.After(at, func() { w.State.Unreachable["n0"] = true })
			w.After(at+6*time.Second, func() { delete(w.State.Unreachable, "n0") })
		},
		"answers lost": func(w *fake.World, at time.Duration) {
			from := w.Now + at
			w.Network = func(kind, _, _ string) fake.Delivery {
				f := fake.Reliable()
				f.LoseResponse = kind == fake.KindState && w.Now >= from && w.Now < from+2*time.Second
				return f
			}
		},
	}
	slowly := func(w *fake.World) {
		w.Network = func(kind, _, _ string) fake.Delivery {
			f := fake.Reliable()
			if kind == fake.KindState {
				f.RequestDelay, f.ResponseDelay = 120*time.Millisecond, 30*time.Millisecond
			}
			return f
		}
	}
	faults["slow writes"] = func(w *fake.World, _ time.Duration) { slowly(w) }
	faults["slow writes, leader crashes"] = func(w *fake.World, at time.Duration) { slowly(w); w.After(at/8, w.Controllers[0].Crash) }
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			steps := 12
			if *fine {
				steps = 60
			}
			told := map[string]int{}
			for step := range steps {
				w := newWorld(t)
				provisionIdleMachines(t, w)
				w.Run(time.Duration(step) * 30 * time.Millisecond)
				fault(w, 1500*time.Millisecond*time.Duration(step)/time.Duration(steps))
				ends := w.Submit(job(1, protocol.Array, 2), 300*time.Millisecond)
				cancelled := w.Submit(service(2, 1), 0)
				both := w.Submit(job(3, protocol.Array, 1), 500*time.Millisecond)
				jobs := []*fake.Job{ends, cancelled, both}
				queryRapidly(w, jobs, 3*time.Second)
				w.After(400*time.Millisecond, func() { w.CancelEverywhere(cancelled) })
				for _, at := range []time.Duration{1000, 1600, 1900} { // about when it ends
					w.After(at*time.Millisecond, func() { w.CancelEverywhere(both) })
				}
				w.Run(10 * time.Second)
				runAndPoll(w, 18*time.Second)
				requireNoViolations(t, w)
				if ends.Status != protocol.StatusDone || cancelled.Status != protocol.StatusCancelled {
					t.Errorf("step %d: status %q and %q", step, ends.Status, cancelled.Status)
				}
				told[both.Status]++
			}
			if told[protocol.StatusDone]+told[protocol.StatusCancelled] != steps {
				t.Errorf("told %v", told)
			}
		})
	}
}
