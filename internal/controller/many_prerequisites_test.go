package controller_test

import (
	"fmt"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// A job names far more others than one page holds. The leader crashes between any two writes
// of its acceptance, while its user repeats the submission, and also while a job that it
// needs is cancelled: the job is found with all its prerequisites or not at all. It begins
// once the last of them is done, or is cancelled with one, and leaves no record behind.
func TestMorePrerequisitesThanOnePageHolds(t *testing.T) {
	t.Parallel()
	for writes := range 5 {
		for _, cancelled := range []string{"never", "at once", "later"} {
			t.Run(fmt.Sprintf("crash after %d writes, cancelled %s", writes, cancelled), func(t *testing.T) {
				t.Parallel()
				testManyPrerequisites(t, writes, cancelled)
			})
		}
	}
}

// newWorldWithManyPrerequisites makes a world in which many jobs are done and one still runs, and a
// submission that names them all.
func newWorldWithManyPrerequisites(t *testing.T) (*fake.World, protocol.Submission, *fake.Job) {
	t.Helper()
	const named = 400
	s := fake.Settings()
	s.State = config.State{RPS: 200, WriteRPS: 60, ValueKB: 1, TxnOps: 4}
	w := newWorldWith(t, s)
	provisionIdleMachines(t, w)
	held := submitAfter(t, w, job(1, protocol.Array, 1), 45*time.Second)
	waitRunning(t, w, held.Submission.ID, 1)
	needs := []*fake.Job{held}
	for n := range named {
		small := job(1000+n, protocol.Array, 1)
		small.CPUs, small.MemoryGB = 0.01, 0.01
		needs = append(needs, w.Submit(small, 100*time.Millisecond))
		if n%40 == 0 {
			w.Run(time.Second)
		}
	}
	waitAllAccepted(t, w, needs)
	w.Run(10 * time.Second)
	last := job(2, protocol.Array, 1)
	for _, p := range needs {
		last.Prerequisites = append(last.Prerequisites, p.Submission.ID)
	}
	return w, last, held
}

// The leader crashes while it records the prerequisites, and the user doesn't come back: the
// job was never accepted, and nothing is left of it.
func TestAbandonedSubmissionLeavesNoPrerequisites(t *testing.T) {
	w, last, _ := newWorldWithManyPrerequisites(t)
	parts := func() (n int) {
		for _, value := range pagesOf(w) {
			n += recordKinds(t, value)["prerequisites"]
		}
		return n
	}
	w.Network = loseWritesAfter(w, 1)
	w.Controllers[0].Request(message.UserRequest{Kind: message.Submit, Job: last.ID, Submission: &last}, func(message.Reply) {})
	w.Run(500 * time.Millisecond)
	if parts() == 0 {
		t.Fatal("no part was recorded: this shows nothing")
	}
	w.Controllers[0].Crash()
	w.After(2*time.Second, w.Controllers[0].Start)
	w.Network = nil
	w.Run(10 * time.Second)
	if n := parts(); n > 0 {
		t.Errorf("%d parts are left", n)
	}
	if status := w.StatusOf(last.ID); status != "" {
		t.Errorf("the job has status %q", status)
	}
	requireNoViolations(t, w)
}

// testManyPrerequisites loses two writes after so many of the acceptance, crashes the leader
// and cancels a prerequisite, unless that is "never".
func testManyPrerequisites(t *testing.T, writes int, cancelled string) {
	t.Helper()
	w, last, held := newWorldWithManyPrerequisites(t)
	sent := 0
	w.SeparateWrites = true
	w.Network = func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindWrite {
			sent++
			delivery.LoseRequest = sent == writes+1 || sent == writes+2 // what comes after them arrives
		}
		return delivery
	}
	j := w.Submit(last, time.Second)
	w.Run(200 * time.Millisecond)
	if cancelled == "at once" {
		w.CancelEverywhere(held)
	}
	queryRapidly(w, []*fake.Job{j}, 500*time.Millisecond)
	w.Run(300 * time.Millisecond)
	w.Leader().Crash()
	w.After(2*time.Second, w.Controllers[0].Start)
	w.Network = nil
	waitAccepted(t, w, j, 40*time.Second)
	w.QueryEverywhere(j)
	if cancelled == "later" {
		w.CancelEverywhere(held)
	}
	runAndPoll(w, 90*time.Second)
	requireNoViolations(t, w)
	requirePipelineOutcome(t, w, []*fake.Job{held, j})
	if j.RejectedWith != 0 || cancelled != "never" && held.Status != protocol.StatusCancelled {
		t.Errorf("refused with %d; the job that it needs has status %q", j.RejectedWith, held.Status)
	}
	for key, value := range pagesOf(w) {
		if n := recordKinds(t, value)["prerequisites"]; n > 0 {
			t.Errorf("%s still has %d parts of prerequisites", key, n)
		}
	}
}
