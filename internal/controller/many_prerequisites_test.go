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

// A job names far more prerequisites than one page holds. The leader crashes between any two writes
// of the acceptance while the user repeats the submission, in some cases also while a prerequisite
// is cancelled. A new leader must find the job with all its prerequisites or not at all. The job
// starts once its last prerequisite is done, or is cancelled with one of them, and leaves no records
// of prerequisites.
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

// newWorldWithManyPrerequisites makes a world with the given number of done jobs, one running job, and
// values of up to valueKB. It also returns a submission that names all of these jobs as prerequisites,
// and the running job.
func newWorldWithManyPrerequisites(t *testing.T, named int, valueKB float64) (*fake.World, protocol.Submission, *fake.Job) {
	t.Helper()
	s := fake.Settings()
	s.State = config.State{RPS: 200, WriteRPS: 60, ValueKB: valueKB, TxnOps: 4}
	w := newWorldWith(t, s)
	provisionIdleMachines(t, w)
	running := submitAfter(t, w, job(1, protocol.Array, 1), 45*time.Second)
	waitRunning(t, w, running.Submission.ID, 1)
	needs := []*fake.Job{running}
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
	dependent := job(2, protocol.Array, 1)
	for _, p := range needs {
		dependent.Prerequisites = append(dependent.Prerequisites, p.Submission.ID)
	}
	return w, dependent, running
}

// The leader crashes while it records the prerequisites of a job, and the user doesn't repeat the
// submission. The job was never accepted, so a new leader must delete the recorded parts.
func TestAbandonedSubmissionLeavesNoPrerequisites(t *testing.T) {
	w, dependent, _ := newWorldWithManyPrerequisites(t, 400, 1)
	parts := func() (n int) {
		for _, value := range pagesOf(w) {
			n += recordKinds(t, value)["prerequisites"]
		}
		return n
	}
	w.Network = loseWritesAfter(w, 1)
	w.Controllers[0].Request(message.UserRequest{Kind: message.Submit, Job: dependent.ID, Submission: &dependent}, func(message.Reply) {})
	w.Run(500 * time.Millisecond)
	if parts() == 0 {
		t.Fatal("no part was recorded: the test shows nothing")
	}
	w.Controllers[0].Crash()
	w.After(2*time.Second, w.Controllers[0].Start)
	w.Network = nil
	w.Run(10 * time.Second)
	if n := parts(); n > 0 {
		t.Errorf("%d parts are left", n)
	}
	if status := w.StatusOf(dependent.ID); status != "" {
		t.Errorf("the job has status %q", status)
	}
	requireNoViolations(t, w)
}

// testManyPrerequisites loses two writes of the acceptance after the given number of writes and
// crashes the leader. The parameter cancelled says when a prerequisite is cancelled: "at once" (during
// the acceptance), "later" (after it) or "never".
func testManyPrerequisites(t *testing.T, writes int, cancelled string) {
	t.Helper()
	w, dependent, running := newWorldWithManyPrerequisites(t, 400, 1)
	sent := 0
	w.SeparatePageWrites = true
	w.Network = func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindPageWrite {
			sent++
			delivery.LoseRequest = sent == writes+1 || sent == writes+2 // later writes are executed
		}
		return delivery
	}
	j := w.Submit(dependent, time.Second)
	w.Run(200 * time.Millisecond)
	if cancelled == "at once" {
		w.CancelEverywhere(running)
	}
	queryRapidly(w, []*fake.Job{j}, 500*time.Millisecond)
	w.Run(300 * time.Millisecond)
	w.Leader().Crash()
	w.After(2*time.Second, w.Controllers[0].Start)
	w.Network = nil
	waitAccepted(t, w, j, 40*time.Second)
	w.PollAndResubmitEverywhere(j)
	if cancelled == "later" {
		w.CancelEverywhere(running)
	}
	runAndPoll(w, 90*time.Second)
	requireNoViolations(t, w)
	requirePipelineOutcome(t, w, []*fake.Job{running, j})
	if j.RejectedWith != 0 || cancelled != "never" && running.Status != protocol.StatusCancelled {
		t.Errorf("rejected with %d; the running prerequisite has status %q", j.RejectedWith, running.Status)
	}
	for key, value := range pagesOf(w) {
		if n := recordKinds(t, value)["prerequisites"]; n > 0 {
			t.Errorf("%s still has %d parts of prerequisites", key, n)
		}
	}
}
