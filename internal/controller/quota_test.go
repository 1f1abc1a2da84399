package controller_test

import (
	"fmt"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// Two jobs of a team that together exceed its limit: the second waits.
func TestQuotaCountsStoppingTasks(t *testing.T) {
	w := newWorld(t)
	a, b := service(1, 4), service(2, 4)
	a.Team, b.Team, a.CPUs, b.CPUs = "red", "red", 2, 2
	ja := w.Submit(a, 0)
	waitRunning(t, w, a.ID, 4)
	w.Submit(b, 0)
	waitRunning(t, w, b.ID, 2) // 12 CPUs at most
	w.Run(5 * time.Second)
	w.CancelJob(ja)
	waitRunning(t, w, b.ID, 4)
	requireNoViolations(t, w)
}

// Higher priority needs room on a full fleet: the batch task yields, saving.
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
	if !w.RunUntil(6*time.Second, func() bool { return w.Running(high.ID) == 1 }) {
		t.Error("not started in 6 s")
	}
	if len(j.CheckpointedRunTime) == 0 {
		t.Error("what yielded saved nothing")
	}
	requireNoViolations(t, w)
}

// A team is at its limit with batch work when a service of its own comes, and more
// batch work waits, in tasks small enough to take what comes free first. There are
// machines enough: as much of the batch yields as the service needs, saving, and
// the limit holds throughout.
func TestPreemptionWithinQuota(t *testing.T) {
	w := newWorld(t)
	low := job(1, protocol.Array, 12)
	low.Team, low.Priority = "red", protocol.Low
	batch := w.Submit(low, 40*time.Second)
	waitRunning(t, w, low.ID, 12) // red may use 12 CPUs
	more := job(2, protocol.Array, 6)
	more.Team, more.Priority, more.CPUs = "red", protocol.Low, 0.5
	w.Submit(more, 3*time.Second)
	w.Run(5 * time.Second)
	slow := w.MachinesOf(low.ID)[0] // one machine's tasks are gone later than the others'
	w.Network = func(kind, _, b string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindCommands && b == slow {
			delivery.RequestDelay = 700 * time.Millisecond
		}
		return delivery
	}
	high := service(3, 2)
	high.Team, high.Priority, high.CPUs = "red", protocol.Production, 3
	s := w.Submit(high, 0)
	if !w.RunUntil(6*time.Second, func() bool { return w.Running(high.ID) == 2 }) {
		t.Errorf("%d of 2 run after 6 s", w.Running(high.ID))
	}
	w.Run(2 * time.Second)
	if n := w.Running(low.ID); n != 6 || len(batch.CheckpointedRunTime) != 6 {
		t.Errorf("%d of the batch's tasks run on, %d have saved", n, len(batch.CheckpointedRunTime))
	}
	w.CancelJob(s)
	for range 30 {
		w.Run(3 * time.Second)
		w.PollAll()
	}
	requireNoViolations(t, w)
	requireAllServed(t, w)
}

// A team's services take its whole limit and more of them wait, and so does its
// batch work. When one ends, work that ends gets its part of the limit first, since
// services would keep it waiting for good; the waiting service follows it.
func TestServicesLeaveQuotaToBatch(t *testing.T) {
	w := newWorld(t)
	full := func(id int) *fake.Job {
		s := service(id, 2)
		s.Team, s.Priority, s.CPUs = "red", protocol.Production, 3 // of 12 CPUs at most
		return w.Submit(s, 0)
	}
	a, b := full(1), full(2)
	waitRunning(t, w, a.Submission.ID, 2)
	waitRunning(t, w, b.Submission.ID, 2)
	low := job(3, protocol.Array, 4)
	low.Team, low.Priority = "red", protocol.Low
	w.Submit(low, 8*time.Second)
	c := full(4)
	w.Run(3 * time.Second)
	w.CancelJob(a)
	waitRunning(t, w, low.ID, 4)
	if n := w.Running(c.Submission.ID); n != 0 {
		t.Errorf("%d replicas run that leave no part to the batch", n)
	}
	waitRunning(t, w, c.Submission.ID, 2)
	runAndPoll(w, 15*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
}

// A job within its team's guarantee finds no room; what runs is of a higher
// priority, beyond its own team's guarantee. The queue would give the room
// straight back, so nothing is stopped.
func TestPreemptionFollowsQueueOrder(t *testing.T) {
	w := newWorld(t)
	w.Cloud.Capacity = 1
	beyond := service(1, 2)
	beyond.Priority, beyond.CPUs, beyond.Types, beyond.Zone, beyond.Team = protocol.Production, 2, []string{"small"}, "a", "blue"
	w.Submit(beyond, 0)
	more := service(3, 1) // blue is now beyond its four CPUs
	more.Priority, more.CPUs, more.Types, more.Zone, more.Team = protocol.Production, 2, []string{"small"}, "b", "blue"
	waitRunning(t, w, beyond.ID, 2)
	w.Submit(more, 0)
	waitRunning(t, w, more.ID, 1)
	sure := service(2, 1)
	sure.Priority, sure.CPUs, sure.Types, sure.Zone, sure.Team = protocol.High, 4, []string{"small"}, "b", "red"
	w.Submit(sure, 0)
	w.Run(10 * time.Second)
	if n := w.Controllers[0].Stats().TasksPreempted; n != 0 || w.Running(more.ID) != 1 {
		t.Errorf("%d stopped, %d of 1 run", n, w.Running(more.ID))
	}
	requireNoViolations(t, w)
}

// Every team is at its limit. Jobs are cancelled whose machines are partitioned, hang,
// or hear nothing, and the leader changes: what may still run counts, and once it
// is proved gone the room is used again.
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

// testQuotaWhileMachinesAreUnreachable crashes the leader some time after the fault of a machine
// of each job has begun.
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
	startDown(w)
	for _, j := range next {
		waitRunning(t, w, j.Submission.ID, 2)
	}
	w.Run(40 * time.Second)
	requireNoViolations(t, w)
	for _, j := range next {
		if n := w.Running(j.Submission.ID); n != 2 {
			t.Errorf("%s: %d run", j.Submission.ID, n)
		}
	}
}

// submitUpToQuota submits services that use all that both teams may, numbered from the first.
func submitUpToQuota(w *fake.World, first int) []*fake.Job {
	var jobs []*fake.Job
	for i, team := range []string{"red", "red", "blue"} {
		s := service(i+first, 2)
		s.Team, s.CPUs = team, 2
		jobs = append(jobs, w.Submit(s, 0))
	}
	return jobs
}

// makeUnreachable lets a fault of machines last for so long.
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

// There is more work than room, urgent and not, and everything on the way to and
// from workers takes more than a second: what comes first in the queue runs, what
// yields gets one command, and when the urgent work has gone the rest is served.
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
			n += w.Running(j.Submission.ID)
		}
		if n < 4 { // of six: room for two on each machine
			t.Errorf("links of %v: %d urgent replicas run", slow, n)
		}
		for _, j := range urgent {
			w.CancelEverywhere(j)
		}
		runAndPoll(w, 90*time.Second)
		requireNoViolations(t, w)
		requireAllServed(t, w)
	}
}

// A gang is done as one of its members says, while the machine of another hangs since just
// before: that member is still on its machine, and counts for its team's limit until it is
// gone.
func TestQuotaCountsHungGangMember(t *testing.T) {
	for step := range 20 {
		w := newWorld(t)
		other := service(50, 2) // of another team, whose machines are empty when the gang is done
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
		w.Run(7500*time.Millisecond + time.Duration(step)*100*time.Millisecond) // within gang_peer_s of the end
		if on := w.MachinesOf(j.Submission.ID); len(on) > 0 {
			w.Workers[on[len(on)-1]].HangUntil = w.Now + 26*time.Second
		}
		w.CancelJob(filler)
		w.Run(25 * time.Second)
		requireNoViolations(t, w)
	}
}
