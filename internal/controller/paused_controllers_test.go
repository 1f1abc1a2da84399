package controller_test

import (
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// A follower is paused and receives nothing from its peers meanwhile. The silence during its own
// pause must not count as a fault of the leader: the follower must be healthy as soon as it resumes,
// so that it takes users' requests and forwards them to the leader.
func TestResumedFollowerIsHealthyImmediately(t *testing.T) {
	w := newWorld(t)
	w.Run(5 * time.Second)
	follower := w.Controllers[1]
	follower.PausedUntil = w.Now + 10*time.Second
	w.Network = func(kind, from, _ string) fake.Delivery { // the follower's messages to its peers are delayed
		delivery := fake.Reliable()
		if kind == fake.KindPeer && from == follower.Name {
			delivery.RequestDelay = 400 * time.Millisecond
		}
		return delivery
	}
	w.Run(10*time.Second + 100*time.Millisecond)
	if !follower.Healthy() {
		t.Error("the follower considers the leader unreachable because of its own pause")
	}
	w.Run(3 * time.Second)
	if !follower.Healthy() {
		t.Error("the follower isn't healthy although the leader responds")
	}
	requireNoViolations(t, w)
}

// One controller, the leader at first, is paused every few seconds. Each pause may cost at most one
// term, and after the first change of leader the other controllers must keep the term.
func TestRepeatedlyPausedController(t *testing.T) {
	w := newWorld(t)
	w.Submit(service(1, 3), 0)
	w.Run(12 * time.Second)
	leader := w.Leader()
	terms := func() int64 {
		sum := int64(0)
		for _, c := range w.Controllers {
			sum += c.Stats().TermsAcquired
		}
		return sum
	}
	before := terms()
	for range 12 {
		leader.PausedUntil = w.Now + 3*time.Second
		w.Run(5 * time.Second)
		w.PollAll()
	}
	if n := terms() - before; n > 2 {
		t.Errorf("%d new terms while one controller was paused twelve times", n)
	}
	if w.TasksLostToLeaseExpiry > 0 {
		t.Errorf("%d tasks lost to lease expiry", w.TasksLostToLeaseExpiry)
	}
	runAndPoll(w, 20*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
}

// The leader crashes, and its lease expires at about the time at which another controller resumes
// from a pause. The third controller, which was not paused, must become the leader.
func TestElectionPrefersControllerThatWasNotPaused(t *testing.T) {
	for ahead := 500 * time.Millisecond; ahead <= 1100*time.Millisecond; ahead += 50 * time.Millisecond {
		w := newWorld(t)
		w.Run(5 * time.Second)
		paused := w.Controllers[1]
		paused.PausedUntil = w.Now + 4*time.Second
		w.After(4*time.Second-ahead, w.Controllers[0].Crash)
		if !w.RunUntil(10*time.Second, func() bool { return paused.Leads() || w.Controllers[2].Leads() }) {
			t.Fatal("no controller leads")
		}
		if paused.Leads() {
			t.Errorf("the controller that was paused leads (leader crashed %v before the end of the pause)", ahead)
		}
		requireNoViolations(t, w)
	}
}

// The leader and one of the other controllers are paused together for as long as a worker's lease.
// The third controller leads within a second or two. By the protocol, a worker waits four seconds
// for the response of each paused controller, and one more second before it tries the next one. It
// therefore reaches the third controller after at most ten seconds plus a heartbeat interval. The
// lease is longer than that here, so no task may be lost to lease expiry.
func TestTwoOfThreeControllersPaused(t *testing.T) {
	for first := range 3 {
		for second := range 3 {
			if first == second {
				continue
			}
			s := fake.Settings()
			s.Workers.HeartbeatIntervalS, s.Workers.LeaseS, s.Workers.CancelWithinS = 3, 14, 34
			w := fake.NewWorld(s)
			for i := range 4 {
				w.Submit(service(i+1, 3), 0)
			}
			w.Run(30 * time.Second)
			for w.Leader() != w.Controllers[first] { // pause other leaders until this controller leads
				leader := w.Leader()
				if leader == nil {
					w.Run(time.Second)
					continue
				}
				leader.PausedUntil = w.Now + 2*time.Second
				w.Run(4 * time.Second)
			}
			w.Run(20 * time.Second)
			third := w.Controllers[3-first-second]
			lostBefore := w.TasksLostToLeaseExpiry
			w.Controllers[first].PausedUntil = w.Now + 14*time.Second
			w.Controllers[second].PausedUntil = w.Now + 14*time.Second
			if !w.RunUntil(3*time.Second, third.Leads) {
				t.Errorf("the third controller doesn't lead after 3 s")
			}
			runAndPoll(w, 40*time.Second)
			if n := w.TasksLostToLeaseExpiry - lostBefore; n > 0 {
				t.Errorf("leader %d and %d: %d tasks lost to lease expiry", first, second, n)
			}
			requireNoViolations(t, w)
			requireAllServed(t, w)
		}
	}
}

// The leader is paused while the state service refuses the requests of one of the other
// controllers. The third controller must lead, and the requests of users must be answered.
func TestLeaderPausedWhilePeerLosesStateService(t *testing.T) {
	w := newWorld(t)
	j := w.Submit(service(1, 2), 0)
	waitRunning(t, w, j.Submission.ID, 2)
	w.State.Unreachable["n1"] = true
	w.Controllers[0].PausedUntil = w.Now + 20*time.Second
	if !w.RunUntil(5*time.Second, w.Controllers[2].Leads) {
		t.Fatal("the third controller doesn't lead")
	}
	w.Run(2 * time.Second)
	submitted := w.Submit(service(2, 1), 0)
	w.CancelEverywhere(j)
	runAndPoll(w, 12*time.Second)
	if !submitted.Accepted || j.Status != protocol.StatusCancelled {
		t.Errorf("accepted %t, status %q", submitted.Accepted, j.Status)
	}
	delete(w.State.Unreachable, "n1")
	runAndPoll(w, 30*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
}
