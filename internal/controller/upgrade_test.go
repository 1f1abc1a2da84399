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

// The version in production and the current version lead in turn several times, at intervals down
// to less than a second and also during an outage of the state service. Nothing may be lost and
// every rule must hold, whichever version wrote a page last.
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
					// The leader crashes and is restarted, upgraded, or rolled back.
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
					t.Errorf("the cancelled service has status %q", cancelled.Status)
				}
			})
		}
	}
}

// The limits of the state service are lowered after a rolling upgrade, with and without time to split
// the large pages that the old version left, and with writes in flight. Records on these pages still
// change afterwards. Nothing may be lost, and only few transactions may be rejected for exceeding the
// limits.
//
// A copy of a write may be executed late, after the same write was rejected for its size and its pages
// were split. By then, the copy belongs to an earlier term.
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

// testLimitsLoweredAfterRollingUpgrade waits for the given time between the upgrade and the lowering
// of the limits. If slow isn't 0, the state service has this latency and loses some responses.
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
		t.Fatal("the version in production left no large page, so this test would check nothing")
	}
	if slow > 0 {
		w.Network = slowLossyStateService(slow)
	}
	upgradeLeaderLast(w)
	w.Run(wait)
	if wait >= 20*time.Second {
		if n := pagesAbove(t, w, lowerLimit); n > 0 {
			t.Errorf("%d pages exceed the future limit %v after the upgrade", n, wait)
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
		t.Errorf("the cancelled service has status %q", cancelled.Status)
	}
	if w.State.RejectedOverLimits > 3*len(w.Controllers) {
		t.Errorf("%d transactions were rejected for exceeding the limits", w.State.RejectedOverLimits)
	}
}

// submitSmallJobs submits arrays and services of one task each, alternately.
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

// pagesAbove counts the pages that are larger than a limit in bytes. Like the state service, it
// measures them as JSON.
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

// slowLossyStateService returns a network with a slow state service: requests to it are delayed and
// arrive a second time later, and some of its responses are lost.
func slowLossyStateService(slow time.Duration) func(kind, from, to string) fake.Delivery {
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

// upgradeLeaderLast upgrades one controller after another, the leader last. The new version can only
// lead after that, so a test that continues at once leaves it hardly any time to split pages.
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
