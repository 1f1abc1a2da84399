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

// The state service is down, and one peer can't say whether it has led. For less
// than what the heartbeat grace period and a worker's lease allow: no replica is lost. For longer:
// all are, and none runs twice. While all peers say that they haven't led, none
// is lost however long it takes; but a peer whose process has begun since then
// can't know.
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

// The state service refuses the leader alone; another takes the term, and before it
// has read the records the service is down for all, for much longer than a lease. It
// asks nobody to step down for that, and nobody has confirmed or started anything: what
// runs is kept, and when the outage is over a job can be cancelled.
func TestSuccessorCannotLoadRecords(t *testing.T) {
	w := newWorld(t)
	j := w.Submit(service(1, 2), 0)
	waitRunning(t, w, j.Submission.ID, 2)
	w.Run(5 * time.Second)
	machines := w.MachinesOf(j.Submission.ID)
	taken := func() bool { h := w.State.WriterOf(election.LeaderKey); return h != "n0" && h != "" }
	w.State.Unreachable["n0"] = true
	w.Network = func(kind, from, _ string) fake.Delivery {
		delivery := fake.Reliable()
		delivery.LoseResponse = kind == fake.KindState && from != "n0" && taken()
		return delivery
	}
	if !w.RunUntil(5*time.Second, taken) {
		t.Fatal("nobody took the term")
	}
	w.Run(100 * time.Millisecond)
	w.State.SetOutage(true)
	w.Run(40 * time.Second)
	if w.Incarnation(machines[0]) != 1 || !slices.Equal(w.MachinesOf(j.Submission.ID), machines) {
		t.Errorf("what ran was lost in the outage\n%s", logTail(w, 20))
	}
	w.Network = nil
	delete(w.State.Unreachable, "n0")
	w.State.SetOutage(false)
	w.Run(5 * time.Second)
	w.CancelEverywhere(j)
	w.Run(20 * time.Second)
	if !j.Cancelled || len(w.MachinesOf(j.Submission.ID)) != 0 {
		t.Errorf("status %q, on %v", j.Status, w.MachinesOf(j.Submission.ID))
	}
	requireNoViolations(t, w)
}

// partitionLeaderWithOneWorker makes a world in which the leader, n0, reaches nothing any more but
// the worker that runs a job's replica, which nobody else reaches.
func partitionLeaderWithOneWorker(t *testing.T) (*fake.World, *fake.Job) {
	t.Helper()
	w := newWorld(t)
	provisionIdleMachines(t, w)
	j := w.Submit(service(1, 1), 0)
	waitRunning(t, w, j.Submission.ID, 1)
	machine := w.MachinesOf(j.Submission.ID)[0]
	w.Network = func(_, from, to string) fake.Delivery {
		delivery := fake.Reliable()
		alone := func(x string) bool { return x == "n0" || x == machine }
		delivery.LoseRequest = alone(from) != alone(to)
		return delivery
	}
	return w, j
}

// The leader keeps nothing but one worker. It goes on answering that one for
// its heartbeat grace period; the successor, which hears nothing of either, waits that long.
func TestPartitionedLeaderWithOneWorker(t *testing.T) {
	w, j := partitionLeaderWithOneWorker(t)
	w.Run(80 * time.Second)
	requireNoViolations(t, w)
	if w.Leader() == nil || w.Leader().Name == "n0" {
		t.Fatal("nobody took over")
	}
	if w.Running(j.Submission.ID) != 1 {
		t.Error("the replica was not replaced")
	}
	w.Network = nil
	w.Run(30 * time.Second)
	requireNoViolations(t, w)
}

// The predecessor has ended and its next process says so: the wait is shorter.
func TestSteppedDownPeerShortensFailover(t *testing.T) {
	w := newWorld(t)
	j := w.Submit(service(1, 1), 0)
	waitRunning(t, w, j.Submission.ID, 1)
	machine := w.MachinesOf(j.Submission.ID)[0]
	w.Controllers[0].Crash()
	w.After(3*time.Second, w.Controllers[0].Start)
	w.Cloud.Fail(machine)
	if !w.RunUntil(22*time.Second, func() bool { return w.Running(j.Submission.ID) == 1 }) {
		t.Errorf("not replaced in 22 s\n%s", strings.Join(w.Log, "\n"))
	}
	requireNoViolations(t, w)
}

// A process is paused for longer than its heartbeat grace period and then finds workers'
// heartbeats waiting: a successor counts on it not to answer them any more.
func TestHeartbeatAfterGracePeriodIsRefused(t *testing.T) {
	w := newWorld(t)
	j := w.Submit(service(1, 1), 0)
	waitRunning(t, w, j.Submission.ID, 1)
	machine := w.MachinesOf(j.Submission.ID)[0]
	n0 := w.Controllers[0]
	n0.PausedUntil = w.Now + 60*time.Second
	got := -1
	w.After(0, func() { // the first thing that it finds
		r := protocol.Heartbeat{Machine: machine, Type: "small", Zone: "a", Incarnation: 9, Sequence: 1}
		n0.Request(message.HeartbeatRequest{Heartbeat: &r}, func(a message.Reply) { got = a.Status })
	})
	w.Run(61 * time.Second)
	if got == 200 || got == -1 {
		t.Errorf("the report was answered %d", got)
	}
}
