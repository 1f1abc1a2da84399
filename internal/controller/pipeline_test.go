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
)

// submitAfter submits a job that needs others, as users do: once these are accepted.
func submitAfter(t testing.TB, w *fake.World, s protocol.Submission, run time.Duration, needs ...*fake.Job) *fake.Job {
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
func submitPipeline(t testing.TB, w *fake.World, first int) []*fake.Job {
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
func requirePipelineOutcome(t testing.TB, w *fake.World, jobs []*fake.Job) {
	t.Helper()
	cancelled := false
	for _, j := range jobs {
		cancelled = cancelled || j.Status == protocol.StatusCancelled
		want := protocol.StatusDone
		if cancelled {
			want = protocol.StatusCancelled
		}
		if j.Status != want {
			t.Fatalf("%s is called %q, not %q\n%s", j.Submission.ID, j.Status, want, strings.Join(w.Log[max(0, len(w.Log)-60):], "\n"))
		}
	}
}

// Each job begins only when the one before is done, also the last one, which comes
// when the others are long over.
func TestPipelineRunsInOrder(t *testing.T) {
	w := newWorld(t)
	jobs := submitPipeline(t, w, 1)
	w.Run(time.Second)
	for _, j := range jobs {
		w.QueryEverywhere(j)
	}
	w.Run(time.Second)
	for _, j := range jobs[1:] {
		if j.Status != protocol.StatusQueued {
			t.Errorf("%s is called %q while it waits", j.Submission.ID, j.Status)
		}
	}
	runAndPoll(w, 60*time.Second)
	requirePipelineOutcome(t, w, jobs)
	late := submitAfter(t, w, job(9, protocol.Array, 1), time.Second, jobs...)
	runAndPoll(w, 20*time.Second)
	if late.Status != protocol.StatusDone {
		t.Errorf("the job that came later is called %q", late.Status)
	}
	requireNoViolations(t, w)
}

// The leader ends after every single write in turn, and its successor goes on: nothing
// starts too early, nothing is lost, whatever was durable by then. With a cancellation
// of the second job, from just after its first task began until its last has ended,
// the result is the same for all: the others are cancelled with it, or none is.
func TestLeaderCrashBetweenPipelineWrites(t *testing.T) {
	for _, cancelAt := range []time.Duration{0, 4 * time.Second, 6 * time.Second, 7800 * time.Millisecond, 8200 * time.Millisecond, 8600 * time.Millisecond} {
		t.Run(fmt.Sprint("cancelled after ", cancelAt), func(t *testing.T) {
			t.Parallel()
			outcomes := map[string]int{}
			for writes := range 40 {
				w := newWorld(t)
				provisionIdleMachines(t, w)
				jobs := submitPipeline(t, w, 1)
				from := w.State.WriteTransactions
				if cancelAt > 0 {
					w.After(cancelAt, func() { w.CancelEverywhere(jobs[1]) })
				}
				ended := false
				for w.Now < 60*time.Second {
					w.Run(50 * time.Millisecond)
					if !ended && w.State.WriteTransactions >= from+writes {
						ended = true
						if l := w.Leader(); l != nil {
							l.Crash()
							w.After(3*time.Second, l.Start)
						}
					}
					if int(w.Now/(50*time.Millisecond))%10 == 0 {
						for _, j := range jobs {
							w.QueryEverywhere(j)
						}
					}
				}
				runAndPoll(w, 40*time.Second)
				requireNoViolations(t, w)
				requirePipelineOutcome(t, w, jobs)
				outcomes[jobs[1].Status]++
			}
			if cancelAt == 0 && outcomes[protocol.StatusDone] != 40 {
				t.Errorf("%v without a cancellation", outcomes)
			}
			t.Log(outcomes)
		})
	}
}

// A job is cancelled in the seconds in which the leader changes, stands still, loses
// the state service or its answers: from the moment that any node says so, no node
// calls what needs it queued or running, and a job that is called cancelled with it
// stays so.
func TestPrerequisiteCancelledDuringLeaderChange(t *testing.T) {
	troubles := map[string]func(w *fake.World){
		"leader ends":  func(w *fake.World) { w.Controllers[0].Crash(); w.After(4*time.Second, w.Controllers[0].Start) },
		"stands still": func(w *fake.World) { w.Controllers[0].PausedUntil = w.Now + 6*time.Second },
		"refused": func(w *fake.World) {
			w.State.Unreachable["n0"] = true
			w.After(12*time.Second, func() { delete(w.State.Unreachable, "n0") })
		},
		"outage": func(w *fake.World) {
			w.State.SetOutage(true)
			w.After(5*time.Second, func() { w.State.SetOutage(false) })
		},
		"refused, then an outage": func(w *fake.World) {
			w.State.Unreachable["n0"] = true
			w.After(1500*time.Millisecond, func() { w.State.SetOutage(true) })
			w.After(45*time.Second, func() { w.State.SetOutage(false); delete(w.State.Unreachable, "n0") })
		},
		"answers lost": func(w *fake.World) {
			from, calls := w.Now, 0
			w.Network = func(kind, _, _ string) fake.Delivery {
				f := fake.Reliable()
				calls++
				f.LoseResponse = kind == fake.KindState && w.Now < from+4*time.Second && calls%2 == 0
				return f
			}
		},
		"slow": func(w *fake.World) { // several times slower, and again and again
			for i := range 12 {
				w.After(time.Duration(i)*700*time.Millisecond, func() {
					for _, n := range w.Controllers {
						n.PausedUntil = w.Now + 500*time.Millisecond
					}
				})
			}
		},
	}
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			told := 0
			for step := range 10 {
				w := newWorld(t)
				provisionIdleMachines(t, w)
				jobs := submitPipeline(t, w, 1)
				long := submitAfter(t, w, job(20, protocol.Array, 2), time.Hour)
				after := submitAfter(t, w, job(21, protocol.Gang, 2), time.Second, long)
				last := submitAfter(t, w, job(22, protocol.Array, 2), time.Second, after, jobs[3])
				w.Run(3 * time.Second)
				all := append(slices.Clone(jobs), long, after, last)
				queryRapidly(w, all, 3*time.Second)
				w.After(500*time.Millisecond, func() { trouble(w) })
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
					t.Fatalf("the long job is called %q", long.Status)
				}
				told++
			}
			if told != 10 {
				t.Errorf("%d of 10 days", told)
			}
		})
	}
}

// What a job that names others is told when it is submitted.
func TestSubmissionsWithPrerequisites(t *testing.T) {
	w := newWorld(t)
	done := w.Submit(job(1, protocol.Array, 1), time.Second)
	runAndPoll(w, 15*time.Second)
	long := submitAfter(t, w, job(2, protocol.Array, 1), time.Hour)
	waitRunning(t, w, long.Submission.ID, 1)
	standing := submitAfter(t, w, service(3, 1), 0)
	called := submitAfter(t, w, job(4, protocol.Array, 1), time.Hour)
	through := submitAfter(t, w, job(5, protocol.Array, 1), time.Second, called)
	w.CancelJob(called)
	w.Run(5 * time.Second)
	for i, c := range []struct {
		needs  []string
		status int
		told   string
	}{
		{[]string{done.Submission.ID}, 201, protocol.StatusDone},
		{[]string{done.Submission.ID, long.Submission.ID}, 201, protocol.StatusQueued},
		{[]string{called.Submission.ID}, 201, protocol.StatusCancelled},
		{[]string{long.Submission.ID, through.Submission.ID}, 201, protocol.StatusCancelled},
		{[]string{"wk-777777"}, 422, ""},
		{[]string{"wk-000105"}, 422, ""}, // its own
		{[]string{standing.Submission.ID}, 422, ""},
	} {
		s := job(100+i, protocol.Array, 1)
		if i == 5 {
			s = job(105, protocol.Array, 1)
		}
		s.Prerequisites = c.needs
		j := w.Submit(s, time.Second)
		runAndPoll(w, 12*time.Second)
		switch {
		case c.status == 422 && j.RejectedWith != 422:
			t.Errorf("needs %v: accepted %t, refused %d", c.needs, j.Accepted, j.RejectedWith)
		case c.status == 201 && (!j.Accepted || j.Status != c.told):
			t.Errorf("needs %v: accepted %t, called %q, not %q", c.needs, j.Accepted, j.Status, c.told)
		}
	}
	requireNoViolations(t, w)

	// The acceptance of what it needs is not durable: neither yes nor no can be said.
	w.State.SetOutage(true)
	p, d := job(200, protocol.Array, 1), job(201, protocol.Array, 1)
	d.Prerequisites = []string{p.ID}
	l := w.Leader()
	status := 0
	l.Request(message.UserRequest{Kind: message.Submit, Job: p.ID, Submission: &p}, func(message.Reply) {})
	l.Request(message.UserRequest{Kind: message.Submit, Job: d.ID, Submission: &d}, func(r message.Reply) { status = r.Status })
	w.Run(100 * time.Millisecond)
	if status != 503 {
		t.Errorf("needs a job that isn't durable: %d", status)
	}
	// A repeat is answered by the job's state, whatever it names now.
	w.State.SetOutage(false)
	w.Run(5 * time.Second)
	again := long.Submission
	again.Prerequisites = []string{"wk-777777"}
	l = w.Leader()
	l.Request(message.UserRequest{Kind: message.Submit, Job: again.ID, Submission: &again}, func(r message.Reply) { status = r.Status })
	w.Run(100 * time.Millisecond)
	if status != 200 {
		t.Errorf("a repeat that names a job nobody knows: %d", status)
	}
}

// A job that waits holds nothing: no room, no limit, no machine, no place in the queue;
// and it counts for nobody's guarantee.
func TestWaitingJobHoldsNoResources(t *testing.T) {
	s := fake.Settings()
	s.Teams = []config.Team{{Name: "red", GuaranteedCPUs: 4, CPULimit: 4}, {Name: "blue", GuaranteedCPUs: 4, CPULimit: 8}}
	w := fake.NewWorld(s)
	w.Run(2 * time.Second)
	first := job(1, protocol.Array, 1)
	first.Team = "blue"
	long := submitAfter(t, w, first, time.Hour)
	waitRunning(t, w, long.Submission.ID, 1)
	w.Run(60 * time.Second)
	machines := len(w.Cloud.MachineNames())
	waits := job(2, protocol.Gang, 4)
	waits.Team, waits.Priority = "red", protocol.Production
	waiting := submitAfter(t, w, waits, time.Second, long)
	w.Run(30 * time.Second)
	if n := len(w.Cloud.MachineNames()); n > machines {
		t.Errorf("%d machines are rented, %d were before", n, machines)
	}
	other := job(3, protocol.Gang, 4) // all that the team may use
	other.Team, other.Priority = "red", protocol.Low
	w.Submit(other, 3*time.Second)
	waitRunning(t, w, other.ID, 4)
	runAndPoll(w, 20*time.Second)
	if waiting.Status != protocol.StatusQueued || waiting.Started {
		t.Errorf("the waiting job is called %q", waiting.Status)
	}
	requireNoViolations(t, w)
}

// An array of low priority stands before an urgent job. Work of normal priority takes
// all room that there is; the array doesn't wait behind it, nor stop production.
func TestPriorityInheritancePreventsStarvation(t *testing.T) {
	w := newWorld(t)
	w.Cloud.Capacity = 1 // of each type in each zone
	production := service(1, 1)
	production.CPUs, production.Priority = 4, protocol.Production
	kept := w.Submit(production, 0)
	waitRunning(t, w, kept.Submission.ID, 1)
	for i := range 30 {
		s := job(10+i, protocol.Array, 2)
		s.CPUs, s.CheckpointIntervalS, s.CheckpointDurationS = 2, 1, 0.5
		w.Submit(s, 40*time.Second)
	}
	w.Run(20 * time.Second)
	low, urgent := job(2, protocol.Array, 2), job(3, protocol.Array, 1)
	low.Priority, urgent.Priority, urgent.DeadlineS = protocol.Low, protocol.High, 60
	a := submitAfter(t, w, low, 3*time.Second)
	b := submitAfter(t, w, urgent, time.Second, a)
	runAndPoll(w, 40*time.Second)
	if a.Status != protocol.StatusDone || b.Status != protocol.StatusDone {
		t.Errorf("the low array is called %q, the urgent end %q", a.Status, b.Status)
	}
	if w.Running(kept.Submission.ID) != 1 {
		t.Error("production was pushed out")
	}
	requireNoViolations(t, w)
}

// The write that says that a job is done is held up, the leader ends before it is
// carried out, and the job is cancelled through the next one: what needs it must not
// have begun by then. In the same way a job is submitted that needs one whose
// cancellation is held up, and which is done after all: it must not have been called
// cancelled.
func TestDelayedWriteOfPrerequisiteEnd(t *testing.T) {
	outcomes := map[string]int{}
	for step := range 36 {
		s := fake.Settings()
		s.State.TxnOps = 1 // each page has a transaction of its own
		w := newWorldWith(t, s)
		provisionIdleMachines(t, w)
		long := job(1, protocol.Array, 1)
		long.Class = strings.Repeat("c", 1400) // what needs it is on another page
		first := submitAfter(t, w, long, 2*time.Second)
		jobs := []*fake.Job{first, submitAfter(t, w, job(2, protocol.Array, 1), time.Second, first)}
		waitRunning(t, w, first.Submission.ID, 1)
		host := w.MachinesOf(first.Submission.ID)[0]
		if !w.RunUntil(20*time.Second, func() bool { return len(first.DoneTasks) == 1 }) {
			t.Fatal("the first job does not end")
		}
		held, crashed := false, time.Duration(0)
		w.SeparateWrites = true
		w.Network = func(kind, from, _ string) fake.Delivery {
			f := fake.Reliable()
			if kind == fake.KindWrite && from == "n0" && !held {
				held = true // the first write after the end
				f.RequestDelay = 5 * time.Second
			}
			// The next leader hears of the end only after the cancellation.
			f.LoseRequest = step%3 == 1 && kind == fake.KindHeartbeat && from == host && crashed > 0 && w.Now < crashed+6*time.Second
			return f
		}
		w.Run(time.Duration(step) * 60 * time.Millisecond)
		if step%3 == 0 {
			w.CancelJob(first)
			jobs = append(jobs, submitAfter(t, w, job(3, protocol.Array, 1), time.Second, first))
		}
		w.Run(300 * time.Millisecond)
		w.Controllers[0].Crash()
		crashed = w.Now
		if step%3 == 1 {
			w.After(700*time.Millisecond, func() { w.CancelEverywhere(first) })
		}
		queryRepeatedly(w, jobs, 120, 50*time.Millisecond)
		w.Controllers[0].Start()
		runAndPoll(w, 40*time.Second)
		requireNoViolations(t, w)
		for _, j := range jobs[1:] {
			requirePipelineOutcome(t, w, []*fake.Job{first, j})
		}
		outcomes[first.Status]++
	}
	t.Log(outcomes)
	if len(outcomes) != 2 {
		t.Errorf("%v: both outcomes were to be seen", outcomes)
	}
}

// A job is cancelled whose machine hangs, so that its end can't be written yet. A
// submission that names it is accepted and cancelled all the same.
func TestSubmissionWhilePrerequisiteIsStopping(t *testing.T) {
	w := newWorld(t)
	long := submitAfter(t, w, job(1, protocol.Array, 1), time.Hour)
	waitRunning(t, w, long.Submission.ID, 1)
	w.Run(5 * time.Second)
	w.Workers[w.MachinesOf(long.Submission.ID)[0]].HangUntil = w.Now + 9*time.Second
	w.CancelJob(long)
	if !w.RunUntil(3*time.Second, func() bool { return long.Status == protocol.StatusCancelled }) {
		t.Fatalf("the long job is called %q", long.Status)
	}
	j := submitAfter(t, w, job(2, protocol.Array, 1), time.Second, long)
	runAndPoll(w, 3*time.Second)
	if !j.Accepted || j.Status != protocol.StatusCancelled {
		t.Errorf("accepted %t, called %q", j.Accepted, j.Status)
	}
	w.Run(20 * time.Second)
	requireNoViolations(t, w)
}
