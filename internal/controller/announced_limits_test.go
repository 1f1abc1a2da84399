package controller_test

import (
	"fmt"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// A job was accepted with a list of prerequisites that fits the current value size and not the
// announced one. Guards against jobs that can never be started or cancelled again from then on: the
// lower limits may come into force never, at once or later, and the leader crashes after any write.
func TestLongPrerequisitesUnderAnnouncedLimits(t *testing.T) {
	t.Parallel()
	for _, lowerAfter := range []time.Duration{-1, 0, 10 * time.Second} {
		for crashAfter := range 5 {
			for _, cancel := range []bool{false, true} {
				t.Run(fmt.Sprintf("lowered after %v, crash after %d writes, cancelled %t", lowerAfter, crashAfter, cancel), func(t *testing.T) {
					t.Parallel()
					testLongPrerequisitesUnderAnnouncedLimits(t, lowerAfter, crashAfter, cancel)
				})
			}
		}
	}
}

// testLongPrerequisitesUnderAnnouncedLimits lowers the limits when lowerAfter has passed since they were
// announced, or never if it is negative. The leader crashes after the given number of writes of pages.
func testLongPrerequisitesUnderAnnouncedLimits(t *testing.T, lowerAfter time.Duration, crashAfter int, cancel bool) {
	t.Helper()
	w, dependent, running := newWorldWithManyPrerequisites(t, 230, 4)
	j := w.Submit(dependent, time.Second)
	waitAccepted(t, w, j, 10*time.Second)
	if w.Leader().Controller().HasPrerequisiteParts(dependent.ID) {
		t.Fatal("the prerequisites are in separate records from the start: the test shows nothing")
	}
	announceLimits(w, nextLimits(2, 4, 18))
	w.Network = loseWritesAfter(w, crashAfter)
	if lowerAfter == 0 {
		w.State.LowerLimits()
	}
	w.Run(5 * time.Second)
	crashLeader(w, time.Second)
	w.Network = nil
	w.Run(5 * time.Second)
	if lowerAfter > 0 {
		w.State.LowerLimits()
	}
	if cancel {
		w.CancelEverywhere(j)
		waitCancelled(t, w, j, 20*time.Second)
	}
	runAndPoll(w, 60*time.Second)
	requireNoViolations(t, w)
	want := protocol.StatusDone
	if cancel {
		want = protocol.StatusCancelled
	}
	if j.Status != want || running.Status != protocol.StatusDone {
		t.Errorf("the job has status %q, its last prerequisite %q", j.Status, running.Status)
	}
	for key, value := range pagesOf(w) {
		if n := recordKinds(t, value)["prerequisites"]; n > 0 {
			t.Errorf("%s still has %d parts of prerequisites", key, n)
		}
	}
}

// The record of a service's prerequisites nearly fills its page. Guards against replicas that never
// start because the starts of the others, which don't end, leave no room on the page.
func TestLongPrerequisitesLeaveRoomForReplicas(t *testing.T) {
	w, dependent, _ := newWorldWithManyPrerequisites(t, 290, 4)
	dependent.Kind, dependent.Tasks, dependent.CPUs, dependent.CheckpointIntervalS = protocol.Service, 20, 0.1, 0
	j := w.Submit(dependent, 0)
	waitAccepted(t, w, j, 10*time.Second)
	runAndPoll(w, 60*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
}

// The starts of a gang are recorded together, and the limits were lowered while it waited. Guards
// against a gang whose starts can never be written, and that keeps its machines and its part of the
// limit for good. The leader crashes after any write.
func TestWaitingGangStartsUnderLoweredLimits(t *testing.T) {
	t.Parallel()
	for crashAfter := range 6 {
		t.Run(fmt.Sprintf("crash after %d writes", crashAfter), func(t *testing.T) {
			t.Parallel()
			s := fake.Settings()
			s.State.ValueKB = 8
			w := newWorldWith(t, s)
			blocker := w.Submit(job(1, protocol.Array, 1), 20*time.Second)
			large := job(2, protocol.Gang, 60)
			large.CPUs, large.MemoryGB = 0.1, 0.1
			gang := submitAfter(t, w, large, 2*time.Second, blocker)
			waitAccepted(t, w, gang, 10*time.Second)
			announceLimits(w, nextLimits(1, 4, 18))
			w.State.LowerLimits()
			w.RunUntil(40*time.Second, func() bool { return blocker.Status == protocol.StatusDone || len(blocker.DoneTasks) > 0 })
			w.Network = loseWritesAfter(w, crashAfter)
			w.Run(4 * time.Second)
			crashLeader(w, time.Second)
			w.Network = nil
			runAndPoll(w, 90*time.Second)
			requireNoViolations(t, w)
			requireAllServed(t, w)
		})
	}
}
