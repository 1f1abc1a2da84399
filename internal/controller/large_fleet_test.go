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
	// largeFleet is the number of machines of the largest fleet that users run. No fixed limit of the
	// controllers may be lower.
	largeFleet = 4000
	// rackMachines is the number of machines that fail together.
	rackMachines   = 40
	replicasPerJob = 50 // of each job that newFleet submits
)

// allReplicasRun reports whether all replicas of newFleet's jobs are running.
func allReplicasRun(w *fake.World) bool {
	for i := range largeFleet / replicasPerJob {
		if w.RunningTasks(service(i+1, replicasPerJob).ID) != replicasPerJob {
			return false
		}
	}
	return true
}

// machinesUp returns the number of machines that are up according to the leader.
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

// At the size of the largest fleet that users run, the leader crashes, a rack is lost and all jobs
// are cancelled. The new leader knows all machines, the lost replicas run again on other machines,
// and at the end no machine stays provisioned. A fixed limit below the size of the fleet would leave
// some machines or replicas out.
func TestLargeFleetFailoverRackLossAndScaleIn(t *testing.T) {
	w, leader := newFleet(t, largeFleet)
	w.Cloud.Capacity += rackMachines // room for replacements of the failed machines
	if !w.RunUntil(time.Minute, func() bool { return allReplicasRun(w) }) {
		t.Fatal("not every replica runs")
	}
	leader.Crash()
	waitLeader(t, w, 30*time.Second)
	w.Run(10 * time.Second) // two heartbeats
	if up := machinesUp(t, w); up != largeFleet {
		t.Errorf("%d of %d machines are up according to the new leader", up, largeFleet)
	}
	leader.Start()
	if !allReplicasRun(w) {
		t.Error("replicas ended during the failover")
	}

	for _, machine := range w.MachineNames()[:rackMachines] {
		w.Cloud.Fail(machine)
	}
	w.Run(time.Second)
	if allReplicasRun(w) {
		t.Fatal("all replicas run after the loss of a rack: the test shows nothing")
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

// With the settings of a large fleet, an operator can let the leader examine all machines for each
// task, and the default options are within their ranges. With a write_rps of 1,001, the default of
// moves_per_min used to exceed its maximum, so that every change of an option was refused.
func TestLargeFleetSettingsAreInRange(t *testing.T) {
	s := fake.Settings()
	s.State.WriteRPS = largeFleet
	w := newWorldWith(t, s)
	w.Run(2 * time.Second)
	if status, answer := adminRequest(w, 0, message.AdminChangeOptions, `{"sample": 4000}`); status != 200 {
		t.Errorf("%d %s", status, answer)
	}
}
