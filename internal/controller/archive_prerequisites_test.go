package controller_test

import (
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// Jobs depend on archived jobs. A job whose prerequisites are completed starts, a job with a
// cancelled prerequisite is cancelled, and a submission with a prerequisite that was never accepted
// is rejected. A crash of the leader does not change the outcome.
func TestArchivedPrerequisites(t *testing.T) {
	w := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, w)
	cancelled := w.Submit(job(50, protocol.Array, 1), time.Hour)
	waitRunning(t, w, cancelled.Submission.ID, 1)
	w.CancelJob(cancelled)
	jobs := completeJobs(t, w, 100_000, 150)
	waitArchived(t, w, jobs)
	completeJobs(t, w, 300_000, 40) // enough for the cancelled job to be moved, too
	w.Run(10 * time.Second)
	_, archive := terminalRecords(t, w)
	if _, ok := archive[cancelled.Submission.ID]; !ok {
		t.Fatal("the cancelled job is not in the archive")
	}
	afterDone := submitAfter(t, w, job(60, protocol.Array, 1), time.Second, jobs[0], jobs[70], jobs[140])
	afterCancelled := submitAfter(t, w, job(61, protocol.Array, 1), time.Second, jobs[3], cancelled)
	s := job(62, protocol.Array, 1)
	s.Prerequisites = []string{jobs[1].Submission.ID, "wk-777777"}
	refused := w.Submit(s, time.Second)
	w.Run(3 * time.Second)
	w.Leader().Crash()
	runAndPoll(w, 30*time.Second)
	if afterDone.Status != protocol.StatusDone || afterCancelled.Status != protocol.StatusCancelled || refused.RejectedWith != 422 {
		t.Errorf("after completed jobs: %q; after a cancelled one: %q; after an unknown one: %d", afterDone.Status, afterCancelled.Status, refused.RejectedWith)
	}
	requireNoViolations(t, w)
}

// Terminal jobs that a waiting job depends on are not moved to the archive until it has ended, so
// that a new leader finds all prerequisites of the waiting job.
func TestPrerequisitesOfWaitingJobsAreNotArchived(t *testing.T) {
	w := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, w)
	named := completeJobs(t, w, 500_000, 1)[0]
	running := w.Submit(job(50, protocol.Array, 1), 100*time.Second)
	waitRunning(t, w, running.Submission.ID, 1)
	dependent := submitAfter(t, w, job(51, protocol.Array, 1), time.Second, named, running)
	jobs := completeJobs(t, w, 100_000, 100)
	w.Run(10 * time.Second)
	pages, _ := terminalRecords(t, w)
	if _, ok := pages[named.Submission.ID]; !ok {
		t.Error("a prerequisite of a waiting job was moved to the archive")
	}
	w.Leader().Crash()
	for range 20 {
		runAndPoll(w, 8*time.Second)
	}
	if dependent.Status != protocol.StatusDone {
		t.Errorf("the dependent job has status %q", dependent.Status)
	}
	requireRecorded(t, w, jobs)
	requireNoViolations(t, w)
}

// A submission depends on a cancelled job in the archive and on an unfinished job. It is cancelled,
// and the end of the unfinished job must not crash the leader.
//
// This guards against a crash (docs/incidents/2026-12-03-cancelled-job-in-dependency-graph.md). The
// submitted job got an edge to the unfinished one in the dependency graph and was then cancelled
// because of the archived one, but the edge remained. When the unfinished job ended, the leader looked
// up the dependent job, which no longer existed, and dereferenced nil.
func TestArchivedCancelledPrerequisiteBesideAnUnfinishedOne(t *testing.T) {
	defer func() {
		if err := recover(); err != nil {
			t.Errorf("the controller panicked: %v", err)
		}
	}()
	s := smallMemorySettings()
	s.Limits.MemoryMB = 0.02 // the leader keeps one terminal job in memory
	w := newWorldWith(t, s)
	cancelled := submitAfter(t, w, job(1, protocol.Array, 1), time.Minute)
	w.Run(2 * time.Second)
	w.CancelJob(cancelled)
	completeJobs(t, w, 100, 6)
	inArchive := func() bool {
		_, archive := terminalRecords(t, w)
		_, ok := archive[cancelled.Submission.ID]
		return ok
	}
	if !w.RunUntil(time.Minute, inArchive) {
		t.Fatal("the cancelled job is not in the archive")
	}
	unfinished := submitAfter(t, w, job(2, protocol.Array, 1), 5*time.Second)
	dependent := submitAfter(t, w, job(3, protocol.Array, 1), time.Second, cancelled, unfinished)
	runAndPoll(w, 30*time.Second)
	if unfinished.Status != protocol.StatusDone || dependent.Status != protocol.StatusCancelled {
		t.Errorf("users are told that the unfinished job is %q and the dependent one %q", unfinished.Status, dependent.Status)
	}
	requireNoViolations(t, w)
}

// Jobs are submitted whose prerequisites are being moved to the archive, and the leader crashes
// repeatedly. Each new leader must find a record of every prerequisite.
func TestPrerequisitesDuringArchiveMove(t *testing.T) {
	w := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, w)
	w.Controllers[2].Crash() // jobs are moved only once all controllers support the archive
	jobs := completeJobs(t, w, 100_000, 120)
	long := w.Submit(job(50, protocol.Array, 1), 90*time.Second)
	waitRunning(t, w, long.Submission.ID, 1)
	delayWrites(w)
	w.Controllers[2].Start()
	var dependents []*fake.Job
	for n := range 60 {
		s := job(600_000+n, protocol.Array, 1)
		s.CPUs, s.MemoryGB, s.ImageGB = 0.05, 0.05, 0.01
		dependents = append(dependents, submitAfter(t, w, s, 200*time.Millisecond, jobs[n], jobs[(n+60)%120], long))
		w.Run(100 * time.Millisecond)
		if n%20 == 19 {
			crashLeader(w, 2*time.Second)
			w.Run(5 * time.Second)
		}
	}
	w.Network = nil
	runAndPoll(w, 120*time.Second)
	requireNotLogged(t, w, "prerequisite has no record")
	requireNoViolations(t, w)
	for _, j := range dependents {
		if j.Status != protocol.StatusDone {
			t.Errorf("%s has status %q", j.Submission.ID, j.Status)
		}
	}
}
