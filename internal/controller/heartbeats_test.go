package controller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// Machines boot quickly and get work while writes to the state service are slow, and the leader
// crashes at any point meanwhile. Every start that a worker has is recorded, no machine is forgotten,
// and no surplus machine stays provisioned.
func TestMachinesBootWhileWritesLag(t *testing.T) {
	steps := 16
	if *fineSteps {
		steps = 120
	}
	for step := range steps {
		w := newWorld(t)
		for i := range w.Cloud.Types() {
			w.Cloud.Types()[i].BootS = 0.5
		}
		w.Run(3 * time.Second)
		lag := w.Now + 6*time.Second
		w.Network = func(kind, _, _ string) fake.Delivery {
			delivery := fake.Reliable()
			if kind == fake.KindState && w.Now < lag {
				delivery.RequestDelay, delivery.ResponseDelay = 350*time.Millisecond, 350*time.Millisecond
			}
			return delivery
		}
		var jobs []*fake.Job
		for i := range 6 {
			s := service(i+1, 2)
			s.CPUs = 2
			jobs = append(jobs, w.Submit(s, 0))
		}
		w.Run(6 * time.Second * time.Duration(step) / time.Duration(steps))
		crashLeader(w, 3*time.Second)
		for _, j := range jobs {
			waitRunning(t, w, j.Submission.ID, 2)
		}
		w.Run(150 * time.Second) // until every machine that isn't needed has been scaled in
		requireNoViolations(t, w)
		used := map[string]bool{}
		for _, j := range jobs {
			for _, h := range w.MachinesOf(j.Submission.ID) {
				used[h] = true
			}
		}
		if have := len(w.Cloud.MachineNames()); have > len(used)+8 { // 8 are allowed as warm capacity
			t.Errorf("step %d: %d machines are provisioned, %d used", step, have, len(used))
		}
	}
}

// Copies of a worker's earlier heartbeats, some of them of an earlier incarnation, are sent to every
// controller as soon as a new leader is elected. The leader must not conclude from them that a task is
// absent or present, that the machine is alive, or that its lease has expired.
func TestStaleHeartbeatsReachNewLeader(t *testing.T) {
	for _, died := range []bool{false, true} {
		t.Run(fmt.Sprint("machine has died ", died), func(t *testing.T) {
			for step := range 20 {
				testStaleHeartbeatsReachNewLeader(t, step, died)
			}
		})
	}
}

// testStaleHeartbeatsReachNewLeader varies with the step whether the worker has an earlier
// incarnation, whether a machine is partitioned at first, whether the heartbeats are replayed once
// or repeatedly, and which of them are replayed.
func testStaleHeartbeatsReachNewLeader(t *testing.T, step int, died bool) {
	t.Helper()
	w := newWorld(t)
	var recorded []protocol.Heartbeat
	w.OnHeartbeat = func(heartbeat protocol.Heartbeat) {
		heartbeat.Tasks = slices.Clone(heartbeat.Tasks)
		recorded = append(recorded, heartbeat)
	}
	before := w.Submit(service(1, 2), 0)
	waitRunning(t, w, before.Submission.ID, 2)
	machine := w.MachinesOf(before.Submission.ID)[0]
	if step%2 == 1 { // the worker hangs past its lease and registers with a new incarnation
		w.Workers[machine].HangUntil = w.Now + 12*time.Second
		w.Run(14 * time.Second)
		waitRunning(t, w, before.Submission.ID, 2)
	}
	after := w.Submit(service(2, 2), 0)
	waitRunning(t, w, after.Submission.ID, 2)
	w.Run(3 * time.Second)
	// In some steps this machine is partitioned at first, so that only copies of its heartbeats arrive.
	partitioned, healAt := w.MachinesOf(after.Submission.ID)[0], w.Now+6*time.Second
	if died {
		w.Cloud.Fail(partitioned)
	}
	w.Network = func(_, from, to string) fake.Delivery {
		delivery := fake.Reliable()
		delivery.LoseRequest = step%4 < 2 && w.Now < healAt && (from == partitioned || to == partitioned)
		return delivery
	}
	w.Controllers[0].Crash()
	stale := slices.Clone(recorded)
	tookOver := false
	for range 400 { // replays as soon as another controller leads, and in some steps repeatedly
		w.Run(50 * time.Millisecond)
		if w.Leader() != nil && (!tookOver || step%4 == 0 && int(w.Now/time.Millisecond)%500 == 0) {
			tookOver = true
			replayEveryFifth(w, stale, step%5)
		}
	}
	if !tookOver {
		t.Fatal("no controller took over")
	}
	waitRunning(t, w, before.Submission.ID, 2)
	waitRunning(t, w, after.Submission.ID, 2)
	w.Run(30 * time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
}

// replayEveryFifth sends every fifth heartbeat, from index first on, to every controller.
func replayEveryFifth(w *fake.World, heartbeats []protocol.Heartbeat, first int) {
	for i, heartbeat := range heartbeats {
		if i%5 != first {
			continue
		}
		for _, c := range w.Controllers {
			c.Request(message.HeartbeatRequest{Heartbeat: &heartbeat}, func(message.Reply) {})
		}
	}
}
