package controller_test

import (
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// A job is cancelled, and the leader crashes before any worker has received the cancellation. The
// next leader must still stop the job's tasks.
func TestCancellationSurvivesFailover(t *testing.T) {
	w := newWorld(t)
	j := w.Submit(service(1, 2), 0)
	waitRunning(t, w, j.Submission.ID, 2)
	w.Network = func(kind, _, _ string) fake.Delivery { // workers receive no commands from now on
		delivery := fake.Reliable()
		delivery.LoseResponse = kind == fake.KindHeartbeat
		delivery.LoseRequest = kind == fake.KindCommands
		return delivery
	}
	w.CancelJob(j)
	waitCancelled(t, w, j, time.Second)
	w.Controllers[0].Crash()
	w.Network = nil
	w.Run(40 * time.Second)
	if n := len(w.MachinesOf(j.Submission.ID)); n != 0 {
		t.Errorf("%d tasks are left", n)
	}
	requireNoViolations(t, w)
}

// The state service is unavailable when a user cancels a job. The cancellation must not be
// confirmed before it is durable.
func TestCancellationConfirmedOnlyWhenDurable(t *testing.T) {
	w := newWorld(t)
	j := w.Submit(service(1, 1), 0)
	waitRunning(t, w, j.Submission.ID, 1)
	w.State.SetOutage(true)
	w.CancelJob(j)
	for range 10 {
		w.Run(100 * time.Millisecond)
		w.PollAll()
	}
	if j.Status != protocol.StatusRunning {
		t.Errorf("status %q during the outage", j.Status)
	}
	w.State.SetOutage(false)
	w.Run(20 * time.Second)
	if !j.Cancelled || len(w.MachinesOf(j.Submission.ID)) != 0 {
		t.Errorf("status %q, on %v", j.Status, w.MachinesOf(j.Submission.ID))
	}
	requireNoViolations(t, w)
}

// Only the old leader can still reach a job's worker when the job is cancelled through the new
// leader. The cancellation may be confirmed only once it is certain that the old leader's heartbeat
// grace period and the worker's lease will end the task in time, and it must be confirmed then.
func TestCancellationConfirmedAfterPartitionedLeaderExpires(t *testing.T) {
	w, j := partitionLeaderWithOneWorker(t)
	if !w.RunUntil(10*time.Second, func() bool { return w.Controllers[1].Leads() || w.Controllers[2].Leads() }) {
		t.Fatal("no controller took over")
	}
	w.CancelJob(j)
	waitCancelled(t, w, j, 25*time.Second)
	w.Run(60 * time.Second)
	requireNoViolations(t, w)
}

// leaderChanges has functions that apply a fault after which the leader n0 is replaced.
var leaderChanges = map[string]func(w *fake.World){
	"crashes": func(w *fake.World) { w.Controllers[0].Crash() },
	"refused": func(w *fake.World) { w.State.Unreachable["n0"] = true },
	"paused":  func(w *fake.World) { w.Controllers[0].PausedUntil = w.Now + 8*time.Second },
	"partitioned from workers": func(w *fake.World) {
		w.Network = func(kind, from, to string) fake.Delivery {
			delivery := fake.Reliable()
			delivery.LoseRequest = kind == fake.KindHeartbeat && to == "n0" || kind == fake.KindCommands && from == "n0"
			return delivery
		}
	},
}

// Jobs are cancelled one after the other during a change of leader, from the old leader's last lease
// renewal to the new leader's first placements. The old leader crashes, is refused by the state
// service, resigns because it receives no heartbeats, or is paused. Every job must be cancelled in the
// end, and no task may run longer than permitted after the cancellation was confirmed.
func TestCancellationDuringLeaderChange(t *testing.T) {
	t.Parallel()
	phases := 3
	if *fineSteps {
		phases = 20
	}
	for name, change := range leaderChanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for phase := range phases {
				part := 2 * time.Second * time.Duration(phase) / time.Duration(phases)
				testCancellationDuringLeaderChange(t, part, change)
			}
		})
	}
}

// testCancellationDuringLeaderChange replaces the leader at the given offset within the heartbeat
// interval.
func testCancellationDuringLeaderChange(t *testing.T, phase time.Duration, change func(*fake.World)) {
	t.Helper()
	w := newWorld(t)
	var jobs []*fake.Job
	for i := range 30 {
		s := service(i+1, 1)
		s.Team, s.CPUs = "blue", 1
		jobs = append(jobs, w.Submit(s, 0))
	}
	for _, j := range jobs {
		waitRunning(t, w, j.Submission.ID, 1)
	}
	w.Run(3*time.Second + phase)
	change(w)
	for i, j := range jobs { // one cancellation every 150 ms
		w.After(time.Duration(i)*150*time.Millisecond, func() {
			if i%2 == 0 {
				w.CancelEverywhere(j)
			} else {
				w.CancelJob(j)
			}
		})
	}
	queryRepeatedly(w, jobs, 30, time.Second)
	delete(w.State.Unreachable, "n0")
	w.Network = nil
	w.Run(20 * time.Second)
	requireNoViolations(t, w)
	for _, j := range jobs {
		if !j.Cancelled || len(w.MachinesOf(j.Submission.ID)) > 0 {
			t.Fatalf("%s: status %q, on %v", j.Submission.ID, j.Status, w.MachinesOf(j.Submission.ID))
		}
	}
}
