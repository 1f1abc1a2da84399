package controller_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
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

// Pipelines of great depth, of great width, and of diamonds, at the smallest budgets. The
// root is cancelled, and the leader ends while the ends of what needs it are written: all
// nodes call every job cancelled from the first moment on, the ends are written within
// cancel_s, and others' submissions are still accepted in good time.
func TestCancelRootOfLargePipeline(t *testing.T) {
	const size = 260
	shapes := map[string]func(w *fake.World, root *fake.Job, n int, all []*fake.Job) []*fake.Job{
		"chain": func(_ *fake.World, _ *fake.Job, _ int, all []*fake.Job) []*fake.Job { return all[len(all)-1:] },
		"fan":   func(_ *fake.World, root *fake.Job, _ int, _ []*fake.Job) []*fake.Job { return []*fake.Job{root} },
		"diamonds": func(_ *fake.World, _ *fake.Job, n int, all []*fake.Job) []*fake.Job {
			if n%3 == 0 { // the foot of one, and the top of the next
				return all[max(0, len(all)-2):]
			}
			return all[(n-1)/3*3 : (n-1)/3*3+1]
		},
	}
	for name, needs := range shapes {
		for _, crash := range []time.Duration{-1, 0, 300 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprint(name, " ", crash), func(t *testing.T) {
				t.Parallel()
				w := newWorldWith(t, smallestStateLimits())
				provisionIdleMachines(t, w)
				root := submitAfter(t, w, job(1, protocol.Array, 1), time.Hour)
				waitRunning(t, w, root.Submission.ID, 1)
				all := []*fake.Job{root}
				for n := 1; n <= size; n++ {
					all = append(all, submitAfter(t, w, job(1000+n, protocol.Array, 1), time.Second, needs(w, root, n, all)...))
				}
				waitAllAccepted(t, w, all)
				w.CancelJob(root)
				if !w.RunUntil(10*time.Second, func() bool { return root.Cancelled }) {
					t.Fatal("not told that it is cancelled")
				}
				if crash >= 0 {
					w.Run(crash)
					if l := w.Leader(); l != nil {
						l.Crash()
						w.After(2*time.Second, l.Start)
					}
				}
				queryRapidly(w, all[len(all)-5:], 300*time.Millisecond)
				w.Run(400 * time.Millisecond)
				if last := all[len(all)-1]; crash < 0 && last.Status != protocol.StatusCancelled {
					t.Errorf("%s is called %q after 0.7 s", last.Submission.ID, last.Status)
				}
				other := w.Submit(job(5, protocol.Array, 1), time.Second)
				from, acceptedAfter := w.Now, time.Duration(0)
				for w.Now < root.CancelledAt+config.Seconds(w.Cfg.Settings.Workers.CancelWithinS) {
					w.Run(500 * time.Millisecond)
					for _, j := range all[len(all)-5:] {
						w.QueryEverywhere(j)
					}
					if other.Accepted && acceptedAfter == 0 {
						acceptedAfter = w.Now - from
					}
				}
				if acceptedAfter == 0 || crash < 0 && acceptedAfter > 500*time.Millisecond || acceptedAfter > 8*time.Second {
					t.Errorf("another's submission was accepted after %v", acceptedAfter)
				}
				if open, _ := recordedJobs(t, pagesOf(w)); len(open) > 1 {
					t.Errorf("the ends of %d jobs aren't written", len(open))
				}
				runAndPoll(w, 15*time.Second)
				for _, j := range all {
					if j.Status != protocol.StatusCancelled {
						t.Fatalf("%s is called %q", j.Submission.ID, j.Status)
					}
				}
				requireNoViolations(t, w)
			})
		}
	}
}

// A leader whose clock is ahead accepts a job, the next one, whose clock is behind, accepts
// another that needs it: by the times of their submissions the second comes before the
// first. A job before both is cancelled, and the leader ends before the others' ends are
// written. The next leader cancels them all the same, in whatever order it finds them.
func TestClockSkewReordersPipeline(t *testing.T) {
	for step := range 12 {
		s := fake.Settings()
		s.State.TxnOps = 1 // the end of each job has a transaction of its own
		w := newWorldWith(t, s)
		provisionIdleMachines(t, w)
		w.Controllers[0].ClockOffset = 5 * time.Second
		w.Controllers[1].ClockOffset, w.Controllers[2].ClockOffset = -5*time.Second, -5*time.Second
		long := func(n int) protocol.Submission { // each on a page of its own
			s := job(n, protocol.Array, 1)
			s.Class = fmt.Sprintf("%01400d", n)
			return s
		}
		first := submitAfter(t, w, long(1), time.Hour)
		waitRunning(t, w, first.Submission.ID, 1)
		second := submitAfter(t, w, long(2), time.Second, first)
		if !w.RunUntil(10*time.Second, func() bool { return second.Accepted }) {
			t.Fatal("not accepted")
		}
		w.Controllers[0].Crash()
		w.After(10*time.Second, w.Controllers[0].Start)
		third := submitAfter(t, w, long(3), time.Second, second)
		fourth := submitAfter(t, w, long(4), time.Second, third)
		if !w.RunUntil(20*time.Second, func() bool { return fourth.Accepted }) {
			t.Fatal("not accepted")
		}
		w.Run(12 * time.Second)
		w.SeparateWrites = true
		writes := 0
		w.Network = func(kind, _, _ string) fake.Delivery { // the cancellation is written, and few of the ends
			f := fake.Reliable()
			if kind == fake.KindWrite {
				writes++
				f.LoseRequest = writes > 1+step/4
			}
			return f
		}
		w.CancelEverywhere(first)
		if !w.RunUntil(5*time.Second, func() bool { return first.Cancelled }) {
			t.Fatal("not told that it is cancelled")
		}
		w.Run(time.Duration(step%4) * 50 * time.Millisecond)
		if l := w.Leader(); l != nil {
			l.Crash()
			w.After(5*time.Second, l.Start)
		}
		w.Network = nil
		jobs := []*fake.Job{first, second, third, fourth}
		queryRepeatedly(w, jobs, 20, 200*time.Millisecond)
		runAndPoll(w, 40*time.Second)
		requireNoViolations(t, w)
		requirePipelineOutcome(t, w, jobs)
		if first.Status != protocol.StatusCancelled {
			t.Fatalf("the first is called %q", first.Status)
		}
	}
}

// Jobs that need the same one are submitted in the same millisecond at all nodes, some of
// them twice; it is done, and known from the final records only, after every process
// has been replaced.
func TestPrerequisiteEndedBeforeAllRestarts(t *testing.T) {
	w := newWorld(t)
	done := w.Submit(job(1, protocol.Gang, 2), time.Second)
	runAndPoll(w, 30*time.Second)
	if done.Status != protocol.StatusDone {
		t.Fatalf("the first is called %q", done.Status)
	}
	for _, n := range w.Controllers {
		n.Crash()
	}
	w.Run(20 * time.Second)
	for _, n := range w.Controllers {
		n.Start()
	}
	if !w.RunUntil(10*time.Second, func() bool { return w.Leader() != nil }) {
		t.Fatal("nobody leads")
	}
	w.Run(time.Second)
	statuses := map[int]int{}
	for i, n := range w.Controllers {
		for _, id := range []int{10, 10 + i} { // the first is submitted at each
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
		t.Errorf("answers %v to %d jobs", statuses, len(jobs))
	}
	for _, j := range jobs {
		if j.Status != protocol.StatusDone {
			t.Errorf("%s is called %q", j.Submission.ID, j.Status)
		}
	}
	requireNoViolations(t, w)
}

// The middle or the last job of a pipeline is cancelled just as the first one ends: the
// first stays done, what comes after the cancelled one goes with it, and nothing else.
func TestCancelDependentAsPrerequisiteEnds(t *testing.T) {
	for step := range 30 {
		w := newWorld(t)
		provisionIdleMachines(t, w)
		jobs := submitPipeline(t, w, 1)
		which := 1 + step%3
		if !w.RunUntil(60*time.Second, func() bool { return len(jobs[0].DoneTasks) == jobs[0].Submission.Tasks }) {
			t.Fatal("the first job does not end")
		}
		w.Run(time.Duration(step/3) * 60 * time.Millisecond)
		w.CancelEverywhere(jobs[which])
		if step%2 == 0 {
			w.After(200*time.Millisecond, func() {
				if l := w.Leader(); l != nil {
					l.Crash()
					w.After(3*time.Second, l.Start)
				}
			})
		}
		queryRepeatedly(w, jobs, 30, 150*time.Millisecond)
		runAndPoll(w, 60*time.Second)
		requireNoViolations(t, w)
		requirePipelineOutcome(t, w, jobs)
		if jobs[0].Status != protocol.StatusDone || jobs[which].Status != protocol.StatusCancelled {
			t.Fatalf("the first is called %q, the cancelled one %q", jobs[0].Status, jobs[which].Status)
		}
	}
}

// The write that accepts a job has no answer yet. A job that it needs is cancelled
// meanwhile, and its user submits it again: it is cancelled with the other, once it is
// accepted, and recorded once.
func TestResubmissionWhilePrerequisiteIsCancelled(t *testing.T) {
	for step := range 12 {
		s := fake.Settings()
		s.State.TxnOps = 1
		w := newWorldWith(t, s)
		provisionIdleMachines(t, w)
		first := job(1, protocol.Array, 1)
		first.Class = strings.Repeat("c", 1400) // what needs it is on another page
		needed := submitAfter(t, w, first, time.Hour)
		waitRunning(t, w, needed.Submission.ID, 1)
		w.Run(3 * time.Second)
		w.SeparateWrites = true
		held := false
		w.Network = func(kind, _, _ string) fake.Delivery {
			f := fake.Reliable()
			if kind == fake.KindWrite && !held {
				held = true // the first is the acceptance
				f.RequestDelay = 3 * time.Second
			}
			return f
		}
		j := submitAfter(t, w, job(2, protocol.Array, 1), time.Second, needed)
		w.RunUntil(time.Second, func() bool { return held })
		w.CancelEverywhere(needed)
		for range 20 + step {
			w.Run(70 * time.Millisecond)
			w.QueryEverywhere(j)
		}
		runAndPoll(w, 20*time.Second)
		if j.Status != protocol.StatusCancelled || !j.Accepted {
			t.Fatalf("accepted %t, called %q", j.Accepted, j.Status)
		}
		for key, value := range pagesOf(w) {
			var page storage.PageValue
			if err := protocol.Decode(value, &page); err != nil {
				t.Fatal(err)
			}
			for _, r := range page.Jobs {
				t.Errorf("%s still has the record of %s", key, r.ID)
			}
		}
		requireNoViolations(t, w)
	}
}

// A job names far more others than one page holds. The leader ends between any two writes
// of its acceptance, while its user repeats the submission, and also while a job that it
// needs is cancelled: the job is found with all its prerequisites or not at all. It begins
// once the last of them is done, or is cancelled with one, and leaves no record behind.
func TestMorePrerequisitesThanOnePageHolds(t *testing.T) {
	for writes := range 5 {
		for _, cancelled := range []string{"", "at once", "later"} {
			t.Run(fmt.Sprint(writes, " ", cancelled), func(t *testing.T) {
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

// The leader ends while it records the prerequisites, and the user doesn't come back: the
// job was never accepted, and nothing is left of it.
func TestAbandonedSubmissionLeavesNoPrerequisites(t *testing.T) {
	w, last, _ := newWorldWithManyPrerequisites(t)
	parts := func() (n int) {
		for _, value := range pagesOf(w) {
			n += recordKinds(t, value)["prerequisites"]
		}
		return n
	}
	writes := 0
	w.SeparateWrites = true
	w.Network = func(kind, _, _ string) fake.Delivery {
		f := fake.Reliable()
		if kind == fake.KindWrite {
			writes++
			f.LoseRequest = writes > 1
		}
		return f
	}
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
		t.Errorf("the job is called %q", status)
	}
	requireNoViolations(t, w)
}

func testManyPrerequisites(t *testing.T, writes int, cancelled string) {
	w, last, held := newWorldWithManyPrerequisites(t)
	sent := 0
	w.SeparateWrites = true
	w.Network = func(kind, _, _ string) fake.Delivery {
		f := fake.Reliable()
		if kind == fake.KindWrite {
			sent++
			f.LoseRequest = sent == writes+1 || sent == writes+2 // what comes after them arrives
		}
		return f
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
	if !w.RunUntil(40*time.Second, func() bool { return j.Accepted }) {
		t.Fatal("not accepted")
	}
	w.QueryEverywhere(j)
	if cancelled == "later" {
		w.CancelEverywhere(held)
	}
	runAndPoll(w, 90*time.Second)
	requireNoViolations(t, w)
	requirePipelineOutcome(t, w, []*fake.Job{held, j})
	if j.RejectedWith != 0 || cancelled != "" && held.Status != protocol.StatusCancelled {
		t.Errorf("refused with %d; the job that it needs is called %q", j.RejectedWith, held.Status)
	}
	for key, value := range pagesOf(w) {
		if n := recordKinds(t, value)["prerequisites"]; n > 0 {
			t.Errorf("%s still has %d parts of prerequisites", key, n)
		}
	}
}
