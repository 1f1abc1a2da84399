package controller_test

import (
	"encoding/json"
	"testing"
	"time"

	"oakpick/internal/controller"
	"oakpick/internal/fake"
	"oakpick/internal/message"
)

const (
	// largeFleet is the number of machines below which no fixed limit may stand.
	largeFleet = 4000
	// rackMachines is how many of them are lost at a time.
	rackMachines = 40
	replicasEach = 50 // of each job that newFleet submits
)

// allReplicasRun tells whether every replica of newFleet's jobs runs.
func allReplicasRun(w *fake.World) bool {
	for i := range largeFleet / replicasEach {
		if w.Running(service(i+1, replicasEach).ID) != replicasEach {
			return false
		}
	}
	return true
}

// machinesUp is how many machines the leader says are up.
func machinesUp(t *testing.T, w *fake.World) (up int) {
	t.Helper()
	var status controller.Status
	_, answer := adminRequest(w, w.Leader().Index, message.AdminStatus, "")
	if err := json.Unmarshal([]byte(answer), &status); err != nil || status.Leads == nil {
		t.Fatalf("%v: %s", err, answer)
	}
	for _, machines := range status.Leads.Machines {
		up += machines.Up
	}
	return up
}

// A leader's end, the loss of a rack and the return of everything, at the largest fleet that
// users run: every machine is used by the new leader, every lost replica runs again elsewhere,
// and no machine stays provisioned. A limit that stands below the fleet's size would leave some out.
func TestLargeFleetFailoverRackLossAndScaleIn(t *testing.T) {
	w, leader := newFleet(t, largeFleet)
	w.Cloud.Capacity += rackMachines // room for machines in place of those that die
	if !w.RunUntil(time.Minute, func() bool { return allReplicasRun(w) }) {
		t.Fatal("not every replica runs")
	}
	leader.Crash()
	waitLeader(t, w, 30*time.Second)
	w.Run(10 * time.Second) // two heartbeats
	if up := machinesUp(t, w); up != largeFleet {
		t.Errorf("the new leader has heard of %d of %d machines", up, largeFleet)
	}
	leader.Start()
	if !allReplicasRun(w) {
		t.Error("a take-over has ended replicas")
	}

	for _, machine := range w.MachineNames()[:rackMachines] {
		w.Cloud.Fail(machine)
	}
	w.Run(time.Second)
	if allReplicasRun(w) {
		t.Fatal("the loss of a rack is not seen by the test")
	}
	if !w.RunUntil(5*time.Minute, func() bool { return allReplicasRun(w) }) {
		t.Error("replicas of the lost rack don't run again")
	}

	for _, j := range w.Jobs {
		w.CancelJob(j)
	}
	if !w.RunUntil(10*time.Minute, func() bool { return len(w.Cloud.MachineNames()) == 0 }) {
		t.Errorf("%d machines stay provisioned", len(w.Cloud.MachineNames()))
	}
	requireNoViolations(t, w)
}

// An operator may have every machine of a large fleet examined for a task. Whatever the
// settings make the defaults, an operator can hand them back: with 1,001 written keys a second
// the default of moves_per_min was out of its own range, and no figure could be changed at all.
func TestLargeFleetSettingsAreInRange(t *testing.T) {
	s := fake.Settings()
	s.State.WriteRPS = largeFleet
	w := newWorldWith(t, s)
	w.Run(2 * time.Second)
	if status, answer := adminRequest(w, 0, message.AdminChangeOptions, `{"sample": 4000}`); status != 200 {
		t.Errorf("%d %s", status, answer)
	}
}
