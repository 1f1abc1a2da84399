package controller_test

import (
	"fmt"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// fiveControllerSettings are the settings of a deployment with five controllers.
func fiveControllerSettings() config.Settings {
	s := fake.Settings()
	s.ControllerCount = 5
	return s
}

// submitMixedWork submits a service, a gang, an array and a pipeline, and returns the pipeline's jobs.
func submitMixedWork(t *testing.T, w *fake.World) []*fake.Job {
	t.Helper()
	spread := service(50, 4)
	spread.Spread, spread.CPUs = true, 2
	w.Submit(spread, 0)
	w.Submit(job(51, protocol.Gang, 3), 20*time.Second)
	w.Submit(job(52, protocol.Array, 8), 6*time.Second)
	return submitPipeline(t, w, 1)
}

// Controllers are upgraded two at a time, including the leader. Meanwhile, workers switch between
// controllers, and one job of a running pipeline is cancelled. No rule may be violated, and every other
// job must be served.
func TestRollingUpgradeTwoOfFiveAtATime(t *testing.T) {
	t.Parallel()
	for _, downFor := range []time.Duration{200 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second} {
		t.Run(downFor.String(), func(t *testing.T) {
			t.Parallel()
			s := fiveControllerSettings()
			s.State.Next = nextLimits(1, 3, 25)
			w := newWorldWith(t, s)
			provisionIdleMachines(t, w)
			jobs := submitMixedWork(t, w)
			w.Run(3 * time.Second)
			queryRapidly(w, jobs, 2*time.Second)
			for _, pair := range [][2]int{{0, 1}, {2, 3}, {4, 0}} {
				for _, i := range pair {
					w.Controllers[i].Crash()
					w.After(downFor, w.Controllers[i].Start)
				}
				w.Run(downFor/2 + 300*time.Millisecond)
				if pair[0] == 2 {
					w.CancelEverywhere(jobs[2])
				}
				w.Run(downFor + 700*time.Millisecond)
				w.PollAll()
			}
			w.State.LowerLimits()
			runAndPoll(w, 90*time.Second)
			requireNoViolations(t, w)
			requireAllServed(t, w)
			requirePipelineOutcome(t, w, jobs)
		})
	}
}

// Two zones cannot reach each other, but both reach the controllers elsewhere, the state service and
// the cloud. The leader is in one of the two zones or in neither, and crashes in some of the cases. No
// rule may be violated, and every job must be served once the partition heals.
func TestPartitionBetweenTwoZones(t *testing.T) {
	t.Parallel()
	for name, inZone := range map[string]map[string]string{
		"leader in zone a": {"n0": "a", "n1": "a", "n2": "b"},
		"leader in zone b": {"n0": "b", "n1": "a", "n2": "a"},
		"leader elsewhere": {"n1": "a", "n2": "b", "n3": "b"},
	} {
		for _, crash := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, crashes %t", name, crash), func(t *testing.T) {
				t.Parallel()
				w := newWorldWith(t, fiveControllerSettings())
				provisionIdleMachines(t, w)
				jobs := submitMixedWork(t, w)
				w.Run(2 * time.Second)
				zone := func(name string) string {
					if w.Workers[name] != nil {
						return w.ZoneOf(name)
					}
					return inZone[name]
				}
				w.Network = func(_, from, to string) fake.Delivery {
					delivery := fake.Reliable()
					a, b := zone(from), zone(to)
					delivery.LoseRequest = a == "a" && b == "b" || a == "b" && b == "a"
					return delivery
				}
				w.After(4*time.Second, func() { w.CancelEverywhere(jobs[1]) })
				if crash {
					w.After(6*time.Second, w.Controllers[0].Crash)
					w.After(14*time.Second, w.Controllers[0].Start)
				}
				queryRepeatedly(w, jobs, 40, time.Second)
				w.Network = nil
				runAndPoll(w, 90*time.Second)
				requireNoViolations(t, w)
				requireAllServed(t, w)
				requirePipelineOutcome(t, w, jobs)
			})
		}
	}
}
