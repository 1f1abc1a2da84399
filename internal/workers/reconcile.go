package workers

import (
	"slices"

	"oakpick/internal/cluster"
	"oakpick/internal/protocol"
)

// reconcileTasks compares the tasks that a worker reports with the records and resolves differences.
func (m *Manager) reconcileTasks(machine *cluster.Machine, heartbeat *protocol.Heartbeat) {
	worker := &machine.Worker
	worker.UnknownTasks = worker.UnknownTasks[:0]
	reported := make(map[protocol.Attempt]bool, len(heartbeat.Tasks))
	for _, status := range heartbeat.Tasks {
		reported[status.Attempt] = true
		if t := m.findTask(machine, status.Attempt); t != nil {
			m.reconcileKnown(t, status)
		} else {
			m.reconcileUnknown(machine, status)
		}
	}
	for attempt := range worker.EndedAttempts {
		if !reported[attempt] {
			delete(worker.EndedAttempts, attempt)
		}
	}
	for _, t := range slices.Clone(machine.Tasks) {
		if t.Incarnation == heartbeat.Incarnation && !reported[t.AttemptID()] && t.Active() {
			m.reconcileUnreported(t, heartbeat)
		}
	}
}

// findTask returns the recorded task of a reported attempt, or nil if there is none.
func (m *Manager) findTask(machine *cluster.Machine, attempt protocol.Attempt) *cluster.Task {
	j := m.state.Jobs[attempt.Job]
	if j == nil || j.Lifecycle.Ended {
		return nil
	}
	t := j.ActiveTasks[attempt.Task]
	if t == nil || t.Machine != machine || t.Attempt != attempt.Number || t.Incarnation != machine.Worker.Incarnation {
		return nil
	}
	return t
}

// reconcileUnknown handles a task that is on a machine but not in the records: a running task is
// stopped, an ended one forgotten.
func (m *Manager) reconcileUnknown(machine *cluster.Machine, status protocol.TaskStatus) {
	worker := &machine.Worker
	worker.UnknownTasks = append(worker.UnknownTasks, status)
	if status.State != protocol.Exited {
		m.state.QueueCommands(machine)
		return
	}
	if _, ok := worker.EndedAttempts[status.Attempt]; !ok {
		// The attempt was started by an earlier leader, or its end was recorded long ago.
		worker.EndedAttempts[status.Attempt] = cluster.EndedAttempt{
			Committed: true, FencingToken: m.leadership.Token(), EndedAt: m.context.Monotonic(),
		}
	}
}

// reconcileKnown updates a recorded task from its reported state.
func (m *Manager) reconcileKnown(t *cluster.Task, status protocol.TaskStatus) {
	if t.SentToken == 0 && !t.Inherited {
		return // the worker cannot know an attempt whose start was not sent; ignoring such a report is harmless
	}
	if !t.Reported {
		t.Reported, t.Confirmed = true, true
	}
	if status.State == protocol.Exited {
		m.jobs.HandleExit(t, status)
		return
	}
	if status.State == protocol.Running && !t.SeenRunning() {
		m.markRunning(t)
	}
	t.State = status.State
	m.jobs.ClearFailuresIfHealthy(t)
}

// markRunning records that a task was seen running for the first time.
func (m *Manager) markRunning(t *cluster.Task) {
	now, j := m.context.Monotonic(), t.Job
	t.RunningSince = now
	j.HasRun = true
	t.Machine.Images.MarkReady(now, j.Image, j.ImageGB)
	if j.Kind == protocol.Gang {
		j.Gang.HasRun = true
	}
}

// reconcileUnreported decides whether a heartbeat without a task proves that the task is not on the
// machine and never will be. It is proof only if the worker had seen a token that voids every start
// that may still arrive, or once a confirmed and reported task is missing with no call in flight.
func (m *Manager) reconcileUnreported(t *cluster.Task, heartbeat *protocol.Heartbeat) {
	callInFlight := t.Machine.Commands.CallID != 0
	switch {
	case t.Inherited && heartbeat.FencingToken >= m.leadership.FirstToken():
		m.jobs.MarkLost(t, "heartbeat with this term's token")
	case t.Inherited || t.SentToken == 0:
	case heartbeat.FencingToken > t.SentToken && !callInFlight:
		m.jobs.MarkLost(t, "heartbeat with a token advanced after the start was sent")
	case t.Confirmed && !callInFlight && t.Reported:
		m.jobs.MarkLost(t, "worker no longer reports the task")
	}
}
