package controller_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// logContains tells whether any controller has logged such a line.
func logContains(w *fake.World, line string) bool {
	return strings.Contains(strings.Join(w.Log, "\n"), line)
}

// The leader gives an idle machine back, and stands still between the decision and the call
// to the cloud. Another leads and starts a task there. When the first goes on, it must not
// return the machine.
func TestLeaderPausedBeforeScaleIn(t *testing.T) {
	for _, stall := range []time.Duration{3 * time.Second, 16 * time.Second, 40 * time.Second} {
		w := newWorld(t)
		provisionIdleMachines(t, w)
		idle := len(w.MachineNames())
		w.Cloud.CapacityOf = map[string]int{"small": 1, "large": 0} // nothing else can be had
		l := w.Leader()
		var stalled []string
		l.StallBefore = func(effect message.Effect) time.Duration {
			c, ok := effect.(message.CloudCall)
			if !ok || c.Op != message.CloudScaleIn || stalled != nil {
				return 0
			}
			stalled = c.Machines
			return stall
		}
		if !w.RunUntil(60*time.Second, func() bool { return stalled != nil }) {
			t.Fatal("no machine is given back")
		}
		s := service(1, idle)
		s.CPUs = 4 // a machine each
		w.Submit(s, 0)
		if !w.RunUntil(stall-time.Second, func() bool { return w.Running(s.ID) == idle }) && stall > 5*time.Second {
			t.Errorf("%v: %d of %d replicas run", stall, w.Running(s.ID), idle)
		}
		w.Run(45 * time.Second)
		if n := w.TasksLostWithMachine; n > 0 {
			t.Errorf("%v: %d tasks were on a machine that the former leader returned", stall, n)
		}
		requireNoViolations(t, w)
	}
}

// The leader stands still with a start to be sent. Its lease ends meanwhile, and the state
// service goes out before it goes on: in doubt, nothing may start.
func TestNoLateStartWhileLeaseIsUncertain(t *testing.T) {
	w := newWorld(t)
	provisionIdleMachines(t, w)
	l, stood := w.Leader(), false
	l.StallBefore = func(effect message.Effect) time.Duration {
		if c, ok := effect.(message.CommandsCall); !ok || stood || !containsStart(c) {
			return 0
		}
		stood = true
		w.State.SetOutage(true)
		return 3 * time.Second
	}
	s := service(1, 1)
	w.Submit(s, 0)
	if !w.RunUntil(20*time.Second, func() bool { return stood }) {
		t.Fatal("nothing is started")
	}
	w.Run(6 * time.Second)
	if n := len(w.MachinesOf(s.ID)); n > 0 {
		t.Error("a leader in doubt has started a task")
	}
	w.State.SetOutage(false)
	waitRunning(t, w, s.ID, 1)
	requireNoViolations(t, w)
}

func containsStart(c message.CommandsCall) bool {
	return slices.ContainsFunc(c.Commands, func(c protocol.Command) bool { return c.Verb == protocol.Start })
}

// The leader stands still before it carries out an effect: an answer to a user, a command to
// a worker, a call to the cloud, a renewal or a write. It goes on within its lease, within its
// hold, or after another has led for long. Jobs come, end and are called off all the while.
func TestLeaderPausedBeforeEffect(t *testing.T) {
	kinds := map[string]func(message.Effect) bool{
		"answer": func(e message.Effect) bool { _, ok := e.(message.Reply); return ok },
		"orders": func(e message.Effect) bool { _, ok := e.(message.CommandsCall); return ok },
		"cloud":  func(e message.Effect) bool { _, ok := e.(message.CloudCall); return ok },
		"state":  func(e message.Effect) bool { _, ok := e.(message.StateCall); return ok },
	}
	for name, is := range kinds {
		for _, stall := range []time.Duration{600 * time.Millisecond, 2 * time.Second, 9 * time.Second, 32 * time.Second} {
			for _, skip := range []int{0, 1, 3} {
				t.Run(fmt.Sprintf("%s after %d for %v", name, skip, stall), func(t *testing.T) {
					t.Parallel()
					testLeaderPausedBeforeEffect(t, is, skip, stall)
				})
			}
		}
	}
}

func testLeaderPausedBeforeEffect(t *testing.T, is func(message.Effect) bool, skip int, stall time.Duration) {
	w := newWorld(t)
	w.Submit(service(1, 3), 0)
	called := w.Submit(service(2, 2), 0)
	w.Submit(job(3, protocol.Array, 6), 8*time.Second)
	w.Run(12 * time.Second)
	l, left, stood := w.Leader(), skip, false
	l.StallBefore = func(effect message.Effect) time.Duration {
		if stood || !is(effect) {
			return 0
		}
		if left--; left >= 0 {
			return 0
		}
		stood = true
		return stall
	}
	w.Submit(job(4, protocol.Gang, 2), 3*time.Second)
	w.CancelEverywhere(called)
	w.After(stall/2, func() { w.CancelEverywhere(called) })
	w.Submit(job(5, protocol.Array, 2), 2*time.Second)
	runAndPoll(w, stall+60*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
	if !stood {
		t.Error("the leader never stood still")
	}
	if called.Status != protocol.StatusCancelled {
		t.Errorf("the cancelled job is called %q", called.Status)
	}
}

// The leader ends, and its successor stands still before one of the first effects after it has
// asked for the term: while it takes it, reads the records or begins to lead. A third takes
// over, or it goes on itself.
func TestSuccessorPausedDuringTakeOver(t *testing.T) {
	for _, stall := range []time.Duration{2 * time.Second, 9 * time.Second, 32 * time.Second} {
		for skip := range 8 {
			t.Run(fmt.Sprintf("after %d for %v", skip, stall), func(t *testing.T) {
				t.Parallel()
				w := newWorld(t)
				w.Submit(service(1, 3), 0)
				called := w.Submit(service(2, 2), 0)
				w.Submit(job(3, protocol.Array, 6), 8*time.Second)
				w.Run(12 * time.Second)
				w.Leader().Crash()
				left, stood := skip, false
				for _, n := range w.Controllers[1:] {
					n.StallBefore = func(effect message.Effect) time.Duration {
						if c, ok := effect.(message.StateCall); stood || ok && c.Op == storage.StateGet {
							return 0 // a look at who leads
						}
						if left--; left >= 0 {
							return 0
						}
						stood = true
						return stall
					}
				}
				w.CancelEverywhere(called)
				runAndPoll(w, stall+70*time.Second)
				requireNoViolations(t, w)
				requireAllServed(t, w)
				if called.Status != protocol.StatusCancelled {
					t.Errorf("the cancelled job is called %q", called.Status)
				}
			})
		}
	}
}

// The leader stands still while the state service is out, so that nobody can take its term,
// and both end together. What it has not heard says nothing of the machines: it keeps the
// term, and rents, returns, moves and loses nothing.
func TestNoConclusionsFromOwnPause(t *testing.T) {
	w := newWorld(t)
	for i := range 3 {
		s := service(i+1, 2)
		s.CPUs = 2
		w.Submit(s, 0)
	}
	l := w.Leader()
	for returned := int64(-1); returned != l.Stats().MachinesScaledIn; w.Run(40 * time.Second) {
		returned = l.Stats().MachinesScaledIn
	}
	before, machines := l.Stats(), len(w.MachineNames())
	if machines < 3 {
		t.Fatalf("only %d machines", machines)
	}
	mark := len(w.Log)
	w.State.SetOutage(true)
	w.Run(time.Second)
	// The workers wait in vain, and are on their way from node to node when it goes on.
	goesOn := w.Now + 5*time.Second
	w.Network = func(kind, _, to string) fake.Delivery {
		f := fake.Reliable()
		f.LoseRequest = kind == fake.KindHeartbeat && to == l.Name && w.Now < goesOn
		return f
	}
	l.PausedUntil = w.Now + 5*time.Second // longer than a machine may be silent, less than a lease
	w.Run(5 * time.Second)
	w.State.SetOutage(false)
	w.Run(20 * time.Second)
	after := l.Stats()
	if !l.Leads() || after.TermsTaken != before.TermsTaken {
		t.Errorf("the term is lost: %s", strings.Join(w.Log[mark:], "\n"))
	}
	if after.Pauses != 1 || after.LongestPauseMs < 5000 || !logContains(w, "process stood still [for 5") {
		t.Errorf("%d pauses, the longest %d ms", after.Pauses, after.LongestPauseMs)
	}
	if after.MachinesScaledOut != before.MachinesScaledOut || after.MachinesScaledIn != before.MachinesScaledIn || after.ReplicasMoved != before.ReplicasMoved || after.TasksLost != before.TasksLost {
		t.Errorf("%+v before, %+v after", before, after)
	}
	requireNoViolations(t, w)
}

// A follower stands still, and its peers with it say nothing to it meanwhile. When it goes on
// it knows of no fault of the leader: it stays healthy, and hands its users on.
func TestResumedFollowerIsHealthyImmediately(t *testing.T) {
	w := newWorld(t)
	w.Run(5 * time.Second)
	f := w.Controllers[1]
	f.PausedUntil = w.Now + 10*time.Second
	w.Network = func(kind, from, _ string) fake.Delivery { // its greetings take a little longer
		well := fake.Reliable()
		if kind == fake.KindPeer && from == f.Name {
			well.RequestDelay = 400 * time.Millisecond
		}
		return well
	}
	w.Run(10*time.Second + 100*time.Millisecond)
	if !f.Healthy() {
		t.Error("it takes the leader for unreachable because it stood still itself")
	}
	w.Run(3 * time.Second)
	if !f.Healthy() {
		t.Error("it isn't healthy though the leader answers")
	}
	requireNoViolations(t, w)
}

// The leader stands still with users' requests that a follower has handed to it, and more come
// while nobody leads. All are answered by the next leader, within a second and a half of its
// beginning, and none is told to come back.
func TestForwardedRequestsSurvivePausedLeader(t *testing.T) {
	w := newWorld(t)
	w.Run(5 * time.Second)
	l := w.Leader()
	l.PausedUntil = w.Now + 30*time.Second
	answers, refused := 0, 0
	const asked = 20
	for i := range asked {
		w.After(time.Duration(i)*60*time.Millisecond, func() {
			s := service(100+i, 1)
			w.Controllers[1+i%2].Request(message.UserRequest{Kind: message.Submit, Job: s.ID, Submission: &s}, func(r message.Reply) {
				if r.Status == 201 || r.Status == 200 {
					answers++
				} else {
					refused++
				}
			})
		})
	}
	if !w.RunUntil(10*time.Second, func() bool { return w.Controllers[1].Leads() || w.Controllers[2].Leads() }) {
		t.Fatal("nobody else leads")
	}
	w.Run(1500 * time.Millisecond)
	if answers != asked {
		t.Errorf("%d of %d requests are answered, %d refused", answers, asked, refused)
	}
	requireNoViolations(t, w)
}

// One controller stands still every few seconds. It costs a term at most each time, and after
// the first the others keep the term.
func TestRepeatedlyPausedController(t *testing.T) {
	w := newWorld(t)
	w.Submit(service(1, 3), 0)
	w.Run(12 * time.Second)
	l := w.Leader()
	terms := func() int64 {
		sum := int64(0)
		for _, n := range w.Controllers {
			sum += n.Stats().TermsTaken
		}
		return sum
	}
	before := terms()
	for range 12 {
		l.PausedUntil = w.Now + 3*time.Second
		w.Run(5 * time.Second)
		w.PollAll()
	}
	if n := terms() - before; n > 2 {
		t.Errorf("%d terms for a controller that stands still twelve times", n)
	}
	if w.TasksLostToLeaseExpiry > 0 {
		t.Errorf("%d tasks ended by their lease", w.TasksLostToLeaseExpiry)
	}
	runAndPoll(w, 20*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
}

// The leader ends, and its lease lapses just as another controller goes on after it has stood
// still. The third, which hasn't, has the first turn at the term.
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
			t.Errorf("the one that had stood still leads, %v after the leader's end", ahead)
		}
		requireNoViolations(t, w)
	}
}

// Machines boot while the leader stands still, the state service being out. When it goes on,
// they are up and have not been heard yet: none is called late, and no other is rented.
func TestMachinesBootedDuringPauseAreNotReplaced(t *testing.T) {
	w := newWorld(t)
	w.Run(20 * time.Second)
	l := w.Leader()
	before := l.Stats().MachinesScaledOut
	s := service(1, 3)
	s.CPUs = 4 // a machine each
	w.Submit(s, 0)
	if !w.RunUntil(5*time.Second, func() bool { return l.Stats().MachinesScaledOut > before }) {
		t.Fatal("nothing is rented")
	}
	w.Run(time.Second)
	before = l.Stats().MachinesScaledOut
	w.State.SetOutage(true)
	goesOn := w.Now + 9*time.Second
	w.Network = func(kind, _, to string) fake.Delivery {
		f := fake.Reliable()
		f.LoseRequest = kind == fake.KindHeartbeat && to == l.Name && w.Now < goesOn
		return f
	}
	l.PausedUntil = goesOn
	w.Run(9 * time.Second)
	w.State.SetOutage(false)
	waitRunning(t, w, s.ID, 3)
	if rented := l.Stats().MachinesScaledOut; rented != before || !l.Leads() {
		t.Errorf("%d machines rented before the pause, %d after", before, rented)
	}
	requireNoViolations(t, w)
}

// The leader and another stand still together for as long as a worker's lease. The third leads
// within a second or two. By the protocol a worker waits four seconds at each of the two and
// one more before the next node, so that it comes to the third after ten seconds and a report
// interval at most: where the lease is longer than that, no task ends by it.
func TestTwoOfThreeControllersPaused(t *testing.T) {
	for leader := range 3 {
		for other := range 3 {
			if other == leader {
				continue
			}
			s := fake.Settings()
			s.Workers.HeartbeatIntervalS, s.Workers.LeaseS, s.Workers.CancelWithinS = 3, 14, 34
			w := fake.NewWorld(s)
			for i := range 4 {
				w.Submit(service(i+1, 3), 0)
			}
			w.Run(30 * time.Second)
			for w.Leader() != w.Controllers[leader] { // hand the term on until the right one has it
				l := w.Leader()
				if l == nil {
					w.Run(time.Second)
					continue
				}
				l.PausedUntil = w.Now + 2*time.Second
				w.Run(4 * time.Second)
			}
			w.Run(20 * time.Second)
			third := w.Controllers[3-leader-other]
			killed := w.TasksLostToLeaseExpiry
			w.Controllers[leader].PausedUntil = w.Now + 14*time.Second
			w.Controllers[other].PausedUntil = w.Now + 14*time.Second
			if !w.RunUntil(3*time.Second, third.Leads) {
				t.Errorf("the third doesn't lead after 3 s")
			}
			runAndPoll(w, 40*time.Second)
			if n := w.TasksLostToLeaseExpiry - killed; n > 0 {
				t.Errorf("leader %d and %d: %d tasks ended by their lease", leader, other, n)
			}
			requireNoViolations(t, w)
			requireAllServed(t, w)
		}
	}
}

// The leader stands still while the state service refuses one of the others: the third leads,
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
	called := w.Submit(service(2, 1), 0)
	w.CancelEverywhere(j)
	runAndPoll(w, 12*time.Second)
	if !called.Accepted || j.Status != protocol.StatusCancelled {
		t.Errorf("accepted %t, told %q", called.Accepted, j.Status)
	}
	delete(w.State.Unreachable, "n1")
	runAndPoll(w, 30*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
}
