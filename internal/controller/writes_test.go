package controller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/controller"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// The answer to a write is lost, and the write landed: it is recognised by its
// own id, and the leader goes on.
func TestCommittedWriteWithLostResponse(t *testing.T) {
	w := newWorld(t)
	w.Run(5 * time.Second)
	lost := 0
	w.Network = func(kind, from, _ string) fake.Delivery {
		f := fake.Reliable()
		if kind == fake.KindState && from == "n0" && w.State.WriteTransactions > 1 && lost < 2 {
			lost++
			f.LoseResponse = true
		}
		return f
	}
	a := w.Submit(service(1, 1), 0)
	waitRunning(t, w, a.Submission.ID, 1)
	if lost == 0 || !w.Controllers[0].Leads() || w.Controllers[0].Stats().TermsTaken != 1 {
		t.Errorf("%d answers lost, terms %d", lost, w.Controllers[0].Stats().TermsTaken)
	}
	requireNoViolations(t, w)
}

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
		t.Errorf("told %q, %d done\n%s", j.Status, len(j.DoneTasks), strings.Join(w.Log[max(0, len(w.Log)-20):], "\n"))
	}
	requireNoViolations(t, w)
}

// The leader ends when the first of a job's blocks is wholly done and others are
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

// A job's last task is done, and the leader ends after any of the writes that
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
			if l := w.Leader(); kind == fake.KindState && l != nil && !ended && w.State.WriteTransactions >= from+writes {
				ended = true
				w.After(0, l.Crash) // its next write goes unsent
				return fake.Delivery{LoseRequest: true}
			}
			return fake.Reliable()
		}
		w.Run(10 * time.Second)
		for _, n := range w.Controllers {
			if !n.Up {
				n.Start()
			}
		}
		for range 8 {
			w.Run(3 * time.Second)
			w.PollAll()
		}
		if !ended || j.Status != protocol.StatusDone {
			t.Errorf("after %d writes: ended %t, told %q\n%s", writes, ended, j.Status, strings.Join(w.Log[max(0, len(w.Log)-10):], "\n"))
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
	for _, n := range w.Controllers {
		n.Crash()
	}
	w.Run(time.Second)
	for _, n := range w.Controllers {
		n.Start()
	}
	w.Run(10 * time.Second)
	w.Resubmit(a)
	w.Resubmit(b)
	w.PollAll()
	w.Run(5 * time.Second)
	if a.Status != protocol.StatusDone || b.Status != protocol.StatusCancelled {
		t.Errorf("told %q and %q", a.Status, b.Status)
	}
	requireNoViolations(t, w)
}

// A submission that can't be made durable is refused when that is known, not
// when its user has waited long enough; one that can be, however slowly, waits.
func TestSubmissionRefusedImmediatelyOrCommitted(t *testing.T) {
	type answer struct {
		status int
		after  time.Duration
	}
	ask := func(w *fake.World, id int) *answer {
		s, a, since := service(id, 3), &answer{}, w.Now
		w.Controllers[0].Request(message.UserRequest{Kind: message.Submit, Job: s.ID, Submission: &s}, func(r message.Reply) {
			*a = answer{r.Status, w.Now - since}
		})
		return a
	}
	t.Run("outage", func(t *testing.T) {
		w := newWorld(t)
		w.Run(5 * time.Second)
		w.State.SetOutage(true)
		first := ask(w, 1)
		w.Run(1500 * time.Millisecond) // the term's lease is a second
		if first.status != 503 || first.after > 1200*time.Millisecond {
			t.Errorf("when the outage began: %d after %v", first.status, first.after)
		}
		if next := ask(w, 2); next.status != 503 {
			t.Errorf("in the outage: %d", next.status)
		}
		w.State.SetOutage(false)
		w.Run(5 * time.Second)
		if again := ask(w, 1); again.status != 200 {
			t.Errorf("the first, asked again: %d", again.status)
		}
	})
	t.Run("long queue", func(t *testing.T) {
		w := newWorld(t)
		w.Run(5 * time.Second)
		var all []*answer
		const asked = 600 // more than the write budget lets through while they wait
		for i := range asked {
			all = append(all, ask(w, i+1))
		}
		refused := 0
		for _, a := range all {
			if a.status == 503 {
				refused++
			}
		}
		w.Run(4 * time.Second)
		for i, a := range all {
			if a.status != 503 && a.status != 201 || a.after > protocol.SubmitTimeoutS*time.Second*3/4 {
				t.Fatalf("number %d: %d after %v", i, a.status, a.after)
			}
		}
		if refused == 0 || refused > 300 {
			t.Errorf("%d of %d refused at once", refused, asked)
		}
	})
	t.Run("slow", func(t *testing.T) {
		w := newWorld(t)
		w.Run(5 * time.Second)
		w.Network = func(kind, _, _ string) fake.Delivery {
			f := fake.Reliable()
			if kind == fake.KindState {
				f.ResponseDelay = 300 * time.Millisecond
			}
			return f
		}
		a := ask(w, 1)
		w.Run(2 * time.Second)
		if a.status != 201 || a.after < 300*time.Millisecond {
			t.Errorf("%d after %v", a.status, a.after)
		}
	})
}

// Every kind of write of a day is carried out and its answer lost, or carried out
// only after newer ones, while others read: each is recognised, none counts twice.
func TestWritesWithLostResponses(t *testing.T) {
	type meeting struct {
		share   int           // one of so many gets no answer
		late    time.Duration // and is carried out so much later; 0: at once
		crashes bool
	}
	for _, m := range []meeting{
		{2, 0, false}, {3, 0, true}, {3, 2 * time.Second, false}, {4, 12 * time.Second, true}, {2, 5 * time.Second, true}, {5, 700 * time.Millisecond, true},
	} {
		t.Run(fmt.Sprintf("one of %d, %v, %t", m.share, m.late, m.crashes), func(t *testing.T) {
			t.Parallel()
			for seed := range 8 {
				w := newWorld(t)
				writes := seed
				until := w.Now + 60*time.Second
				w.Network = func(kind, _, _ string) fake.Delivery {
					f := fake.Reliable()
					if kind == fake.KindState && w.Now < until {
						if writes++; writes%m.share == 0 {
							f.LoseResponse = true
							f.RequestDelay += m.late
						}
					}
					return f
				}
				var services []*fake.Job
				for i := range 12 {
					if i%3 == 0 {
						services = append(services, w.Submit(service(i+1, 1), 0))
					} else {
						w.Submit(job(i+1, protocol.JobKind(i%2), 1+i%3), 4*time.Second)
					}
					w.Run(1700 * time.Millisecond)
					w.PollAll()
					if i == 8 {
						w.CancelEverywhere(services[0])
					}
				}
				if m.crashes {
					if l := w.Leader(); l != nil {
						l.Crash()
						w.After(2*time.Second, l.Start)
					}
				}
				runAndPoll(w, 120*time.Second)
				requireNoViolations(t, w)
				requireAllServed(t, w)
				if services[0].Status != protocol.StatusCancelled {
					t.Errorf("told %q", services[0].Status)
				}
				if known, there := w.KnownMachines(), len(w.Cloud.MachineNames()); !m.crashes && known != there {
					t.Errorf("%d machines known of %d", known, there)
				}
			}
		})
	}
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
		t.Errorf("nobody leads after 5 s\n%s", strings.Join(w.Log[max(0, len(w.Log)-10):], "\n"))
	}
	old.Start()
	runAndPoll(w, 48*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
	for _, j := range jobs {
		if j.CancelRequested && j.Status != protocol.StatusCancelled && j.Status != protocol.StatusDone {
			t.Errorf("%s: told %q", j.Submission.ID, j.Status)
		}
	}
}

// A write is refused for a condition, and the page holds neither what it was nor
// our own write: another leads. Nobody is told that what was asked is durable.
func TestConflictingWriteOfAnotherLeader(t *testing.T) {
	n := controller.New(&config.Config{Node: "n0", Settings: fake.Settings()}, "boot", 1)
	now := message.Now{}
	var replies []message.Reply
	refused := 0
	var give func(commands ...message.Event)
	give = func(commands ...message.Event) {
		now.Monotonic += time.Millisecond
		for _, effect := range n.Step(now, commands) {
			switch c := effect.(type) {
			case message.Reply:
				replies = append(replies, c)
			case message.CloudCall:
				if c.Op == message.CloudListTypes {
					give(message.CloudResult{ID: c.ID, Types: fake.Types()})
				}
			case message.StateCall:
				r := storage.StateResult{ID: c.ID, Revision: 7}
				switch {
				case c.Op == storage.StateGet && c.Key == controller.LeaderKey:
					r.Outcome = rpc.NotFound
				case c.Op == storage.StateGet:
					r.Entry = protocol.Entry{Key: c.Key, Version: 9, Value: protocol.Encode(storage.PageValue{WriteID: "another-1"})}
				case c.Op == storage.StateTxn && len(c.Txn.Then) > 0 && c.Txn.Then[0].Put != controller.LeaderKey:
					r.Outcome = rpc.Conflict
					refused++
				}
				give(message.StateResult{StateResult: r})
			}
		}
	}
	for range 4 {
		now.Monotonic += 400 * time.Millisecond
		give(message.Tick{})
	}
	if n.Role() != "leader" {
		t.Fatalf("is %s", n.Role())
	}
	s := service(1, 1)
	give(message.UserRequest{ID: 1, Kind: message.Submit, Job: s.ID, Submission: &s})
	if refused == 0 || n.Role() == "leader" {
		t.Errorf("%d writes refused, and is %s", refused, n.Role())
	}
	for _, r := range replies {
		if r.Status < 400 {
			t.Errorf("told %d", r.Status)
		}
	}
}
