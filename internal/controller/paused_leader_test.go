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

// The leader scales an idle machine in, and is paused between the decision and the call
// to the cloud. Another leads and starts a task there. When the first resumes, it must not
// return the machine.
func TestLeaderPausedBeforeScaleIn(t *testing.T) {
	for _, stall := range []time.Duration{3 * time.Second, 16 * time.Second, 40 * time.Second} {
		w := newWorld(t)
		provisionIdleMachines(t, w)
		idle := len(w.MachineNames())
		w.Cloud.CapacityOf = map[string]int{"small": 1, "large": 0} // nothing else can be had
		leader := w.Leader()
		var stalled []string
		leader.StallBefore = func(effect message.Effect) time.Duration {
			c, ok := effect.(message.CloudCall)
			if !ok || c.Op != message.CloudScaleIn || stalled != nil {
				return 0
			}
			stalled = c.Machines
			return stall
		}
		if !w.RunUntil(60*time.Second, func() bool { return stalled != nil }) {
			t.Fatal("no machine is scaled in")
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

// The leader is paused with a start to be sent. Its lease ends meanwhile, and the state
// service goes out before it resumes: while the lease is uncertain, nothing may start.
func TestNoLateStartWhileLeaseIsUncertain(t *testing.T) {
	w := newWorld(t)
	provisionIdleMachines(t, w)
	leader, paused := w.Leader(), false
	leader.StallBefore = func(effect message.Effect) time.Duration {
		if c, ok := effect.(message.CommandsCall); !ok || paused || !containsStart(c) {
			return 0
		}
		paused = true
		w.State.SetOutage(true)
		return 3 * time.Second
	}
	s := service(1, 1)
	w.Submit(s, 0)
	if !w.RunUntil(20*time.Second, func() bool { return paused }) {
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

// containsStart tells whether a start is among commands.
func containsStart(c message.CommandsCall) bool {
	return slices.ContainsFunc(c.Commands, func(c protocol.Command) bool { return c.Verb == protocol.Start })
}

// The leader is paused before it carries out an effect: an answer to a user, a command to
// a worker, a call to the cloud, a renewal or a write. It resumes within its lease, within its
// grace period, or after another has led for long. Jobs come, end and are cancelled all the while.
func TestLeaderPausedBeforeEffect(t *testing.T) {
	t.Parallel()
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

// testLeaderPausedBeforeEffect pauses the leader before an effect of the kind, after so many that
// pass.
func testLeaderPausedBeforeEffect(t *testing.T, is func(message.Effect) bool, skip int, stall time.Duration) {
	t.Helper()
	w := newWorld(t)
	w.Submit(service(1, 3), 0)
	cancelled := w.Submit(service(2, 2), 0)
	w.Submit(job(3, protocol.Array, 6), 8*time.Second)
	w.Run(12 * time.Second)
	leader, left, paused := w.Leader(), skip, false
	leader.StallBefore = func(effect message.Effect) time.Duration {
		if paused || !is(effect) {
			return 0
		}
		if left--; left >= 0 {
			return 0
		}
		paused = true
		return stall
	}
	w.Submit(job(4, protocol.Gang, 2), 3*time.Second)
	w.CancelEverywhere(cancelled)
	w.After(stall/2, func() { w.CancelEverywhere(cancelled) })
	w.Submit(job(5, protocol.Array, 2), 2*time.Second)
	runAndPoll(w, stall+60*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
	if !paused {
		t.Error("the leader was never paused")
	}
	if cancelled.Status != protocol.StatusCancelled {
		t.Errorf("the cancelled job has status %q", cancelled.Status)
	}
}

// The leader crashes, and its successor is paused before one of the first effects after it has
// asked for the term: while it takes it, reads the records or begins to lead. A third takes
// over, or it resumes itself.
func TestSuccessorPausedDuringTakeOver(t *testing.T) {
	t.Parallel()
	for _, stall := range []time.Duration{2 * time.Second, 9 * time.Second, 32 * time.Second} {
		for skip := range 8 {
			t.Run(fmt.Sprintf("after %d for %v", skip, stall), func(t *testing.T) {
				t.Parallel()
				w := newWorld(t)
				w.Submit(service(1, 3), 0)
				cancelled := w.Submit(service(2, 2), 0)
				w.Submit(job(3, protocol.Array, 6), 8*time.Second)
				w.Run(12 * time.Second)
				w.Leader().Crash()
				left, paused := skip, false
				for _, n := range w.Controllers[1:] {
					n.StallBefore = func(effect message.Effect) time.Duration {
						if c, ok := effect.(message.StateCall); paused || ok && c.Op == storage.StateGet {
							return 0 // a look at who leads
						}
						if left--; left >= 0 {
							return 0
						}
						paused = true
						return stall
					}
				}
				w.CancelEverywhere(cancelled)
				runAndPoll(w, stall+70*time.Second)
				requireNoViolations(t, w)
				requireAllServed(t, w)
				if cancelled.Status != protocol.StatusCancelled {
					t.Errorf("the cancelled job has status %q", cancelled.Status)
				}
			})
		}
	}
}

// The leader is paused while the state service is out, so that nobody can take its term,
// and both end together. What it has not heard says nothing of the machines: it keeps the
// term, and provisions, returns, moves and loses nothing.
func TestNoConclusionsFromOwnPause(t *testing.T) {
	w := newWorld(t)
	for i := range 3 {
		s := service(i+1, 2)
		s.CPUs = 2
		w.Submit(s, 0)
	}
	leader := w.Leader()
	for returned := int64(-1); returned != leader.Stats().MachinesReleased; w.Run(40 * time.Second) {
		returned = leader.Stats().MachinesReleased
	}
	before, machines := leader.Stats(), len(w.MachineNames())
	if machines < 3 {
		t.Fatalf("only %d machines", machines)
	}
	mark := len(w.Log)
	w.State.SetOutage(true)
	w.Run(time.Second)
	// The workers get no answer, and try one controller after the other when it resumes.
	resumesAt := w.Now + 5*time.Second
	w.Network = func(kind, _, to string) fake.Delivery {
		delivery := fake.Reliable()
		delivery.LoseRequest = kind == fake.KindHeartbeat && to == leader.Name && w.Now < resumesAt
		return delivery
	}
	leader.PausedUntil = w.Now + 5*time.Second // longer than a machine may be silent, less than a lease
	w.Run(5 * time.Second)
	w.State.SetOutage(false)
	w.Run(20 * time.Second)
	after := leader.Stats()
	if !leader.Leads() || after.TermsAcquired != before.TermsAcquired {
		t.Errorf("the term is lost: %s", strings.Join(w.Log[mark:], "\n"))
	}
	if after.Pauses != 1 || after.LongestPauseMs < 5000 || !logContains(w, "process was paused [for 5") {
		t.Errorf("%d pauses, the longest %d ms", after.Pauses, after.LongestPauseMs)
	}
	if after.MachinesProvisioned != before.MachinesProvisioned || after.MachinesReleased != before.MachinesReleased || after.ReplicasMoved != before.ReplicasMoved || after.TasksLost != before.TasksLost {
		t.Errorf("%+v before, %+v after", before, after)
	}
	requireNoViolations(t, w)
}

// Machines boot while the leader is paused, the state service being out. When it resumes,
// they are up and have not been heard yet: none is called late, and no other is provisioned.
func TestMachinesBootedDuringPauseAreNotReplaced(t *testing.T) {
	w := newWorld(t)
	w.Run(20 * time.Second)
	leader := w.Leader()
	before := leader.Stats().MachinesProvisioned
	s := service(1, 3)
	s.CPUs = 4 // a machine each
	w.Submit(s, 0)
	if !w.RunUntil(5*time.Second, func() bool { return leader.Stats().MachinesProvisioned > before }) {
		t.Fatal("nothing is provisioned")
	}
	w.Run(time.Second)
	before = leader.Stats().MachinesProvisioned
	w.State.SetOutage(true)
	resumesAt := w.Now + 9*time.Second
	w.Network = func(kind, _, to string) fake.Delivery {
		delivery := fake.Reliable()
		delivery.LoseRequest = kind == fake.KindHeartbeat && to == leader.Name && w.Now < resumesAt
		return delivery
	}
	leader.PausedUntil = resumesAt
	w.Run(9 * time.Second)
	w.State.SetOutage(false)
	waitRunning(t, w, s.ID, 3)
	if rented := leader.Stats().MachinesProvisioned; rented != before || !leader.Leads() {
		t.Errorf("%d machines provisioned before the pause, %d after", before, rented)
	}
	requireNoViolations(t, w)
}

// The leader is paused with users' requests that a follower has handed to it, and more come
// while nobody leads. All are answered by the next leader, within a second and a half of its
// beginning, and none is told to come back.
func TestForwardedRequestsSurvivePausedLeader(t *testing.T) {
	w := newWorld(t)
	w.Run(5 * time.Second)
	leader := w.Leader()
	leader.PausedUntil = w.Now + 30*time.Second
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
