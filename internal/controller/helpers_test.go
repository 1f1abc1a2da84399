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

// testingT is what the checks need of a test: that of testing.TB which drawn tests have, too.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// newWorld makes a world in which n0 leads.
func newWorld(t *testing.T) *fake.World {
	t.Helper()
	return newWorldWith(t, fake.Settings())
}

// newWorldWith makes a world with such settings in which n0 leads.
func newWorldWith(t *testing.T, s config.Settings) *fake.World {
	t.Helper()
	w := fake.NewWorld(s)
	for _, c := range w.Controllers[1:] {
		c.Crash()
	}
	if !w.RunUntil(5*time.Second, w.Controllers[0].Leads) {
		t.Fatal("nobody leads")
	}
	for _, c := range w.Controllers[1:] {
		c.Start()
	}
	return w
}

// job is a submission of small tasks.
func job(id int, kind protocol.JobKind, tasks int) protocol.Submission {
	return protocol.Submission{
		ID: fmt.Sprintf("wk-%06d", id), Class: "c", Team: "blue", Kind: kind, Priority: protocol.Normal, Tasks: tasks,
		CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimatedRunS: 5, CheckpointIntervalS: 2, CheckpointDurationS: 1,
	}
}

// service is a submission of replicas that run until they are cancelled.
func service(id, replicas int) protocol.Submission {
	s := job(id, protocol.Service, replicas)
	s.CheckpointIntervalS = 0
	return s
}

// provisionIdleMachines makes two empty machines that are up, and gives their names.
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

// waitRunning lets time pass until so many of a job's tasks run.
func waitRunning(t *testing.T, w *fake.World, id string, tasks int) {
	t.Helper()
	if !w.RunUntil(90*time.Second, func() bool { return w.Running(id) == tasks }) {
		t.Fatalf("%s: %d of %d run\n%s", id, w.Running(id), tasks, strings.Join(w.Log, "\n"))
	}
}

// waitLeader lets time pass until a controller leads.
func waitLeader(tb testing.TB, w *fake.World, timeout time.Duration) {
	tb.Helper()
	if !w.RunUntil(timeout, func() bool { return w.Leader() != nil }) {
		tb.Fatal("nobody leads")
	}
}

// waitAccepted lets time pass until a job is accepted.
func waitAccepted(t *testing.T, w *fake.World, j *fake.Job, timeout time.Duration) {
	t.Helper()
	if !w.RunUntil(timeout, func() bool { return j.Accepted }) {
		t.Fatalf("%s is not accepted", j.Submission.ID)
	}
}

// waitCancelled lets time pass until a job's user was told that it is cancelled.
func waitCancelled(t *testing.T, w *fake.World, j *fake.Job, timeout time.Duration) {
	t.Helper()
	if !w.RunUntil(timeout, func() bool { return j.Cancelled }) {
		t.Fatalf("%s: not told that it is cancelled", j.Submission.ID)
	}
}

// crashFor crashes a controller, whose next process starts after the time.
func crashFor(w *fake.World, c *fake.Controller, downFor time.Duration) {
	c.Crash()
	w.After(downFor, c.Start)
}

// restartLeader crashes the leader for a time; there has to be one.
func restartLeader(w *fake.World, downFor time.Duration) { crashFor(w, w.Leader(), downFor) }

// crashLeader crashes the leader for a time, if there is one.
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

// runAndPoll lets time pass, and has every job asked about as it does.
func runAndPoll(w *fake.World, d time.Duration) {
	for end := w.Now + d; w.Now < end; {
		w.Run(2 * time.Second)
		w.PollAll()
	}
	w.Run(time.Second)
}

// queryRapidly plans queries for jobs at every controller, milliseconds apart, for so long.
func queryRapidly(w *fake.World, jobs []*fake.Job, d time.Duration) {
	for at := time.Duration(0); at < d; at += 7 * time.Millisecond {
		w.After(at, func() {
			for _, j := range jobs {
				w.QueryEverywhere(j)
			}
		})
	}
}

// queryRepeatedly asks about jobs at every controller, and hands them in again there, so many
// times, each time after an interval.
func queryRepeatedly(w *fake.World, jobs []*fake.Job, times int, interval time.Duration) {
	for range times {
		w.Run(interval)
		for _, j := range jobs {
			w.QueryEverywhere(j)
		}
	}
}

// adminRequest sends an operator's request to a controller.
func adminRequest(w *fake.World, controller int, kind message.AdminRequestKind, body string) (status int, answer string) {
	w.Controllers[controller].Request(message.AdminRequest{Kind: kind, Body: []byte(body)}, func(r message.Reply) {
		status, answer = r.Status, string(r.Body)
	})
	w.Run(time.Second)
	return status, answer
}

// requireNoViolations fails if a rule was broken, or a leader's counts differ from its tasks.
func requireNoViolations(t testingT, w *fake.World) {
	t.Helper()
	if len(w.Violations) > 0 {
		t.Fatalf("rules broken:\n%s\nlog:\n%s", strings.Join(w.Violations, "\n"), logTail(w, 60))
	}
	for _, c := range w.Controllers {
		if impl := c.Controller(); impl != nil {
			if err := impl.CheckCounts(); err != nil {
				t.Fatalf("%s: %v", c.Name, err)
			}
		}
	}
}

// requireAllServed fails unless every job that wasn't cancelled is accepted and served: batch
// work is done, and all replicas of services run.
func requireAllServed(t testingT, w *fake.World) {
	t.Helper()
	for id, j := range w.Jobs {
		switch {
		case j.CancelRequested || j.AlwaysFails:
		case !j.Accepted:
			t.Fatalf("%s was never accepted", id)
		case w.CancelledByAncestor(j):
			if j.Status != protocol.StatusCancelled {
				t.Fatalf("%s has status %q, and a job that it needs is cancelled", id, j.Status)
			}
		case j.Submission.Kind == protocol.Service:
			if n := w.Running(id); n != j.Submission.Tasks {
				t.Fatalf("%s: %d of %d replicas run\n%s", id, n, j.Submission.Tasks, logTail(w, 60))
			}
		case j.Status != protocol.StatusDone:
			t.Fatalf("%s is not done but %q, %d of %d tasks: %+v\n%s", id, j.Status, len(j.DoneTasks), j.Submission.Tasks, j.Submission, logTail(w, 60))
		}
	}
}

// logTail is the last lines of the world's log.
func logTail(w *fake.World, lines int) string {
	return strings.Join(w.Log[max(0, len(w.Log)-lines):], "\n")
}

// logContains tells whether a text is in the world's log.
func logContains(w *fake.World, text string) bool {
	return strings.Contains(strings.Join(w.Log, "\n"), text)
}

// allMatch tells whether a condition holds for every item.
func allMatch[T any](items []T, condition func(T) bool) bool {
	return !slices.ContainsFunc(items, func(item T) bool { return !condition(item) })
}
