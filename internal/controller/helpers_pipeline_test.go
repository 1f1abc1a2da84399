package controller_test

import (
	"slices"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// smallestStateLimits returns settings with lowered limits of the state service.
func smallestStateLimits() config.Settings {
	s := fake.Settings()
	s.State = config.State{RPS: 120, WriteRPS: 18, ValueKB: 2, TxnOps: 4}
	return s
}

// waitAllAccepted waits until every job is accepted.
func waitAllAccepted(t *testing.T, w *fake.World, jobs []*fake.Job) {
	t.Helper()
	waits := func(j *fake.Job) bool { return !j.Accepted }
	if !w.RunUntil(5*time.Minute, func() bool { return !slices.ContainsFunc(jobs, waits) }) {
		t.Fatal("not every job of the pipeline was accepted")
	}
}

// submitAfter submits a job with prerequisites, as users do: only once these are accepted.
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

// submitPipeline submits a pipeline of four jobs, numbered from first on, each of which depends on the
// one before: two arrays, a gang, and an array with high priority and a deadline.
func submitPipeline(t *testing.T, w *fake.World, first int) []*fake.Job {
	t.Helper()
	clean, split, evaluate, publish := job(first, protocol.Array, 2), job(first+1, protocol.Array, 4), job(first+2, protocol.Gang, 2), job(first+3, protocol.Array, 1)
	clean.Priority, split.Priority, publish.Priority, publish.DeadlineS = protocol.Low, protocol.Low, protocol.High, 90
	a := submitAfter(t, w, clean, 2*time.Second)
	b := submitAfter(t, w, split, 3*time.Second, a)
	c := submitAfter(t, w, evaluate, 2*time.Second, b)
	d := submitAfter(t, w, publish, time.Second, c)
	return []*fake.Job{a, b, c, d}
}

// requirePipelineOutcome fails unless the jobs before the first cancelled one are done and all later
// jobs are cancelled. If no job is cancelled, all must be done.
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
