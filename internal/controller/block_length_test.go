package controller_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// A job's blocks are cut for pages of 8 KiB, and pages of 1 KiB are to come: the starts
// of a whole block don't fit one. What doesn't has to wait, and its turn comes.
func TestBlockTooLargeForLoweredPages(t *testing.T) {
	s := fake.Settings()
	s.State.ValueKB, s.State.Next = 8, nextLimits(1, 4, 40)
	w := fake.NewWorld(s)
	w.Run(2 * time.Second)
	large := job(1, protocol.Array, 60)
	large.CPUs, large.MemoryGB, large.Team = 0.1, 0.1, "red"
	j := w.Submit(large, 10*time.Second)
	most := 0
	for range 40 {
		w.Run(time.Second)
		most = max(most, w.Running(large.ID))
	}
	if most < 20 || most >= 60 {
		t.Errorf("%d of 60 tasks ran at a time", most)
	}
	w.State.LowerLimits()
	runAndPoll(w, 60*time.Second)
	if j.Status != protocol.StatusDone {
		t.Errorf("status %q, %d tasks done", j.Status, len(j.DoneTasks))
	}
	requireNoViolations(t, w)
}

// The limits were lowered and the settings say so: the same number of a block would mean
// other tasks now, but for the length that is recorded.
func TestBlockLengthIsReadFromRecords(t *testing.T) {
	s := fake.Settings()
	s.State.ValueKB, s.State.Next = 4, nextLimits(1, 4, 40)
	w := fake.NewWorld(s)
	w.Run(2 * time.Second)
	large := job(1, protocol.Array, 60)
	large.CPUs = 0.5
	j := w.Submit(large, 5*time.Second)
	// Tasks of the first block are paused, so that later ones end before them, and are
	// lost with their machines when the controllers restart.
	var first []string
	w.RunUntil(60*time.Second, func() bool { return w.Running(large.ID) >= 30 })
	for _, line := range w.Log {
		var task int
		var machine string
		if _, after, ok := strings.Cut(line, "task placed [job wk-000001 class c task "); ok {
			if n, _ := fmt.Sscanf(after, "%d machine %s", &task, &machine); n == 2 && task < 24 {
				w.Workers[machine].HangUntil = w.Now + 7500*time.Millisecond
				first = append(first, machine)
			}
		}
	}
	w.RunUntil(9*time.Second, func() bool { return len(j.DoneTasks) > 0 })
	w.Run(1200 * time.Millisecond)
	if n := len(j.DoneTasks); n == 0 || n > 36 || j.DoneTasks[12] {
		t.Fatalf("%d of 60 tasks are done", n)
	}
	w.State.LowerLimits()
	for _, machine := range first {
		w.Cloud.Fail(machine)
	}
	crashAll(w)
	w.Cfg.Settings.State = s.State.Smallest()
	w.Cfg.Settings.State.Next = nil
	startAll(w)
	runAndPoll(w, 90*time.Second)
	if j.Status != protocol.StatusDone {
		t.Errorf("status %q, %d tasks done", j.Status, len(j.DoneTasks))
	}
	requireNoViolations(t, w)
}

// The operators change value_kb itself, without saying before what is to come. A job of
// several blocks that this version accepted is carried on by the length that it recorded.
func TestMultiBlockJobSurvivesValueSizeChange(t *testing.T) {
	for _, sizes := range [][2]float64{{4, 1}, {1, 4}} {
		t.Run(fmt.Sprintf("from %v to %v KiB", sizes[0], sizes[1]), func(t *testing.T) {
			s := fake.Settings()
			s.State.ValueKB = sizes[0]
			w := newWorldWith(t, s)
			large := job(1, protocol.Array, 60)
			large.CPUs, large.Team = 0.5, "red"
			j := w.Submit(large, 4*time.Second)
			if !w.RunUntil(60*time.Second, func() bool { return len(j.DoneTasks) >= 26 }) {
				t.Fatal("no block is done")
			}
			w.Run(500 * time.Millisecond)
			if n := len(j.DoneTasks); n > 50 {
				t.Fatalf("%d of 60 tasks are done: this shows nothing", n)
			}
			restartWithValueSize(w, sizes[1])
			runAndPoll(w, 90*time.Second)
			if j.Status != protocol.StatusDone {
				t.Errorf("status %q, %d tasks done", j.Status, len(j.DoneTasks))
			}
			requireNoViolations(t, w)
		})
	}
}

// A job of several blocks that the version in production accepted has no such length
// recorded. If value_kb is changed and its records disagree, nobody leads, and the log
// says why: no task is taken for another.
func TestBlocksInconsistentWithSettingsAreRefused(t *testing.T) {
	s := fake.Settings()
	s.State.ValueKB = 4
	w := fake.NewWorld(s)
	w.RewriteAsProduction = roundTripProduction
	for _, c := range w.Controllers {
		c.Crash()
		c.RunsProductionVersion = true
		c.Start()
	}
	large := job(1, protocol.Array, 60)
	large.CPUs, large.Team = 0.5, "red"
	w.Submit(large, 30*time.Second)
	waitRunning(t, w, large.ID, 24)
	for _, c := range w.Controllers {
		c.RunsProductionVersion = false
	}
	restartWithValueSize(w, 1)
	w.Run(10 * time.Second)
	if w.Leader() != nil {
		t.Error("a controller leads")
	}
	said := func(line string) bool { return strings.Contains(line, "was value_kb changed?") }
	if !slices.ContainsFunc(w.Log, said) {
		t.Error("no log line says why")
	}
	restartWithValueSize(w, 4)
	runAndPoll(w, 150*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
}
