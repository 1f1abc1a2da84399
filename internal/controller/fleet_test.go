package controller_test

import (
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// A scale-out request is executed but its response is lost. The request is retried with the same
// request ID, and no machine is provisioned twice.
func TestLostScaleOutResponseIsRetriedIdempotently(t *testing.T) {
	w := newWorld(t)
	w.Run(4 * time.Second)
	lost, until := 0, w.Now+7*time.Second
	w.Network = func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindCloud && w.Now < until {
			lost++
			delivery.LoseResponse = true
		}
		return delivery
	}
	s := service(1, 1)
	s.CPUs = 4
	w.Submit(s, 0)
	waitRunning(t, w, s.ID, 1)
	w.Run(10 * time.Second)
	if st := w.Controllers[0].Stats(); lost == 0 || int64(len(w.MachineNames())) != st.MachinesProvisioned-st.MachinesReleased {
		n := st.MachinesProvisioned - st.MachinesReleased
		t.Errorf("%d responses lost; %d machines by the leader's counts, but %d are up", lost, n, len(w.MachineNames()))
	}
	requireNoViolations(t, w)
}

// An empty machine is partitioned while the leader crashes. The successor knows the machine only from
// the cloud's inventory, which lists it as running. The machine must not be treated as one that failed
// to boot, and must still exist when the partition heals.
func TestPartitionedMachineIsNotScaledInAfterFailover(t *testing.T) {
	w := newWorld(t)
	machines := provisionIdleMachines(t, w)
	healAt := w.Now + 20*time.Second
	w.Network = func(_, from, to string) fake.Delivery {
		delivery := fake.Reliable()
		delivery.LoseRequest = w.Now < healAt && (from == machines[0] || to == machines[0])
		return delivery
	}
	w.Controllers[0].Crash()
	w.Run(25 * time.Second)
	if log := strings.Join(w.Log, "\n"); strings.Contains(log, "machine released [machine "+machines[0]) {
		t.Errorf("the partitioned machine was scaled in\n%s", log)
	}
	requireNoViolations(t, w)
}

// A job has two tasks that must not run in the same zone. One is running, the other waits for a
// machine in another zone, and the leader crashes. The successor has received a heartbeat from an
// empty machine in the running task's zone, but none from the task's own machine, and no inventory
// from the cloud. It does not know the running task's zone, so it must not place the other task.
func TestSpreadWaitsForUnknownTaskZones(t *testing.T) {
	w := newWorld(t)
	if status, answer := adminRequest(w, 0, message.AdminChangeOptions, `{"warm_room": 0}`); status != 200 {
		t.Fatal(answer)
	}
	first := service(1, 2)
	first.CPUs, first.Zone, first.Types = 4, "a", []string{"small"}
	j := w.Submit(first, 0)
	waitRunning(t, w, first.ID, 2)
	w.CancelJob(j) // leaves two empty machines in zone a
	w.Run(3 * time.Second)
	w.Cloud.RefuseRequests = true
	s := service(2, 2)
	s.CPUs, s.Spread, s.Types = 4, true, []string{"small"}
	w.Submit(s, 0)
	waitRunning(t, w, s.ID, 1)
	w.Run(3 * time.Second)
	partitioned, calls := w.MachinesOf(s.ID)[0], 0
	w.Controllers[0].Crash()
	w.Cloud.RefuseRequests = false
	w.Network = func(kind, from, to string) fake.Delivery {
		delivery := fake.Reliable()
		delivery.LoseRequest = from == partitioned || to == partitioned
		if kind == fake.KindCloud { // only the response with the machine types arrives
			calls++
			delivery.LoseRequest = calls > 1
		}
		return delivery
	}
	w.Run(9 * time.Second)
	requireNoViolations(t, w)
	if w.Leader() == nil || w.RunningTasks(s.ID) != 1 {
		t.Errorf("%d tasks run, expected 1, or there is no leader", w.RunningTasks(s.ID))
	}
	partitioned = ""
	w.Network = nil
	waitRunning(t, w, s.ID, 2)
	requireNoViolations(t, w)
}

// A replica that needs no GPU remains alone on a machine with GPUs, and a cheap machine has room for
// it. The replica moves to the cheap machine, and the expensive one is scaled in. A replica on a
// cheap machine is not moved to an expensive one, however low the utilization is.
func TestReplicasMoveToCheaperMachines(t *testing.T) {
	w := newWorld(t)
	w.Run(2 * time.Second)
	if status, answer := adminRequest(w, 0, message.AdminChangeOptions, `{"warm_room": 0, "idle_s": 5}`); status != 200 {
		t.Fatal(answer)
	}
	machineType := func(j *fake.Job) string { return w.TypeOf(w.MachinesOf(j.Submission.ID)[0]) }
	gpu := service(1, 1)
	gpu.GPUs = 1
	gpuJob := w.Submit(gpu, 0)
	waitRunning(t, w, gpu.ID, 1)
	moved := w.Submit(service(2, 1), 0)
	waitRunning(t, w, moved.Submission.ID, 1)
	small := service(3, 1)
	small.Types = []string{"small"}
	smallJob := w.Submit(small, 0)
	waitRunning(t, w, small.ID, 1)
	if machineType(moved) != "large" {
		t.Fatalf("the replica started on a %s machine", machineType(moved))
	}
	w.CancelJob(gpuJob)
	w.Run(60 * time.Second)
	if machineType(moved) != "small" || len(w.MachinesOf(moved.Submission.ID)) != 1 {
		t.Errorf("the replica is still on a %s machine", machineType(moved))
	}
	w.CancelJob(smallJob)
	gpu.ID = "wk-000004"
	w.Submit(gpu, 0)
	waitRunning(t, w, gpu.ID, 1)
	w.Run(60 * time.Second)
	if machineType(moved) != "small" {
		t.Errorf("the replica moved to a %s machine", machineType(moved))
	}
	requireNoViolations(t, w)
	requireAllServed(t, w)
}

// The first leader of a cluster finds no machines and provisions some. When more jobs arrive, it
// provisions their machines at once, without waiting until the first machines could have reported.
func TestFirstLeaderScalesOutWithoutWaiting(t *testing.T) {
	w := newWorld(t)
	status, answer := adminRequest(w, 0, message.AdminChangeOptions, `{"takeover_wait_s": 60, "warm_room": 0}`)
	if status != 200 && status != 0 {
		t.Fatal(answer)
	}
	for id := 1; id <= 2; id++ {
		s := service(id, 1)
		s.CPUs = 4
		w.Submit(s, 0)
		w.Run(3 * time.Second)
	}
	if n := w.Controllers[0].Stats().MachinesProvisioned; n != 2 {
		t.Errorf("%d machines provisioned", n)
	}
	requireNoViolations(t, w)
}

// Hundreds of tasks cannot be placed at the same time, as after the loss of a zone. The scale-out
// requests are sent concurrently, without waiting for each other's responses.
func TestConcurrentScaleOutRequests(t *testing.T) {
	w := newWorld(t)
	w.Run(2 * time.Second)
	w.Cloud.Capacity = 300
	for i := range 10 {
		s := service(i+1, 20)
		s.CPUs, s.Types, s.Team = 4, []string{"small"}, "blue"
		w.Submit(s, 0)
	}
	w.Network = func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindCloud {
			delivery.ResponseDelay = 900 * time.Millisecond
		}
		return delivery
	}
	w.Run(2500 * time.Millisecond)
	if n := w.Controllers[0].Stats().MachinesProvisioned; n < 120 {
		t.Errorf("%d machines provisioned 2.5 s after 200 tasks were submitted", n)
	}
	requireNoViolations(t, w)
}

// An expensive machine that has room for waiting tasks is booting, but cheap machines would run the
// tasks sooner. The cheap machines must be provisioned only once, not in each planning cycle until the
// expensive machine is up.
func TestNoDuplicateScaleOutWhileExpensiveMachineBoots(t *testing.T) {
	w := newWorld(t)
	adminRequest(w, 0, message.AdminChangeOptions, `{"warm_room": 0}`)
	w.Cloud.BootDelay = 4 * time.Second // booting takes several planning cycles
	expensive := service(1, 1)
	expensive.GPUs, expensive.CPUs = 1, 1
	w.Submit(expensive, 0)
	w.Run(time.Second)
	cheap := job(2, protocol.Array, 4)
	cheap.CPUs = 3
	w.Submit(cheap, 30*time.Second)
	w.Run(6 * time.Second)
	if n := w.Cloud.CountOfType("small"); n != 4 {
		t.Errorf("%d cheap machines are provisioned for four tasks", n)
	}
	waitRunning(t, w, cheap.ID, 4)
	requireNoViolations(t, w)
}

// A machine with a replica fails. Two replacements are provisioned, since the first of two machines
// is expected to be up sooner than a single one, and the surplus machine is scaled in.
func TestLostReplicaScalesOutTwoMachines(t *testing.T) {
	w := newWorld(t)
	adminRequest(w, 0, message.AdminChangeOptions, `{"warm_room": 0}`)
	s := service(1, 1)
	s.CPUs = 4 // all of a small machine
	w.Submit(s, 0)
	waitRunning(t, w, s.ID, 1)
	w.Run(40 * time.Second)
	if n := len(w.Cloud.MachineNames()); n != 1 {
		t.Fatalf("%d machines are provisioned for one replica", n)
	}
	before := w.Leader().Stats().MachinesProvisioned
	scaledOut := func() int64 { return w.Leader().Stats().MachinesProvisioned - before }
	w.Cloud.FailNextBoots = 1 // one of the machines never boots
	w.Cloud.Fail(w.MachinesOf(s.ID)[0])
	w.RunUntil(40*time.Second, func() bool { return scaledOut() > 0 })
	w.Run(2 * time.Second) // before either machine is overdue
	if n := scaledOut(); n != 2 {
		t.Errorf("%d machines are provisioned for a lost replica", n)
	}
	w.Run(6 * time.Second)
	if n := w.RunningTasks(s.ID); n != 1 {
		t.Errorf("%d replicas run once one of the machines is up", n)
	}
	w.Run(80 * time.Second)
	if n := len(w.Cloud.MachineNames()); n != 1 {
		t.Errorf("%d machines remain provisioned", n)
	}
	requireNoViolations(t, w)
}

// A replica waits for a machine that is overdue. Another machine is provisioned shortly after the
// expected boot time, not only when the first machine is unlikely to boot at all.
func TestLateMachineIsReplaced(t *testing.T) {
	w := newWorld(t)
	adminRequest(w, 0, message.AdminChangeOptions, `{"warm_room": 0}`)
	w.Run(3 * time.Second)
	w.Cloud.BootDelay = 60 * time.Second
	s := service(1, 1)
	s.CPUs = 4
	w.Submit(s, 0)
	w.Run(5 * time.Second) // the usual boot time of a small machine
	before := w.Cloud.CountOfType("small")
	w.Run(1800 * time.Millisecond)
	if after := w.Cloud.CountOfType("small"); before != 1 || after != 2 {
		t.Errorf("%d, then %d machines are provisioned for one replica", before, after)
	}
	requireNoViolations(t, w)
}
