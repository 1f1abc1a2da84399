// Package jobs is the life of jobs and their tasks: it records starts, losses and ends,
// closes jobs that are over, follows their dependencies, and learns from failures. Whatever
// it decides is written to the store first; what must not happen before a commit is done by
// the function that waits for it.
package jobs

import (
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/step"
	"oakpick/internal/storage"
	"oakpick/internal/timing"
)

// Leadership is what the manager has to know of the term.
type Leadership interface {
	// FirstToken is the fencing token with which the term began.
	FirstToken() int64
}

// Manager changes the jobs and tasks of a leader's cluster state.
type Manager struct {
	context    *step.Context
	state      *cluster.State
	store      *storage.Store
	timing     timing.Timing
	leadership Leadership
	// recordBlockTasks is whether every job's number of tasks in a block is recorded.
	recordBlockTasks bool
}

// NewManager returns the manager of a cluster's jobs. limitsWillChange is whether the state
// service is to have other limits, from which blocks of another length would follow.
func NewManager(
	context *step.Context, state *cluster.State, store *storage.Store, timing timing.Timing, leadership Leadership, limitsWillChange bool,
) *Manager {
	return &Manager{
		context: context, state: state, store: store, timing: timing, leadership: leadership, recordBlockTasks: limitsWillChange,
	}
}

// NewJob adds a job as it is recorded, or is to be.
func (m *Manager) NewJob(record storage.JobRecord) *cluster.Job {
	j := cluster.NewJob(record, m.state.Team(record.Team), m.timing.Jobs.BlockTasks, m.context.Monotonic())
	// Without it the number of a block would mean other tasks once value_kb is changed.
	j.RecordBlockTasks = m.recordBlockTasks || j.BlockCount() > 1
	m.state.AddJob(j)
	return j
}

// markDirty has an item written, and a waiter, if any, run once that is durable.
func (m *Manager) markDirty(item storage.Item, waiter *storage.CommitWaiter) {
	m.store.MarkDirty(m.context.Monotonic(), item, waiter)
}

// markBlockDirty has a block written with a change that nobody outside waits for.
func (m *Manager) markBlockDirty(b *cluster.Block) {
	if b.Job.BestEffort() {
		m.markDirty(b, b.Job.DeferredWaiter(func() {}))
		return
	}
	m.markDirty(b, nil)
}

// Start records the start of a task on a machine; it is sent once that is durable. The
// waiter, if any, is run with others of the same gang.
func (m *Manager) Start(j *cluster.Job, index int, machine *cluster.Machine, waiter *storage.CommitWaiter) *cluster.Task {
	b := j.EnsureBlock(index / j.BlockTasks)
	attempt := j.GangAttempt
	if j.Kind != protocol.Gang {
		b.LastAttempt++
		attempt = b.LastAttempt
	}
	t := &cluster.Task{
		Job: j, Block: b, Index: index, Attempt: attempt, Machine: machine, Incarnation: machine.Worker.Incarnation, RunningSince: cluster.NotRunning,
	}
	t.Attach()
	machine.Provisioning.EmptySince = 0
	m.state.AssignImage(j, machine)
	if waiter == nil {
		waiter = j.StartWaiter(func() { m.StartCommitted(t) })
	}
	m.markDirty(b, waiter)
	return t
}

// StartCommitted notes that a start is durable.
func (m *Manager) StartCommitted(t *cluster.Task) {
	t.Committed = true
	if !t.Active() {
		return
	}
	if t.Job.Cancelled || t.Stopping {
		m.Remove(t)
		m.EndIfFinished(t.Job, nil)
		return
	}
	m.state.QueueCommands(t.Machine)
}

// Remove forgets a task that is certainly not on its machine, or no longer.
func (m *Manager) Remove(t *cluster.Task) {
	if !t.Active() {
		return
	}
	m.state.RemoveTask(t)
	m.state.NeedsScheduling = true
	m.markBlockDirty(t.Block)
	if t.Job.Kind == protocol.Gang {
		gangMemberRemoved(t.Job)
	}
}

// gangMemberRemoved decides what the loss of a member means: while the attempt has not begun
// to run a replacement joins it; later the rest must go first.
func gangMemberRemoved(j *cluster.Job) {
	if j.Lifecycle.Ended || j.Cancelled {
		return
	}
	if len(j.ActiveTasks) == 0 {
		j.Gang.Ran, j.Gang.Ending = false, false
		return
	}
	if j.Gang.Ran {
		j.Gang.Ending = true
	}
}

// MarkLost notes that a task is gone without having told why.
func (m *Manager) MarkLost(t *cluster.Task, proof string) {
	m.context.Stats.TasksLost++
	m.context.Log(message.Info, "task lost", "job", t.Job.ID, "task", t.Index, "attempt", t.Attempt, "machine", t.Machine.Name, "proof", proof)
	m.Remove(t)
	m.EndIfFinished(t.Job, nil)
}

// HandleExit handles a task that its worker reports as ended. The worker is told to forget it
// once what that means is durable.
func (m *Manager) HandleExit(t *cluster.Task, status protocol.TaskStatus) {
	j, machine, attempt := t.Job, t.Machine, status.Attempt
	machine.Worker.FinishedAttempts[attempt] = cluster.FinishedAttempt{
		FencingToken: max(t.SentToken, m.leadership.FirstToken()-1), EndedAt: m.context.Monotonic(),
	}
	waiter := j.DeferredWaiter(func() { m.exitCommitted(machine, attempt) })
	m.learnFromExit(t, status.ExitCause)
	if status.ExitCause != protocol.ExitDone {
		m.context.Log(message.Debug, "task ended", "job", j.ID, "task", t.Index, "machine", machine.Name,
			"cause", status.ExitCause.String(), "checkpointed", status.Checkpointed)
	}
	b := t.Block
	m.Remove(t)
	if j.Blocks[b.Number] != b {
		b = j.Blocks[0]
	}
	m.markDirty(b, waiter)
	m.EndIfFinished(j, waiter)
}

// learnFromExit does what follows from the cause of an exit.
func (m *Manager) learnFromExit(t *cluster.Task, cause protocol.ExitCause) {
	now, j, machine := m.context.Monotonic(), t.Job, t.Machine
	switch cause {
	case protocol.ExitDone:
		m.taskDone(t)
	case protocol.ExitFailed:
		m.taskFailed(t)
	case protocol.ExitInsufficientResources, protocol.ExitTaskAlreadyPresent:
		machine.Health.AvoidUntil = now + m.timing.Workers.HeartbeatInterval
	case protocol.ExitUnknownJob:
		j.Placement.NotBefore = now + m.timing.Workers.HeartbeatInterval/2
	case protocol.ExitGangIncomplete:
		j.Gang.Ending = true
	}
}

func (m *Manager) taskDone(t *cluster.Task) {
	j := t.Job
	m.context.Stats.TasksFinished++
	if t.SeenRunning() && !t.Inherited {
		m.state.ObserveRun(j, m.context.Monotonic()-t.RunningSince)
	}
	m.clearFailures(j, t.Machine)
	m.markDone(j, t.Index)
	if j.Kind == protocol.Gang { // complete together
		// The others are still on their machines until these say so: one may hang.
		for i := range j.Tasks {
			m.markDone(j, i)
		}
	}
}

// exitCommitted notes that what the end of an attempt means is durable.
func (m *Manager) exitCommitted(machine *cluster.Machine, attempt protocol.Attempt) {
	if finished, ok := machine.Worker.FinishedAttempts[attempt]; ok {
		finished.Committed = true
		machine.Worker.FinishedAttempts[attempt] = finished
		m.state.QueueCommands(machine)
	}
}

func (m *Manager) markDone(j *cluster.Job, index int) {
	if j.IsDone(index) || j.Cancelled {
		return
	}
	blockDone := j.MarkDone(index)
	b := j.Blocks[index/j.BlockTasks]
	m.markBlockDirty(b)
	if blockDone {
		m.blockDone(b)
	}
}

// blockDone notes that all tasks of a block are done. The first block says so, and only when
// that is durable is the block itself removed.
func (m *Manager) blockDone(b *cluster.Block) {
	j := b.Job
	j.DoneBlocks.Set(b.Number)
	m.markDirty(j.Blocks[0], j.DeferredWaiter(func() {
		if b.Number != 0 && j.Blocks[b.Number] == b && len(b.Starts) == 0 {
			m.RemoveBlock(b)
		}
	}))
}

// RemoveBlock removes the record of a block whose completion is recorded with the job.
func (m *Manager) RemoveBlock(b *cluster.Block) {
	delete(b.Job.Blocks, b.Number)
	m.store.Remove(m.context.Monotonic(), b, b.Job.DeferredWaiter(func() {}))
}

// Stop tells a task to end, with a grace period in seconds for its checkpoint.
func (m *Manager) Stop(t *cluster.Task, gracePeriodS float64) {
	if t.Stopping && (gracePeriodS >= t.GracePeriodS || t.GracePeriodS == 0) {
		return
	}
	if !t.Stopping {
		t.MarkStopping()
	}
	t.GracePeriodS, t.StopRequestedAt = gracePeriodS, m.context.Monotonic()
	if t.SentToken == 0 && !t.Inherited {
		if t.Committed {
			m.Remove(t) // otherwise StartCommitted does it
		}
		return
	}
	m.state.QueueCommands(t.Machine)
}

// checkpointMarginS is how many seconds a task has to write its checkpoint beyond what that
// takes.
const checkpointMarginS = 0.5

// Preempt stops a task so that it saves what it can; of a gang, every task.
func (m *Manager) Preempt(t *cluster.Task, reason string) {
	j := t.Job
	if !t.Active() {
		return // gone already, with the gang that it was of
	}
	grace := 0.0
	if j.Checkpoints() {
		grace = j.CheckpointDurationS + checkpointMarginS
	}
	m.context.Log(message.Debug, "task preempted", "job", j.ID, "task", t.Index, "machine", t.Machine.Name, "reason", reason)
	if j.Kind != protocol.Gang {
		m.Stop(t, grace)
		return
	}
	j.Gang.Ending = true
	for _, member := range j.SortedTasks() {
		m.Stop(member, grace)
	}
}

// StopAll stops what a cancelled job has on machines. A start that was never sent is simply
// withdrawn.
func (m *Manager) StopAll(j *cluster.Job) {
	for _, t := range j.SortedTasks() {
		if t.SentToken == 0 && !t.Inherited {
			m.Remove(t)
			continue
		}
		m.Stop(t, 0)
	}
	m.state.NeedsScheduling = true
}

// MarkCancelled notes that a job is cancelled, now or durably already.
func MarkCancelled(j *cluster.Job, at time.Duration, committed bool) {
	j.Cancelled, j.Lifecycle.CancelledAt = true, at
	if committed {
		j.Lifecycle.CancellationCommitted = true
	}
}
