package controller_test

import (
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// submissionLoad submits jobs to n0 at a fixed rate, each of them once, and counts the responses.
type submissionLoad struct {
	world              *fake.World
	lastID             int
	responses, refused int
	slowest            time.Duration
}

// submissionsPerSecond is several times the write rate.
const submissionsPerSecond = 30

// runForSecond submits jobs for one second.
func (l *submissionLoad) runForSecond() {
	for range submissionsPerSecond {
		l.submit()
		l.world.Run(1 * time.Second / submissionsPerSecond)
	}
}

// submit submits the next job. Unlike World.Submit, it never retries.
func (l *submissionLoad) submit() {
	l.lastID++
	w := l.world
	s, sentAt := job(l.lastID, protocol.Array, 1), w.Now
	s.CPUs = 0.1
	// The workers have to know the job to run it.
	w.Jobs[s.ID] = &fake.Job{Submission: s, RunTime: 100 * time.Millisecond, CheckpointedRunTime: map[int]time.Duration{}, DoneTasks: map[int]bool{}}
	w.Controllers[0].Request(message.UserRequest{Kind: message.Submit, Job: s.ID, Submission: &s}, func(r message.Reply) {
		l.responses++
		l.slowest = max(l.slowest, w.Now-sentAt)
		if r.Status == 503 && r.RetryAfterS > 0 {
			l.refused++
		}
	})
}

// The state service refuses every write of a page (429) for longer than a worker's lease, while
// users submit jobs at several times the write rate and cancel others. The leader must keep its
// term, because its renewals aren't refused, and no running task may be lost. Submissions that
// can't be recorded must be refused at once, with a time after which to retry. Once writes are
// accepted again, the cancellations must not wait behind new work.
func TestWritesRefusedLongerThanLease(t *testing.T) {
	w := newWorldWith(t, smallestStateLimits())
	provisionIdleMachines(t, w)
	running := w.Submit(service(1, 2), 0)
	waitRunning(t, w, running.Submission.ID, 2)
	cancelled := runServices(t, w, 10, 8)
	after := submitAfter(t, w, job(30, protocol.Array, 1), time.Hour)
	dependent := submitAfter(t, w, job(31, protocol.Array, 1), time.Second, after)
	cancelled = append(cancelled, after)
	w.Run(5 * time.Second)
	terms, lost := w.Controllers[0].Stats().TermsAcquired, w.Controllers[0].Stats().TasksLost
	load := &submissionLoad{world: w, lastID: 1000}
	refuseWritesUnderLoad(t, load, cancelled)
	if s := w.Controllers[0].Stats(); s.TermsAcquired != terms || s.TasksLost != lost || !w.Controllers[0].Leads() {
		t.Errorf("%d new terms, %d tasks lost", s.TermsAcquired-terms, s.TasksLost-lost)
	}
	if load.slowest > 3*time.Second || load.refused == 0 {
		t.Errorf("the slowest response took %v; %d of %d submissions were refused", load.slowest, load.refused, load.responses)
	}
	// Submissions that were refused because nothing could be written must not be recorded later.
	open, ended := recordedJobs(t, pagesOf(w))
	if n := len(open) + len(ended); n > load.responses-load.refused/2 {
		t.Errorf("%d jobs are recorded, %d of %d submissions were refused", n, load.refused, load.responses)
	}
	runAndPoll(w, 60*time.Second)
	if again := w.Submit(job(40, protocol.Array, 1), time.Second); !w.RunUntil(time.Second, func() bool { return again.Accepted }) {
		t.Error("a submission is not accepted although writes are accepted again")
	}
	if w.RunningTasks(running.Submission.ID) != 2 || dependent.Status != protocol.StatusCancelled {
		t.Errorf("%d of 2 replicas run; the dependent has status %q", w.RunningTasks(running.Submission.ID), dependent.Status)
	}
	requireNoViolations(t, w)
}

// runServices submits the given number of services of one replica, numbered from first, and waits
// until they run.
func runServices(t *testing.T, w *fake.World, first, count int) []*fake.Job {
	t.Helper()
	var jobs []*fake.Job
	for i := range count {
		s := service(first+i, 1)
		s.CPUs = 0.1
		jobs = append(jobs, submitAfter(t, w, s, 0))
	}
	for _, j := range jobs {
		waitRunning(t, w, j.Submission.ID, 1)
	}
	return jobs
}

// refuseWritesUnderLoad makes the state service refuse page writes for longer than a worker's lease,
// cancels jobs meanwhile, and requires them to be cancelled a second after writes are accepted again.
func refuseWritesUnderLoad(t *testing.T, load *submissionLoad, toCancel []*fake.Job) {
	t.Helper()
	w := load.world
	from := w.Now
	w.State.RejectPageWrites = true
	for second := range 25 {
		load.runForSecond()
		if second == 3 {
			for _, j := range toCancel {
				w.CancelJob(j)
			}
		}
		if w.Now-from > 12*time.Second { // longer than a worker's lease
			w.State.RejectPageWrites = false
		}
		if second == 14 {
			for _, j := range toCancel {
				if j.Status != protocol.StatusCancelled {
					t.Errorf("%s has status %q a second after writes are accepted again", j.Submission.ID, j.Status)
				}
			}
		}
	}
}
