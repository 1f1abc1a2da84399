package controller_test

import (
	"fmt"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// The leader runs the version in production and hangs during a rolling upgrade, with requests and
// writes in flight. It is upgraded after the other controllers and hangs until then, or resumes before
// that. Its writes and responses arrive late, after the other controllers were upgraded, the limits
// lowered, pages split and a pipeline cancelled. They must not violate a rule or lose a job.
func TestHungLeaderDuringRollingUpgrade(t *testing.T) {
	t.Parallel()
	for _, hang := range []time.Duration{2 * time.Second, 9 * time.Second, 25 * time.Second} {
		for _, late := range []time.Duration{4 * time.Second, 12 * time.Second, 30 * time.Second} {
			for _, resumes := range []bool{false, true} {
				t.Run(fmt.Sprintf("hangs %v, late %v, resumes %t", hang, late, resumes), func(t *testing.T) {
					t.Parallel()
					testHungLeaderDuringRollingUpgrade(t, hang, late, resumes)
				})
			}
		}
	}
}

// testHungLeaderDuringRollingUpgrade upgrades the controllers at a pace set by hang and delays the
// leader's writes and responses by late. The leader hangs until its process is replaced or, with
// resumes, for 0.5 s less than hang.
func testHungLeaderDuringRollingUpgrade(t *testing.T, hang, late time.Duration, resumes bool) {
	t.Helper()
	w := newProductionWorld(t)
	large := job(1, protocol.Array, 70)
	large.CPUs, large.Team = 0.5, "red"
	w.Submit(large, 8*time.Second)
	for i := range 20 {
		s := service(100+i, 1)
		s.CPUs = 0.1
		w.Submit(s, 0)
	}
	cancelled := w.Submit(service(2, 2), 0)
	w.Run(25 * time.Second)
	old := w.Leader()
	w.SeparatePageWrites = true
	w.Network = delayOldLeader(old, late)
	w.CancelEverywhere(cancelled)
	for i := range 8 { // so that several transactions are in flight when the leader hangs
		w.Submit(job(200+i, protocol.Array, 2), 2*time.Second)
	}
	w.Run(200 * time.Millisecond)
	old.PausedUntil = w.Now + 10*time.Minute
	if resumes {
		old.PausedUntil = w.Now + hang - 500*time.Millisecond
	}
	answered := 0
	for range 5 { // requests that wait at the hung leader
		old.Request(message.UserRequest{Kind: message.Poll, Job: cancelled.Submission.ID}, func(message.Reply) { answered++ })
	}
	upgradeAroundHungLeader(w, old, hang)
	w.State.LowerLimits()
	jobs := submitPipeline(t, w, 300)
	w.CancelEverywhere(jobs[1])
	queryRepeatedly(w, jobs, 80, 500*time.Millisecond)
	runAndPoll(w, 120*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
	requirePipelineOutcome(t, w, jobs)
	if cancelled.Status != protocol.StatusCancelled {
		t.Errorf("the job that the hung leader was asked to cancel has status %q", cancelled.Status)
	}
	if resumes && answered == 0 {
		t.Error("the hung leader answered no request after it resumed")
	}
}

// delayOldLeader returns a network that delays the writes, commands and forwarded requests of a
// leader while it runs the version in production, and always delays its responses to requests that
// others forward to it.
func delayOldLeader(old *fake.Controller, late time.Duration) func(kind, from, to string) fake.Delivery {
	return func(kind, from, to string) fake.Delivery {
		delivery := fake.Reliable()
		delayed := kind == fake.KindPageWrite || kind == fake.KindCommands || kind == fake.KindForward
		if from == old.Name && old.RunsProductionVersion && delayed {
			delivery.RequestDelay = late
		}
		if to == old.Name && kind == fake.KindForward {
			delivery.ResponseDelay = late
		}
		return delivery
	}
}

// upgradeAroundHungLeader upgrades the other controllers while the leader hangs, and then the
// leader.
func upgradeAroundHungLeader(w *fake.World, old *fake.Controller, hang time.Duration) {
	for _, c := range w.Controllers {
		if c != old {
			w.Run(hang / 3)
			upgrade(w, c, 400*time.Millisecond)
		}
	}
	w.Run(hang)
	old.PausedUntil = 0
	upgrade(w, old, 500*time.Millisecond)
	w.Run(time.Second)
}
