package controller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/election"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// A controller's next process needn't wait for the term of the one before to run out.
func TestRestartedLeaderLeadsImmediately(t *testing.T) {
	w := newWorld(t)
	w.Run(time.Second)
	w.Controllers[0].Crash()
	w.Controllers[0].Start()
	if !w.RunUntil(500*time.Millisecond, w.Controllers[0].Leads) {
		t.Error("it does not lead after half a second")
	}
	requireNoViolations(t, w)
}

// heldStateService answers at once, but for reads of pages and renewals of leases, whose last
// calls it holds.
type heldStateService struct {
	read, renewal message.StateCall
	term          int64 // of the last write of the leader's key
	pageWrites    int   // each of which is refused for a condition
}

// respond answers the calls that it doesn't hold.
func (s *heldStateService) respond(effect message.Effect) message.Event {
	call, ok := effect.(message.StateCall)
	if !ok {
		return nil
	}
	result := storage.StateResult{ID: call.ID}
	switch {
	case call.Op == storage.StateGet && call.Key == election.LeaderKey:
		result.Outcome = rpc.NotFound
	case call.Op == storage.StateGet:
		s.read = call
		return nil
	case call.Op == storage.StateRenewLease:
		s.renewal = call
		return nil
	case len(call.Txn.Then) > 0 && call.Txn.Then[0].Put == election.LeaderKey:
		s.term += 10
		result.Revision = s.term
	case len(call.Txn.Then) > 0:
		s.pageWrites++
		result.Outcome = rpc.Conflict
	default:
		result.Revision = 7
	}
	return message.StateResult{StateResult: result}
}

// A leader looks whether an earlier copy of its write landed, loses its lease
// before the answer, and leads again. The answer, which was about the earlier
// term's write, comes then: it says nothing about the new term.
func TestResponseFromEarlierTermIsIgnored(t *testing.T) {
	state := &heldStateService{}
	c := newSteppedController(&config.Config{Node: "n0", Settings: fake.Settings()}, state.respond)
	c.tick(500 * time.Millisecond)
	if !c.leads() {
		t.Fatal("does not lead")
	}
	c.deliver(message.AdminRequest{ID: 1, Kind: message.AdminChangeOptions, Body: []byte(`{"sample": 7}`)})
	if state.pageWrites != 1 || state.read.ID == 0 {
		t.Fatalf("%d writes, %+v read", state.pageWrites, state.read)
	}
	c.deliver(message.StateResult{StateResult: storage.StateResult{ID: state.renewal.ID, Outcome: rpc.NotFound}})
	if c.leads() {
		t.Fatal("leads without a lease")
	}
	c.tick(500 * time.Millisecond)
	if !c.leads() || state.term != 20 {
		t.Fatalf("does not lead again, term %d", state.term)
	}
	late := protocol.Entry{Key: state.read.Key, Version: 3}
	c.deliver(message.StateResult{StateResult: storage.StateResult{ID: state.read.ID, Entry: late}})
	if !c.leads() {
		t.Error("the late answer ended the new term")
	}
}

// Controllers refuse each other's connections: a follower sees the leader's key,
// and can't hand it a request. It says that it isn't healthy, so that users go
// to the leader; it is healthy again once the leader answers.
func TestFollowerUnhealthyWithoutLeaderConnection(t *testing.T) {
	w := newWorld(t)
	w.Run(5 * time.Second)
	healthy := func() []bool {
		return []bool{w.Controllers[0].Healthy(), w.Controllers[1].Healthy(), w.Controllers[2].Healthy()}
	}
	if h := healthy(); !slices.Equal(h, []bool{true, true, true}) {
		t.Fatalf("at first %v", h)
	}
	w.Network = func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		delivery.LoseRequest = kind == fake.KindPeer || kind == fake.KindForward
		return delivery
	}
	w.Run(4 * time.Second)
	if h := healthy(); !slices.Equal(h, []bool{true, false, false}) {
		t.Errorf("partitioned from each other: %v", h)
	}
	w.Network = nil
	w.Run(2 * time.Second)
	if h := healthy(); !slices.Equal(h, []bool{true, true, true}) {
		t.Errorf("afterwards %v", h)
	}
	requireNoViolations(t, w)
}

// The state service refuses the leader alone. Another takes the term and tells
// it so: the former leader hands its users on at once, and stays healthy, though
// it can read nothing about who leads.
func TestFormerLeaderWithoutStateServiceFollows(t *testing.T) {
	w := newWorld(t)
	a := w.Submit(service(1, 1), 0)
	waitRunning(t, w, a.Submission.ID, 1)
	w.State.Unreachable["n0"] = true
	if !w.RunUntil(10*time.Second, func() bool { return w.Controllers[1].Leads() || w.Controllers[2].Leads() }) {
		t.Fatal("nobody else leads")
	}
	w.Run(time.Second)
	for range 10 {
		status := 0
		w.Controllers[0].Request(message.UserRequest{Kind: message.Poll, Job: a.Submission.ID}, func(r message.Reply) { status = r.Status })
		w.Run(time.Second)
		if status != 200 || !w.Controllers[0].Healthy() {
			t.Fatalf("at %v status %d, healthy %t", w.Now, status, w.Controllers[0].Healthy())
		}
	}
	requireNoViolations(t, w)
}

// The leader keeps the state service and its peers, but hears no worker. Every
// worker would be sent back to it until its lease has run out: so it gives the
// term up at once, and nothing that runs is lost.
func TestLeaderWithoutHeartbeatsResigns(t *testing.T) {
	s := fake.Settings()
	s.Workers.HeartbeatIntervalS, s.Workers.LeaseS, s.Workers.CancelWithinS = 3, 14, 34
	w := fake.NewWorld(s)
	for i := range 4 {
		w.Submit(service(i+1, 3), 0)
	}
	w.Run(30 * time.Second)
	leader := w.Leader()
	if leader == nil {
		t.Fatal("nobody leads")
	}
	before := map[string]int64{}
	for _, name := range w.MachineNames() {
		before[name] = w.Incarnation(name)
	}
	if len(before) < 3 {
		t.Fatalf("only %d machines", len(before))
	}
	w.Network = func(kind, from, to string) fake.Delivery {
		delivery := fake.Reliable()
		delivery.LoseRequest = kind == fake.KindHeartbeat && to == leader.Name || kind == fake.KindCommands && from == leader.Name
		return delivery
	}
	w.Run(40 * time.Second)
	if successor := w.Leader(); successor == nil || successor == leader {
		t.Fatal("nobody else leads")
	}
	for name, incarnation := range before {
		if w.Incarnation(name) != incarnation {
			t.Errorf("%s has lost its tasks", name)
		}
	}
	requireNoViolations(t, w)
}

// The three tasks of a job end far apart, two of them on machines that hang, and
// the leader changes between any two ends: each counts once, and the job is done.
func TestTaskEndsSpreadOverLeaderChanges(t *testing.T) {
	for _, kind := range []protocol.JobKind{protocol.Array, protocol.Gang} {
		for step := range 6 {
			w := newWorld(t)
			s := job(1, kind, 3)
			s.CPUs, s.CheckpointIntervalS = 4, 0 // a machine each
			j := w.Submit(s, 4*time.Second)
			waitRunning(t, w, s.ID, 3)
			for i, machine := range w.MachinesOf(s.ID)[:2] {
				w.Workers[machine].HangUntil = w.Now + time.Duration(4+4*i)*time.Second
			}
			for i := range 3 {
				w.Run(time.Duration(1500+700*step) * time.Millisecond)
				if leader := w.Leader(); leader != nil && i < 2 {
					leader.Crash()
					w.After(time.Second, leader.Start)
				}
				w.PollAll()
			}
			runAndPoll(w, 60*time.Second)
			requireNoViolations(t, w)
			requireAllServed(t, w)
			if len(j.DoneTasks) != 3 {
				t.Errorf("step %d: %d tasks done", step, len(j.DoneTasks))
			}
		}
	}
}

// Leaders change ten times in two minutes, by ends, refusals and pauses,
// half of it inside outages, while jobs come, end and are cancelled.
func TestTenLeaderChanges(t *testing.T) {
	for seed := range 6 {
		w := newWorld(t)
		id := 0
		for change := range 10 {
			id++
			s := service(id, 1)
			w.Submit(s, 0)
			id++
			w.Submit(job(id, protocol.Array, 2), 5*time.Second)
			w.Run(time.Duration(5+(seed+change)%4) * time.Second)
			leader := w.Leader()
			if leader == nil {
				w.Run(4 * time.Second)
				continue
			}
			switch (seed + change) % 5 {
			case 0:
				leader.Crash()
				leader.Start() // back at once
			case 1:
				leader.Crash()
				w.After(3*time.Second, leader.Start)
			case 2:
				w.State.Unreachable[leader.Name] = true
				w.After(6*time.Second, func() { delete(w.State.Unreachable, leader.Name) })
			case 3:
				leader.PausedUntil = w.Now + 4*time.Second
			case 4:
				w.State.SetOutage(true)
				w.After(time.Second, leader.Crash)
				w.After(1500*time.Millisecond, leader.Start)
				w.After(7*time.Second, func() { w.State.SetOutage(false) })
			}
			if change%3 == 1 {
				w.CancelEverywhere(w.Jobs[fmt.Sprintf("wk-%06d", id-1)])
			}
			w.Run(4 * time.Second)
			w.PollAll()
		}
		runAndPoll(w, 80*time.Second)
		requireNoViolations(t, w)
		requireAllServed(t, w)
	}
}

// Every controller is down for longer than a worker's lease, and then they come
// back, or only one does: nothing starts before what ran has certainly ended, and
// then all of it runs again.
func TestAllControllersDownLongerThanLease(t *testing.T) {
	for _, back := range []int{1, 3} {
		for away := 8 * time.Second; away <= 16*time.Second; away += 700 * time.Millisecond {
			w := newWorld(t)
			a := w.Submit(service(1, 3), 0)
			w.Submit(job(2, protocol.Array, 4), 20*time.Second)
			cancelled := w.Submit(service(3, 2), 0)
			waitRunning(t, w, a.Submission.ID, 3)
			waitRunning(t, w, cancelled.Submission.ID, 2)
			w.CancelEverywhere(cancelled)
			w.Run(20 * time.Millisecond)
			crashAll(w)
			w.Run(away)
			for _, c := range w.Controllers[:back] {
				c.Start()
			}
			runAndPoll(w, 10*time.Second)
			for _, c := range w.Controllers[back:] {
				c.Start()
			}
			w.CancelEverywhere(cancelled)
			runAndPoll(w, 70*time.Second)
			requireNoViolations(t, w)
			requireAllServed(t, w)
		}
	}
}
