package controller_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
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

// A job of several blocks that the production version accepted has no recorded block length, and
// value_kb changes. Guards against a state in which no controller leads because of such a job: its
// block length follows from its records.
func TestBlockLengthIsDerivedAfterValueSizeChange(t *testing.T) {
	for _, running := range []int{24, 10} {
		t.Run(fmt.Sprint(running, " tasks started"), func(t *testing.T) {
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
			large.CPUs, large.Team = 12/float64(running), "red"
			w.Submit(large, 10*time.Second)
			waitRunning(t, w, large.ID, running)
			w.Run(time.Duration(running) * 500 * time.Millisecond)
			for _, c := range w.Controllers {
				c.RunsProductionVersion = false
			}
			restartWithValueSize(w, 1)
			waitLeader(t, w, 10*time.Second)
			runAndPoll(w, 150*time.Second)
			requireNoViolations(t, w)
			requireAllServed(t, w)
		})
	}
}

// Jobs of all kinds run while value_kb changes again and again. Guards against stored records that the
// version that wrote them doesn't load under other settings.
func TestJobsSurviveAnyValueSizes(t *testing.T) {
	t.Parallel()
	sizes := []float64{1, 1.5, 2, 3, 4, 6, 8, 16, 64}
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 0))
			draw := func() float64 { return sizes[random.IntN(len(sizes))] }
			s := fake.Settings()
			s.State.ValueKB = draw()
			w := newWorldWith(t, s)
			for id := 1; id <= 12; id++ {
				small := job(id, protocol.JobKind(id%3), 1+random.IntN(60))
				small.CPUs, small.MemoryGB = 0.05, 0.1
				if small.Kind == protocol.Service {
					small.Tasks, small.CheckpointIntervalS = 1+random.IntN(20), 0
				}
				w.Submit(small, time.Duration(2+random.IntN(30))*time.Second)
			}
			for range 4 {
				w.Run(time.Duration(3+random.IntN(8)) * time.Second)
				restartWithValueSize(w, draw())
				waitLeader(t, w, 10*time.Second)
				w.PollAll()
			}
			runAndPoll(w, 180*time.Second)
			requireNoViolations(t, w)
			requireAllServed(t, w)
		})
	}
}

// setBlockTasks changes the recorded block length of a job in the state service.
func setBlockTasks(t *testing.T, w *fake.World, id string, blockTasks int) (before int) {
	t.Helper()
	changed := map[string][]byte{}
	for key, value := range pagesOf(w) {
		var page storage.PageValue
		if err := protocol.Decode(value, &page); err != nil {
			t.Fatal(err)
		}
		for i := range page.Extensions {
			if e := &page.Extensions[i]; e.Job == id {
				before, e.BlockTasks = e.BlockTasks, blockTasks
				changed[key] = protocol.Encode(page)
			}
		}
	}
	if before == 0 {
		t.Fatalf("%s has no recorded block length", id)
	}
	w.State.Restore(changed)
	return before
}

// The records of one job contradict each other. Guards against losing the other jobs with it, and
// against acting on the records: the job's tasks go on, nothing is started or stopped for it, and it
// ends once its records can be understood again.
func TestDamagedJobDoesNotStopOthers(t *testing.T) {
	w := newWorld(t)
	large := job(1, protocol.Array, 40)
	large.CPUs, large.Team = 0.5, "red"
	j := w.Submit(large, 30*time.Second)
	waitRunning(t, w, large.ID, 24)
	crashAll(w)
	blockTasks := setBlockTasks(t, w, large.ID, 5)
	startAll(w)
	waitLeader(t, w, 10*time.Second)
	starts := countStarts(w)
	other := w.Submit(job(2, protocol.Array, 2), 2*time.Second)
	team := job(3, protocol.Array, 1) // finds no room within the team's limit
	team.Team = "red"
	w.Submit(team, time.Second)
	runAndPoll(w, 15*time.Second)
	if other.Status != protocol.StatusDone || j.Status != protocol.StatusRunning || w.RunningTasks(large.ID) != 24 || starts[large.ID]+starts[team.ID] > 0 {
		t.Errorf("another job has status %q, the damaged one %q with %d tasks running, starts %v", other.Status, j.Status, w.RunningTasks(large.ID), starts)
	}
	if _, status := adminRequest(w, w.Leader().Index, message.AdminStatus, ""); !strings.Contains(status, `"damaged_jobs"`) {
		t.Error("the status doesn't show the job as damaged")
	}
	runAndPoll(w, 30*time.Second) // its tasks end meanwhile
	crashAll(w)
	setBlockTasks(t, w, large.ID, blockTasks)
	startAll(w)
	runAndPoll(w, 120*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
}
