package controller_test

import (
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// A scale-out request is carried out and its answer lost: it is asked again under its own
// name, and nothing is provisioned twice.
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
		t.Errorf("%d lost answers, %d machines known of %d", lost, n, len(w.MachineNames()))
	}
	requireNoViolations(t, w)
}

// An empty machine is partitioned while the leader crashes. The successor hears of it
// only from the cloud's list, where it runs: it is not taken for one that never
// came up, and is there when the cut is over.
func TestPartitionedMachineIsNotScaledInAfterFailover(t *testing.T) {
	w := newWorld(t)
	machines := provisionIdleMachines(t, w)
	cut := w.Now + 20*time.Second
	w.Network = func(_, from, to string) fake.Delivery {
		delivery := fake.Reliable()
		delivery.LoseRequest = w.Now < cut && (from == machines[0] || to == machines[0])
		return delivery
	}
	w.Controllers[0].Crash()
	w.Run(25 * time.Second)
	if log := strings.Join(w.Log, "\n"); strings.Contains(log, "machine released [machine "+machines[0]) {
		t.Errorf("scaled in\n%s", log)
	}
	requireNoViolations(t, w)
}

// Of a job's two tasks, which may not be in one zone, one runs and the other
// waits for a machine elsewhere. The leader crashes. The successor hears from an
// empty machine, and not yet from the one that has the task, nor from the
// cloud's list: it doesn't know that both are in the same zone.
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
	w.Cloud.Down = true
	s := service(2, 2)
	s.CPUs, s.Spread, s.Types = 4, true, []string{"small"}
	w.Submit(s, 0)
	waitRunning(t, w, s.ID, 1)
	w.Run(3 * time.Second)
	cut, calls := w.MachinesOf(s.ID)[0], 0
	w.Controllers[0].Crash()
	w.Cloud.Down = false
	w.Network = func(kind, from, to string) fake.Delivery {
		delivery := fake.Reliable()
		delivery.LoseRequest = from == cut || to == cut
		if kind == fake.KindCloud { // the types are had, and nothing more
			calls++
			delivery.LoseRequest = calls > 1
		}
		return delivery
	}
	w.Run(9 * time.Second)
	requireNoViolations(t, w)
	if w.Leader() == nil || w.Running(s.ID) != 1 {
		t.Errorf("%d run", w.Running(s.ID))
	}
	cut = ""
	w.Network = nil
	waitRunning(t, w, s.ID, 2)
	requireNoViolations(t, w)
}

// A replica that needs no GPU is left alone on a machine with GPUs, and there is
// room on a cheap one: it moves there, and the expensive machine is scaled in. From
// the cheap one it isn't moved to an expensive one, however little is used.
func TestReplicasMoveToCheaperMachines(t *testing.T) {
	w := newWorld(t)
	w.Run(2 * time.Second)
	if status, answer := adminRequest(w, 0, message.AdminChangeOptions, `{"warm_room": 0, "idle_s": 5}`); status != 200 {
		t.Fatal(answer)
	}
	kind := func(j *fake.Job) string { return w.TypeOf(w.MachinesOf(j.Submission.ID)[0]) }
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
	if kind(moved) != "large" {
		t.Fatalf("on a %s machine at first", kind(moved))
	}
	w.CancelJob(gpuJob)
	w.Run(60 * time.Second)
	if kind(moved) != "small" || len(w.MachinesOf(moved.Submission.ID)) != 1 {
		t.Errorf("still on a %s machine", kind(moved))
	}
	w.CancelJob(smallJob)
	gpu.ID = "wk-000004"
	w.Submit(gpu, 0)
	waitRunning(t, w, gpu.ID, 1)
	w.Run(60 * time.Second)
	if kind(moved) != "small" {
		t.Errorf("moved to a %s machine", kind(moved))
	}
	requireNoViolations(t, w)
	requireAllServed(t, w)
}

// A first leader finds no machines and provisions some; more jobs come at once. Their
// machines are provisioned then, not when those of the first have had time to report.
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

// Hundreds of tasks find no place at once, as after a zone is lost: the requests
// for machines go out together, not one after the other's answer.
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
		t.Errorf("%d machines provisioned 2.5 s after 200 tasks came", n)
	}
	requireNoViolations(t, w)
}

// A expensive machine boots, with room for tasks that a cheap one would serve sooner. The cheap
// ones are provisioned once, not again with every plan until the expensive one is up.
func TestNoDuplicateScaleOutWhileExpensiveMachineBoots(t *testing.T) {
	w := newWorld(t)
	adminRequest(w, 0, message.AdminChangeOptions, `{"warm_room": 0}`)
	w.Cloud.BootDelay = 4 * time.Second // booting takes several plans
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

// A machine with a replica dies. Room for two is provisioned, since of two machines one is up
// sooner than either, and the other one is returned.
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
	rented := func() int64 { return w.Leader().Stats().MachinesProvisioned - before }
	w.Cloud.FailNextBoots = 1 // one of the machines never comes up
	w.Cloud.Fail(w.MachinesOf(s.ID)[0])
	w.RunUntil(40*time.Second, func() bool { return rented() > 0 })
	w.Run(2 * time.Second) // before either could be late
	if n := rented(); n != 2 {
		t.Errorf("%d machines are provisioned for a lost replica", n)
	}
	w.Run(6 * time.Second)
	if n := w.Running(s.ID); n != 1 {
		t.Errorf("%d replicas run once one of the machines is up", n)
	}
	w.Run(80 * time.Second)
	if n := len(w.Cloud.MachineNames()); n != 1 {
		t.Errorf("%d machines are provisioned later", n)
	}
	requireNoViolations(t, w)
}

// A replica waits for a machine that should be up and isn't. Another one is provisioned a little
// later, not only when the first can hardly come any more.
func TestLateMachineIsReplaced(t *testing.T) {
	w := newWorld(t)
	adminRequest(w, 0, message.AdminChangeOptions, `{"warm_room": 0}`)
	w.Run(3 * time.Second)
	w.Cloud.BootDelay = 60 * time.Second
	s := service(1, 1)
	s.CPUs = 4
	w.Submit(s, 0)
	w.Run(5 * time.Second) // a small machine boots for five seconds
	before := w.Cloud.CountOfType("small")
	w.Run(1800 * time.Millisecond)
	if after := w.Cloud.CountOfType("small"); before != 1 || after != 2 {
		t.Errorf("%d, then %d machines are provisioned for one replica", before, after)
	}
	requireNoViolations(t, w)
}
