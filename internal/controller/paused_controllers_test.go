package controller_test

import (
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// A follower is paused, and its peers with it say nothing to it meanwhile. When it resumes
// it knows of no fault of the leader: it stays healthy, and hands its users on.
func TestResumedFollowerIsHealthyImmediately(t *testing.T) {
	w := newWorld(t)
	w.Run(5 * time.Second)
	follower := w.Controllers[1]
	follower.PausedUntil = w.Now + 10*time.Second
	w.Network = func(kind, from, _ string) fake.Delivery { // its greetings take a little longer
		delivery := fake.Reliable()
		if kind == fake.KindPeer && from == follower.Name {
			delivery.RequestDelay = 400 * time.Millisecond
		}
		return delivery
	}
	w.Run(10*time.Second + 100*time.Millisecond)
	if !follower.Healthy() {
		t.Error("it takes the leader for unreachable because it was paused itself")
	}
	w.Run(3 * time.Second)
	if !follower.Healthy() {
		t.Error("it isn't healthy though the leader answers")
	}
	requireNoViolations(t, w)
}

// One controller is paused every few seconds. It costs a term at most each time, and after
// the first the others keep the term.
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
		t.Errorf("%d terms for a controller that is paused twelve times", n)
	}
	if w.TasksLostToLeaseExpiry > 0 {
		t.Errorf("%d tasks ended by their lease", w.TasksLostToLeaseExpiry)
	}
	runAndPoll(w, 20*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
}

// The leader crashes, and its lease expires just as another controller resumes after a
// pause. The third, which was not paused, has the first turn at the term.
func TestElectionPrefersControllerThatWasNotPaused(t *testing.T) {
	for ahead := 500 * time.Millisecond; ahead <= 1100*time.Millisecond; ahead += 50 * time.Millisecond {
		w := newWorld(t)
		w.Run(5 * time.Second)
		slow := w.Controllers[1]
		slow.PausedUntil = w.Now + 4*time.Second
		w.After(4*time.Second-ahead, w.Controllers[0].Crash)
		if !w.RunUntil(10*time.Second, func() bool { return slow.Leads() || w.Controllers[2].Leads() }) {
			t.Fatal("nobody leads")
		}
		if slow.Leads() {
			t.Errorf("the one that had been paused leads, %v after the leader's crash", ahead)
		}
		requireNoViolations(t, w)
	}
}

// The leader and another are paused together for as long as a worker's lease. The third leads
// within a second or two. By the protocol a worker waits four seconds at each of the two and
// one more before the next controller, so that it comes to the third after ten seconds and a heartbeat
// interval at most: where the lease is longer than that, no task ends by it.
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
			for w.Leader() != w.Controllers[first] { // hand the term on until the right one has it
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
			killed := w.TasksLostToLeaseExpiry
			w.Controllers[first].PausedUntil = w.Now + 14*time.Second
			w.Controllers[second].PausedUntil = w.Now + 14*time.Second
			if !w.RunUntil(3*time.Second, third.Leads) {
				t.Errorf("the third doesn't lead after 3 s")
			}
			runAndPoll(w, 40*time.Second)
			if n := w.TasksLostToLeaseExpiry - killed; n > 0 {
				t.Errorf("leader %d and %d: %d tasks ended by their lease", first, second, n)
			}
			requireNoViolations(t, w)
			requireAllServed(t, w)
		}
	}
}

// The leader is paused while the state service refuses one of the others: the third leads,
// and users of each are served.
func TestLeaderPausedWhilePeerLosesStateService(t *testing.T) {
	w := newWorld(t)
	j := w.Submit(service(1, 2), 0)
	waitRunning(t, w, j.Submission.ID, 2)
	w.State.Unreachable["n1"] = true
	w.Controllers[0].PausedUntil = w.Now + 20*time.Second
	if !w.RunUntil(5*time.Second, w.Controllers[2].Leads) {
		t.Fatal("the third doesn't lead")
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
