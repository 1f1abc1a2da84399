package controller_test

import (
	"testing"
	"time"

	"oakpick/internal/fake"
)

// newFleet makes a world with the given number of machines up and one replica for each of them, in
// jobs of 50 replicas. It also returns the leader.
func newFleet(tb testing.TB, machines int) (*fake.World, *fake.Controller) {
	tb.Helper()
	s := fake.Settings()
	s.Teams = s.Teams[:1]
	s.Teams[0].GuaranteedCPUs, s.Teams[0].CPULimit = 1e6, 0
	s.Workers.HeartbeatIntervalS, s.Workers.LeaseS, s.Workers.CancelWithinS = 5, 26.5, 56.5
	s.State.WriteRPS, s.State.ValueKB, s.State.TxnOps = 400, 8, 8
	s.Cloud.RPS = 12
	w := fake.NewWorld(s)
	w.Cloud.Capacity = machines / 2 // in each of the two zones
	for i := range machines / 50 {
		j := service(i+1, 50)
		j.Team, j.CPUs, j.Types = "red", 3, []string{"small"}
		w.Submit(j, 0)
	}
	if !w.RunUntil(60*time.Second, func() bool { return len(w.MachineNames()) >= machines }) {
		tb.Fatalf("only %d machines are up", len(w.MachineNames()))
	}
	w.Run(10 * time.Second)
	leader := w.Leader()
	if leader == nil {
		tb.Fatal("no controller leads")
	}
	return w, leader
}

// submitUnplaceable submits jobs for which the fleet has no free capacity and never will.
func submitUnplaceable(w *fake.World, jobs int) {
	for i := range jobs {
		j := service(1000+i, 4)
		j.Team, j.CPUs, j.Types = "red", 4, []string{"small"}
		w.Submit(j, 0)
	}
}
