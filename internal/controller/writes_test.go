package controller_test

import (
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// An array with more tasks than fit on a page is stored in several blocks. The leader changes while
// the array runs. Every task must be done in the end.
func TestLargeArrayOnSmallPages(t *testing.T) {
	w := newWorld(t)
	s := job(1, protocol.Array, 300)
	s.Team, s.CheckpointIntervalS = "blue", 0
	j := w.Submit(s, time.Second)
	w.Run(25 * time.Second)
	w.Controllers[0].Crash()
	for range 60 {
		w.Run(3 * time.Second)
		w.PollAll()
	}
	if j.Status != protocol.StatusDone || len(j.DoneTasks) != 300 {
		t.Errorf("status %q, %d done\n%s", j.Status, len(j.DoneTasks), logTail(w, 20))
	}
	requireNoViolations(t, w)
}

// The leader crashes when all tasks of a job's first block are done and some tasks of other blocks
// are not. The job's own record is stored with the first block and must be kept.
func TestLeaderCrashAfterFirstBlockDone(t *testing.T) {
	w := newWorld(t)
	s := job(1, protocol.Array, 30)
	s.CheckpointIntervalS, s.Team = 0, "red" // the limit of this team lets the tasks of one block run at once
	j := w.Submit(s, 8*time.Second)
	firstDone := func() bool {
		for i := range 12 {
			if !j.DoneTasks[i] {
				return false
			}
		}
		return true
	}
	if !w.RunUntil(60*time.Second, firstDone) || len(j.DoneTasks) == 30 {
		t.Fatalf("%d tasks done", len(j.DoneTasks))
	}
	w.Run(3 * time.Second) // until the end of the tasks is reported and written
	w.Controllers[0].Crash()
	for range 20 {
		w.Run(3 * time.Second)
		w.PollAll()
	}
	requireNoViolations(t, w)
	requireAllServed(t, w)
}

// The last task of a job is done, and the leader crashes after one of the writes that record the end of
// the job, another one in each iteration. The next leader must report the job as done, even if the
// job's final state is durable while other pages still have blocks of the job.
func TestLeaderCrashBetweenWritesOfJobEnd(t *testing.T) {
	for writes := range 6 {
		settings := fake.Settings()
		settings.State.TxnOps = 1
		w := fake.NewWorld(settings)
		s := job(1, protocol.Array, 30)
		s.CheckpointIntervalS = 0
		j := w.Submit(s, 3*time.Second)
		if !w.RunUntil(60*time.Second, func() bool { return len(j.DoneTasks) == 30 }) {
			t.Fatalf("%d tasks done", len(j.DoneTasks))
		}
		from, crashed := w.State.WriteTransactions, false
		w.Network = func(kind, _, _ string) fake.Delivery {
			if leader := w.Leader(); kind == fake.KindState && leader != nil && !crashed && w.State.WriteTransactions >= from+writes {
				crashed = true
				w.After(0, leader.Crash) // its next request is never sent
				return fake.Delivery{LoseRequest: true}
			}
			return fake.Reliable()
		}
		w.Run(10 * time.Second)
		startCrashed(w)
		for range 8 {
			w.Run(3 * time.Second)
			w.PollAll()
		}
		if !crashed || j.Status != protocol.StatusDone {
			t.Errorf("after %d writes: crashed %t, status %q\n%s", writes, crashed, j.Status, logTail(w, 10))
		}
		requireNoViolations(t, w)
	}
}

// Terminal states of jobs must still be known after all controllers have restarted.
func TestTerminalStatesSurviveAllRestarts(t *testing.T) {
	w := newWorld(t)
	a := w.Submit(job(1, protocol.Array, 2), time.Second)
	b := w.Submit(service(2, 1), 0)
	waitRunning(t, w, b.Submission.ID, 1)
	w.CancelJob(b)
	w.Run(10 * time.Second)
	crashAll(w)
	w.Run(time.Second)
	startAll(w)
	w.Run(10 * time.Second)
	w.Resubmit(a)
	w.Resubmit(b)
	w.PollAll()
	w.Run(5 * time.Second)
	if a.Status != protocol.StatusDone || b.Status != protocol.StatusCancelled {
		t.Errorf("status %q and %q", a.Status, b.Status)
	}
	requireNoViolations(t, w)
}

// Jobs of one task are submitted four times a second for minutes with the smallest write budget, and
// a quarter of them are cancelled. Each must be accepted promptly or refused at once, no queue may
// grow, and a takeover at the end must read the records as fast as one at the beginning.
func TestManySmallJobsAtSmallestWriteBudget(t *testing.T) {
	s := fake.Settings()
	s.State.WriteRPS, s.State.RPS, s.State.ValueKB = 25, 120, 4
	s.Teams = []config.Team{{Name: "red", GuaranteedCPUs: 400, CPULimit: 400}, {Name: "blue", GuaranteedCPUs: 400}}
	w := fake.NewWorld(s)
	w.Cloud.Capacity = 60
	w.Run(2 * time.Second)
	var jobs []*fake.Job
	acceptedLate, neverAccepted := 0, 0
	const minutes = 3
	for i := range minutes * 60 * 4 {
		sub := job(i+1, protocol.Array, 1)
		sub.Team = []string{"red", "blue"}[i%2]
		j := w.Submit(sub, time.Duration(1+i%9)*time.Second)
		w.After(1500*time.Millisecond, func() {
			if !j.Accepted {
				acceptedLate++
			}
		})
		if i%4 == 0 {
			w.After(time.Duration(i%11)*300*time.Millisecond, func() { w.CancelJob(j) })
		}
		w.After(30*time.Second, func() {
			if !j.Accepted {
				neverAccepted++
			}
		})
		jobs = append(jobs, j)
		w.Run(250 * time.Millisecond)
	}
	if acceptedLate > len(jobs)/50 || neverAccepted > 0 {
		t.Errorf("%d of %d jobs not accepted within 1.5 s, %d not within 30 s", acceptedLate, len(jobs), neverAccepted)
	}
	oldLeader := w.Leader()
	status, answer := adminRequest(w, oldLeader.Index, message.AdminStatus, "")
	if status != 200 {
		t.Fatalf("status: %d %s", status, answer)
	}
	oldLeader.Crash()
	if !w.RunUntil(5*time.Second, func() bool { return w.Leader() != nil }) {
		t.Errorf("no controller leads 5 s after the crash\n%s", logTail(w, 10))
	}
	oldLeader.Start()
	runAndPoll(w, 48*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
	for _, j := range jobs {
		if j.CancelRequested && j.Status != protocol.StatusCancelled && j.Status != protocol.StatusDone {
			t.Errorf("%s: status %q", j.Submission.ID, j.Status)
		}
	}
}
