package controller_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// leaderFaults has functions that apply a fault to the leader n0, to all controllers or to the state
// service. Each fault begins when its function is called.
var leaderFaults = map[string]func(w *fake.World){
	"leader crashes": func(w *fake.World) { crashFor(w, w.Controllers[0], 4*time.Second) },
	"leader paused":  func(w *fake.World) { w.Controllers[0].PausedUntil = w.Now + 6*time.Second },
	"leader refused": func(w *fake.World) {
		w.State.Unreachable["n0"] = true
		w.After(12*time.Second, func() { delete(w.State.Unreachable, "n0") })
	},
	"outage": func(w *fake.World) {
		w.State.SetOutage(true)
		w.After(5*time.Second, func() { w.State.SetOutage(false) })
	},
	"leader refused, then an outage": func(w *fake.World) {
		w.State.Unreachable["n0"] = true
		w.After(1500*time.Millisecond, func() { w.State.SetOutage(true) })
		w.After(45*time.Second, func() {
			w.State.SetOutage(false)
			delete(w.State.Unreachable, "n0")
		})
	},
	"responses lost": func(w *fake.World) {
		from, calls := w.Now, 0
		w.Network = func(kind, _, _ string) fake.Delivery {
			delivery := fake.Reliable()
			calls++
			delivery.LoseResponse = kind == fake.KindState && w.Now < from+4*time.Second && calls%2 == 0
			return delivery
		}
	},
	"slow controllers": func(w *fake.World) { // each is paused for 500 ms of every 700 ms
		for i := range 12 {
			w.After(time.Duration(i)*700*time.Millisecond, func() {
				for _, c := range w.Controllers {
					c.PausedUntil = w.Now + 500*time.Millisecond
				}
			})
		}
	},
}

// A job is cancelled at about the time at which the leader changes, is paused, or loses the state
// service or its responses. Once any controller reports the job as cancelled, no controller may
// report a dependent of the job as queued or running, and a dependent that was reported as
// cancelled must stay cancelled.
func TestPrerequisiteCancelledDuringLeaderChange(t *testing.T) {
	t.Parallel()
	for name, fault := range leaderFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const steps = 10
			completed := 0
			for step := range steps {
				testPrerequisiteCancelledDuringLeaderChange(t, step, fault)
				completed++
			}
			if completed != steps {
				t.Errorf("%d of %d scenarios completed", completed, steps)
			}
		})
	}
}

// testPrerequisiteCancelledDuringLeaderChange cancels the prerequisite at a time that grows with
// the step.
func testPrerequisiteCancelledDuringLeaderChange(t *testing.T, step int, fault func(*fake.World)) {
	t.Helper()
	w := newWorld(t)
	provisionIdleMachines(t, w)
	jobs := submitPipeline(t, w, 1)
	long := submitAfter(t, w, job(20, protocol.Array, 2), time.Hour)
	after := submitAfter(t, w, job(21, protocol.Gang, 2), time.Second, long)
	last := submitAfter(t, w, job(22, protocol.Array, 2), time.Second, after, jobs[3])
	w.Run(3 * time.Second)
	all := append(slices.Clone(jobs), long, after, last)
	queryRapidly(w, all, 3*time.Second)
	w.After(500*time.Millisecond, func() { fault(w) })
	w.After(time.Duration(step)*150*time.Millisecond, func() { w.CancelEverywhere(long) })
	if step%2 == 0 {
		w.After(time.Duration(step)*200*time.Millisecond, func() { w.CancelJob(jobs[1]) })
	}
	queryRepeatedly(w, all, 70, time.Second)
	runAndPoll(w, 60*time.Second)
	requireNoViolations(t, w)
	requirePipelineOutcome(t, w, jobs)
	requirePipelineOutcome(t, w, []*fake.Job{long, after, last})
	if long.Status != protocol.StatusCancelled {
		t.Fatalf("the long job has status %q", long.Status)
	}
}

// The write that records the end of a job is delayed, the leader crashes before the write is
// executed, and the job is cancelled through the next leader. The dependent of the job must not have
// started by the time of the cancellation.
//
// In other cases, the job is cancelled while the write is delayed, so the cancellation is delayed,
// too, and a dependent is submitted. If the job nevertheless ends as done, the dependent must not
// have been reported as cancelled.
func TestDelayedWriteOfPrerequisiteEnd(t *testing.T) {
	outcomes := map[string]int{}
	for step := range 36 {
		outcomes[testDelayedWriteOfPrerequisiteEnd(t, step)]++
	}
	t.Log(outcomes)
	if len(outcomes) != 2 {
		t.Errorf("outcomes %v, want two different ones", outcomes)
	}
}

// testDelayedWriteOfPrerequisiteEnd returns the final status of the job whose end is recorded late.
// Depending on the step, the job is cancelled before the crash, after the crash, or not at all.
func testDelayedWriteOfPrerequisiteEnd(t *testing.T, step int) string {
	t.Helper()
	cancelBefore, cancelAfter := step%3 == 0, step%3 == 1
	s := fake.Settings()
	s.State.TxnOps = 1 // each page is written by a transaction of its own
	w := newWorldWith(t, s)
	provisionIdleMachines(t, w)
	long := job(1, protocol.Array, 1)
	long.Class = strings.Repeat("c", 1400) // fills a page, so that the dependent is on another one
	first := submitAfter(t, w, long, 2*time.Second)
	jobs := []*fake.Job{first, submitAfter(t, w, job(2, protocol.Array, 1), time.Second, first)}
	waitRunning(t, w, first.Submission.ID, 1)
	machine := w.MachinesOf(first.Submission.ID)[0]
	if !w.RunUntil(20*time.Second, func() bool { return len(first.DoneTasks) == 1 }) {
		t.Fatal("the first job does not end")
	}
	delayed, crashedAt := false, time.Duration(0)
	w.SeparatePageWrites = true
	w.Network = func(kind, from, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindPageWrite && from == "n0" && !delayed {
			delayed = true // the first write after the end
			delivery.RequestDelay = 5 * time.Second
		}
		// The next leader learns of the job's end only after the cancellation.
		justCrashed := crashedAt > 0 && w.Now < crashedAt+6*time.Second
		delivery.LoseRequest = cancelAfter && kind == fake.KindHeartbeat && from == machine && justCrashed
		return delivery
	}
	w.Run(time.Duration(step) * 60 * time.Millisecond)
	if cancelBefore {
		w.CancelJob(first)
		jobs = append(jobs, submitAfter(t, w, job(3, protocol.Array, 1), time.Second, first))
	}
	w.Run(300 * time.Millisecond)
	w.Controllers[0].Crash()
	crashedAt = w.Now
	if cancelAfter {
		w.After(700*time.Millisecond, func() { w.CancelEverywhere(first) })
	}
	queryRepeatedly(w, jobs, 120, 50*time.Millisecond)
	w.Controllers[0].Start()
	runAndPoll(w, 40*time.Second)
	requireNoViolations(t, w)
	for _, j := range jobs[1:] {
		requirePipelineOutcome(t, w, []*fake.Job{first, j})
	}
	return first.Status
}

// A job is cancelled while its machine hangs, so the end of the job can't be recorded yet. A
// dependent that is submitted then must nevertheless be accepted and cancelled.
func TestSubmissionWhilePrerequisiteIsStopping(t *testing.T) {
	w := newWorld(t)
	long := submitAfter(t, w, job(1, protocol.Array, 1), time.Hour)
	waitRunning(t, w, long.Submission.ID, 1)
	w.Run(5 * time.Second)
	w.Workers[w.MachinesOf(long.Submission.ID)[0]].HangUntil = w.Now + 9*time.Second
	w.CancelJob(long)
	if !w.RunUntil(3*time.Second, func() bool { return long.Status == protocol.StatusCancelled }) {
		t.Fatalf("the long job has status %q", long.Status)
	}
	j := submitAfter(t, w, job(2, protocol.Array, 1), time.Second, long)
	runAndPoll(w, 3*time.Second)
	if !j.Accepted || j.Status != protocol.StatusCancelled {
		t.Errorf("accepted %t, status %q", j.Accepted, j.Status)
	}
	w.Run(20 * time.Second)
	requireNoViolations(t, w)
}

// A middle job or the last job of a pipeline is cancelled just as the first job ends. The first job
// must stay done, and only the cancelled job and its dependents may be cancelled.
func TestCancelDependentAsPrerequisiteEnds(t *testing.T) {
	for step := range 30 {
		w := newWorld(t)
		provisionIdleMachines(t, w)
		jobs := submitPipeline(t, w, 1)
		cancelledIndex := 1 + step%3
		if !w.RunUntil(60*time.Second, func() bool { return len(jobs[0].DoneTasks) == jobs[0].Submission.Tasks }) {
			t.Fatal("the first job does not end")
		}
		w.Run(time.Duration(step/3) * 60 * time.Millisecond)
		w.CancelEverywhere(jobs[cancelledIndex])
		if step%2 == 0 {
			w.After(200*time.Millisecond, func() {
				crashLeader(w, 3*time.Second)
			})
		}
		queryRepeatedly(w, jobs, 30, 150*time.Millisecond)
		runAndPoll(w, 60*time.Second)
		requireNoViolations(t, w)
		requirePipelineOutcome(t, w, jobs)
		if jobs[0].Status != protocol.StatusDone || jobs[cancelledIndex].Status != protocol.StatusCancelled {
			t.Fatalf("the first job has status %q, the cancelled one %q", jobs[0].Status, jobs[cancelledIndex].Status)
		}
	}
}

// The write that accepts a job has no response yet when a prerequisite of the job is cancelled and
// the user submits the job again. Once the job is accepted, it must be cancelled with its
// prerequisite, and it must be recorded only once.
func TestResubmissionWhilePrerequisiteIsCancelled(t *testing.T) {
	for step := range 12 {
		s := fake.Settings()
		s.State.TxnOps = 1
		w := newWorldWith(t, s)
		provisionIdleMachines(t, w)
		first := job(1, protocol.Array, 1)
		first.Class = strings.Repeat("c", 1400) // fills a page, so that the dependent is on another one
		prerequisite := submitAfter(t, w, first, time.Hour)
		waitRunning(t, w, prerequisite.Submission.ID, 1)
		w.Run(3 * time.Second)
		w.SeparatePageWrites = true
		delayed := false
		w.Network = func(kind, _, _ string) fake.Delivery {
			delivery := fake.Reliable()
			if kind == fake.KindPageWrite && !delayed {
				delayed = true // the first write records the acceptance
				delivery.RequestDelay = 3 * time.Second
			}
			return delivery
		}
		j := submitAfter(t, w, job(2, protocol.Array, 1), time.Second, prerequisite)
		w.RunUntil(time.Second, func() bool { return delayed })
		w.CancelEverywhere(prerequisite)
		for range 20 + step {
			w.Run(70 * time.Millisecond)
			w.PollAndResubmitEverywhere(j)
		}
		runAndPoll(w, 20*time.Second)
		if j.Status != protocol.StatusCancelled || !j.Accepted {
			t.Fatalf("accepted %t, status %q", j.Accepted, j.Status)
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
