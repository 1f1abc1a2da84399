package controller_test

import (
	"fmt"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// newWorldWithCancelledInArchive makes a world with a cancelled job in the archive.
func newWorldWithCancelledInArchive(t *testing.T) (w *fake.World, cancelled *fake.Job) {
	t.Helper()
	s := smallMemorySettings()
	s.Limits.MemoryMB = 0.02 // the leader keeps one terminal job in memory
	w = newWorldWith(t, s)
	cancelled = submitAfter(t, w, job(1, protocol.Array, 1), time.Minute)
	w.Run(2 * time.Second)
	w.CancelJob(cancelled)
	completeJobs(t, w, 100, 6)
	inArchive := func() bool {
		_, archive := terminalRecords(t, w)
		_, ok := archive[cancelled.Submission.ID]
		return ok
	}
	if !w.RunUntil(time.Minute, inArchive) {
		t.Fatal("the cancelled job is not in the archive")
	}
	return w, cancelled
}

// checkDependenciesAlways fails the test as soon as a leader's dependency graph contains a job that has
// ended or lacks a waiting job.
func checkDependenciesAlways(t *testing.T, w *fake.World) {
	t.Helper()
	w.OnStep = func(c *fake.Controller, _ []message.Effect) {
		if err := c.Controller().CheckDependencies(); err != nil {
			t.Fatalf("%v: %s: %v", w.Now, c.Name, err)
		}
	}
}

// writeFaults has functions that apply a fault to one write of the leader n0 and may crash n0.
var writeFaults = map[string]func(w *fake.World, delivery *fake.Delivery){
	"lost, leader crashes": func(w *fake.World, delivery *fake.Delivery) {
		delivery.LoseRequest = true
		crashFor(w, w.Controllers[0], 3*time.Second)
	},
	"executed, leader crashes": func(w *fake.World, _ *fake.Delivery) {
		w.After(5*time.Millisecond, func() { crashFor(w, w.Controllers[0], 3*time.Second) })
	},
	"executed late, leader crashes": func(w *fake.World, delivery *fake.Delivery) {
		delivery.RequestDelay = 4 * time.Second
		crashFor(w, w.Controllers[0], 3*time.Second)
	},
	"response lost": func(_ *fake.World, delivery *fake.Delivery) { delivery.LoseResponse = true },
	"executed late": func(_ *fake.World, delivery *fake.Delivery) { delivery.RequestDelay = 4 * time.Second },
}

// A job depends on an archived cancelled job and on an unfinished one, and further jobs depend on
// these. The leader crashes at any of its writes, or the responses of the state service are late or
// lost. The users of the jobs that depend on the cancelled one are told within cancel_s that their
// jobs are cancelled, and no controller reports an older status afterwards. The unfinished job and a
// job that depends only on that one are done in the end.
//
// This guards against edges of a cancelled job that remain in the dependency graph
// (docs/incidents/2026-12-03-cancelled-job-in-dependency-graph.md), with which 39 of the 40 cases
// failed.
func TestMixedPrerequisitesDuringLeaderFaults(t *testing.T) {
	t.Parallel()
	const writes = 8 // in the scenario without faults
	for name, fault := range writeFaults {
		for number := 1; number <= writes; number++ {
			t.Run(fmt.Sprintf("write %d %s", number, name), func(t *testing.T) {
				t.Parallel()
				testMixedPrerequisites(t, number, fault)
			})
		}
	}
}

// testMixedPrerequisites applies a fault to one write, counted from the first submission on.
func testMixedPrerequisites(t *testing.T, number int, fault func(*fake.World, *fake.Delivery)) {
	t.Helper()
	w, cancelled := newWorldWithCancelledInArchive(t)
	checkDependenciesAlways(t, w)
	disturbed, writes := false, 0
	w.SeparatePageWrites = true
	w.Network = func(kind, from, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindPageWrite && from == "n0" {
			writes++
			if writes == number {
				disturbed = true
				fault(w, &delivery)
			}
		}
		return delivery
	}
	unfinished := submitAfter(t, w, job(2, protocol.Array, 1), 12*time.Second)
	dependent := submitAfter(t, w, job(3, protocol.Array, 1), time.Second, cancelled, unfinished)
	second := submitAfter(t, w, job(4, protocol.Gang, 2), time.Second, unfinished, dependent)
	after := submitAfter(t, w, job(5, protocol.Array, 1), time.Second, unfinished)
	queryRepeatedly(w, []*fake.Job{unfinished, dependent, second, after}, 60, 250*time.Millisecond)
	runAndPoll(w, 60*time.Second)
	if !disturbed {
		t.Fatalf("%d writes were sent, none of them with the fault", writes)
	}
	requireNoViolations(t, w)
	if unfinished.Status != protocol.StatusDone || after.Status != protocol.StatusDone {
		t.Errorf("the unfinished job has status %q, the job that needs only that one %q", unfinished.Status, after.Status)
	}
	limit := time.Duration(w.Cfg.Settings.Workers.CancelWithinS * float64(time.Second))
	for _, j := range []*fake.Job{dependent, second} {
		if !j.Cancelled || j.CancelledAt-j.AcceptedAt > limit {
			t.Errorf("%s has status %q, told %v after it was accepted", j.Submission.ID, j.Status, j.CancelledAt-j.AcceptedAt)
		}
	}
}

// A submission names a job that nobody submitted, beside an archived cancelled job and an unfinished
// one. The submission is rejected permanently, and no record of it is kept.
func TestUnknownPrerequisiteBesideCancelledAndUnfinishedOnes(t *testing.T) {
	w, cancelled := newWorldWithCancelledInArchive(t)
	checkDependenciesAlways(t, w)
	unfinished := submitAfter(t, w, job(2, protocol.Array, 1), 5*time.Second)
	waitAccepted(t, w, unfinished, 10*time.Second)
	s := job(3, protocol.Array, 1)
	s.Prerequisites = []string{cancelled.Submission.ID, unfinished.Submission.ID, "wk-777777"}
	refused := w.Submit(s, time.Second)
	w.Run(3 * time.Second)
	if refused.RejectedWith != 422 || refused.Accepted {
		t.Errorf("rejected with %d, accepted %t", refused.RejectedWith, refused.Accepted)
	}
	open, ended := recordedJobs(t, pagesOf(w))
	if _, isOpen := open[s.ID]; isOpen || ended[s.ID] != "" || w.StatusOf(s.ID) != "" {
		t.Errorf("recorded %t %q, status %q", isOpen, ended[s.ID], w.StatusOf(s.ID))
	}
	again := submitAfter(t, w, job(4, protocol.Array, 1), time.Second, unfinished)
	runAndPoll(w, 20*time.Second)
	if again.Status != protocol.StatusDone {
		t.Errorf("a later job that needs the unfinished one has status %q", again.Status)
	}
	requireNoViolations(t, w)
}
