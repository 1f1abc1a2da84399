package controller_test

import (
	"slices"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// newBestEffortWorld makes a world with a team, "guests", that has no guaranteed resources.
func newBestEffortWorld(t *testing.T) *fake.World {
	t.Helper()
	s := fake.Settings()
	s.Teams = append(s.Teams, config.Team{Name: "guests"})
	return newWorldWith(t, s)
}

// bestEffortJob returns an array of the team without guaranteed resources.
func bestEffortJob(id, tasks int) protocol.Submission {
	s := job(id, protocol.Array, tasks)
	s.Team, s.Priority, s.Spot = "guests", protocol.Low, true
	return s
}

// A best-effort team submits far more work than the cheap machines can run at a time, and leaders
// crash meanwhile. No controller may provision a machine for the team that costs more than twice as
// much per task as the cheapest one. All of the work must still complete.
func TestBestEffortScaleOutIsLimitedByCost(t *testing.T) {
	w := newBestEffortWorld(t)
	w.Cloud.CapacityOf = map[string]int{"small": 3}
	expensive := 0
	w.OnBoot = func(m protocol.Machine) {
		if !m.Spot { // on-demand machines cost 2.5 times as much
			expensive++
		}
	}
	w.Submit(bestEffortJob(1, 120), 4*time.Second)
	w.Submit(bestEffortJob(2, 20), 4*time.Second)
	for range 3 {
		w.Run(15 * time.Second)
		restartLeader(w, 2*time.Second)
	}
	runAndPoll(w, 120*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
	if expensive > 0 {
		t.Errorf("%d expensive machines were provisioned for best-effort teams", expensive)
	}
}

// Cheap machines are unavailable, and a best-effort job fits beside a guaranteed team's job on a
// machine that is expensive for it. The best-effort job waits before it is placed there, but only
// for a limited time, even if the leader changes meanwhile.
func TestBestEffortJobEventuallyUsesAnyMachine(t *testing.T) {
	for _, crash := range []bool{false, true} {
		w := newBestEffortWorld(t)
		w.Cloud.CapacityOf = map[string]int{"small": 0}
		guaranteed := service(1, 1)
		guaranteed.CPUs, guaranteed.GPUs, guaranteed.MemoryGB = 2, 1, 4
		w.Submit(guaranteed, 0)
		waitRunning(t, w, guaranteed.ID, 1)
		s := bestEffortJob(2, 1)
		s.CPUs, s.Spot = 3, false
		w.Submit(s, 30*time.Second)
		began := w.Now
		w.Run(20 * time.Second)
		if n := w.RunningTasks(s.ID); n != 0 {
			t.Errorf("%d best-effort tasks run on CPUs that unused GPUs need", n)
		}
		if crash {
			restartLeader(w, 2*time.Second)
		}
		if !w.RunUntil(90*time.Second, func() bool { return w.RunningTasks(s.ID) == 1 }) {
			t.Errorf("the best-effort job still waits after %v", w.Now-began)
		}
		runAndPoll(w, 20*time.Second)
		requireNoViolations(t, w)
	}
}

// Best-effort tasks that write checkpoints remain alone on a machine that is expensive for them
// after a guaranteed team's tasks have ended. The best-effort tasks save a checkpoint, stop and
// resume on cheaper machines, and the expensive machine is scaled in, even if the leader changes
// meanwhile.
func TestMachineNotKeptForBestEffortAlone(t *testing.T) {
	for _, crash := range []bool{false, true} {
		w := newBestEffortWorld(t)
		w.Cloud.CapacityOf = map[string]int{"small": 0}
		guaranteed := service(1, 1)
		guaranteed.CPUs, guaranteed.GPUs = 2, 2
		w.Submit(guaranteed, 0)
		waitRunning(t, w, guaranteed.ID, 1)
		machine := w.MachinesOf(guaranteed.ID)[0]
		s := bestEffortJob(2, 3)
		s.CPUs, s.EstimatedRunS = 2, 400
		j := w.Submit(s, 400*time.Second)
		if !w.RunUntil(60*time.Second, func() bool { return w.RunningTasks(s.ID) > 0 }) {
			t.Fatal("the best-effort tasks do not run")
		}
		w.CancelEverywhere(w.Jobs[guaranteed.ID])
		if crash {
			w.Leader().Crash()
		}
		w.Cloud.CapacityOf["small"] = 4
		if !w.RunUntil(150*time.Second, func() bool { return !slices.Contains(w.MachineNames(), machine) }) {
			t.Errorf("%s is not scaled in; the best-effort tasks are on %v", machine, w.MachinesOf(s.ID))
		}
		if !w.RunUntil(90*time.Second, func() bool { return w.RunningTasks(s.ID) == 3 }) {
			t.Errorf("%d of 3 best-effort tasks resumed", w.RunningTasks(s.ID))
		}
		for _, h := range w.MachinesOf(s.ID) {
			if w.TypeOf(h) != "small" {
				t.Errorf("a best-effort task is on a machine of type %s", w.TypeOf(h))
			}
		}
		w.CancelEverywhere(j)
		runAndPoll(w, 10*time.Second)
		requireNoViolations(t, w)
	}
}

// A best-effort array far larger than the fleet uses up the write budget, and the leader crashes
// meanwhile. Submissions of guaranteed teams must still be accepted within a second.
func TestBestEffortWritesDoNotDelayOthers(t *testing.T) {
	s := fake.Settings()
	s.Teams = append(s.Teams, config.Team{Name: "guests"})
	s.State.WriteRPS = 3
	w := newWorldWith(t, s)
	w.Cloud.CapacityOf = map[string]int{"small": 16}
	array := bestEffortJob(1, 25_000)
	array.CPUs, array.MemoryGB, array.EstimatedRunS = 0.05, 0.1, 3
	w.Submit(array, 3*time.Second)
	w.Run(20 * time.Second)
	restartLeader(w, 2*time.Second)
	w.Run(8 * time.Second)
	worst := time.Duration(0)
	for i := range 6 {
		j := w.Submit(job(10+i, protocol.Array, 1), 2*time.Second)
		began := w.Now
		if !w.RunUntil(30*time.Second, func() bool { return j.Accepted }) {
			t.Fatalf("%s is not accepted", j.Submission.ID)
		}
		worst = max(worst, w.Now-began)
		w.Run(time.Second)
	}
	if most := time.Second; worst > most {
		t.Errorf("accepting a submission took %v while best-effort writes were pending, at most %v expected", worst, most)
	}
	requireNoViolations(t, w)
}
