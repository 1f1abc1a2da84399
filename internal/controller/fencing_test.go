package controller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// A start command is executed and its task ends. A duplicate of the command that arrives later must
// not run the task again, neither within the same term nor after the job has progressed.
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
				t.Fatalf("the job runs again on %s", id)
			}
		}
	}
	requireNoViolations(t, w)
	requireAllServed(t, w)
}

// A start command gets no response, and later commands to the machine are lost. The machine's
// heartbeats arrive and do not list the task. The task must not run elsewhere until a higher fencing
// token has invalidated the start command, which may arrive just before that or much later. The time
// of the submission within the heartbeat interval varies, so that in some cases a heartbeat arrives
// between the timeout of the command and the next attempt.
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
			if w.RunningTasks(j.Submission.ID) != 1 || len(w.MachinesOf(j.Submission.ID)) != 1 {
				t.Errorf("on %v", w.MachinesOf(j.Submission.ID))
			}
			requireNoViolations(t, w)
		})
	}
}

// A start command is in transit when the leader crashes. The successor receives a heartbeat from
// the machine, which has not seen the new fencing token and does not list the task. This does not
// prove that the task is absent, because the start command may still arrive.
func TestHeartbeatWithoutNewTokenProvesNoAbsence(t *testing.T) {
	w := newWorld(t)
	provisionIdleMachines(t, w)
	var crashed time.Duration
	w.Network = func(kind, from, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindCommands && from == "n0" {
			delivery.RequestDelay = 8 * time.Second
		}
		// The successor's responses to heartbeats are lost for the first seconds.
		delivery.LoseResponse = kind == fake.KindHeartbeat && crashed > 0 && w.Now < crashed+9*time.Second
		return delivery
	}
	j := w.Submit(service(1, 1), 0)
	w.Run(time.Second)
	if !j.Accepted {
		t.Fatal("the job is not accepted")
	}
	w.Controllers[0].Crash()
	crashed = w.Now
	w.Run(7500 * time.Millisecond)
	if w.Leader() == nil {
		t.Fatal("no controller took over")
	}
	if log := strings.Join(w.Log, "\n"); strings.Contains(log, "task lost [job wk-000001") {
		t.Errorf("the task was considered lost\n%s", log)
	}
	waitRunning(t, w, j.Submission.ID, 1)
	w.Run(30 * time.Second)
	requireNoViolations(t, w)
}

// A machine is partitioned until its worker's lease has expired, and the leader crashes meanwhile.
// The next leader receives a heartbeat of the worker's new incarnation, starts the machine's tasks
// there again, and crashes when only some of these starts are durable. The third leader finds starts
// of both incarnations on the machine, but receives heartbeats of the newer one only, and must
// treat the tasks of the older one as lost.
func TestStartsOfTwoIncarnationsOnOneMachine(t *testing.T) {
	for durable := range 5 {
		w := newWorld(t)
		w.Cloud.CapacityOf = map[string]int{"small": 1, "large": 0}
		for i := range 80 { // on more pages than fit into a transaction
			s := service(i+1, 1)
			s.CPUs, s.MemoryGB, s.Zone = 0.05, 0.1, "a" // only one machine is eligible
			w.Submit(s, 0)
		}
		if !w.RunUntil(60*time.Second, func() bool { return len(w.MachineNames()) > 0 && w.RunningTasks("wk-000080") == 1 }) {
			t.Fatal("the replicas don't run")
		}
		w.Run(5 * time.Second)
		machine := w.MachinesOf("wk-000001")[0]
		incarnation := w.Incarnation(machine)
		w.SeparatePageWrites = true
		placed := func() int { return strings.Count(strings.Join(w.Log, "\n"), "task placed [job wk-000001 ") }
		remaining := durable
		w.Network = func(kind, from, to string) fake.Delivery {
			delivery := fake.Reliable()
			delivery.LoseRequest = w.Incarnation(machine) == incarnation && (from == machine || to == machine)
			if kind == fake.KindPageWrite && placed() > 1 {
				remaining--
				delivery.LoseRequest = remaining < 0
			}
			return delivery
		}
		w.Run(3 * time.Second)
		restartLeader(w, 3*time.Second)
		if !w.RunUntil(30*time.Second, func() bool { return placed() > 1 }) {
			t.Fatal("the replicas are not started again")
		}
		w.Run(400 * time.Millisecond)
		restartLeader(w, 3*time.Second)
		w.Network = nil
		runAndPoll(w, 60*time.Second)
		requireNoViolations(t, w)
		requireAllServed(t, w)
	}
}
