package controller_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// testingT is the part of testing.TB that the checks need. *testing.T and *rapid.T implement it.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// newWorld makes a world with the default test settings in which n0 leads.
func newWorld(t *testing.T) *fake.World {
	t.Helper()
	return newWorldWith(t, fake.Settings())
}

// newWorldWith makes a world with the given settings in which n0 leads.
func newWorldWith(t *testing.T, s config.Settings) *fake.World {
	t.Helper()
	w := fake.NewWorld(s)
	for _, c := range w.Controllers[1:] {
		c.Crash()
	}
	if !w.RunUntil(5*time.Second, w.Controllers[0].Leads) {
		t.Fatal("no controller leads")
	}
	for _, c := range w.Controllers[1:] {
		c.Start()
	}
	return w
}

// job returns a submission of small tasks.
func job(id int, kind protocol.JobKind, tasks int) protocol.Submission {
	return protocol.Submission{
		ID: fmt.Sprintf("wk-%06d", id), Class: "c", Team: "blue", Kind: kind, Priority: protocol.Normal, Tasks: tasks,
		CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimatedRunS: 5, CheckpointIntervalS: 2, CheckpointDurationS: 1,
	}
}

// service returns a submission of replicas that run until they are cancelled.
func service(id, replicas int) protocol.Submission {
	s := job(id, protocol.Service, replicas)
	s.CheckpointIntervalS = 0
	return s
}

// provisionIdleMachines provisions two machines without tasks and returns their names.
func provisionIdleMachines(t *testing.T, w *fake.World) []string {
	t.Helper()
	s := service(90, 2)
	s.CPUs = 4
	j := w.Submit(s, 0)
	waitRunning(t, w, s.ID, 2)
	machines := w.MachinesOf(s.ID)
	w.CancelJob(j)
	w.Run(4 * time.Second)
	return machines
}

// waitRunning waits until the given number of a job's tasks are running.
func waitRunning(t *testing.T, w *fake.World, id string, tasks int) {
	t.Helper()
	if !w.RunUntil(90*time.Second, func() bool { return w.RunningTasks(id) == tasks }) {
		t.Fatalf("%s: %d of %d tasks run\n%s", id, w.RunningTasks(id), tasks, strings.Join(w.Log, "\n"))
	}
}

// waitLeader waits until a controller leads.
func waitLeader(tb testing.TB, w *fake.World, timeout time.Duration) {
	tb.Helper()
	if !w.RunUntil(timeout, func() bool { return w.Leader() != nil }) {
		tb.Fatal("no controller leads")
	}
}

// waitAccepted waits until a job is accepted.
func waitAccepted(t *testing.T, w *fake.World, j *fake.Job, timeout time.Duration) {
	t.Helper()
	if !w.RunUntil(timeout, func() bool { return j.Accepted }) {
		t.Fatalf("%s is not accepted", j.Submission.ID)
	}
}

// waitCancelled waits until the user of a job has been told that it is cancelled.
func waitCancelled(t *testing.T, w *fake.World, j *fake.Job, timeout time.Duration) {
	t.Helper()
	if !w.RunUntil(timeout, func() bool { return j.Cancelled }) {
		t.Fatalf("%s: its user was not told that it is cancelled", j.Submission.ID)
	}
}

// crashFor crashes a controller and restarts it after a time.
func crashFor(w *fake.World, c *fake.Controller, downFor time.Duration) {
	c.Crash()
	w.After(downFor, c.Start)
}

// restartLeader crashes the leader and restarts it after a time. There must be a leader.
func restartLeader(w *fake.World, downFor time.Duration) { crashFor(w, w.Leader(), downFor) }

// crashLeader crashes the leader, if there is one, and restarts it after a time.
func crashLeader(w *fake.World, downFor time.Duration) {
	if leader := w.Leader(); leader != nil {
		crashFor(w, leader, downFor)
	}
}

// crashAll crashes every controller.
func crashAll(w *fake.World) {
	for _, c := range w.Controllers {
		c.Crash()
	}
}

// startAll starts every controller.
func startAll(w *fake.World) {
	for _, c := range w.Controllers {
		c.Start()
	}
}

// startCrashed starts the controllers that are down.
func startCrashed(w *fake.World) {
	for _, c := range w.Controllers {
		if !c.Up {
			c.Start()
		}
	}
}

// runAndPoll lets time pass and polls every job meanwhile.
func runAndPoll(w *fake.World, d time.Duration) {
	for end := w.Now + d; w.Now < end; {
		w.Run(2 * time.Second)
		w.PollAll()
	}
	w.Run(time.Second)
}

// queryRapidly polls and resubmits jobs at every controller every 7 ms for the duration d. It only
// schedules the requests, and lets no time pass.
func queryRapidly(w *fake.World, jobs []*fake.Job, d time.Duration) {
	for at := time.Duration(0); at < d; at += 7 * time.Millisecond {
		w.After(at, func() {
			for _, j := range jobs {
				w.PollAndResubmitEverywhere(j)
			}
		})
	}
}

// queryRepeatedly polls and resubmits jobs at every controller the given number of times, each time
// after an interval.
func queryRepeatedly(w *fake.World, jobs []*fake.Job, times int, interval time.Duration) {
	for range times {
		w.Run(interval)
		for _, j := range jobs {
			w.PollAndResubmitEverywhere(j)
		}
	}
}

// adminRequest sends an operator's request to a controller and returns the response.
func adminRequest(w *fake.World, controller int, kind message.AdminRequestKind, body string) (status int, answer string) {
	w.Controllers[controller].Request(message.AdminRequest{Kind: kind, Body: []byte(body)}, func(r message.Reply) {
		status, answer = r.Status, string(r.Body)
	})
	w.Run(time.Second)
	return status, answer
}

// requireNoViolations fails if an invariant was violated, or if a leader's task counts are wrong.
func requireNoViolations(t testingT, w *fake.World) {
	t.Helper()
	if len(w.Violations) > 0 {
		t.Fatalf("invariants violated:\n%s\nlog:\n%s", strings.Join(w.Violations, "\n"), logTail(w, 60))
	}
	for _, c := range w.Controllers {
		if impl := c.Controller(); impl != nil {
			if err := impl.CheckCounts(); err != nil {
				t.Fatalf("%s: %v", c.Name, err)
			}
		}
	}
}

// requireAllServed fails unless every job that wasn't cancelled is accepted and either done or, if
// it is a service, running with all its replicas. Jobs that depend on a cancelled job must be
// cancelled. Jobs whose tasks always fail are ignored.
func requireAllServed(t testingT, w *fake.World) {
	t.Helper()
	for id, j := range w.Jobs {
		switch {
		case j.CancelRequested || j.AlwaysFails:
		case !j.Accepted:
			t.Fatalf("%s was never accepted", id)
		case w.CancelledByAncestor(j):
			if j.Status != protocol.StatusCancelled {
				t.Fatalf("%s has status %q, although a job that it depends on is cancelled", id, j.Status)
			}
		case j.Submission.Kind == protocol.Service:
			if n := w.RunningTasks(id); n != j.Submission.Tasks {
				t.Fatalf("%s: %d of %d replicas run\n%s", id, n, j.Submission.Tasks, logTail(w, 60))
			}
		case j.Status != protocol.StatusDone:
			t.Fatalf("%s has status %q, not done; %d of %d tasks are done: %+v\n%s", id, j.Status, len(j.DoneTasks), j.Submission.Tasks, j.Submission, logTail(w, 60))
		}
	}
}

// logTail returns the last lines of the world's log.
func logTail(w *fake.World, lines int) string {
	return strings.Join(w.Log[max(0, len(w.Log)-lines):], "\n")
}

// logContains reports whether the world's log contains a text.
func logContains(w *fake.World, text string) bool {
	return strings.Contains(strings.Join(w.Log, "\n"), text)
}

// allMatch reports whether a condition holds for every item.
func allMatch[T any](items []T, condition func(T) bool) bool {
	return !slices.ContainsFunc(items, func(item T) bool { return !condition(item) })
}
