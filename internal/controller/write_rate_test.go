package controller_test

import (
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// The state service refuses every write of a page (429) for longer than a worker's lease,
// while users submit at several times the rate, and cancel. The leader stays, since its
// renewals aren't refused; nothing that runs is lost; whoever can't be served is told so
// at once, with a time to come back; and once writes are taken again the cancellations
// don't wait behind new work.
func TestWritesRefusedLongerThanLease(t *testing.T) {
	w := newWorldWith(t, smallestStateLimits())
	provisionIdleMachines(t, w)
	standing := w.Submit(service(1, 2), 0)
	waitRunning(t, w, standing.Submission.ID, 2)
	var cancelled []*fake.Job
	for i := range 8 {
		s := service(10+i, 1)
		s.CPUs = 0.1
		cancelled = append(cancelled, submitAfter(t, w, s, 0))
	}
	for _, j := range cancelled {
		waitRunning(t, w, j.Submission.ID, 1)
	}
	after := submitAfter(t, w, job(30, protocol.Array, 1), time.Hour)
	dependent := submitAfter(t, w, job(31, protocol.Array, 1), time.Second, after)
	w.Run(5 * time.Second)
	terms, lost := w.Controllers[0].Stats().TermsTaken, w.Controllers[0].Stats().TasksLost
	w.State.RejectWrites = true
	from := w.Now
	id, slowest, refused, answers := 1000, time.Duration(0), 0, 0
	for second := range 25 {
		for range 30 {
			id++
			s, asked := job(id, protocol.Array, 1), w.Now
			s.CPUs = 0.1
			// Its user asks only once, but its tasks are known to the workers.
			w.Jobs[s.ID] = &fake.Job{Submission: s, RunTime: 100 * time.Millisecond, Saved: map[int]time.Duration{}, DoneTasks: map[int]bool{}}
			w.Controllers[0].Request(message.UserRequest{Kind: message.Submit, Job: s.ID, Submission: &s}, func(r message.Reply) {
				answers++
				slowest = max(slowest, w.Now-asked)
				if r.Status == 503 && r.RetryAfterS > 0 {
					refused++
				}
			})
			w.Run(1 * time.Second / 30)
		}
		if second == 3 {
			for _, j := range cancelled {
				w.CancelJob(j)
			}
			w.CancelJob(after)
		}
		if w.Now-from > 12*time.Second { // longer than a worker's lease
			w.State.RejectWrites = false
		}
		if second == 14 {
			for _, j := range append(cancelled, after) {
				if j.Status != protocol.StatusCancelled {
					t.Errorf("%s has status %q a second after writes are taken again", j.Submission.ID, j.Status)
				}
			}
		}
	}
	if s := w.Controllers[0].Stats(); s.TermsTaken != terms || s.TasksLost != lost || !w.Controllers[0].Leads() {
		t.Errorf("%d terms, %d tasks lost", s.TermsTaken-terms, s.TasksLost-lost)
	}
	if slowest > 3*time.Second || refused == 0 {
		t.Errorf("the slowest answer took %v; %d of %d were refused", slowest, refused, answers)
	}
	// What was refused for want of writes wasn't taken in, to be written all the same.
	open, ended := recordedJobs(t, pagesOf(w))
	if n := len(open) + len(ended); n > answers-refused/2 {
		t.Errorf("%d jobs are recorded, %d of %d submissions were refused", n, refused, answers)
	}
	runAndPoll(w, 60*time.Second)
	if again := w.Submit(job(40, protocol.Array, 1), time.Second); !w.RunUntil(time.Second, func() bool { return again.Accepted }) {
		t.Error("a submission is not accepted, though writes are taken again")
	}
	if w.Running(standing.Submission.ID) != 2 || dependent.Status != protocol.StatusCancelled {
		t.Errorf("%d of 2 replicas run; the dependent has status %q", w.Running(standing.Submission.ID), dependent.Status)
	}
	requireNoViolations(t, w)
}
