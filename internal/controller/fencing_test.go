package controller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// A start is carried out, the task ends, and then a copy of the start arrives:
// first within the term, then after the job has moved on.
func TestDuplicateStartDoesNotRunAgain(t *testing.T) {
	w := newWorld(t)
	w.Network = func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindCommands {
			delivery.DuplicateAfter = 25 * time.Second
		}
		return delivery
	}
	j := w.Submit(job(1, protocol.Array, 3), 2*time.Second)
	for range 30 {
		w.Run(2 * time.Second)
		w.PollAll()
		for _, id := range w.MachinesOf(j.Submission.ID) {
			if w.Now > 45*time.Second {
				t.Fatalf("runs again on %s", id)
			}
		}
	}
	requireNoViolations(t, w)
	requireAllServed(t, w)
}

// A start gets no answer, and further commands don't arrive either. Heartbeats do,
// and don't name the task: it must not run elsewhere until the start is void,
// which a raised token makes it; it may arrive just before, or much later. The
// job comes at any time between two heartbeats, so that one falls between the
// commands that are given up and the next try.
func TestUnconfirmedStartIsFencedBeforeRetry(t *testing.T) {
	for at := range 40 {
		late := []time.Duration{2500, 2900, 3300, 30_000}[at%4]
		t.Run(fmt.Sprintf("start %v late, step %d", late*time.Millisecond, at), func(t *testing.T) {
			w := newWorld(t)
			provisionIdleMachines(t, w)
			w.Run(time.Duration(at) * 50 * time.Millisecond)
			machine := ""
			w.Network = func(kind, _, to string) fake.Delivery {
				delivery := fake.Reliable()
				switch {
				case kind != fake.KindCommands || machine != "" && to != machine:
				case machine == "":
					machine, delivery.RequestDelay = to, late*time.Millisecond
				case w.Now < 60*time.Second:
					delivery.LoseRequest = true
				}
				return delivery
			}
			j := w.Submit(service(1, 1), 0)
			waitRunning(t, w, j.Submission.ID, 1)
			w.Run(60 * time.Second)
			if w.Running(j.Submission.ID) != 1 || len(w.MachinesOf(j.Submission.ID)) != 1 {
				t.Errorf("on %v", w.MachinesOf(j.Submission.ID))
			}
			requireNoViolations(t, w)
		})
	}
}

// A start is on its way when the leader crashes. The successor hears from the
// machine, which has not seen the new token and does not have the task: that
// proves nothing, since the start may still arrive.
func TestHeartbeatWithoutNewTokenProvesNoAbsence(t *testing.T) {
	w := newWorld(t)
	provisionIdleMachines(t, w)
	var crashed time.Duration
	w.Network = func(kind, from, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindCommands && from == "n0" {
			delivery.RequestDelay = 8 * time.Second
		}
		// The successor's answers are lost at first.
		delivery.LoseResponse = kind == fake.KindHeartbeat && crashed > 0 && w.Now < crashed+9*time.Second
		return delivery
	}
	j := w.Submit(service(1, 1), 0)
	w.Run(time.Second)
	if !j.Accepted {
		t.Fatal("not accepted")
	}
	w.Controllers[0].Crash()
	crashed = w.Now
	w.Run(7500 * time.Millisecond)
	if w.Leader() == nil {
		t.Fatal("nobody took over")
	}
	if log := strings.Join(w.Log, "\n"); strings.Contains(log, "task lost [job wk-000001") {
		t.Errorf("absence believed\n%s", log)
	}
	waitRunning(t, w, j.Submission.ID, 1)
	w.Run(30 * time.Second)
	requireNoViolations(t, w)
}

// A machine is partitioned until its worker's lease has ended, and the leader crashes meanwhile. The
// next one hears of the new incarnation and starts the machine's tasks there again; it ends when
// only some of these starts are durable. Its successor finds starts of both incarnations on the
// machine, and hears of the newer one only: the older ones are gone.
func TestStartsOfTwoIncarnationsOnOneMachine(t *testing.T) {
	for durable := range 5 {
		w := newWorld(t)
		w.Cloud.CapacityOf = map[string]int{"small": 1, "large": 0}
		for i := range 80 { // on more pages than a transaction takes
			s := service(i+1, 1)
			s.CPUs, s.MemoryGB, s.Zone = 0.05, 0.1, "a" // there is one machine that they may have
			w.Submit(s, 0)
		}
		if !w.RunUntil(60*time.Second, func() bool { return len(w.MachineNames()) > 0 && w.Running("wk-000080") == 1 }) {
			t.Fatal("the replicas don't run")
		}
		w.Run(5 * time.Second)
		machine := w.MachinesOf("wk-000001")[0]
		incarnation := w.Incarnation(machine)
		w.SeparateWrites = true
		placed := func() int { return strings.Count(strings.Join(w.Log, "\n"), "task placed [job wk-000001 ") }
		left := durable
		w.Network = func(kind, from, to string) fake.Delivery {
			delivery := fake.Reliable()
			delivery.LoseRequest = w.Incarnation(machine) == incarnation && (from == machine || to == machine)
			if kind == fake.KindWrite && placed() > 1 {
				left--
				delivery.LoseRequest = left < 0
			}
			return delivery
		}
		w.Run(3 * time.Second)
		restartLeader(w, 3*time.Second)
		if !w.RunUntil(30*time.Second, func() bool { return placed() > 1 }) {
			t.Fatal("the replicas aren't started again")
		}
		w.Run(400 * time.Millisecond)
		restartLeader(w, 3*time.Second)
		w.Network = nil
		runAndPoll(w, 60*time.Second)
		requireNoViolations(t, w)
		requireAllServed(t, w)
	}
}
