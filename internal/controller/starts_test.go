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
		f := fake.Reliable()
		if kind == fake.KindCommands {
			f.DuplicateAfter = 25 * time.Second
		}
		return f
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

// A start gets no answer, and further commands don't arrive either. Reports do,
// and don't name the task: it must not run elsewhere until the start is void,
// which a raised token makes it; it may arrive just before, or much later. The
// job comes at any time between two reports, so that one falls between the
// commands that are given up and the next try.
func TestUnconfirmedStartIsFencedBeforeRetry(t *testing.T) {
	for at := range 40 {
		late := []time.Duration{2500, 2900, 3300, 30_000}[at%4]
		t.Run(fmt.Sprint(late*time.Millisecond, " ", at), func(t *testing.T) {
			w := newWorld(t)
			provisionIdleMachines(t, w)
			w.Run(time.Duration(at) * 50 * time.Millisecond)
			host := ""
			w.Network = func(kind, _, to string) fake.Delivery {
				f := fake.Reliable()
				switch {
				case kind != fake.KindCommands || host != "" && to != host:
				case host == "":
					host, f.RequestDelay = to, late*time.Millisecond
				case w.Now < 60*time.Second:
					f.LoseRequest = true
				}
				return f
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

// A start is on its way when the leader ends. The successor hears from the
// machine, which has not seen the new token and does not have the task: that
// proves nothing, since the start may still arrive.
func TestHeartbeatWithoutNewTokenProvesNoAbsence(t *testing.T) {
	w := newWorld(t)
	provisionIdleMachines(t, w)
	var crashed time.Duration
	w.Network = func(kind, from, _ string) fake.Delivery {
		f := fake.Reliable()
		if kind == fake.KindCommands && from == "n0" {
			f.RequestDelay = 8 * time.Second
		}
		// The successor's answers are lost at first.
		f.LoseResponse = kind == fake.KindHeartbeat && crashed > 0 && w.Now < crashed+9*time.Second
		return f
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

// A machine fails every task; others don't. It is set aside and given back.
func TestFailingMachineIsCordoned(t *testing.T) {
	w := newWorld(t)
	a := w.Submit(service(1, 1), 0)
	waitRunning(t, w, a.Submission.ID, 1)
	sick := w.MachinesOf(a.Submission.ID)[0]
	w.Workers[sick].FailsTasks = true
	for i := range 5 {
		w.Submit(job(i+2, protocol.Array, 2), time.Second)
	}
	for range 25 {
		w.Run(2 * time.Second)
		w.PollAll()
	}
	if !strings.Contains(strings.Join(w.Log, "\n"), "machine cordoned [host "+sick) {
		t.Errorf("not set aside\n%s", strings.Join(w.Log, "\n"))
	}
	requireAllServed(t, w)
	requireNoViolations(t, w)
}

// A job fails wherever it goes: no machine is blamed, and it is not retried hot.
func TestFailingJobCordonsNoMachine(t *testing.T) {
	w := newWorld(t)
	for i := range 3 {
		j := w.Submit(service(i+1, 1), 0)
		j.AlwaysFails = true
	}
	w.Run(90 * time.Second)
	st := w.Controllers[0].Stats()
	if st.TasksFailed < 6 || st.TasksFailed > 60 {
		t.Errorf("%d failures in 90 s", st.TasksFailed)
	}
	good := w.Submit(service(9, 1), 0)
	waitRunning(t, w, good.Submission.ID, 1)
	requireNoViolations(t, w)
}

// A member of a gang is lost: the rest end, and the next attempt starts as one.
func TestGangRestartsTogether(t *testing.T) {
	w := newWorld(t)
	s := job(1, protocol.Gang, 3)
	s.CPUs, s.Spread = 3, true
	j := w.Submit(s, 40*time.Second)
	waitRunning(t, w, s.ID, 3)
	w.Cloud.Fail(w.MachinesOf(s.ID)[1])
	w.Run(2 * time.Second)
	waitRunning(t, w, s.ID, 3)
	for range 40 {
		w.Run(2 * time.Second)
		w.PollAll()
	}
	if j.Status != protocol.StatusDone {
		t.Errorf("told %q", j.Status)
	}
	requireNoViolations(t, w)
}
