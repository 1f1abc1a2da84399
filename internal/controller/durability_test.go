package controller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// The transaction with a job's record is lost, late or refused, those with its other
// blocks pass, and the leader crashes. The successor knows no such job, its user submits it
// again, and the machines that could have been told of the first acceptance can't be
// asked. Nothing of a job starts before its record is durable (seen in an enlarged bench
// run as "block of an unknown job dropped", with its starts).
func TestNoStartBeforeJobIsDurable(t *testing.T) {
	t.Parallel()
	for _, kind := range []protocol.JobKind{protocol.Array, protocol.Gang, protocol.Service} {
		for _, write := range []string{"lost", "late", "refused"} {
			for _, machine := range []string{"partitioned", "hangs", "heartbeats late"} {
				for _, cancel := range []bool{false, true} {
					t.Run(fmt.Sprint(kind, " write ", write, " machine ", machine, " cancel ", cancel), func(t *testing.T) {
						t.Parallel()
						testNoStartBeforeJobIsDurable(t, kind, write, machine, cancel)
					})
				}
			}
		}
	}
}

// testNoStartBeforeJobIsDurable has the first write of the job and one of its machines meet
// faults, and crashes the leader in between.
func testNoStartBeforeJobIsDurable(t *testing.T, kind protocol.JobKind, write, machine string, cancel bool) {
	t.Helper()
	w := newWorldWith(t, onePagePerTransaction())
	machines := provisionIdleMachines(t, w)
	w.Run(5 * time.Second) // nothing is left to be written
	injectFirstWriteFault(w, write)
	j := w.Submit(multiBlockJob(1, kind), 20*time.Second)
	for range 6 {
		w.Run(50 * time.Millisecond)
		requireParentRecords(t, w, nil)
	}
	if on := w.MachinesOf(j.Submission.ID); len(on) > 0 {
		if !j.Accepted && write != "refused" {
			t.Errorf("%d tasks are on machines, and the job is not accepted", len(on))
		}
		machines = on
	}
	injectMachineFault(w, machines[:1], machine, 8*time.Second)
	crashLeader(w, 4*time.Second)
	if cancel {
		w.CancelEverywhere(j)
	}
	for n := range 80 {
		if n%10 == 5 {
			w.QueryEverywhere(j) // the user doesn't wait for an answer of the controller that has ended
		}
		w.Run(100 * time.Millisecond)
		requireParentRecords(t, w, nil)
	}
	runAndPoll(w, 60*time.Second)
	requireNoViolations(t, w)
	for _, line := range w.Log {
		if strings.Contains(line, "block of an unknown job dropped") {
			t.Error(line)
		}
	}
	if !cancel {
		requireAllServed(t, w)
	}
}

// All that a job needs is done, and its prerequisites take records of their own: it could
// start at once, and must not be durable before they are, whichever write is lost.
func TestNoStartBeforePrerequisitesAreDurable(t *testing.T) {
	t.Parallel()
	for lost := 1; lost <= 4; lost++ {
		t.Run(fmt.Sprint("write ", lost, " lost"), func(t *testing.T) {
			t.Parallel()
			w := newWorldWith(t, onePagePerTransaction())
			provisionIdleMachines(t, w)
			var needs []*fake.Job
			for n := range 200 {
				s := job(1000+n, protocol.Array, 1)
				s.CPUs, s.MemoryGB = 0.1, 0.1
				needs = append(needs, w.Submit(s, time.Second))
			}
			done := func(j *fake.Job) bool { return j.Status == protocol.StatusDone }
			for tries := 0; tries < 60 && !allMatch(needs, done); tries++ {
				runAndPoll(w, 2*time.Second)
			}
			if !allMatch(needs, done) {
				t.Fatal("the prerequisites are not done")
			}
			w.Network = loseNthWrite(w, lost)
			j := submitAfter(t, w, multiBlockJob(1, protocol.Array), time.Second, needs...)
			for range 60 {
				w.Run(50 * time.Millisecond)
				requireParentRecords(t, w, map[string]int{j.Submission.ID: len(needs)})
			}
			runAndPoll(w, 40*time.Second)
			requireNoViolations(t, w)
			requireAllServed(t, w)
		})
	}
}

// The last block of an array ends, and its removal would be durable while the end of the
// job is not, when the leader crashes. The successor must not start the tasks again whose
// ends are forgotten with the block.
func TestBlocksKeptUntilJobEndIsDurable(t *testing.T) {
	for lost := 1; lost <= 6; lost++ {
		t.Run(fmt.Sprint("lost from write ", lost), func(t *testing.T) {
			w := newWorldWith(t, onePagePerTransaction())
			provisionIdleMachines(t, w)
			j := w.Submit(multiBlockJob(1, protocol.Array), 6*time.Second)
			if !w.RunUntil(30*time.Second, func() bool { return w.Running(j.Submission.ID) == j.Submission.Tasks }) {
				t.Fatal("not all tasks run")
			}
			w.Run(2 * time.Second)
			w.SeparateWrites = true
			w.Network = loseEverySecondWrite(lost)
			before := w.Now
			if !w.RunUntil(20*time.Second, func() bool { return len(j.DoneTasks) == j.Submission.Tasks }) {
				t.Fatal("the tasks don't end")
			}
			for w.Now < before+10*time.Second {
				w.Run(50 * time.Millisecond)
				requireTasksRecorded(t, w, j)
			}
			w.Leader().Crash()
			w.Network = nil
			runAndPoll(w, 30*time.Second)
			requireNoViolations(t, w)
			requireAllServed(t, w)
		})
	}
}
