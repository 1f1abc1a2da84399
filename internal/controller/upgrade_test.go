package controller_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// newProductionWorld makes a world in which all controllers run as the version in production, with
// lower limits to come.
func newProductionWorld(t *testing.T) *fake.World {
	t.Helper()
	s := fake.Settings()
	s.State.ValueKB, s.State.TxnOps = 8, 8
	s.State.Next = nextLimits(1, 3, 25)
	w := fake.NewWorld(s)
	w.RewriteAsProduction = roundTripProduction
	for _, n := range w.Controllers {
		n.Crash()
		n.RunsProduction = true
	}
	for _, n := range w.Controllers {
		n.Start()
	}
	if !w.RunUntil(10*time.Second, func() bool { return w.Leader() != nil }) {
		t.Fatal("nobody leads")
	}
	return w
}

func nextLimits(valueKB float64, txnOps int, writeRPS float64) *config.StateNext {
	return &config.StateNext{ValueKB: &valueKB, TxnOps: &txnOps, WriteRPS: &writeRPS}
}

// upgrade replaces a controller's process by one of the new version.
func upgrade(w *fake.World, n *fake.Controller, after time.Duration) {
	n.Crash()
	n.RunsProduction = false
	w.After(after, n.Start)
}

// The versions lead in turns, several times, also within a second and in an outage:
// nothing is lost and every rule holds, whoever wrote a page last.
func TestVersionsAlternateAsLeader(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 9 * time.Second} {
		for _, outage := range []bool{false, true} {
			t.Run(pause.String(), func(t *testing.T) {
				t.Parallel()
				w := newProductionWorld(t)
				large := job(1, protocol.Array, 70)
				large.CPUs, large.Team = 0.5, "red"
				w.Submit(large, 8*time.Second)
				w.Submit(service(2, 3), 0)
				called := w.Submit(service(3, 2), 0)
				w.Run(20 * time.Second)
				for round := range 8 {
					if outage && round == 3 {
						w.State.SetOutage(true)
						w.After(3*time.Second, func() { w.State.SetOutage(false) })
					}
					l := w.Leader()
					if l == nil {
						w.Run(time.Second)
						continue
					}
					// It dies before its turn and comes back old, or it has its turn, or goes back.
					l.Crash()
					l.RunsProduction = round%2 == 1
					w.After(pause, l.Start)
					w.Submit(job(10+round, protocol.JobKind(round%2), 2), 2*time.Second)
					if round == 5 {
						w.CancelEverywhere(called)
					}
					w.Run(pause + 2500*time.Millisecond)
					w.PollAll()
				}
				for _, n := range w.Controllers {
					n.Crash()
					n.RunsProduction = false
					n.Start()
				}
				runAndPoll(w, 90*time.Second)
				requireNoViolations(t, w)
				requireAllServed(t, w)
				if called.Status != protocol.StatusCancelled {
					t.Errorf("told %q", called.Status)
				}
			})
		}
	}
}

// The limits drop after a roll, with and without time to split the large pages that
// the old version left, and with writes in flight: what is on them still changes. A
// first copy of a write may be carried out late, after the same write was refused for
// its size and its pages were divided: by then it is of an earlier term.
func TestLimitsLoweredAfterRollingUpgrade(t *testing.T) {
	for _, wait := range []time.Duration{0, 500 * time.Millisecond, 20 * time.Second} {
		for _, slow := range []time.Duration{0, 150 * time.Millisecond} {
			t.Run(wait.String()+" "+slow.String(), func(t *testing.T) {
				t.Parallel()
				w := newProductionWorld(t)
				large := job(1, protocol.Array, 70)
				large.CPUs, large.Team = 0.5, "red"
				w.Submit(large, 8*time.Second)
				called := w.Submit(service(2, 2), 0)
				for i := range 40 {
					if i%2 == 0 {
						w.Submit(job(100+i, protocol.Array, 1), time.Second)
						continue
					}
					s := service(100+i, 1)
					s.CPUs = 0.1
					w.Submit(s, 0)
				}
				w.Run(30 * time.Second)
				oversize := func() int {
					n := 0
					for key, value := range w.State.Values() {
						var v any
						if err := protocol.Decode(value, &v); err != nil {
							t.Fatal(err)
						}
						text, err := json.Marshal(v)
						if err != nil {
							t.Fatal(err)
						}
						if strings.HasPrefix(key, storage.PagePrefix) && len(text) > 1024 {
							n++
						}
					}
					return n
				}
				if oversize() == 0 {
					t.Fatal("the old version left no large page: this shows nothing")
				}
				calls := 0
				w.Network = func(kind, _, _ string) fake.Delivery {
					f := fake.Reliable()
					if kind == fake.KindState {
						f.RequestDelay += slow
						f.DuplicateAfter = 3 * slow
						calls++
						f.LoseResponse = slow > 0 && calls%9 == 0
					}
					return f
				}
				// The leader last: with no time to wait, the new version has never led.
				l := w.Leader()
				nodes := slices.Clone(w.Controllers)
				slices.SortStableFunc(nodes, func(a, b *fake.Controller) int {
					if a == l {
						return 1
					}
					if b == l {
						return -1
					}
					return 0
				})
				for _, n := range nodes {
					upgrade(w, n, 500*time.Millisecond)
					w.Run(2 * time.Second)
				}
				w.Run(wait)
				if wait >= 20*time.Second {
					if n := oversize(); n > 0 {
						t.Errorf("%d pages are above the limits to come after %v", n, wait)
					}
				}
				w.State.LowerLimits()
				w.CancelEverywhere(called)
				w.Submit(job(3, protocol.Gang, 2), 2*time.Second)
				w.Submit(service(4, 2), 0)
				runAndPoll(w, 150*time.Second)
				requireNoViolations(t, w)
				requireAllServed(t, w)
				if called.Status != protocol.StatusCancelled {
					t.Errorf("told %q", called.Status)
				}
				if w.State.RejectedForSize > 3*len(w.Controllers) {
					t.Errorf("%d transactions were refused for their size", w.State.RejectedForSize)
				}
			})
		}
	}
}

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
		t.Errorf("told %q, %d tasks done", j.Status, len(j.DoneTasks))
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
	// Tasks of the first block stand still, so that later ones end before them, and are
	// lost with their machines when the controllers restart.
	var first []string
	w.RunUntil(60*time.Second, func() bool { return w.Running(large.ID) >= 30 })
	for _, line := range w.Log {
		var task int
		var host string
		if _, after, ok := strings.Cut(line, "task placed [job wk-000001 class c task "); ok {
			if n, _ := fmt.Sscanf(after, "%d host %s", &task, &host); n == 2 && task < 24 {
				w.Workers[host].HangUntil = w.Now + 7500*time.Millisecond
				first = append(first, host)
			}
		}
	}
	w.RunUntil(9*time.Second, func() bool { return len(j.DoneTasks) > 0 })
	w.Run(1200 * time.Millisecond)
	if n := len(j.DoneTasks); n == 0 || n > 36 || j.DoneTasks[12] {
		t.Fatalf("%d of 60 tasks are done", n)
	}
	w.State.LowerLimits()
	for _, host := range first {
		w.Cloud.Fail(host)
	}
	for _, n := range w.Controllers {
		n.Crash()
	}
	w.Cfg.Settings.State = s.State.Smallest()
	w.Cfg.Settings.State.Next = nil
	for _, n := range w.Controllers {
		n.Start()
	}
	runAndPoll(w, 90*time.Second)
	if j.Status != protocol.StatusDone {
		t.Errorf("told %q, %d tasks done", j.Status, len(j.DoneTasks))
	}
	requireNoViolations(t, w)
}

// The operators change value_kb itself, without saying before what is to come. A job of
// several blocks that this version accepted is carried on by the length that it recorded.
func TestMultiBlockJobSurvivesValueSizeChange(t *testing.T) {
	for _, sizes := range [][2]float64{{4, 1}, {1, 4}} {
		t.Run(fmt.Sprint(sizes), func(t *testing.T) {
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
				t.Errorf("told %q, %d tasks done", j.Status, len(j.DoneTasks))
			}
			requireNoViolations(t, w)
		})
	}
}

// restartWithValueSize restarts every controller with another value_kb.
func restartWithValueSize(w *fake.World, kilobytes float64) {
	for _, n := range w.Controllers {
		n.Crash()
	}
	w.Cfg.Settings.State.ValueKB = kilobytes
	w.State.SetMaxValueKB(kilobytes)
	for _, n := range w.Controllers {
		n.Start()
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
	for _, n := range w.Controllers {
		n.Crash()
		n.RunsProduction = true
		n.Start()
	}
	large := job(1, protocol.Array, 60)
	large.CPUs, large.Team = 0.5, "red"
	w.Submit(large, 30*time.Second)
	waitRunning(t, w, large.ID, 24)
	for _, n := range w.Controllers {
		n.RunsProduction = false
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
