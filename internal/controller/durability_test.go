package controller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// No task may start before its job's record is durable. The transaction with the job's record is lost,
// delayed or refused, those with the job's other blocks succeed, and the leader crashes. The next
// leader does not know the job, and the user submits it again. A machine that may have received
// starts after the first submission does not respond.
//
// This guards against a fault that occurred in a large benchmark run: a new leader logged "block of an
// unknown job dropped" in this situation and lost the starts in the block.
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

// testNoStartBeforeJobIsDurable applies faults to the first write of the job and to one of its
// machines, and crashes the leader in between.
func testNoStartBeforeJobIsDurable(t *testing.T, kind protocol.JobKind, write, machine string, cancel bool) {
	t.Helper()
	w := newWorldWith(t, onePagePerTransaction())
	machines := provisionIdleMachines(t, w)
	w.Run(5 * time.Second) // until no writes are pending
	injectFirstWriteFault(w, write)
	j := w.Submit(multiBlockJob(1, kind), 20*time.Second)
	for range 6 {
		w.Run(50 * time.Millisecond)
		requireParentRecords(t, w, nil)
	}
	if on := w.MachinesOf(j.Submission.ID); len(on) > 0 {
		if !j.Accepted && write != "refused" {
			t.Errorf("%d tasks are on machines before the job is accepted", len(on))
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
			w.PollAndResubmitEverywhere(j) // the user does not wait for the crashed controller's response
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

// All prerequisites of a job are done, so the job could start at once. The list of its prerequisites
// is stored in separate records. Whichever write is lost, the job's record must not become durable
// before these records.
func TestNoStartBeforePrerequisitesAreDurable(t *testing.T) {
	t.Parallel()
	for lost := 1; lost <= 4; lost++ {
		t.Run(fmt.Sprint("write ", lost, " lost"), func(t *testing.T) {
			t.Parallel()
			w := newWorldWith(t, onePagePerTransaction())
			provisionIdleMachines(t, w)
			var prerequisites []*fake.Job
			for n := range 200 {
				s := job(1000+n, protocol.Array, 1)
				s.CPUs, s.MemoryGB = 0.1, 0.1
				prerequisites = append(prerequisites, w.Submit(s, time.Second))
			}
			done := func(j *fake.Job) bool { return j.Status == protocol.StatusDone }
			for tries := 0; tries < 60 && !allMatch(prerequisites, done); tries++ {
				runAndPoll(w, 2*time.Second)
			}
			if !allMatch(prerequisites, done) {
				t.Fatal("the prerequisites are not completed")
			}
			w.Network = loseNthWrite(w, lost)
			j := submitAfter(t, w, multiBlockJob(1, protocol.Array), time.Second, prerequisites...)
			for range 60 {
				w.Run(50 * time.Millisecond)
				requireParentRecords(t, w, map[string]int{j.Submission.ID: len(prerequisites)})
			}
			runAndPoll(w, 40*time.Second)
			requireNoViolations(t, w)
			requireAllServed(t, w)
		})
	}
}

// The last block of an array completes, some writes are lost, and the leader crashes. The removal of
// the block must not become durable before the end of the job. Otherwise, the next leader would not
// know which tasks of the block had ended and would start them again.
func TestBlocksKeptUntilJobEndIsDurable(t *testing.T) {
	for lost := 1; lost <= 6; lost++ {
		t.Run(fmt.Sprint("lost from write ", lost), func(t *testing.T) {
			w := newWorldWith(t, onePagePerTransaction())
			provisionIdleMachines(t, w)
			j := w.Submit(multiBlockJob(1, protocol.Array), 6*time.Second)
			if !w.RunUntil(30*time.Second, func() bool { return w.RunningTasks(j.Submission.ID) == j.Submission.Tasks }) {
				t.Fatal("not all tasks run")
			}
			w.Run(2 * time.Second)
			w.SeparatePageWrites = true
			w.Network = loseEverySecondWrite(lost)
			before := w.Now
			if !w.RunUntil(20*time.Second, func() bool { return len(j.DoneTasks) == j.Submission.Tasks }) {
				t.Fatal("the tasks do not end")
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
