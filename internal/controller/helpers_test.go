package controller_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/controller"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// newWorld makes one in which n0 leads.
func newWorld(t *testing.T) *fake.World {
	t.Helper()
	return newWorldWith(t, fake.Settings())
}

// newWorldWith makes one with such settings in which n0 leads.
func newWorldWith(t *testing.T, s config.Settings) *fake.World {
	t.Helper()
	w := fake.NewWorld(s)
	for _, n := range w.Controllers[1:] {
		n.Crash()
	}
	if !w.RunUntil(5*time.Second, w.Controllers[0].Leads) {
		t.Fatal("nobody leads")
	}
	for _, n := range w.Controllers[1:] {
		n.Start()
	}
	return w
}

func waitRunning(t *testing.T, w *fake.World, id string, tasks int) {
	t.Helper()
	if !w.RunUntil(90*time.Second, func() bool { return w.Running(id) == tasks }) {
		t.Fatalf("%s: %d of %d run\n%s", id, w.Running(id), tasks, strings.Join(w.Log, "\n"))
	}
}

func service(id, tasks int) protocol.Submission {
	s := job(id, protocol.Service, tasks)
	s.CheckpointIntervalS = 0
	return s
}

// provisionIdleMachines makes a world with two empty machines that are up, and gives their names.
func provisionIdleMachines(t *testing.T, w *fake.World) []string {
	t.Helper()
	s := service(90, 2)
	s.CPUs = 4
	j := w.Submit(s, 0)
	waitRunning(t, w, s.ID, 2)
	hosts := w.MachinesOf(s.ID)
	w.CancelJob(j)
	w.Run(4 * time.Second)
	return hosts
}

// queryRapidly looks at a job at every node again and again within milliseconds, for so long.
func queryRapidly(w *fake.World, jobs []*fake.Job, d time.Duration) {
	for at := time.Duration(0); at < d; at += 7 * time.Millisecond {
		w.After(at, func() {
			for _, j := range jobs {
				w.QueryEverywhere(j)
			}
		})
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

func job(id int, shape protocol.JobKind, tasks int) protocol.Submission {
	return protocol.Submission{
		ID: fmt.Sprintf("wk-%06d", id), Class: "c", Team: "blue", Kind: shape, Priority: protocol.Normal, Tasks: tasks,
		CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimatedRunS: 5, CheckpointIntervalS: 2, CheckpointDurationS: 1,
	}
}

func requireNoViolations(t interface{ Fatalf(string, ...any) }, w *fake.World) {
	if len(w.Violations) > 0 {
		tail := w.Log[max(0, len(w.Log)-60):]
		t.Fatalf("rules broken:\n%s\nlog:\n%s", strings.Join(w.Violations, "\n"), strings.Join(tail, "\n"))
	}
	for _, n := range w.Controllers {
		if node := n.Controller(); node != nil {
			if err := node.CheckCounts(); err != nil {
				t.Fatalf("%s: %v", n.Name, err)
			}
		}
	}
}

// requireAllServed fails unless every job that was accepted and not cancelled is served.
func requireAllServed(t interface{ Fatalf(string, ...any) }, w *fake.World) {
	for id, j := range w.Jobs {
		if j.CancelRequested || j.AlwaysFails {
			continue
		}
		if !j.Accepted {
			t.Fatalf("%s was never accepted", id)
		}
		if w.CancelledByAncestor(j) {
			if j.Status != protocol.StatusCancelled {
				t.Fatalf("%s is called %q, and a job that it needs is cancelled", id, j.Status)
			}
			continue
		}
		if j.Submission.Kind == protocol.Service {
			if n := w.Running(id); n != j.Submission.Tasks {
				t.Fatalf("%s: %d of %d replicas run\n%s", id, n, j.Submission.Tasks, strings.Join(w.Log[max(0, len(w.Log)-60):], "\n"))
			}
		} else if j.Status != protocol.StatusDone {
			t.Fatalf("%s is not done but %q, %d of %d tasks: %+v\n%s", id, j.Status, len(j.DoneTasks), j.Submission.Tasks, j.Submission, strings.Join(w.Log[max(0, len(w.Log)-60):], "\n"))
		}
	}
}

// queryRepeatedly asks about jobs at every node, and hands them in again there, so many
// times, each time after a while.
func queryRepeatedly(w *fake.World, jobs []*fake.Job, times int, after time.Duration) {
	for range times {
		w.Run(after)
		for _, j := range jobs {
			w.QueryEverywhere(j)
		}
	}
}

// restartLeader ends the leader's process, which is back after three seconds.
func restartLeader(w *fake.World) {
	l := w.Leader()
	l.Crash()
	w.After(3*time.Second, l.Start)
}

func allMatch[T any](items []T, ok func(T) bool) bool {
	return !slices.ContainsFunc(items, func(x T) bool { return !ok(x) })
}

// logContains tells whether any controller has logged such a line.
func logContains(w *fake.World, line string) bool {
	return strings.Contains(strings.Join(w.Log, "\n"), line)
}

func adminRequest(w *fake.World, n int, kind message.AdminRequestKind, body string) (status int, answer string) {
	w.Controllers[n].Request(message.AdminRequest{Kind: kind, Body: []byte(body)}, func(r message.Reply) {
		status, answer = r.Status, string(r.Body)
	})
	w.Run(time.Second)
	return status, answer
}

// adminJobStatus is what the leader tells operators of a job.
func adminJobStatus(t *testing.T, w *fake.World, id string) controller.JobStatus {
	t.Helper()
	var s controller.JobStatus
	w.Leader().Request(message.AdminRequest{Kind: message.AdminJob, Job: id}, func(r message.Reply) {
		if err := json.Unmarshal(r.Body, &s); err != nil || r.Status != 200 {
			t.Errorf("status %d, %v: %s", r.Status, err, r.Body)
		}
	})
	return s
}
