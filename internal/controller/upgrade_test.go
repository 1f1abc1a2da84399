package controller_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// The versions lead in turns, several times, also within a second and in an outage:
// nothing is lost and every rule holds, whoever wrote a page last.
func TestVersionsAlternateAsLeader(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 9 * time.Second} {
		for _, outage := range []bool{false, true} {
			t.Run(fmt.Sprintf("down for %v, outage %t", pause, outage), func(t *testing.T) {
				t.Parallel()
				w := newProductionWorld(t)
				large := job(1, protocol.Array, 70)
				large.CPUs, large.Team = 0.5, "red"
				w.Submit(large, 8*time.Second)
				w.Submit(service(2, 3), 0)
				cancelled := w.Submit(service(3, 2), 0)
				w.Run(20 * time.Second)
				for round := range 8 {
					if outage && round == 3 {
						w.State.SetOutage(true)
						w.After(3*time.Second, func() { w.State.SetOutage(false) })
					}
					leader := w.Leader()
					if leader == nil {
						w.Run(time.Second)
						continue
					}
					// It crashes and restarts as the old version, is upgraded, or is rolled back.
					leader.Crash()
					leader.RunsProductionVersion = round%2 == 1
					w.After(pause, leader.Start)
					w.Submit(job(10+round, protocol.JobKind(round%2), 2), 2*time.Second)
					if round == 5 {
						w.CancelEverywhere(cancelled)
					}
					w.Run(pause + 2500*time.Millisecond)
					w.PollAll()
				}
				for _, c := range w.Controllers {
					c.Crash()
					c.RunsProductionVersion = false
					c.Start()
				}
				runAndPoll(w, 90*time.Second)
				requireNoViolations(t, w)
				requireAllServed(t, w)
				if cancelled.Status != protocol.StatusCancelled {
					t.Errorf("status %q", cancelled.Status)
				}
			})
		}
	}
}

// The limits are lowered after a rolling upgrade, with and without time to split the large pages
// that the old version left, and with writes in flight: what is on them still changes. A
// first copy of a write may be carried out late, after the same write was refused for
// its size and its pages were divided: by then it is of an earlier term.
func TestLimitsLoweredAfterRollingUpgrade(t *testing.T) {
	t.Parallel()
	for _, wait := range []time.Duration{0, 500 * time.Millisecond, 20 * time.Second} {
		for _, slow := range []time.Duration{0, 150 * time.Millisecond} {
			t.Run(fmt.Sprintf("after %v, latency %v", wait, slow), func(t *testing.T) {
				t.Parallel()
				testLimitsLoweredAfterRollingUpgrade(t, wait, slow)
			})
		}
	}
}

// testLimitsLoweredAfterRollingUpgrade lowers the limits some time after the upgrade, with so
// slow a state service.
func testLimitsLoweredAfterRollingUpgrade(t *testing.T, wait, slow time.Duration) {
	t.Helper()
	w := newProductionWorld(t)
	large := job(1, protocol.Array, 70)
	large.CPUs, large.Team = 0.5, "red"
	w.Submit(large, 8*time.Second)
	cancelled := w.Submit(service(2, 2), 0)
	submitSmallJobs(w, 40)
	w.Run(30 * time.Second)
	const lowerLimit = 1024
	if pagesAbove(t, w, lowerLimit) == 0 {
		t.Fatal("the old version left no large page: this shows nothing")
	}
	if slow > 0 {
		w.Network = slowLossyState(slow)
	}
	upgradeLeaderLast(w)
	w.Run(wait)
	if wait >= 20*time.Second {
		if n := pagesAbove(t, w, lowerLimit); n > 0 {
			t.Errorf("%d pages are above the limits to come after %v", n, wait)
		}
	}
	w.State.LowerLimits()
	w.CancelEverywhere(cancelled)
	w.Submit(job(3, protocol.Gang, 2), 2*time.Second)
	w.Submit(service(4, 2), 0)
	runAndPoll(w, 150*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
	if cancelled.Status != protocol.StatusCancelled {
		t.Errorf("status %q", cancelled.Status)
	}
	if w.State.RejectedForSize > 3*len(w.Controllers) {
		t.Errorf("%d transactions were refused for their size", w.State.RejectedForSize)
	}
}

// submitSmallJobs submits arrays and services of one task in turn.
func submitSmallJobs(w *fake.World, count int) {
	for i := range count {
		if i%2 == 0 {
			w.Submit(job(100+i, protocol.Array, 1), time.Second)
			continue
		}
		s := service(100+i, 1)
		s.CPUs = 0.1
		w.Submit(s, 0)
	}
}

// pagesAbove counts the pages that are larger than a limit, as the state service counts.
func pagesAbove(t *testing.T, w *fake.World, limit int) int {
	t.Helper()
	pages := 0
	for key, value := range w.State.Values() {
		var v any
		if err := protocol.Decode(value, &v); err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if strings.HasPrefix(key, storage.PagePrefix) && len(text) > limit {
			pages++
		}
	}
	return pages
}

// slowLossyState is a network with a slow state service, late copies of requests to it, and
// some of its answers lost.
func slowLossyState(slow time.Duration) func(kind, from, to string) fake.Delivery {
	calls := 0
	return func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindState {
			delivery.RequestDelay += slow
			delivery.DuplicateAfter = 3 * slow
			calls++
			delivery.LoseResponse = calls%9 == 0
		}
		return delivery
	}
}

// upgradeLeaderLast gives one controller after the other the new version, the leader last: with
// no time to wait then, the new version has never led.
func upgradeLeaderLast(w *fake.World) {
	leader := w.Leader()
	controllers := slices.Clone(w.Controllers)
	slices.SortStableFunc(controllers, func(a, b *fake.Controller) int {
		if a == leader {
			return 1
		}
		if b == leader {
			return -1
		}
		return 0
	})
	for _, c := range controllers {
		upgrade(w, c, 500*time.Millisecond)
		w.Run(2 * time.Second)
	}
}
