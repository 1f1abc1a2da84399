package controller_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"oakpick/internal/election"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// The state service fails, and one peer is partitioned or restarts, so that the leader can't learn
// whether that peer has led in the meantime. If the outage ends before the heartbeat grace period and
// the workers' leases have expired, no replica is lost. If it lasts longer, all replicas are lost,
// but none runs twice. While all peers answer that they haven't led, no replica is lost, however long
// the outage lasts. A restarted peer can't give this answer, because it doesn't know whether its
// earlier process led.
func TestStateOutageAroundHeartbeatGracePeriod(t *testing.T) {
	for _, test := range []struct {
		name  string
		down  time.Duration
		fault string
		kept  bool
	}{
		{"12 s, peer partitioned", 12 * time.Second, "peer partitioned", true},
		{"20 s, peer partitioned", 20 * time.Second, "peer partitioned", true},
		{"45 s, peer partitioned", 45 * time.Second, "peer partitioned", false},
		{"90 s, all peers answer", 90 * time.Second, "", true},
		{"45 s, peer restarts", 45 * time.Second, "peer restarts", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t)
			j := w.Submit(service(1, 2), 0)
			waitRunning(t, w, j.Submission.ID, 2)
			w.Run(10 * time.Second)
			machines := w.MachinesOf(j.Submission.ID)
			w.State.SetOutage(true)
			w.Network = func(kind, from, to string) fake.Delivery {
				delivery := fake.Reliable()
				delivery.LoseRequest = test.fault == "peer partitioned" && kind == fake.KindPeer && (from == "n1" || to == "n1")
				return delivery
			}
			if test.fault == "peer restarts" {
				w.After(3*time.Second, w.Controllers[1].Crash)
				w.After(4*time.Second, w.Controllers[1].Start)
			}
			w.After(test.down, func() { w.State.SetOutage(false) })
			w.Run(test.down + 8*time.Second)
			kept := slices.Equal(w.MachinesOf(j.Submission.ID), machines) && w.Incarnation(machines[0]) == 1
			if kept != test.kept {
				t.Errorf("kept %v\n%s", kept, logTail(w, 20))
			}
			w.Run(90 * time.Second)
			requireNoViolations(t, w)
			requireAllServed(t, w)
		})
	}
}

// The state service becomes unreachable for the leader only. Another controller takes the term, and
// before it has read the records, the state service fails for all controllers, for much longer than
// a lease. The new leader asks no peer to step down, and no controller confirms or starts anything in
// the meantime, so running replicas are kept. After the outage, a job can be cancelled.
func TestSuccessorCannotLoadRecords(t *testing.T) {
	w := newWorld(t)
	j := w.Submit(service(1, 2), 0)
	waitRunning(t, w, j.Submission.ID, 2)
	w.Run(5 * time.Second)
	machines := w.MachinesOf(j.Submission.ID)
	termTaken := func() bool { h := w.State.WriterOf(election.LeaderKey); return h != "n0" && h != "" }
	w.State.Unreachable["n0"] = true
	w.Network = func(kind, from, _ string) fake.Delivery {
		delivery := fake.Reliable()
		delivery.LoseResponse = kind == fake.KindState && from != "n0" && termTaken()
		return delivery
	}
	if !w.RunUntil(5*time.Second, termTaken) {
		t.Fatal("no other controller took the term")
	}
	w.Run(100 * time.Millisecond)
	w.State.SetOutage(true)
	w.Run(40 * time.Second)
	if w.Incarnation(machines[0]) != 1 || !slices.Equal(w.MachinesOf(j.Submission.ID), machines) {
		t.Errorf("replicas were lost in the outage\n%s", logTail(w, 20))
	}
	w.Network = nil
	delete(w.State.Unreachable, "n0")
	w.State.SetOutage(false)
	w.Run(5 * time.Second)
	w.CancelEverywhere(j)
	w.Run(20 * time.Second)
	if !j.Cancelled || len(w.MachinesOf(j.Submission.ID)) != 0 {
		t.Errorf("status %q, tasks on machines %v", j.Status, w.MachinesOf(j.Submission.ID))
	}
	requireNoViolations(t, w)
}

// partitionLeaderWithOneWorker makes a world in which the leader, n0, can reach only the worker
// that runs the single replica of a job, and that worker can reach only n0.
func partitionLeaderWithOneWorker(t *testing.T) (*fake.World, *fake.Job) {
	t.Helper()
	w := newWorld(t)
	provisionIdleMachines(t, w)
	j := w.Submit(service(1, 1), 0)
	waitRunning(t, w, j.Submission.ID, 1)
	machine := w.MachinesOf(j.Submission.ID)[0]
	w.Network = func(_, from, to string) fake.Delivery {
		delivery := fake.Reliable()
		isolated := func(x string) bool { return x == "n0" || x == machine }
		delivery.LoseRequest = isolated(from) != isolated(to)
		return delivery
	}
	return w, j
}

// The leader is partitioned together with one worker. It answers that worker until its heartbeat
// grace period ends. The successor, which reaches neither of them, waits that long before it
// replaces the replica.
func TestPartitionedLeaderWithOneWorker(t *testing.T) {
	w, j := partitionLeaderWithOneWorker(t)
	w.Run(80 * time.Second)
	requireNoViolations(t, w)
	if w.Leader() == nil || w.Leader().Name == "n0" {
		t.Fatal("no other controller leads")
	}
	if w.RunningTasks(j.Submission.ID) != 1 {
		t.Error("the replica was not replaced")
	}
	w.Network = nil
	w.Run(30 * time.Second)
	requireNoViolations(t, w)
}

// The leader crashes and restarts. Its new process tells the successor that it isn't leading, so the
// successor waits for a shorter time before it replaces a lost replica.
func TestSteppedDownPeerShortensFailover(t *testing.T) {
	w := newWorld(t)
	j := w.Submit(service(1, 1), 0)
	waitRunning(t, w, j.Submission.ID, 1)
	machine := w.MachinesOf(j.Submission.ID)[0]
	w.Controllers[0].Crash()
	w.After(3*time.Second, w.Controllers[0].Start)
	w.Cloud.Fail(machine)
	if !w.RunUntil(22*time.Second, func() bool { return w.RunningTasks(j.Submission.ID) == 1 }) {
		t.Errorf("not replaced within 22 s\n%s", strings.Join(w.Log, "\n"))
	}
	requireNoViolations(t, w)
}

// A leader is paused for longer than its heartbeat grace period and then finds heartbeats of
// workers in its queue. It must refuse them, because its successor assumes that it no longer answers
// workers.
func TestHeartbeatAfterGracePeriodIsRefused(t *testing.T) {
	w := newWorld(t)
	j := w.Submit(service(1, 1), 0)
	waitRunning(t, w, j.Submission.ID, 1)
	machine := w.MachinesOf(j.Submission.ID)[0]
	n0 := w.Controllers[0]
	n0.PausedUntil = w.Now + 60*time.Second
	got := -1
	w.After(0, func() { // the first request that it handles
		r := protocol.Heartbeat{Machine: machine, Type: "small", Zone: "a", Incarnation: 9, Sequence: 1}
		n0.Request(message.HeartbeatRequest{Heartbeat: &r}, func(a message.Reply) { got = a.Status })
	})
	w.Run(61 * time.Second)
	if got == 200 || got == -1 {
		t.Errorf("the heartbeat was answered with status %d", got)
	}
}
