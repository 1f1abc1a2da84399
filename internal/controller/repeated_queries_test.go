package controller_test

import (
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// slowStateService delays requests to the state service and its responses.
func slowStateService(kind, _, _ string) fake.Delivery {
	delivery := fake.Reliable()
	if kind == fake.KindState {
		delivery.RequestDelay, delivery.ResponseDelay = 120*time.Millisecond, 30*time.Millisecond
	}
	return delivery
}

// queryFaults has functions that apply a fault to the leader n0 or to the state service. Slow writes
// begin at once. The other faults begin after the delay at, or after an eighth of it if they are
// combined with slow writes.
var queryFaults = map[string]func(w *fake.World, at time.Duration){
	"none":           func(*fake.World, time.Duration) {},
	"leader crashes": func(w *fake.World, at time.Duration) { w.After(at, w.Controllers[0].Crash) },
	"leader paused": func(w *fake.World, at time.Duration) {
		w.After(at, func() { w.Controllers[0].PausedUntil = w.Now + 3*time.Second })
	},
	"leader refused": func(w *fake.World, at time.Duration) {
		w.After(at, func() { w.State.Unreachable["n0"] = true })
		w.After(at+6*time.Second, func() { delete(w.State.Unreachable, "n0") })
	},
	"responses lost": func(w *fake.World, at time.Duration) {
		from := w.Now + at
		w.Network = func(kind, _, _ string) fake.Delivery {
			delivery := fake.Reliable()
			delivery.LoseResponse = kind == fake.KindState && w.Now >= from && w.Now < from+2*time.Second
			return delivery
		}
	},
	"slow writes": func(w *fake.World, _ time.Duration) { w.Network = slowStateService },
	"slow writes, leader crashes": func(w *fake.World, at time.Duration) {
		w.Network = slowStateService
		w.After(at/8, w.Controllers[0].Crash)
	},
}

// Users query jobs at every controller every few milliseconds: jobs that have just been accepted,
// are about to end, or are being cancelled. Meanwhile the leader crashes, is paused, or loses the
// state service, at various times. The statuses that users get must only move forward.
func TestRepeatedQueriesDuringFaults(t *testing.T) {
	t.Parallel()
	steps := 12
	if *fineSteps {
		steps = 60
	}
	for name, fault := range queryFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			outcomes := map[string]int{}
			for step := range steps {
				faultAt := 1500 * time.Millisecond * time.Duration(step) / time.Duration(steps)
				outcomes[testRepeatedQueries(t, step, func(w *fake.World) { fault(w, faultAt) })]++
			}
			if outcomes[protocol.StatusDone]+outcomes[protocol.StatusCancelled] != steps {
				t.Errorf("final statuses %v", outcomes)
			}
		})
	}
}

// testRepeatedQueries returns the final status of a job that is cancelled at about the time at which
// it ends.
func testRepeatedQueries(t *testing.T, step int, fault func(*fake.World)) string {
	t.Helper()
	w := newWorld(t)
	provisionIdleMachines(t, w)
	w.Run(time.Duration(step) * 30 * time.Millisecond)
	fault(w)
	done := w.Submit(job(1, protocol.Array, 2), 300*time.Millisecond)
	cancelled := w.Submit(service(2, 1), 0)
	either := w.Submit(job(3, protocol.Array, 1), 500*time.Millisecond)
	queryRapidly(w, []*fake.Job{done, cancelled, either}, 3*time.Second)
	w.After(400*time.Millisecond, func() { w.CancelEverywhere(cancelled) })
	for _, at := range []time.Duration{1000, 1600, 1900} { // at about the end of the job
		w.After(at*time.Millisecond, func() { w.CancelEverywhere(either) })
	}
	w.Run(10 * time.Second)
	runAndPoll(w, 18*time.Second)
	requireNoViolations(t, w)
	if done.Status != protocol.StatusDone || cancelled.Status != protocol.StatusCancelled {
		t.Errorf("step %d: statuses %q and %q, want done and cancelled", step, done.Status, cancelled.Status)
	}
	return either.Status
}
