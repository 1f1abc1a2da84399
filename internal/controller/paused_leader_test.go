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

// The leader decides to scale in an idle machine and is paused before it calls the cloud. Another
// controller becomes the leader and starts a task on that machine. After the former leader resumes, it
// must not terminate the machine.
func TestLeaderPausedBeforeScaleIn(t *testing.T) {
	for _, stall := range []time.Duration{3 * time.Second, 16 * time.Second, 40 * time.Second} {
		w := newWorld(t)
		provisionIdleMachines(t, w)
		idle := len(w.MachineNames())
		w.Cloud.CapacityOf = map[string]int{"small": 1, "large": 0} // no further machine can be provisioned
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
			t.Fatal("the leader scales in no machine")
		}
		s := service(1, idle)
		s.CPUs = 4 // one machine per replica
		w.Submit(s, 0)
		if !w.RunUntil(stall-time.Second, func() bool { return w.RunningTasks(s.ID) == idle }) && stall > 5*time.Second {
			t.Errorf("%v: %d of %d replicas run", stall, w.RunningTasks(s.ID), idle)
		}
		w.Run(45 * time.Second)
		if n := w.TasksLostWithMachine; n > 0 {
			t.Errorf("%v: %d tasks were lost with machines that the former leader terminated", stall, n)
		}
		requireNoViolations(t, w)
	}
}

// The leader is paused before it sends a start command. Its lease expires meanwhile, and the state
// service is unavailable when the leader resumes. No task may start while it is uncertain whether
// the leader still holds its lease.
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
		t.Fatal("the leader sends no start command")
	}
	w.Run(6 * time.Second)
	if n := len(w.MachinesOf(s.ID)); n > 0 {
		t.Error("a leader whose lease is uncertain has started a task")
	}
	w.State.SetOutage(false)
	waitRunning(t, w, s.ID, 1)
	requireNoViolations(t, w)
}

// containsStart reports whether the call contains a start command.
func containsStart(c message.CommandsCall) bool {
	return slices.ContainsFunc(c.Commands, func(c protocol.Command) bool { return c.Verb == protocol.Start })
}

// The leader is paused before it performs an effect: a reply to a user, commands to a worker, a
// call to the cloud, or a request to the state service, such as a renewal or a write. It resumes
// within its lease, within its heartbeat grace period, or long after another controller has begun to
// lead. Meanwhile, jobs are submitted, end, or are cancelled. The late effect must not violate a rule
// or lose a job.
func TestLeaderPausedBeforeEffect(t *testing.T) {
	t.Parallel()
	kinds := map[string]func(message.Effect) bool{
		"reply":    func(e message.Effect) bool { _, ok := e.(message.Reply); return ok },
		"commands": func(e message.Effect) bool { _, ok := e.(message.CommandsCall); return ok },
		"cloud":    func(e message.Effect) bool { _, ok := e.(message.CloudCall); return ok },
		"state":    func(e message.Effect) bool { _, ok := e.(message.StateCall); return ok },
	}
	for name, matches := range kinds {
		for _, stall := range []time.Duration{600 * time.Millisecond, 2 * time.Second, 9 * time.Second, 32 * time.Second} {
			for _, skip := range []int{0, 1, 3} {
				t.Run(fmt.Sprintf("%s after %d for %v", name, skip, stall), func(t *testing.T) {
					t.Parallel()
					testLeaderPausedBeforeEffect(t, matches, skip, stall)
				})
			}
		}
	}
}

// testLeaderPausedBeforeEffect pauses the leader once, before a matching effect. The first matching
// effects, as many as skip, are performed without a pause.
func testLeaderPausedBeforeEffect(t *testing.T, matches func(message.Effect) bool, skip int, stall time.Duration) {
	t.Helper()
	w := newWorld(t)
	w.Submit(service(1, 3), 0)
	cancelled := w.Submit(service(2, 2), 0)
	w.Submit(job(3, protocol.Array, 6), 8*time.Second)
	w.Run(12 * time.Second)
	leader, remaining, paused := w.Leader(), skip, false
	leader.StallBefore = func(effect message.Effect) time.Duration {
		if paused || !matches(effect) {
			return 0
		}
		if remaining--; remaining >= 0 {
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

// The leader crashes, and its successor is paused before one of its first effects: while it acquires
// the term, reads the records or begins to lead. Reads of the leader key don't count as effects here.
// Either the third controller takes over, or the successor resumes and continues.
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
				remaining, paused := skip, false
				for _, n := range w.Controllers[1:] {
					n.StallBefore = func(effect message.Effect) time.Duration {
						if c, ok := effect.(message.StateCall); paused || ok && c.Op == storage.StateGet {
							return 0 // it only reads the leader key
						}
						if remaining--; remaining >= 0 {
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

// The leader is paused during an outage of the state service, in which no other controller can
// acquire the term. The pause and the outage end together. The leader must not treat machines as
// failed because of heartbeats that it missed during its own pause: it keeps the term, provisions and
// terminates no machines, moves no replicas and treats no tasks as lost.
func TestPausedLeaderIgnoresMissedHeartbeats(t *testing.T) {
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
	// The workers get no response from the leader, so they try one controller after another.
	resumesAt := w.Now + 5*time.Second
	w.Network = func(kind, _, to string) fake.Delivery {
		delivery := fake.Reliable()
		delivery.LoseRequest = kind == fake.KindHeartbeat && to == leader.Name && w.Now < resumesAt
		return delivery
	}
	leader.PausedUntil = w.Now + 5*time.Second // longer than a machine may be silent, shorter than a worker's lease
	w.Run(5 * time.Second)
	w.State.SetOutage(false)
	w.Run(20 * time.Second)
	after := leader.Stats()
	if !leader.Leads() || after.TermsAcquired != before.TermsAcquired {
		t.Errorf("the leader lost its term: %s", strings.Join(w.Log[mark:], "\n"))
	}
	if after.Pauses != 1 || after.LongestPauseMs < 5000 || !logContains(w, "process was paused [for 5") {
		t.Errorf("%d pauses, the longest %d ms", after.Pauses, after.LongestPauseMs)
	}
	if after.MachinesProvisioned != before.MachinesProvisioned || after.MachinesReleased != before.MachinesReleased || after.ReplicasMoved != before.ReplicasMoved || after.TasksLost != before.TasksLost {
		t.Errorf("%+v before, %+v after", before, after)
	}
	requireNoViolations(t, w)
}

// Machines boot while the leader is paused during an outage of the state service. When the leader
// resumes, they are up but it has not received a heartbeat from them yet. It must not report them as
// late, and it must not provision other machines in their place.
func TestMachinesBootedDuringPauseAreNotReplaced(t *testing.T) {
	w := newWorld(t)
	w.Run(20 * time.Second)
	leader := w.Leader()
	before := leader.Stats().MachinesProvisioned
	s := service(1, 3)
	s.CPUs = 4 // one machine per replica
	w.Submit(s, 0)
	if !w.RunUntil(5*time.Second, func() bool { return leader.Stats().MachinesProvisioned > before }) {
		t.Fatal("no machine is provisioned")
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
	if provisioned := leader.Stats().MachinesProvisioned; provisioned != before || !leader.Leads() {
		t.Errorf("%d machines provisioned before the pause, %d after", before, provisioned)
	}
	requireNoViolations(t, w)
}

// Followers forward users' requests to the leader while it is paused, and more requests arrive while
// no controller leads. The next leader must accept all of them within a second and a half of its
// election, and none may be refused.
func TestForwardedRequestsSurvivePausedLeader(t *testing.T) {
	w := newWorld(t)
	w.Run(5 * time.Second)
	leader := w.Leader()
	leader.PausedUntil = w.Now + 30*time.Second
	accepted, refused := 0, 0
	const submitted = 20
	for i := range submitted {
		w.After(time.Duration(i)*60*time.Millisecond, func() {
			s := service(100+i, 1)
			w.Controllers[1+i%2].Request(message.UserRequest{Kind: message.Submit, Job: s.ID, Submission: &s}, func(r message.Reply) {
				if r.Status == 201 || r.Status == 200 {
					accepted++
				} else {
					refused++
				}
			})
		})
	}
	if !w.RunUntil(10*time.Second, func() bool { return w.Controllers[1].Leads() || w.Controllers[2].Leads() }) {
		t.Fatal("no other controller leads")
	}
	w.Run(1500 * time.Millisecond)
	if accepted != submitted {
		t.Errorf("%d of %d requests were accepted, %d refused", accepted, submitted, refused)
	}
	requireNoViolations(t, w)
}
