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

// A restarted leader leads again immediately: it needn't wait until the lease of its earlier process
// expires.
func TestRestartedLeaderLeadsImmediately(t *testing.T) {
	w := newWorld(t)
	w.Run(time.Second)
	w.Controllers[0].Crash()
	w.Controllers[0].Start()
	if !w.RunUntil(500*time.Millisecond, w.Controllers[0].Leads) {
		t.Error("the restarted controller does not lead after half a second")
	}
	requireNoViolations(t, w)
}

// stateServiceStub responds immediately, except to reads of pages and renewals of leases. It stores
// the last read and the last renewal, so that the test can respond later.
type stateServiceStub struct {
	read, renewal message.StateCall
	term          int64 // of the last write of the leader's key
	pageWrites    int   // number of page writes, all of which fail with a conflict
}

// respond returns the response to a call, or nil if the call is stored.
func (s *stateServiceStub) respond(effect message.Effect) message.Event {
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

// After a conflict, the leader reads the page to find out whether an earlier copy of its write was
// executed. It loses its lease before the response arrives, and is elected again. The response belongs
// to the earlier term and must not end the new one.
func TestResponseFromEarlierTermIsIgnored(t *testing.T) {
	state := &stateServiceStub{}
	c := newSteppedController(&config.Config{Node: "n0", Settings: fake.Settings()}, state.respond)
	c.tick(500 * time.Millisecond)
	if !c.leads() {
		t.Fatal("the controller does not lead")
	}
	c.deliver(message.AdminRequest{ID: 1, Kind: message.AdminChangeOptions, Body: []byte(`{"sample": 7}`)})
	if state.pageWrites != 1 || state.read.ID == 0 {
		t.Fatalf("%d writes of pages, read %+v", state.pageWrites, state.read)
	}
	c.deliver(message.StateResult{StateResult: storage.StateResult{ID: state.renewal.ID, Outcome: rpc.NotFound}})
	if c.leads() {
		t.Fatal("the controller leads without a lease")
	}
	c.tick(500 * time.Millisecond)
	if !c.leads() || state.term != 20 {
		t.Fatalf("the controller does not lead again, term %d", state.term)
	}
	late := protocol.Entry{Key: state.read.Key, Version: 3}
	c.deliver(message.StateResult{StateResult: storage.StateResult{ID: state.read.ID, Entry: late}})
	if !c.leads() {
		t.Error("the late response ended the new term")
	}
}

// Connections between controllers fail: a follower finds the leader in the state service but can't
// forward requests to it. The follower reports that it is unhealthy, so that the load balancer sends
// users to the leader, and is healthy again once the leader responds.
func TestFollowerUnhealthyWithoutLeaderConnection(t *testing.T) {
	w := newWorld(t)
	w.Run(5 * time.Second)
	healthy := func() []bool {
		return []bool{w.Controllers[0].Healthy(), w.Controllers[1].Healthy(), w.Controllers[2].Healthy()}
	}
	if h := healthy(); !slices.Equal(h, []bool{true, true, true}) {
		t.Fatalf("health before the partition: %v", h)
	}
	w.Network = func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		delivery.LoseRequest = kind == fake.KindPeer || kind == fake.KindForward
		return delivery
	}
	w.Run(4 * time.Second)
	if h := healthy(); !slices.Equal(h, []bool{true, false, false}) {
		t.Errorf("health during the partition: %v", h)
	}
	w.Network = nil
	w.Run(2 * time.Second)
	if h := healthy(); !slices.Equal(h, []bool{true, true, true}) {
		t.Errorf("health after the partition: %v", h)
	}
	requireNoViolations(t, w)
}

// The state service becomes unreachable for the leader only. Another controller takes the term and
// tells the former leader, which forwards its users' requests at once and stays healthy, although it
// can't read the leader's key.
func TestFormerLeaderWithoutStateServiceFollows(t *testing.T) {
	w := newWorld(t)
	a := w.Submit(service(1, 1), 0)
	waitRunning(t, w, a.Submission.ID, 1)
	w.State.Unreachable["n0"] = true
	if !w.RunUntil(10*time.Second, func() bool { return w.Controllers[1].Leads() || w.Controllers[2].Leads() }) {
		t.Fatal("no other controller leads")
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

// The leader reaches the state service and its peers, but receives no heartbeats. The other
// controllers would redirect every worker to it until the worker's lease expires. The leader resigns
// at once, so that no running task is lost.
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
		t.Fatal("no controller leads")
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
		t.Fatal("no other controller leads")
	}
	for name, incarnation := range before {
		if w.Incarnation(name) != incarnation {
			t.Errorf("%s has lost its tasks", name)
		}
	}
	requireNoViolations(t, w)
}

// The three tasks of a job end at different times, because the workers of two of them hang, and the
// leader changes in between. Each end must count once, and the job must be done.
func TestTaskEndsSpreadOverLeaderChanges(t *testing.T) {
	for _, kind := range []protocol.JobKind{protocol.Array, protocol.Gang} {
		for step := range 6 {
			w := newWorld(t)
			s := job(1, kind, 3)
			s.CPUs, s.CheckpointIntervalS = 4, 0 // one machine for each task
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

// Ten leader changes in two minutes are caused by crashes, pauses and an unreachable state service,
// some of them during outages, while jobs are submitted, end and are cancelled. No rule may be
// violated, and every job must be served in the end.
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
				leader.Start() // restarts at once
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

// All controllers are down for about as long as a worker's lease, or longer. Then all of them restart,
// or one restarts first. No task starts before its earlier attempt has certainly ended, and in the end
// all tasks run again.
func TestAllControllersDownAroundLeaseDuration(t *testing.T) {
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
