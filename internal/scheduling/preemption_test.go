package scheduling

import (
	"fmt"
	"slices"
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

type fixedToken struct{}

func (fixedToken) Token() int64      { return 1 }
func (fixedToken) FirstToken() int64 { return 1 }

// Every machine becomes unusable once a task was preempted there. Guards against a job for which one task
// after the other is preempted although preemption makes no room for it.
func TestFutilePreemptionsAreBounded(t *testing.T) {
	const machines, lease, span = 30, 10 * time.Second, time.Minute
	context := step.NewContext(1, time.Hour)
	now := time.Second
	context.Begin(message.Now{Monotonic: now})
	state := cluster.NewState(context, []config.Team{{Name: "a"}})
	state.Catalog.Update([]protocol.MachineType{{Name: "small", CPUs: 4, MemoryGB: 16, Zones: []string{"z"}}})
	store := storage.NewStore(storage.Limits{PageBytes: 8 << 10, ChangesPerTxn: 8, KeysPerS: 100}, "test", time.Second)
	times := timing.Timing{Jobs: timing.Jobs{BlockTasks: 64}, Workers: timing.Workers{Lease: lease, HeartbeatInterval: 2 * time.Second}}
	manager := jobs.NewManager(context, state, store, times, fixedToken{}, false)
	s := New(context, state, store, manager, times, fixedToken{}, &config.Settings{}, Options{SampleSize: 4, MaxPreemptionCostS: 1000})
	running := manager.NewJob(storage.JobRecord{ID: "running", Team: "a", Tasks: machines, CPUs: 4, AnyType: true, Priority: protocol.Low})
	for i := range machines {
		machine := state.Machine(fmt.Sprint("i-", i))
		machine.SetOffering("small", "z", false)
		machine.Worker.Registered, machine.Worker.Incarnation, machine.Worker.LastSeenAt = true, 1, now
		task := manager.Start(running, i, machine, nil)
		task.SentToken = 1
	}
	manager.NewJob(storage.JobRecord{ID: "urgent", Team: "a", Tasks: 1, CPUs: 4, AnyType: true, Priority: protocol.High})
	for ; now < span; now += time.Second {
		context.Begin(message.Now{Monotonic: now})
		for _, machine := range state.MachinesByName {
			machine.Worker.LastSeenAt = now
			for _, task := range slices.Clone(machine.Tasks) {
				if task.Stopping {
					state.RemoveTask(task)
					machine.Health.AvoidUntil = time.Hour
				}
			}
		}
		s.runCycle()
	}
	if most := int64(maxPreemptionRounds + span/lease); context.Stats.TasksPreempted < maxPreemptionRounds || context.Stats.TasksPreempted > most {
		t.Errorf("%d tasks are preempted, want %d to %d", context.Stats.TasksPreempted, maxPreemptionRounds, most)
	}
	if context.Stats.FutilePreemptions == 0 {
		t.Error("no futile preemption is counted")
	}
}
