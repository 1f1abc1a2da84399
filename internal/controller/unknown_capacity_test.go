package controller_test

import (
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// newLeaderWithoutTypes makes a world in which a leader has begun its term while the cloud refuses every
// request, so that it doesn't know the machine types. Tasks run on two machines, and the given jobs wait.
func newLeaderWithoutTypes(t *testing.T, waiting ...protocol.Submission) *fake.World {
	t.Helper()
	w := newWorld(t)
	w.Cloud.CapacityOf = map[string]int{"small": 1, "large": 0}
	running := service(1, 8)
	running.Priority, running.Team = protocol.Low, "red"
	w.Submit(running, 0)
	waitRunning(t, w, running.ID, 8)
	blocker := w.Submit(job(2, protocol.Array, 1), 2*time.Second)
	for _, s := range waiting {
		waitAccepted(t, w, submitAfter(t, w, s, time.Second, blocker), 10*time.Second)
	}
	w.Cloud.RefuseRequests = true
	crashAll(w) // so that none remembers the machine types
	startAll(w)
	waitLeader(t, w, 10*time.Second)
	return w
}

// A task that takes nothing waits at a leader without machine types. Guards against leaders that end one
// after the other because the task fits the unknown capacity of a machine.
func TestEmptyRequestAtLeaderWithoutTypes(t *testing.T) {
	nothing := job(3, protocol.Array, 2)
	nothing.CPUs, nothing.MemoryGB, nothing.ImageGB = 0, 0, 0
	w := newLeaderWithoutTypes(t, nothing)
	w.Run(20 * time.Second)
	w.Cloud.RefuseRequests = false
	runAndPoll(w, 60*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
}

// An urgent task waits at a leader without machine types. Guards against the preemption of one task after
// the other on machines whose capacity is unknown and taken for none.
func TestNothingPreemptedOnUnknownCapacity(t *testing.T) {
	urgent := job(3, protocol.Array, 1)
	urgent.Priority = protocol.High
	w := newLeaderWithoutTypes(t, urgent)
	before := w.RunningTasks("wk-000001")
	w.Run(30 * time.Second)
	if n := w.Leader().Stats().TasksPreempted; n > 0 || w.RunningTasks("wk-000001") < before {
		t.Errorf("%d tasks are preempted, %d of %d run", n, w.RunningTasks("wk-000001"), before)
	}
	w.Cloud.RefuseRequests = false
	runAndPoll(w, 60*time.Second)
	requireNoViolations(t, w)
}

// startAfterFailover crashes the leader while the cloud refuses every request and a task waits for another,
// and returns the time from the crash to the start of the waiting task, or 0 if it isn't started.
func startAfterFailover(tb testing.TB) time.Duration {
	tb.Helper()
	w := fake.NewWorld(fake.Settings())
	waitLeader(tb, w, 10*time.Second)
	w.Submit(service(1, 1), 0)
	first := w.Submit(job(2, protocol.Array, 1), 4*time.Second)
	w.RunUntil(30*time.Second, func() bool { return w.RunningTasks(first.Submission.ID) == 1 })
	second := job(3, protocol.Array, 1)
	second.Prerequisites = []string{first.Submission.ID}
	w.Submit(second, time.Second)
	w.Run(time.Second)
	w.Cloud.RefuseRequests = true
	crashed := w.Now
	w.Leader().Crash()
	var startedAt time.Duration
	w.OnStart = func(j *fake.Job, _ int) {
		if j.Submission.ID == second.ID && startedAt == 0 {
			startedAt = w.Now
		}
	}
	w.Run(time.Minute)
	if len(w.Violations) > 0 {
		tb.Error(w.Violations)
	}
	return max(0, startedAt-crashed)
}

// Guards against a new leader that starts nothing during an outage of the cloud although the leader before
// it knew the machine types.
func TestNewLeaderStartsTasksDuringCloudOutage(t *testing.T) {
	if after := startAfterFailover(t); after == 0 || after > 10*time.Second {
		t.Errorf("the waiting task is started %v after the end of the leader", after)
	}
}

// BenchmarkStartAfterFailoverDuringCloudOutage reports the simulated seconds from the end of a leader to the
// next start.
func BenchmarkStartAfterFailoverDuringCloudOutage(b *testing.B) {
	for range b.N {
		b.ReportMetric(startAfterFailover(b).Seconds(), "s-to-start")
	}
}

// The cloud offers a new machine type while a leader has the types of the leader before. Guards against a
// permanent rejection of a job that only fits the new type.
func TestJobIsNotRejectedByInheritedTypes(t *testing.T) {
	w := newWorld(t)
	w.Run(10 * time.Second)
	w.Cloud.RefuseRequests = true
	crashLeader(w, time.Second)
	waitLeader(t, w, 10*time.Second)
	huge := job(1, protocol.Array, 1)
	huge.CPUs = 16
	j := w.Submit(huge, time.Second)
	w.Run(10 * time.Second)
	if j.RejectedWith != 0 || j.Accepted {
		t.Errorf("accepted %t, rejected with %d while the cloud doesn't answer", j.Accepted, j.RejectedWith)
	}
	w.Cloud.RefuseRequests = false
	w.RunUntil(20*time.Second, func() bool { return j.RejectedWith != 0 })
	if j.RejectedWith != 422 {
		t.Errorf("rejected with %d once the cloud has answered", j.RejectedWith)
	}
}
