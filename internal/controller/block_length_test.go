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

// A job's blocks are sized for pages of 8 KiB, and a lower limit of 1 KiB has been announced. The
// starts of a whole block do not fit on a page of 1 KiB, so some tasks must wait until others have
// ended, and all of them run eventually.
func TestBlockTooLargeForLoweredPages(t *testing.T) {
	s := fake.Settings()
	s.State.ValueKB, s.State.Next = 8, nextLimits(1, 4, 40)
	w := fake.NewWorld(s)
	w.Run(2 * time.Second)
	large := job(1, protocol.Array, 60)
	large.CPUs, large.MemoryGB, large.Team = 0.1, 0.1, "red"
	j := w.Submit(large, 10*time.Second)
	maxRunning := 0
	for range 40 {
		w.Run(time.Second)
		maxRunning = max(maxRunning, w.RunningTasks(large.ID))
	}
	if maxRunning < 20 || maxRunning >= 60 {
		t.Errorf("%d of 60 tasks ran at a time", maxRunning)
	}
	w.State.LowerLimits()
	runAndPoll(w, 60*time.Second)
	if j.Status != protocol.StatusDone {
		t.Errorf("status %q, %d tasks done", j.Status, len(j.DoneTasks))
	}
	requireNoViolations(t, w)
}

// The limits are lowered, and the settings change accordingly. The new settings result in another
// block length, with which a block number would refer to other tasks. A new leader must use the
// recorded block length.
func TestBlockLengthIsReadFromRecords(t *testing.T) {
	s := fake.Settings()
	s.State.ValueKB, s.State.Next = 4, nextLimits(1, 4, 40)
	w := fake.NewWorld(s)
	w.Run(2 * time.Second)
	large := job(1, protocol.Array, 60)
	large.CPUs = 0.5
	j := w.Submit(large, 5*time.Second)
	// Machines with tasks of the first block hang, so that tasks of later blocks end first. These
	// machines fail before the controllers restart.
	var first []string
	w.RunUntil(60*time.Second, func() bool { return w.RunningTasks(large.ID) >= 30 })
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

// Operators change value_kb without announcing the new limit beforehand. A job of several blocks that
// this version accepted continues with its recorded block length.
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
				t.Fatal("no block is completed")
			}
			w.Run(500 * time.Millisecond)
			if n := len(j.DoneTasks); n > 50 {
				t.Fatalf("%d of 60 tasks are done: too many for this test", n)
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

// A job of several blocks that the production version accepted has no recorded block length. If
// value_kb changes and the job's records contradict the new value, no controller may lead, because
// one task could be mistaken for another. The log states the cause.
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
		t.Error("a controller leads despite inconsistent records")
	}
	namesCause := func(line string) bool { return strings.Contains(line, "was value_kb changed?") }
	if !slices.ContainsFunc(w.Log, namesCause) {
		t.Error("no log line states the cause")
	}
	restartWithValueSize(w, 4)
	runAndPoll(w, 150*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
}
