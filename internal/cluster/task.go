package cluster

import (
	"slices"
	"time"

	"oakpick/internal/protocol"
	"oakpick/internal/resources"
	"oakpick/internal/storage"
)

// NotRunning is Task.RanSince of a task that wasn't seen running.
const NotRunning time.Duration = -1

// Task is a started task that may be on a machine.
type Task struct {
	Job         *Job
	Block       *Block
	Index       int
	Attempt     int64
	Machine     *Machine
	Incarnation int64 // of the machine's worker

	Inherited bool // recorded by an earlier term
	Committed bool // its start is durable

	SentToken     int64 // highest fencing token with which a start was sent; 0: none was
	PreviousToken int64 // the same before the call under way
	Confirmed     bool  // a worker's answer has confirmed the start
	Reported      bool  // a worker has named the task

	State    protocol.TaskState
	RunningSince time.Duration

	Stopping        bool          // it is told to stop
	StopRequestedAt time.Duration // when that was decided
	StopSentAt      time.Duration // when it was last sent; 0: it wasn't
	GracePeriodS    float64       // for a checkpoint
}

// AttemptID tells the attempt from all others, as workers name it.
func (t *Task) AttemptID() protocol.Attempt {
	return protocol.Attempt{Job: t.Job.ID, Task: t.Index, Number: t.Attempt}
}

// Active reports whether the task is still its job's task of that index.
func (t *Task) Active() bool { return t.Job.ActiveTasks[t.Index] == t }

// SeenRunning reports whether the task was seen running.
func (t *Task) SeenRunning() bool { return t.RunningSince >= 0 }

// record is what is stored of the task.
func (t *Task) record() storage.StartRecord {
	return storage.StartRecord{Task: t.Index, Attempt: t.Attempt, Machine: t.Machine.Name, Incarnation: t.Incarnation}
}

// Attach counts a task that may be on its machine from now on.
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

// AssignImage notes that the image of a job's task will be on a machine.
func (s *State) AssignImage(j *Job, m *Machine) {
	m.Images.fetch(s.context.Monotonic(), j.Image, j.ImageGB, s.Catalog.Type(m.Type))
}

// RemoveTask takes a task off its machine. It waits again if it isn't done.
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
		m.Allocated, m.Stopping = resources.Amount{}, resources.Amount{} // no rounding is carried on
	}
}

// MarkStopping counts a task as about to leave its machine.
func (t *Task) MarkStopping() {
	request := t.Job.Request
	t.Stopping = true
	t.Job.counts.stopping++
	t.Machine.Stopping = t.Machine.Stopping.Plus(request)
	t.Job.Team.Stopping = t.Job.Team.Stopping.Plus(request)
}

// countGuaranteed counts a machine's tasks of teams that don't run best effort.
func (m *Machine) countGuaranteed(j *Job, by int) {
	if !j.BestEffort() {
		m.GuaranteedTasks += by
	}
}
