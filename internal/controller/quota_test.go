package controller_test

import (
	"fmt"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// Two services of a team together exceed its limit, so part of the second waits. When the first is
// cancelled, its tasks count for the limit until they have stopped.
func TestQuotaCountsStoppingTasks(t *testing.T) {
	w := newWorld(t)
	a, b := service(1, 4), service(2, 4)
	a.Team, b.Team, a.CPUs, b.CPUs = "red", "red", 2, 2
	ja := w.Submit(a, 0)
	waitRunning(t, w, a.ID, 4)
	w.Submit(b, 0)
	waitRunning(t, w, b.ID, 2) // the team's limit is 12 CPUs
	w.Run(5 * time.Second)
	w.CancelJob(ja)
	waitRunning(t, w, b.ID, 4)
	requireNoViolations(t, w)
}

// Work of higher priority needs capacity on a full fleet: batch tasks are preempted and save
// checkpoints.
func TestPreemptionOfLowerPriority(t *testing.T) {
	w := newWorld(t)
	w.Cloud.Capacity = 1
	low := job(1, protocol.Array, 4)
	low.Priority, low.CPUs, low.Types = protocol.Low, 2, []string{"small"}
	j := w.Submit(low, 60*time.Second)
	waitRunning(t, w, low.ID, 4)
	w.Run(5 * time.Second)
	high := service(2, 1)
	high.Priority, high.CPUs, high.Types = protocol.Production, 4, []string{"small"}
	w.Submit(high, 0)
	if !w.RunUntil(6*time.Second, func() bool { return w.RunningTasks(high.ID) == 1 }) {
		t.Error("the service has not started after 6 s")
	}
	if len(j.CheckpointedRunTime) == 0 {
		t.Error("no preempted task saved a checkpoint")
	}
	requireNoViolations(t, w)
}

// A team has reached its limit with batch work when a service of the same team is submitted. More
// batch work waits, in tasks that are small enough to use any freed part of the limit first. Although
// there are enough machines, batch tasks must be preempted: as many as the service needs, after they
// have saved checkpoints. The limit must hold throughout.
func TestPreemptionWithinQuota(t *testing.T) {
	w := newWorld(t)
	low := job(1, protocol.Array, 12)
	low.Team, low.Priority = "red", protocol.Low
	batch := w.Submit(low, 40*time.Second)
	waitRunning(t, w, low.ID, 12) // the team's limit is 12 CPUs
	more := job(2, protocol.Array, 6)
	more.Team, more.Priority, more.CPUs = "red", protocol.Low, 0.5
	w.Submit(more, 3*time.Second)
	w.Run(5 * time.Second)
	slowMachine := w.MachinesOf(low.ID)[0] // commands to it are delayed, so its tasks stop last
	w.Network = func(kind, _, to string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindCommands && to == slowMachine {
			delivery.RequestDelay = 700 * time.Millisecond
		}
		return delivery
	}
	high := service(3, 2)
	high.Team, high.Priority, high.CPUs = "red", protocol.Production, 3
	s := w.Submit(high, 0)
	if !w.RunUntil(6*time.Second, func() bool { return w.RunningTasks(high.ID) == 2 }) {
		t.Errorf("%d of 2 replicas run after 6 s", w.RunningTasks(high.ID))
	}
	w.Run(2 * time.Second)
	if n := w.RunningTasks(low.ID); n != 6 || len(batch.CheckpointedRunTime) != 6 {
		t.Errorf("%d batch tasks still run and %d have saved a checkpoint, want 6 of each", n, len(batch.CheckpointedRunTime))
	}
	w.CancelJob(s)
	for range 30 {
		w.Run(3 * time.Second)
		w.PollAll()
	}
	requireNoViolations(t, w)
	requireAllServed(t, w)
}

// A team's services use its whole limit, and another service and batch work of the team wait. When
// a service ends, the batch work gets part of the limit first, because services don't end by
// themselves and would keep the batch work waiting indefinitely. The waiting service follows.
func TestServicesLeaveQuotaToBatch(t *testing.T) {
	w := newWorld(t)
	submitHalfQuota := func(id int) *fake.Job {
		s := service(id, 2)
		s.Team, s.Priority, s.CPUs = "red", protocol.Production, 3 // 6 of the team's 12 CPUs
		return w.Submit(s, 0)
	}
	a, b := submitHalfQuota(1), submitHalfQuota(2)
	waitRunning(t, w, a.Submission.ID, 2)
	waitRunning(t, w, b.Submission.ID, 2)
	low := job(3, protocol.Array, 4)
	low.Team, low.Priority = "red", protocol.Low
	w.Submit(low, 8*time.Second)
	c := submitHalfQuota(4)
	w.Run(3 * time.Second)
	w.CancelJob(a)
	waitRunning(t, w, low.ID, 4)
	if n := w.RunningTasks(c.Submission.ID); n != 0 {
		t.Errorf("%d replicas of the waiting service run, which leaves nothing to the batch work", n)
	}
	waitRunning(t, w, c.Submission.ID, 2)
	runAndPoll(w, 15*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
}

// A job within its team's guarantee finds no capacity. The running work has a higher priority but
// exceeds the guarantee of its own team. The queue order would give freed capacity back to the running
// work, so nothing may be preempted.
func TestPreemptionFollowsQueueOrder(t *testing.T) {
	w := newWorld(t)
	w.Cloud.Capacity = 1
	overGuarantee := service(1, 2)
	overGuarantee.Priority, overGuarantee.CPUs, overGuarantee.Types, overGuarantee.Zone, overGuarantee.Team = protocol.Production, 2, []string{"small"}, "a", "blue"
	w.Submit(overGuarantee, 0)
	more := service(3, 1) // with this service, the team exceeds its guarantee of four CPUs
	more.Priority, more.CPUs, more.Types, more.Zone, more.Team = protocol.Production, 2, []string{"small"}, "b", "blue"
	waitRunning(t, w, overGuarantee.ID, 2)
	w.Submit(more, 0)
	waitRunning(t, w, more.ID, 1)
	withinGuarantee := service(2, 1)
	withinGuarantee.Priority, withinGuarantee.CPUs, withinGuarantee.Types, withinGuarantee.Zone, withinGuarantee.Team = protocol.High, 4, []string{"small"}, "b", "red"
	w.Submit(withinGuarantee, 0)
	w.Run(10 * time.Second)
	if n := w.Controllers[0].Stats().TasksPreempted; n != 0 || w.RunningTasks(more.ID) != 1 {
		t.Errorf("%d tasks preempted, %d of 1 replicas run", n, w.RunningTasks(more.ID))
	}
	requireNoViolations(t, w)
}

// Every team has reached its limit. Jobs are cancelled while some of their machines are partitioned,
// hang, or lose heartbeats or responses, and the leader changes. Tasks that may still run count for
// the limit. Once it is certain that they have ended, their part of the limit is used again.
func TestQuotaWhileMachinesAreUnreachable(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"partitioned", "hangs", "unanswered", "heartbeats lost"} {
		for _, change := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 6 * time.Second} {
			t.Run(fmt.Sprint(fault, " ", change), func(t *testing.T) {
				t.Parallel()
				testQuotaWhileMachinesAreUnreachable(t, fault, change)
			})
		}
	}
}

// testQuotaWhileMachinesAreUnreachable applies the fault to one machine of each job and crashes the
// leader after the given time.
func testQuotaWhileMachinesAreUnreachable(t *testing.T, fault string, crashAfter time.Duration) {
	t.Helper()
	settings := fake.Settings()
	settings.Teams = []config.Team{{Name: "red", GuaranteedCPUs: 8, CPULimit: 8}, {Name: "blue", GuaranteedCPUs: 4, CPULimit: 4}}
	w := fake.NewWorld(settings)
	w.Run(2 * time.Second)
	first := submitUpToQuota(w, 1)
	for _, j := range first {
		waitRunning(t, w, j.Submission.ID, 2)
	}
	next := submitUpToQuota(w, 11)
	w.Run(3 * time.Second)
	unreachable := map[string]bool{}
	for _, j := range first {
		unreachable[w.MachinesOf(j.Submission.ID)[0]] = true
	}
	makeUnreachable(w, unreachable, fault, 30*time.Second)
	w.After(crashAfter, w.Leader().Crash)
	for _, j := range first {
		w.After(time.Second, func() { w.CancelEverywhere(j) })
	}
	w.Run(5 * time.Second)
	startCrashed(w)
	for _, j := range next {
		waitRunning(t, w, j.Submission.ID, 2)
	}
	w.Run(40 * time.Second)
	requireNoViolations(t, w)
	for _, j := range next {
		if n := w.RunningTasks(j.Submission.ID); n != 2 {
			t.Errorf("%s: %d of 2 replicas run", j.Submission.ID, n)
		}
	}
}

// submitUpToQuota submits services, numbered from first, that use the limits of both teams
// completely.
func submitUpToQuota(w *fake.World, first int) []*fake.Job {
	var jobs []*fake.Job
	for i, team := range []string{"red", "red", "blue"} {
		s := service(i+first, 2)
		s.Team, s.CPUs = team, 2
		jobs = append(jobs, w.Submit(s, 0))
	}
	return jobs
}

// makeUnreachable applies a fault to machines for the given duration.
func makeUnreachable(w *fake.World, machines map[string]bool, fault string, duration time.Duration) {
	from := w.Now
	w.Network = func(_, sender, receiver string) fake.Delivery {
		delivery := fake.Reliable()
		if w.Now > from+duration {
			return delivery
		}
		switch fault {
		case "partitioned":
			delivery.LoseRequest = machines[sender] || machines[receiver]
		case "unanswered":
			delivery.LoseRequest, delivery.LoseResponse = machines[receiver], machines[sender]
		case "heartbeats lost":
			delivery.LoseRequest = machines[sender]
		}
		return delivery
	}
	if fault == "hangs" {
		for machine := range machines {
			w.Workers[machine].HangUntil = w.Now + duration
		}
	}
}

// There is more work than capacity, some of it urgent, and commands and heartbeats have latencies
// of up to 1.4 s. The work at the head of the queue must run, each preempted task must get only one
// command, and the other work must be served after the urgent work has ended.
func TestOverloadWithSlowNetwork(t *testing.T) {
	for _, slow := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 1400 * time.Millisecond} {
		w := newWorld(t)
		w.Cloud.Capacity = 1
		w.Network = func(kind, _, _ string) fake.Delivery {
			delivery := fake.Reliable()
			if kind == fake.KindCommands || kind == fake.KindHeartbeat {
				delivery.RequestDelay, delivery.ResponseDelay = slow/2, slow/2
			}
			return delivery
		}
		for i := range 5 {
			low := job(i+1, protocol.Array, 4)
			low.Priority, low.Types = protocol.Low, []string{"small"}
			w.Submit(low, 6*time.Second)
		}
		w.Run(15 * time.Second)
		var urgent []*fake.Job
		for i := range 3 {
			s := service(i+11, 2)
			s.Priority, s.CPUs, s.Types = protocol.Production, 2, []string{"small"}
			urgent = append(urgent, w.Submit(s, 0))
		}
		w.Run(15 * time.Second)
		n := 0
		for _, j := range urgent {
			n += w.RunningTasks(j.Submission.ID)
		}
		if n < 4 { // of six replicas; each machine has capacity for two
			t.Errorf("latency %v: %d urgent replicas run", slow, n)
		}
		for _, j := range urgent {
			w.CancelEverywhere(j)
		}
		runAndPoll(w, 90*time.Second)
		requireNoViolations(t, w)
		requireAllServed(t, w)
	}
}

// A gang is done as soon as one of its members reports that. Shortly before, the machine of another
// member begins to hang. That member is still on its machine and must count for its team's limit
// until it has ended.
func TestQuotaCountsHungGangMember(t *testing.T) {
	for step := range 20 {
		w := newWorld(t)
		other := service(50, 2) // of another team; its machines are free when the gang is done
		other.CPUs, other.Types = 8, []string{"large"}
		filler := w.Submit(other, 0)
		waitRunning(t, w, other.ID, 2)
		gang := job(1, protocol.Gang, 3)
		gang.Team, gang.CPUs, gang.Types = "red", 3, []string{"small"}
		j := w.Submit(gang, 10*time.Second)
		waitRunning(t, w, gang.ID, 3)
		rest := job(2, protocol.Array, 12)
		rest.Team, rest.Types = "red", []string{"large"}
		w.Submit(rest, 30*time.Second)
		w.Run(7500*time.Millisecond + time.Duration(step)*100*time.Millisecond) // until at most gang_peer_s before the gang's end
		if on := w.MachinesOf(j.Submission.ID); len(on) > 0 {
			w.Workers[on[len(on)-1]].HangUntil = w.Now + 26*time.Second
		}
		w.CancelJob(filler)
		w.Run(25 * time.Second)
		requireNoViolations(t, w)
	}
}
