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

// Each job of a pipeline starts only after its prerequisite is done. A job that is submitted long
// after its prerequisites have ended must run, too.
func TestPipelineRunsInOrder(t *testing.T) {
	w := newWorld(t)
	jobs := submitPipeline(t, w, 1)
	w.Run(time.Second)
	for _, j := range jobs {
		w.PollAndResubmitEverywhere(j)
	}
	w.Run(time.Second)
	for _, j := range jobs[1:] {
		if j.Status != protocol.StatusQueued {
			t.Errorf("%s has status %q while it waits for its prerequisite", j.Submission.ID, j.Status)
		}
	}
	runAndPoll(w, 60*time.Second)
	requirePipelineOutcome(t, w, jobs)
	late := submitAfter(t, w, job(9, protocol.Array, 1), time.Second, jobs...)
	runAndPoll(w, 20*time.Second)
	if late.Status != protocol.StatusDone {
		t.Errorf("the job submitted after the others ended has status %q", late.Status)
	}
	requireNoViolations(t, w)
}

// The leader crashes after each of the first writes of a pipeline in turn, and its successor
// continues. Whichever writes are durable by then, no job may start too early and nothing may be
// lost.
//
// In some cases, the second job is cancelled, at a time between the start of its first task and the
// end of its last. The outcome must then be consistent: either the second job and all jobs that
// depend on it are cancelled, or none of them is.
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
				crashed := false
				for w.Now < 60*time.Second {
					w.Run(50 * time.Millisecond)
					if !crashed && w.State.WriteTransactions >= from+writes {
						crashed = true
						crashLeader(w, 3*time.Second)
					}
					if int(w.Now/(50*time.Millisecond))%10 == 0 {
						for _, j := range jobs {
							w.PollAndResubmitEverywhere(j)
						}
					}
				}
				runAndPoll(w, 40*time.Second)
				requireNoViolations(t, w)
				requirePipelineOutcome(t, w, jobs)
				outcomes[jobs[1].Status]++
			}
			if cancelAt == 0 && outcomes[protocol.StatusDone] != 40 {
				t.Errorf("outcomes %v without a cancellation, want only done", outcomes)
			}
			t.Log(outcomes)
		})
	}
}

// The response to a submission with prerequisites depends on the states of the prerequisites.
func TestSubmissionsWithPrerequisites(t *testing.T) {
	w := newWorld(t)
	done := w.Submit(job(1, protocol.Array, 1), time.Second)
	runAndPoll(w, 15*time.Second)
	long := submitAfter(t, w, job(2, protocol.Array, 1), time.Hour)
	waitRunning(t, w, long.Submission.ID, 1)
	runningService := submitAfter(t, w, service(3, 1), 0)
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
		{"service", []string{runningService.Submission.ID}, http.StatusUnprocessableEntity, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := job(100+i, protocol.Array, 1)
			s.Prerequisites = test.prerequisites
			j := w.Submit(s, time.Second)
			runAndPoll(w, 12*time.Second)
			switch {
			case test.wantCode == http.StatusUnprocessableEntity && j.RejectedWith != http.StatusUnprocessableEntity:
				t.Errorf("accepted %t, rejected with %d", j.Accepted, j.RejectedWith)
			case test.wantCode == http.StatusCreated && (!j.Accepted || j.Status != test.wantStatus):
				t.Errorf("accepted %t, status %q, want %q", j.Accepted, j.Status, test.wantStatus)
			}
		})
	}
	requireNoViolations(t, w)
	requireUndecidedUntilDurable(t, w)
	requireRepeatAnswered(t, w, long)
}

// requireUndecidedUntilDurable submits a job and a dependent of it during an outage of the state
// service. While the acceptance of the first job is not durable, the second can be neither accepted
// nor rejected, so its user is told to retry.
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
		t.Errorf("status %d for a job whose prerequisite isn't durable", code)
	}
	w.State.SetOutage(false)
	w.Run(5 * time.Second)
}

// requireRepeatAnswered repeats the submission of a job, now with an unknown prerequisite. The response
// must be the state of the existing job, whichever prerequisites the repeat names.
func requireRepeatAnswered(t *testing.T, w *fake.World, j *fake.Job) {
	t.Helper()
	again := j.Submission
	again.Prerequisites = []string{"wk-777777"}
	code := 0
	w.Leader().Request(message.UserRequest{Kind: message.Submit, Job: again.ID, Submission: &again}, func(r message.Reply) { code = r.Status })
	w.Run(100 * time.Millisecond)
	if code != http.StatusOK {
		t.Errorf("status %d for a repeat that names an unknown prerequisite", code)
	}
}

// A job that waits for a prerequisite holds no resources: no capacity, no part of its team's limit,
// no machine and no place in the queue. It doesn't count for its team's guarantee, either.
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
		t.Errorf("%d machines after the submission of a job that waits, %d before", n, machines)
	}
	other := job(3, protocol.Gang, 4) // uses the team's whole limit
	other.Team, other.Priority = "red", protocol.Low
	w.Submit(other, 3*time.Second)
	waitRunning(t, w, other.ID, 4)
	runAndPoll(w, 20*time.Second)
	if waiting.Status != protocol.StatusQueued || waiting.Started {
		t.Errorf("the waiting job has status %q", waiting.Status)
	}
	requireNoViolations(t, w)
}

// An array of low priority is the prerequisite of an urgent job, and work of normal priority uses
// all remaining capacity. The array inherits the priority of the urgent job, so it must not wait
// behind the normal work. It must not preempt production work.
func TestPriorityInheritancePreventsStarvation(t *testing.T) {
	w := newWorld(t)
	w.Cloud.Capacity = 1 // one machine of each type in each zone
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
		t.Errorf("the low-priority array has status %q, its urgent dependent %q", a.Status, b.Status)
	}
	if w.RunningTasks(kept.Submission.ID) != 1 {
		t.Error("the production service was preempted")
	}
	requireNoViolations(t, w)
}
