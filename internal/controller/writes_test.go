package controller_test

import (
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// More tasks than fit a page, block by block, over a change of leader.
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

// The leader crashes when the first of a job's blocks is wholly done and others are
// not. The first block carries the job's own record, which has to stay.
func TestLeaderCrashAfterFirstBlockDone(t *testing.T) {
	w := newWorld(t)
	s := job(1, protocol.Array, 30)
	s.CheckpointIntervalS, s.Team = 0, "red" // whose limit lets a block's worth run at once
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
	w.Run(3 * time.Second) // that is reported and written
	w.Controllers[0].Crash()
	for range 20 {
		w.Run(3 * time.Second)
		w.PollAll()
	}
	requireNoViolations(t, w)
	requireAllServed(t, w)
}

// A job's last task is done, and the leader crashes after any of the writes that
// say so: the final state may be durable while other pages still have blocks
// of the job.
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
		from, ended := w.State.WriteTransactions, false
		w.Network = func(kind, _, _ string) fake.Delivery {
			if leader := w.Leader(); kind == fake.KindState && leader != nil && !ended && w.State.WriteTransactions >= from+writes {
				ended = true
				w.After(0, leader.Crash) // its next write goes unsent
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
		if !ended || j.Status != protocol.StatusDone {
			t.Errorf("after %d writes: ended %t, status %q\n%s", writes, ended, j.Status, logTail(w, 10))
		}
		requireNoViolations(t, w)
	}
}

// What is over stays known when every process has ended.
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

// One-task jobs come four a second for minutes, a quarter of them cancelled, at the
// smallest budget of writes: they are accepted as they come or refused at once, no
// queue grows, and a take-over reads the records as fast at the end as at first.
func TestManySmallJobsAtSmallestWriteBudget(t *testing.T) {
	s := fake.Settings()
	s.State.WriteRPS, s.State.RPS, s.State.ValueKB = 25, 120, 4
	s.Teams = []config.Team{{Name: "red", GuaranteedCPUs: 400, CPULimit: 400}, {Name: "blue", GuaranteedCPUs: 400}}
	w := fake.NewWorld(s)
	w.Cloud.Capacity = 60
	w.Run(2 * time.Second)
	var jobs []*fake.Job
	slow, never := 0, 0
	const minutes = 3
	for i := range minutes * 60 * 4 {
		sub := job(i+1, protocol.Array, 1)
		sub.Team = []string{"red", "blue"}[i%2]
		j := w.Submit(sub, time.Duration(1+i%9)*time.Second)
		w.After(1500*time.Millisecond, func() {
			if !j.Accepted {
				slow++
			}
		})
		if i%4 == 0 {
			w.After(time.Duration(i%11)*300*time.Millisecond, func() { w.CancelJob(j) })
		}
		w.After(30*time.Second, func() {
			if !j.Accepted {
				never++
			}
		})
		jobs = append(jobs, j)
		w.Run(250 * time.Millisecond)
	}
	if slow > len(jobs)/50 || never > 0 {
		t.Errorf("%d of %d jobs not accepted within 1.5 s, %d not within 30 s", slow, len(jobs), never)
	}
	old := w.Leader()
	status, answer := adminRequest(w, old.Index, message.AdminStatus, "")
	if status != 200 {
		t.Fatalf("status: %d %s", status, answer)
	}
	old.Crash()
	if !w.RunUntil(5*time.Second, func() bool { return w.Leader() != nil }) {
		t.Errorf("nobody leads after 5 s\n%s", logTail(w, 10))
	}
	old.Start()
	runAndPoll(w, 48*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
	for _, j := range jobs {
		if j.CancelRequested && j.Status != protocol.StatusCancelled && j.Status != protocol.StatusDone {
			t.Errorf("%s: status %q", j.Submission.ID, j.Status)
		}
	}
}
