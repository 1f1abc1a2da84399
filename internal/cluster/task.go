package cluster

import (
	"slices"
	"time"

	"oakpick/internal/protocol"
	"oakpick/internal/resources"
	"oakpick/internal/storage"
)

// NotRunning is the value of Task.RunningSince for a task that was not seen running.
const NotRunning time.Duration = -1

// Task is a started task that may be on a machine.
type Task struct {
	Job         *Job
	Block       *Block
	Index       int
	Attempt     int64
	Machine     *Machine
	Incarnation int64 // of the machine's worker

	Inherited bool // recorded in an earlier term
	Committed bool // its start is durable

	SentToken     int64 // highest fencing token with which a start was sent; 0 if none was
	PreviousToken int64 // value of SentToken before the call in progress
	Confirmed     bool  // the worker's answer has confirmed the start
	Reported      bool  // the worker has reported the task

	PlacedAt     time.Duration // when the task was placed; 0 if Inherited
	State        protocol.TaskState
	RunningSince time.Duration

	Stopping        bool          // the task has been told to stop
	StopRequestedAt time.Duration // when the stop was decided
	StopSentAt      time.Duration // when the stop was last sent; 0 if it was not
	GracePeriodS    float64       // time to write a checkpoint
}

// AttemptID returns the identifier of the attempt that workers use.
func (t *Task) AttemptID() protocol.Attempt {
	return protocol.Attempt{Job: t.Job.ID, Task: t.Index, Number: t.Attempt}
}

// Active reports whether the task is still the job's active task of its index.
func (t *Task) Active() bool { return t.Job.ActiveTasks[t.Index] == t }

// SeenRunning reports whether the task was seen running.
func (t *Task) SeenRunning() bool { return t.RunningSince >= 0 }

// record returns the stored form of the task's start.
func (t *Task) record() storage.StartRecord {
	return storage.StartRecord{Task: t.Index, Attempt: t.Attempt, Machine: t.Machine.Name, Incarnation: t.Incarnation}
}

// Attach adds a task that may be on its machine from now on to its block, job, machine and team.
func (t *Task) Attach() {
	j, m := t.Job, t.Machine
	t.Block.Starts = append(t.Block.Starts, t)
	j.ActiveTasks[t.Index] = t
	if !j.IsDone(t.Index) {
		j.counts.unfinished++
	}
	m.Tasks = append(m.Tasks, t)
	m.countGuaranteed(j, 1)
	m.Allocated = m.Allocated.Plus(j.Request)
	j.Team.Used = j.Team.Used.Plus(j.Request)
}

// AssignImage records that a machine will have the image of a job.
func (s *State) AssignImage(j *Job, m *Machine) {
	m.Images.fetch(s.context.Monotonic(), j.Image, j.ImageGB, s.Catalog.Type(m.Type))
}

// RemoveTask removes a task from its machine. A task that is not done becomes idle again.
func (s *State) RemoveTask(t *Task) {
	j, m, now := t.Job, t.Machine, s.context.Monotonic()
	isTask := func(x *Task) bool { return x == t }
	delete(j.ActiveTasks, t.Index)
	t.Block.Starts = slices.DeleteFunc(t.Block.Starts, isTask)
	m.Tasks = slices.DeleteFunc(m.Tasks, isTask)
	m.countGuaranteed(j, -1)
	m.Allocated = m.Allocated.Minus(j.Request)
	if t.Stopping {
		j.counts.stopping--
		m.Stopping = m.Stopping.Minus(j.Request)
		j.Team.Stopping = j.Team.Stopping.Minus(j.Request)
	}
	j.Team.Used = j.Team.Used.Minus(j.Request)
	if !j.IsDone(t.Index) {
		j.counts.unfinished--
		j.idle.requeued = append(j.idle.requeued, t.Index)
		j.Placement.IdleSince = now
	}
	if len(m.Tasks) == 0 {
		m.Provisioning.EmptySince = now
		m.Allocated, m.Stopping = resources.Amount{}, resources.Amount{} // drops accumulated rounding errors
	}
}

// MarkStopping marks a task as stopping and counts its resources as about to be freed.
func (t *Task) MarkStopping() {
	request := t.Job.Request
	t.Stopping = true
	t.Job.counts.stopping++
	t.Machine.Stopping = t.Machine.Stopping.Plus(request)
	t.Job.Team.Stopping = t.Job.Team.Stopping.Plus(request)
}

// countGuaranteed adjusts a machine's number of tasks of teams that are not best effort.
func (m *Machine) countGuaranteed(j *Job, delta int) {
	if !j.BestEffort() {
		m.GuaranteedTasks += delta
	}
}
