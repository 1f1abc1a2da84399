// Package jobs manages the life cycle of jobs and their tasks: it records starts, losses and ends,
// ends finished jobs, tracks their dependencies, and evaluates failures. Every decision is written
// to the store first. Actions that must not happen before a commit run in the callback of its
// waiter.
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

// Leadership gives the manager access to the current term.
type Leadership interface {
	// FirstToken returns the fencing token with which the term began.
	FirstToken() int64
}

// Manager changes the jobs and tasks of a leader's cluster state.
type Manager struct {
	context    *step.Context
	state      *cluster.State
	store      *storage.Store
	timing     timing.Timing
	leadership Leadership
	// limitsWillChange is whether other limits of the state service are announced. BlockTasks is then
	// stored for every new job, even if the job has only one block.
	limitsWillChange bool
}

// NewManager returns a manager of a cluster's jobs. limitsWillChange is whether the limits of the
// state service are about to change, which would change the length of blocks.
func NewManager(
	context *step.Context, state *cluster.State, store *storage.Store, timing timing.Timing, leadership Leadership, limitsWillChange bool,
) *Manager {
	return &Manager{
		context: context, state: state, store: store, timing: timing, leadership: leadership, limitsWillChange: limitsWillChange,
	}
}

// NewJob adds a job from its record, which may not be stored yet.
func (m *Manager) NewJob(record storage.JobRecord) *cluster.Job {
	j := cluster.NewJob(record, m.state.Team(record.Team), m.timing.Jobs.BlockTasks, m.context.Monotonic())
	// Without this record, block numbers would refer to other tasks after a change of value_kb.
	j.RecordBlockTasks = m.limitsWillChange || j.BlockCount() > 1
	m.state.AddJob(j)
	return j
}

// markDirty queues an item to be written; the waiter, if not nil, runs once it is durable.
func (m *Manager) markDirty(item storage.Item, waiter *storage.CommitWaiter) {
	m.store.MarkDirty(m.context.Monotonic(), item, waiter)
}

// markBlockDirty queues a block to be written with a change that no user or worker waits for.
func (m *Manager) markBlockDirty(b *cluster.Block) {
	if b.Job.BestEffort() {
		m.markDirty(b, b.Job.DeferredWaiter(func() {}))
		return
	}
	m.markDirty(b, nil)
}

// Start records the start of a task on a machine. The start is sent once it is durable. If waiter
// is not nil, it is used instead of a waiter of the task's own, as for the members of a gang.
func (m *Manager) Start(j *cluster.Job, index int, machine *cluster.Machine, waiter *storage.CommitWaiter) *cluster.Task {
	b := j.EnsureBlock(index / j.BlockTasks)
	attempt := j.GangAttempt
	if j.Kind != protocol.Gang {
		b.LastAttempt++
		attempt = b.LastAttempt
	}
	t := &cluster.Task{
		Job: j, Block: b, Index: index, Attempt: attempt, Machine: machine, Incarnation: machine.Worker.Incarnation, RunningSince: cluster.NotRunning,
		PlacedAt: m.context.Monotonic(),
	}
	t.Attach()
	m.limitTrials(machine)
	machine.Provisioning.EmptySince = 0
	m.state.AssignImage(j, machine)
	if waiter == nil {
		waiter = j.StartWaiter(func() { m.StartCommitted(t) })
	}
	m.markDirty(b, waiter)
	return t
}

// StartCommitted handles a start that has become durable.
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

// Remove removes a task that is certainly not, or no longer, on its machine.
func (m *Manager) Remove(t *cluster.Task) {
	if !t.Active() {
		return
	}
	m.state.RemoveTask(t)
	m.state.NeedsScheduling = true
	if t.Job.DamagedBy != nil {
		return // its records are kept as they are
	}
	m.markBlockDirty(t.Block)
	if t.Job.Kind == protocol.Gang {
		gangMemberRemoved(t.Job)
	}
}

// gangMemberRemoved handles the loss of a gang's member: until the attempt has begun to run, a
// replacement can join it; afterwards, the remaining members must end first.
func gangMemberRemoved(j *cluster.Job) {
	if j.Lifecycle.Ended || j.Cancelled {
		return
	}
	if len(j.ActiveTasks) == 0 {
		j.Gang.HasRun, j.Gang.Ending = false, false
		return
	}
	if j.Gang.HasRun {
		j.Gang.Ending = true
	}
}

// MarkLost removes a task that is gone without a reported exit. proof names the evidence for this
// in the log.
func (m *Manager) MarkLost(t *cluster.Task, proof string) {
	m.context.Stats.TasksLost++
	m.context.Log(message.Info, "task lost", "job", t.Job.ID, "task", t.Index, "attempt", t.Attempt, "machine", t.Machine.Name, "proof", proof)
	m.Remove(t)
	m.EndIfFinished(t.Job, nil)
}

// HandleExit handles a task that its worker reports as exited. The worker is told to forget the
// attempt once the result is durable.
func (m *Manager) HandleExit(t *cluster.Task, status protocol.TaskStatus) {
	j, machine, attempt := t.Job, t.Machine, status.Attempt
	if j.DamagedBy != nil {
		m.handleDamagedExit(t)
		return
	}
	machine.Worker.EndedAttempts[attempt] = cluster.EndedAttempt{
		FencingToken: max(t.SentToken, m.leadership.FirstToken()-1), EndedAt: m.context.Monotonic(),
	}
	waiter := j.DeferredWaiter(func() { m.exitCommitted(machine, attempt) })
	m.applyExitCause(t, status.ExitCause)
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

// handleDamagedExit handles the exit of a task whose job is damaged. The result can't be recorded, so the
// task stays and its worker keeps the result, unless the job is cancelled and nobody needs it.
func (m *Manager) handleDamagedExit(t *cluster.Task) {
	if t.Job.IsDurablyCancelled() {
		m.Remove(t)
	}
}

// applyExitCause updates the job and the machine according to the cause of an exit.
func (m *Manager) applyExitCause(t *cluster.Task, cause protocol.ExitCause) {
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
	m.context.Stats.TasksDone++
	if t.SeenRunning() && !t.Inherited {
		m.state.ObserveRun(j, m.context.Monotonic()-t.RunningSince)
	}
	m.clearFailures(j, t.Machine)
	m.clearMachineFailures(t)
	m.markDone(j, t.Index)
	if j.Kind == protocol.Gang { // all members complete together
		// The other members stay on their machines until they report their own exit, since a member may
		// hang instead of exiting.
		for i := range j.Tasks {
			m.markDone(j, i)
		}
	}
}

// exitCommitted records that the result of an ended attempt is durable.
func (m *Manager) exitCommitted(machine *cluster.Machine, attempt protocol.Attempt) {
	if ended, ok := machine.Worker.EndedAttempts[attempt]; ok {
		ended.Committed = true
		machine.Worker.EndedAttempts[attempt] = ended
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

// blockDone records that all tasks of a block are done. The completion is recorded in the first
// block, and only once that is durable is the block's own record removed.
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

// Stop tells a task to stop, with a grace period in seconds to write a checkpoint.
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
			m.Remove(t) // if the start is not durable yet, StartCommitted removes the task
		}
		return
	}
	m.state.QueueCommands(t.Machine)
}

// checkpointMarginS is the time beyond the duration of a checkpoint that a preempted task gets to
// write it.
const checkpointMarginS = 0.5

// Preempt stops a task, or all tasks of its gang, with time to write a checkpoint if the job uses checkpoints.
func (m *Manager) Preempt(t *cluster.Task, reason string) {
	j := t.Job
	if !t.Active() || j.DamagedBy != nil {
		return // already removed together with its gang, or of a job whose tasks stay as they are
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

// StopAll stops the tasks that a cancelled job has on machines. A task whose start was never sent
// is removed at once.
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

// MarkCancelled marks a job as cancelled; committed is whether the cancellation is already durable.
func MarkCancelled(j *cluster.Job, at time.Duration, committed bool) {
	j.Cancelled, j.Lifecycle.CancelledAt = true, at
	if committed {
		j.Lifecycle.CancellationCommitted = true
	}
}
