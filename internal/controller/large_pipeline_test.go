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

// pipelineSize is the number of jobs in a large pipeline, without its root.
const pipelineSize = 260

// pipelineShapes has functions that return the prerequisites of a pipeline's n-th job, given all
// jobs before it.
var pipelineShapes = map[string]func(n int, all []*fake.Job) []*fake.Job{
	"chain": func(_ int, all []*fake.Job) []*fake.Job { return all[len(all)-1:] },
	"fan":   func(_ int, all []*fake.Job) []*fake.Job { return all[:1] },
	"diamonds": func(n int, all []*fake.Job) []*fake.Job {
		if n%3 == 0 { // the last job of a diamond, and the first of the next one
			return all[max(0, len(all)-2):]
		}
		return all[(n-1)/3*3 : (n-1)/3*3+1]
	},
}

// The root of a long, a wide or a diamond-shaped pipeline is cancelled under the lowest limits of
// the state service, and the leader crashes while the terminal records of the dependents are
// written. From the first moment on, all controllers report every job as cancelled. The terminal
// records are written within cancel_s, and other users' submissions are accepted without long delays.
func TestCancelRootOfLargePipeline(t *testing.T) {
	t.Parallel()
	for name, needs := range pipelineShapes {
		for _, crashAfter := range []time.Duration{-1, 0, 300 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%s, crash after %v", name, crashAfter), func(t *testing.T) {
				t.Parallel()
				testCancelRootOfLargePipeline(t, needs, crashAfter)
			})
		}
	}
}

// testCancelRootOfLargePipeline crashes the leader when crashAfter has passed since the cancellation
// was confirmed, or not at all if crashAfter is negative.
func testCancelRootOfLargePipeline(t *testing.T, needs func(int, []*fake.Job) []*fake.Job, crashAfter time.Duration) {
	t.Helper()
	w := newWorldWith(t, smallestStateLimits())
	provisionIdleMachines(t, w)
	root := submitAfter(t, w, job(1, protocol.Array, 1), time.Hour)
	waitRunning(t, w, root.Submission.ID, 1)
	all := []*fake.Job{root}
	for n := 1; n <= pipelineSize; n++ {
		all = append(all, submitAfter(t, w, job(1000+n, protocol.Array, 1), time.Second, needs(n, all)...))
	}
	waitAllAccepted(t, w, all)
	w.CancelJob(root)
	waitCancelled(t, w, root, 10*time.Second)
	if crashAfter >= 0 {
		w.Run(crashAfter)
		crashLeader(w, 2*time.Second)
	}
	last := all[len(all)-5:]
	queryRapidly(w, last, 300*time.Millisecond)
	w.Run(400 * time.Millisecond)
	if j := last[4]; crashAfter < 0 && j.Status != protocol.StatusCancelled {
		t.Errorf("%s has status %q after 0.7 s", j.Submission.ID, j.Status)
	}
	acceptedAfter := submitDuringCancellation(w, root, last)
	if acceptedAfter == 0 || crashAfter < 0 && acceptedAfter > 500*time.Millisecond || acceptedAfter > 8*time.Second {
		t.Errorf("another user's submission was accepted after %v", acceptedAfter)
	}
	if open, _ := recordedJobs(t, pagesOf(w)); len(open) > 1 {
		t.Errorf("the terminal records of %d jobs are missing", len(open))
	}
	runAndPoll(w, 15*time.Second)
	for _, j := range all {
		if j.Status != protocol.StatusCancelled {
			t.Fatalf("%s has status %q", j.Submission.ID, j.Status)
		}
	}
	requireNoViolations(t, w)
}

// submitDuringCancellation submits another job and queries jobs of the pipeline until cancel_s has
// passed since the cancellation. It returns the time after which the other job was accepted, or 0
// if it wasn't.
func submitDuringCancellation(w *fake.World, root *fake.Job, queried []*fake.Job) (acceptedAfter time.Duration) {
	other := w.Submit(job(5, protocol.Array, 1), time.Second)
	from := w.Now
	for w.Now < root.CancelledAt+config.Seconds(w.Cfg.Settings.Workers.CancelWithinS) {
		w.Run(500 * time.Millisecond)
		for _, j := range queried {
			w.PollAndResubmitEverywhere(j)
		}
		if other.Accepted && acceptedAfter == 0 {
			acceptedAfter = w.Now - from
		}
	}
	return acceptedAfter
}

// A leader whose clock is ahead accepts a job, and the next leader, whose clock is behind, accepts a
// job that needs it: by their submission times, the dependent comes before its prerequisite. A job
// that both depend on is cancelled, and the leader crashes before their terminal records are
// written. The next leader must cancel both, in whatever order it finds them.
func TestClockSkewReordersPipeline(t *testing.T) {
	for step := range 12 {
		w, jobs := newSkewedPipeline(t)
		first := jobs[0]
		w.Network = loseWritesAfter(w, 1+step/4) // lets the cancellation and a few terminal records pass
		w.CancelEverywhere(first)
		waitCancelled(t, w, first, 5*time.Second)
		w.Run(time.Duration(step%4) * 50 * time.Millisecond)
		crashLeader(w, 5*time.Second)
		w.Network = nil
		queryRepeatedly(w, jobs, 20, 200*time.Millisecond)
		runAndPoll(w, 40*time.Second)
		requireNoViolations(t, w)
		requirePipelineOutcome(t, w, jobs)
		if first.Status != protocol.StatusCancelled {
			t.Fatalf("the first job has status %q", first.Status)
		}
	}
}

// newSkewedPipeline makes a world with a pipeline of four jobs. The leader that accepts the first two
// has a clock that is ahead, and the leader that accepts the other two has one that is behind.
func newSkewedPipeline(t *testing.T) (*fake.World, []*fake.Job) {
	t.Helper()
	s := fake.Settings()
	s.State.TxnOps = 1 // so that each terminal record is written by a transaction of its own
	w := newWorldWith(t, s)
	provisionIdleMachines(t, w)
	w.Controllers[0].ClockOffset = 5 * time.Second
	w.Controllers[1].ClockOffset, w.Controllers[2].ClockOffset = -5*time.Second, -5*time.Second
	ownPage := func(id int) protocol.Submission {
		s := job(id, protocol.Array, 1)
		s.Class = fmt.Sprintf("%01400d", id) // so long that its record fills a page
		return s
	}
	first := submitAfter(t, w, ownPage(1), time.Hour)
	waitRunning(t, w, first.Submission.ID, 1)
	second := submitAfter(t, w, ownPage(2), time.Second, first)
	waitAccepted(t, w, second, 10*time.Second)
	crashFor(w, w.Controllers[0], 10*time.Second)
	third := submitAfter(t, w, ownPage(3), time.Second, second)
	fourth := submitAfter(t, w, ownPage(4), time.Second, third)
	waitAccepted(t, w, fourth, 20*time.Second)
	w.Run(12 * time.Second)
	return w, []*fake.Job{first, second, third, fourth}
}

// Jobs with the same prerequisite are submitted in the same millisecond at all controllers, some of
// them twice. The prerequisite is done, and after a restart of all processes only its terminal record
// is left. Each job must be accepted as new exactly once, and must run.
func TestPrerequisiteEndedBeforeAllRestarts(t *testing.T) {
	w := newWorld(t)
	done := w.Submit(job(1, protocol.Gang, 2), time.Second)
	runAndPoll(w, 30*time.Second)
	if done.Status != protocol.StatusDone {
		t.Fatalf("the first job has status %q", done.Status)
	}
	crashAll(w)
	w.Run(20 * time.Second)
	startAll(w)
	waitLeader(t, w, 10*time.Second)
	w.Run(time.Second)
	statuses := map[int]int{}
	for i, n := range w.Controllers {
		for _, id := range []int{10, 10 + i} { // job 10 is submitted at each controller
			s := job(id, protocol.Array, 1)
			s.Prerequisites = []string{done.Submission.ID}
			n.Request(message.UserRequest{Kind: message.Submit, Job: s.ID, Submission: &s}, func(r message.Reply) { statuses[r.Status]++ })
		}
	}
	var jobs []*fake.Job
	for i := range w.Controllers {
		s := job(10+i, protocol.Array, 1)
		s.Prerequisites = []string{done.Submission.ID}
		jobs = append(jobs, w.Submit(s, time.Second))
	}
	runAndPoll(w, 30*time.Second)
	if statuses[201] != len(jobs) || statuses[422] > 0 || statuses[400] > 0 {
		t.Errorf("response statuses %v for %d jobs", statuses, len(jobs))
	}
	for _, j := range jobs {
		if j.Status != protocol.StatusDone {
			t.Errorf("%s has status %q", j.Submission.ID, j.Status)
		}
	}
	requireNoViolations(t, w)
}
