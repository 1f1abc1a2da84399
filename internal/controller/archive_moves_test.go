package controller_test

import (
	"fmt"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// The leader crashes before, during or after a move of jobs to the archive. After the first writes of
// the move, all further ones are lost, executed late, or get no response. Every job must have a record
// at all times.
func TestLeaderCrashDuringArchiveMove(t *testing.T) {
	t.Parallel()
	for _, fault := range []string{"none", "request lost", "late", "answer lost"} {
		for _, after := range []int{0, 1, 2, 5} {
			t.Run(fmt.Sprint(fault, " at write ", after), func(t *testing.T) {
				t.Parallel()
				testLeaderCrashDuringArchiveMove(t, fault, after)
			})
		}
	}
}

// testLeaderCrashDuringArchiveMove delivers the given number of writes, applies the fault to all
// later ones, and crashes the leader.
func testLeaderCrashDuringArchiveMove(t *testing.T, fault string, after int) {
	t.Helper()
	w := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, w)
	w.SeparatePageWrites = true
	jobs := completeJobs(t, w, 100_000, 60)
	writes := 0
	w.Network = func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind != fake.KindPageWrite {
			return delivery
		}
		writes++
		if writes <= after {
			return delivery
		}
		switch fault {
		case "request lost":
			delivery.LoseRequest = true
		case "late":
			delivery.LoseRequest, delivery.DuplicateAfter = true, 3*time.Second
		case "answer lost":
			delivery.LoseResponse = true
		}
		return delivery
	}
	for range 20 {
		w.Run(50 * time.Millisecond)
		requireRecorded(t, w, jobs)
	}
	crashLeader(w, 3*time.Second)
	w.Network = nil
	for range 100 {
		w.Run(50 * time.Millisecond)
		requireRecorded(t, w, jobs)
	}
	requireAllDone(t, w, jobs)
	waitArchived(t, w, jobs)
	requireAllDone(t, w, jobs)
}

// Completed jobs are polled and resubmitted at all controllers while they are moved to the archive.
// They must always have a record and stay done.
func TestRepeatedSubmissionDuringArchiveMove(t *testing.T) {
	w := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, w)
	jobs := completeJobs(t, w, 100_000, 80)
	for n := range 120 {
		for _, j := range jobs[n%8 : min(len(jobs), n%8+20)] {
			w.PollAndResubmitEverywhere(j)
		}
		w.Run(50 * time.Millisecond)
		requireRecorded(t, w, jobs)
	}
	waitArchived(t, w, jobs)
	requireAllDone(t, w, jobs)
}

// The leader reads a page of the archive to look up an unknown job, and a move to the same page is
// executed before the response to the read arrives. The response does not include the moved jobs,
// which must not be reported as unknown.
func TestArchiveReadConcurrentWithMove(t *testing.T) {
	w := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, w)
	w.Controllers[2].Crash()                 // jobs are moved only once all controllers support the archive
	jobs := completeJobs(t, w, 100_000, 600) // more archive pages than a leader caches
	delayWrites(w)
	w.Controllers[2].Start()
	for n := range 400 {
		if w.Leader() == nil {
			w.Run(50 * time.Millisecond)
			continue
		}
		w.Leader().Request(message.UserRequest{Kind: message.Poll, Job: fmt.Sprintf("wk-%06d", 100_000+(n*37)%99_000)}, func(message.Reply) {})
		if n%4 == 0 {
			w.PollAndResubmitEverywhere(jobs[n/4%len(jobs)])
		}
		w.Run(50 * time.Millisecond)
		requireRecorded(t, w, jobs)
	}
	requireNoViolations(t, w)
	w.Network = nil
	requireAllDone(t, w, jobs)
}

// Jobs of several blocks complete and are archived while every third write is lost, which may be the
// removal of a block, and the leader crashes repeatedly. No block may remain whose job's record is
// only in the archive, because a new leader would not know the block's job.
func TestBlocksRemovedBeforeJobIsArchived(t *testing.T) {
	s := smallMemorySettings()
	s.State.TxnOps = 3
	w := newWorldWith(t, s)
	provisionIdleMachines(t, w)
	completeJobs(t, w, 100_000, 60)
	w.SeparatePageWrites = true
	writes := 0
	w.Network = func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindPageWrite {
			writes++
			delivery.LoseRequest = writes%3 == 0
		}
		return delivery
	}
	var jobs []*fake.Job
	for n := range 24 {
		sub := multiBlockJob(800_000+n, protocol.Array)
		sub.CPUs, sub.MemoryGB = 0.02, 0.02
		jobs = append(jobs, w.Submit(sub, 300*time.Millisecond))
		w.Run(500 * time.Millisecond)
		if n%6 == 5 {
			w.Leader().Crash()
			w.Run(4 * time.Second)
			startCrashed(w)
			w.Run(2 * time.Second)
		}
	}
	runAndPoll(w, 40*time.Second)
	w.Leader().Crash()
	runAndPoll(w, 40*time.Second)
	requireNotLogged(t, w, "block of an unknown job dropped")
	requireNoViolations(t, w)
	for _, j := range jobs {
		if j.Status != protocol.StatusDone {
			t.Errorf("%s has status %q", j.Submission.ID, j.Status)
		}
	}
}

// There are more terminal jobs than a leader keeps in memory, and none of them may be moved to the
// archive because a waiting job depends on all of them. Users must still be able to look up jobs
// in the archive.
func TestArchiveReadableWhileNothingCanMove(t *testing.T) {
	w, jobs := newWorldWithArchive(t, 600)
	long := w.Submit(job(50, protocol.Array, 1), time.Hour)
	waitRunning(t, w, long.Submission.ID, 1)
	prerequisites := []*fake.Job{long}
	for n := range terminalJobsInMemory + 8 {
		s := job(700_000+n, protocol.Array, 1)
		s.CPUs, s.MemoryGB, s.ImageGB = 0.05, 0.05, 0.01
		prerequisites = append(prerequisites, w.Submit(s, 12*time.Second))
	}
	submitAfter(t, w, job(51, protocol.Array, 1), time.Second, prerequisites...)
	runAndPoll(w, 40*time.Second)
	if pages, _ := terminalRecords(t, w); len(pages) <= terminalJobsInMemory {
		t.Fatalf("only %d terminal jobs are on pages: some were moved to the archive", len(pages))
	}
	leader := w.Leader()
	for n := 0; n < len(jobs); n += 15 {
		status := 0
		leader.Request(message.UserRequest{Kind: message.Poll, Job: jobs[n].Submission.ID}, func(r message.Reply) { status = r.Status })
		w.Run(300 * time.Millisecond)
		if status != 200 {
			t.Errorf("poll of %s: status %d after 0.3 s", jobs[n].Submission.ID, status)
		}
	}
	requireNoViolations(t, w)
}
