package controller_test

import (
	"slices"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// newBestEffortWorld is a world with a team that has no guarantee.
func newBestEffortWorld(t *testing.T) *fake.World {
	t.Helper()
	s := fake.Settings()
	s.Teams = append(s.Teams, config.Team{Name: "guests"})
	return newWorldWith(t, s)
}

// bestEffortJob is an array of the team that has no guarantee.
func bestEffortJob(id, tasks int) protocol.Submission {
	s := job(id, protocol.Array, tasks)
	s.Team, s.Priority, s.Spot = "guests", protocol.Low, true
	return s
}

// Best-effort teams bring far more work than the cheap machines hold, and leaders crash in between.
// No controller provisions a machine for them where a place costs more than twice the cheapest;
// the work is done all the same.
func TestBestEffortScaleOutIsLimitedByCost(t *testing.T) {
	w := newBestEffortWorld(t)
	w.Cloud.CapacityOf = map[string]int{"small": 3}
	expensive := 0
	w.OnBoot = func(m protocol.Machine) {
		if !m.Spot { // ordinary ones are 2.5 times the price
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
		t.Errorf("%d machines that cost more were provisioned for best-effort teams", expensive)
	}
}

// All cheap machines are full of a best-effort team's long work. Another best-effort team's job finds room beside
// a guaranteed team's, on a machine that is expensive for it: it waits for a limited time, also
// if the leader changes meanwhile.
func TestBestEffortJobEventuallyUsesAnyMachine(t *testing.T) {
	for _, ends := range []bool{false, true} {
		w := newBestEffortWorld(t)
		w.Cloud.CapacityOf = map[string]int{"small": 0}
		paying := service(1, 1)
		paying.CPUs, paying.GPUs, paying.MemoryGB = 2, 1, 4
		w.Submit(paying, 0)
		waitRunning(t, w, paying.ID, 1)
		s := bestEffortJob(2, 1)
		s.CPUs, s.Spot = 3, false
		w.Submit(s, 30*time.Second)
		began := w.Now
		w.Run(20 * time.Second)
		if n := w.Running(s.ID); n != 0 {
			t.Errorf("%d of the best-effort tasks run on processors that unused GPUs need", n)
		}
		if ends {
			restartLeader(w, 2*time.Second)
		}
		if !w.RunUntil(90*time.Second, func() bool { return w.Running(s.ID) == 1 }) {
			t.Errorf("the best-effort job still waits after %v", w.Now-began)
		}
		runAndPoll(w, 20*time.Second)
		requireNoViolations(t, w)
	}
}

// A best-effort team's tasks that save are left alone on a machine that is expensive for them, once a
// guaranteed team's have gone. They are stopped, save, and go on where it is cheap, and the
// machine is scaled in, also by a successor.
func TestMachineNotKeptForBestEffortAlone(t *testing.T) {
	for _, ends := range []bool{false, true} {
		w := newBestEffortWorld(t)
		w.Cloud.CapacityOf = map[string]int{"small": 0}
		paying := service(1, 1)
		paying.CPUs, paying.GPUs = 2, 2
		w.Submit(paying, 0)
		waitRunning(t, w, paying.ID, 1)
		machine := w.MachinesOf(paying.ID)[0]
		s := bestEffortJob(2, 3)
		s.CPUs, s.EstimatedRunS = 2, 400
		j := w.Submit(s, 400*time.Second)
		if !w.RunUntil(60*time.Second, func() bool { return w.Running(s.ID) > 0 }) {
			t.Fatal("the best-effort tasks don't run")
		}
		w.CancelEverywhere(w.Jobs[paying.ID])
		if ends {
			w.Leader().Crash()
		}
		w.Cloud.CapacityOf["small"] = 4
		if !w.RunUntil(150*time.Second, func() bool { return !slices.Contains(w.MachineNames(), machine) }) {
			t.Errorf("%s is kept for %v", machine, w.MachinesOf(s.ID))
		}
		if !w.RunUntil(90*time.Second, func() bool { return w.Running(s.ID) == 3 }) {
			t.Errorf("%d of 3 of the best-effort tasks go on", w.Running(s.ID))
		}
		for _, h := range w.MachinesOf(s.ID) {
			if w.TypeOf(h) != "small" {
				t.Errorf("a best-effort task is on a %s", w.TypeOf(h))
			}
		}
		w.CancelEverywhere(j)
		runAndPoll(w, 10*time.Second)
		requireNoViolations(t, w)
	}
}

// An array of a best-effort team far larger than the fleet keeps the write budget busy, and the leader crashes
// in the middle of it. What a guaranteed team submits is taken at once, by whoever leads.
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
		t.Errorf("a submission took %v behind best-effort teams' writes, at most %v", worst, most)
	}
	requireNoViolations(t, w)
}
