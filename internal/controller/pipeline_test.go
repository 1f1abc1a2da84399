package controller_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

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
			t.Errorf("%s has status %q while it waits", j.Submission.ID, j.Status)
		}
	}
	runAndPoll(w, 60*time.Second)
	requirePipelineOutcome(t, w, jobs)
	late := submitAfter(t, w, job(9, protocol.Array, 1), time.Second, jobs...)
	runAndPoll(w, 20*time.Second)
	if late.Status != protocol.StatusDone {
		t.Errorf("the job that came later has status %q", late.Status)
	}
	requireNoViolations(t, w)
}

// The leader crashes after every single write in turn, and its successor goes on: nothing
// starts too early, nothing is lost, whatever was durable by then. With a cancellation
// of the second job, from just after its first task began until its last has ended,
// the result is the same for all: the others are cancelled with it, or none is.
func TestLeaderCrashBetweenPipelineWrites(t *testing.T) {
	t.Parallel()
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
						crashLeader(w, 3*time.Second)
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

// What is answered to a submission that names other jobs.
func TestSubmissionsWithPrerequisites(t *testing.T) {
	w := newWorld(t)
	done := w.Submit(job(1, protocol.Array, 1), time.Second)
	runAndPoll(w, 15*time.Second)
	long := submitAfter(t, w, job(2, protocol.Array, 1), time.Hour)
	waitRunning(t, w, long.Submission.ID, 1)
	standing := submitAfter(t, w, service(3, 1), 0)
	cancelled := submitAfter(t, w, job(4, protocol.Array, 1), time.Hour)
	dependent := submitAfter(t, w, job(5, protocol.Array, 1), time.Second, cancelled)
	w.CancelJob(cancelled)
	w.Run(5 * time.Second)
	for i, test := range []struct {
		name          string
		prerequisites []string
		wantCode      int
		wantStatus    string
	}{
		{"done", []string{done.Submission.ID}, http.StatusCreated, protocol.StatusDone},
		{"done and running", []string{done.Submission.ID, long.Submission.ID}, http.StatusCreated, protocol.StatusQueued},
		{"cancelled", []string{cancelled.Submission.ID}, http.StatusCreated, protocol.StatusCancelled},
		{"running and cancelled with another", []string{long.Submission.ID, dependent.Submission.ID}, http.StatusCreated, protocol.StatusCancelled},
		{"unknown", []string{"wk-777777"}, http.StatusUnprocessableEntity, ""},
		{"itself", []string{"wk-000105"}, http.StatusUnprocessableEntity, ""},
		{"service", []string{standing.Submission.ID}, http.StatusUnprocessableEntity, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := job(100+i, protocol.Array, 1)
			s.Prerequisites = test.prerequisites
			j := w.Submit(s, time.Second)
			runAndPoll(w, 12*time.Second)
			switch {
			case test.wantCode == http.StatusUnprocessableEntity && j.RejectedWith != http.StatusUnprocessableEntity:
				t.Errorf("accepted %t, refused %d", j.Accepted, j.RejectedWith)
			case test.wantCode == http.StatusCreated && (!j.Accepted || j.Status != test.wantStatus):
				t.Errorf("accepted %t, status %q, not %q", j.Accepted, j.Status, test.wantStatus)
			}
		})
	}
	requireNoViolations(t, w)
	requireUndecidedUntilDurable(t, w)
	requireRepeatAnswered(t, w, long)
}

// requireUndecidedUntilDurable submits a job and one that names it in an outage of the state
// service: while the acceptance of the first is not durable, neither yes nor no can be said to
// the second.
func requireUndecidedUntilDurable(t *testing.T, w *fake.World) {
	t.Helper()
	w.State.SetOutage(true)
	first, second := job(200, protocol.Array, 1), job(201, protocol.Array, 1)
	second.Prerequisites = []string{first.ID}
	leader := w.Leader()
	code := 0
	leader.Request(message.UserRequest{Kind: message.Submit, Job: first.ID, Submission: &first}, func(message.Reply) {})
	leader.Request(message.UserRequest{Kind: message.Submit, Job: second.ID, Submission: &second}, func(r message.Reply) { code = r.Status })
	w.Run(100 * time.Millisecond)
	if code != http.StatusServiceUnavailable {
		t.Errorf("needs a job that isn't durable: %d", code)
	}
	w.State.SetOutage(false)
	w.Run(5 * time.Second)
}

// requireRepeatAnswered repeats a submission, which is answered by the job's state, whatever it
// names now.
func requireRepeatAnswered(t *testing.T, w *fake.World, j *fake.Job) {
	t.Helper()
	again := j.Submission
	again.Prerequisites = []string{"wk-777777"}
	code := 0
	w.Leader().Request(message.UserRequest{Kind: message.Submit, Job: again.ID, Submission: &again}, func(r message.Reply) { code = r.Status })
	w.Run(100 * time.Millisecond)
	if code != http.StatusOK {
		t.Errorf("a repeat that names a job nobody knows: %d", code)
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
		t.Errorf("%d machines are provisioned, %d were before", n, machines)
	}
	other := job(3, protocol.Gang, 4) // all that the team may use
	other.Team, other.Priority = "red", protocol.Low
	w.Submit(other, 3*time.Second)
	waitRunning(t, w, other.ID, 4)
	runAndPoll(w, 20*time.Second)
	if waiting.Status != protocol.StatusQueued || waiting.Started {
		t.Errorf("the waiting job has status %q", waiting.Status)
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
		t.Errorf("the low array has status %q, the urgent end %q", a.Status, b.Status)
	}
	if w.Running(kept.Submission.ID) != 1 {
		t.Error("production was pushed out")
	}
	requireNoViolations(t, w)
}
