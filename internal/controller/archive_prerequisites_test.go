package controller_test

import (
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// Jobs that need archived ones: done ones let them start, cancelled ones cancel them, one
// that nobody accepted is refused; a successor comes to the same.
func TestArchivedPrerequisites(t *testing.T) {
	w := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, w)
	cancelled := w.Submit(job(50, protocol.Array, 1), time.Hour)
	waitRunning(t, w, cancelled.Submission.ID, 1)
	w.CancelJob(cancelled)
	jobs := completeJobs(t, w, 100_000, 150)
	waitArchived(t, w, jobs)
	completeJobs(t, w, 300_000, 40) // so that the cancelled one goes, too
	w.Run(10 * time.Second)
	_, archive := terminalRecords(t, w)
	if _, ok := archive[cancelled.Submission.ID]; !ok {
		t.Fatal("the cancelled job is not in the archive")
	}
	after := submitAfter(t, w, job(60, protocol.Array, 1), time.Second, jobs[0], jobs[70], jobs[140])
	with := submitAfter(t, w, job(61, protocol.Array, 1), time.Second, jobs[3], cancelled)
	s := job(62, protocol.Array, 1)
	s.Prerequisites = []string{jobs[1].Submission.ID, "wk-777777"}
	refused := w.Submit(s, time.Second)
	w.Run(3 * time.Second)
	w.Leader().Crash()
	runAndPoll(w, 30*time.Second)
	if after.Status != protocol.StatusDone || with.Status != protocol.StatusCancelled || refused.RejectedWith != 422 {
		t.Errorf("after done ones %q, with a cancelled one %q, with an unknown one %d", after.Status, with.Status, refused.RejectedWith)
	}
	requireNoViolations(t, w)
}

// A job that waits names ended ones while these would be moved: they stay until it is over,
// so that a successor finds what it names.
func TestPrerequisitesOfWaitingJobsAreNotArchived(t *testing.T) {
	w := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, w)
	named := completeJobs(t, w, 500_000, 1)[0]
	running := w.Submit(job(50, protocol.Array, 1), 100*time.Second)
	waitRunning(t, w, running.Submission.ID, 1)
	waits := submitAfter(t, w, job(51, protocol.Array, 1), time.Second, named, running)
	jobs := completeJobs(t, w, 100_000, 100)
	w.Run(10 * time.Second)
	pages, _ := terminalRecords(t, w)
	if _, ok := pages[named.Submission.ID]; !ok {
		t.Error("a job that another names was moved")
	}
	w.Leader().Crash()
	for range 20 {
		runAndPoll(w, 8*time.Second)
	}
	if waits.Status != protocol.StatusDone {
		t.Errorf("the job that waits has status %q", waits.Status)
	}
	requireRecorded(t, w, jobs)
	requireNoViolations(t, w)
}

// A submission may name a cancelled job that is in the archive and another that is not over.
// It is cancelled, and the end of the other one must not end the controller.
//
// What happened: the job was cancelled because of the archived one only after it had got its edge
// to the unfinished one in the dependency graph, and its own end never took that edge away. When
// the end of the unfinished one was committed, prerequisiteDone was told that the job is ready,
// found no such job any more and dereferenced nil. The trace that showed it: panic in
// (*Manager).prerequisiteDone from endCommitted from MarkCommitted, 13.66 s into the story; the
// next leader led 0.85 s later, with clean records. See docs/incidents/2026-12-03-cancelled-job-in-dependency-graph.md.
func TestArchivedCancelledPrerequisiteBesideAnUnfinishedOne(t *testing.T) {
	defer func() {
		if err := recover(); err != nil {
			t.Errorf("the controller ended: %v", err)
		}
	}()
	s := smallMemorySettings()
	s.Limits.MemoryMB = 0.02 // one ended job is kept in memory
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
		t.Errorf("users are told that the jobs are %q and %q", unfinished.Status, dependent.Status)
	}
	requireNoViolations(t, w)
}

// Jobs name ended ones while these are on their way to the archive, and the leader crashes: the
// successor finds nothing that it doesn't know.
func TestPrerequisitesDuringArchiveMove(t *testing.T) {
	w := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, w)
	w.Controllers[2].Crash() // nothing is moved before it says that it reads the archive
	jobs := completeJobs(t, w, 100_000, 120)
	long := w.Submit(job(50, protocol.Array, 1), 90*time.Second)
	waitRunning(t, w, long.Submission.ID, 1)
	delayWrites(w)
	w.Controllers[2].Start()
	var after []*fake.Job
	for n := range 60 {
		s := job(600_000+n, protocol.Array, 1)
		s.CPUs, s.MemoryGB, s.ImageGB = 0.05, 0.05, 0.01
		after = append(after, submitAfter(t, w, s, 200*time.Millisecond, jobs[n], jobs[(n+60)%120], long))
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
	for _, j := range after {
		if j.Status != protocol.StatusDone {
			t.Errorf("%s has status %q", j.Submission.ID, j.Status)
		}
	}
}
