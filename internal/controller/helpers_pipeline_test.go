package controller_test

import (
	"slices"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// smallestStateLimits are the limits of a state service that has lowered them.
func smallestStateLimits() config.Settings {
	s := fake.Settings()
	s.State = config.State{RPS: 120, WriteRPS: 18, ValueKB: 2, TxnOps: 4}
	return s
}

// waitAllAccepted lets users submit until every job is accepted.
func waitAllAccepted(t *testing.T, w *fake.World, jobs []*fake.Job) {
	t.Helper()
	waits := func(j *fake.Job) bool { return !j.Accepted }
	if !w.RunUntil(5*time.Minute, func() bool { return !slices.ContainsFunc(jobs, waits) }) {
		t.Fatal("not every job of the pipeline was accepted")
	}
}

// submitAfter submits a job that needs others, as users do: once these are accepted.
func submitAfter(t *testing.T, w *fake.World, s protocol.Submission, run time.Duration, needs ...*fake.Job) *fake.Job {
	t.Helper()
	for _, p := range needs {
		if !w.RunUntil(30*time.Second, func() bool { return p.Accepted }) {
			t.Fatalf("%s was not accepted", p.Submission.ID)
		}
		s.Prerequisites = append(s.Prerequisites, p.Submission.ID)
	}
	return w.Submit(s, run)
}

// submitPipeline submits four jobs, each after the one before: arrays, a gang, and an urgent
// end with a deadline.
func submitPipeline(t *testing.T, w *fake.World, first int) []*fake.Job {
	t.Helper()
	scrub, split, grade, push := job(first, protocol.Array, 2), job(first+1, protocol.Array, 4), job(first+2, protocol.Gang, 2), job(first+3, protocol.Array, 1)
	scrub.Priority, split.Priority, push.Priority, push.DeadlineS = protocol.Low, protocol.Low, protocol.High, 90
	a := submitAfter(t, w, scrub, 2*time.Second)
	b := submitAfter(t, w, split, 3*time.Second, a)
	c := submitAfter(t, w, grade, 2*time.Second, b)
	d := submitAfter(t, w, push, time.Second, c)
	return []*fake.Job{a, b, c, d}
}

// requirePipelineOutcome fails unless every job of a pipeline is done, or cancelled from one on.
func requirePipelineOutcome(t *testing.T, w *fake.World, jobs []*fake.Job) {
	t.Helper()
	cancelled := false
	for _, j := range jobs {
		cancelled = cancelled || j.Status == protocol.StatusCancelled
		want := protocol.StatusDone
		if cancelled {
			want = protocol.StatusCancelled
		}
		if j.Status != want {
			t.Fatalf("%s has status %q, not %q\n%s", j.Submission.ID, j.Status, want, logTail(w, 60))
		}
	}
}
