package scheduling

import (
	"testing"
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/config"
	"oakpick/internal/jobs"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/step"
	"oakpick/internal/storage"
	"oakpick/internal/timing"
)

// A job's times count from the completion of its last prerequisite, however long that takes.
// Only its deadline counts from its submission.
func TestJobTimesCountFromLastPrerequisite(t *testing.T) {
	const submittedMs, doneMs, blockTasks = 1000, 90_000, 64
	for _, c := range []struct {
		name      string
		deadlineS float64
		queuedAt  int64
	}{
		{"no deadline", 0, doneMs},
		{"deadline far off", 500, doneMs},
		{"latest start before the prerequisite's end", 60, submittedMs + 60_000 - 8_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			context := step.NewContext(1, time.Hour)
			context.Begin(message.Now{WallMs: doneMs, Monotonic: 89 * time.Second})
			state := cluster.NewState(context, nil)
			store := storage.NewStore(storage.Limits{PageBytes: 8 << 10, ChangesPerTxn: 8, KeysPerS: 100}, "test", time.Second)
			times := timing.Timing{Jobs: timing.Jobs{BlockTasks: blockTasks}}
			manager := jobs.NewManager(context, state, store, times, nil, false)
			s := New(context, state, store, manager, times, nil, &config.Settings{}, Options{})

			first := manager.NewJob(storage.JobRecord{ID: "first", Tasks: 1, Priority: protocol.Low, EstimatedRunS: 15, SubmittedMs: submittedMs, Class: "c"})
			last := manager.NewJob(storage.JobRecord{
				ID: "last", Tasks: 1, Priority: protocol.High, DeadlineS: c.deadlineS, EstimatedRunS: 8, SubmittedMs: submittedMs, Class: "c",
			})
			last.Prerequisites.IDs = []string{first.ID}
			manager.LinkPrerequisites(last)
			endJob(t, context, store, manager, first)

			if last.Blocked() || last.ReadyMs != doneMs || last.Placement.IdleSince != context.Monotonic() {
				t.Errorf("blocked: %t; times count from %d ms", last.Blocked(), last.ReadyMs)
			}
			if got := s.queueOrderMs(last); got != c.queuedAt {
				t.Errorf("queued as of %d ms, not %d", got, c.queuedAt)
			}
		})
	}
}

// endJob completes a job of one task and makes its end durable.
func endJob(t *testing.T, context *step.Context, store *storage.Store, manager *jobs.Manager, j *cluster.Job) {
	t.Helper()
	store.MarkDirty(context.Monotonic(), j.Blocks[0], nil)
	j.MarkDone(0)
	manager.EndIfFinished(j, nil)
	write := store.NextWrite(context.Monotonic(), protocol.Condition{}, true)
	if write == nil {
		t.Fatal("the end of the job is not written")
	}
	store.MarkCommitted(write, 1)
}
