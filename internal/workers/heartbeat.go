package workers

import (
	"slices"
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

const statusOK = 200

// HandleHeartbeat answers a worker's heartbeat. The node still answers within the grace period after
// its lease may have expired.
func (m *Manager) HandleHeartbeat(request message.HeartbeatRequest) {
	heartbeat := request.Heartbeat
	m.context.Stats.Heartbeats++
	if m.isStale(heartbeat) {
		m.context.Stats.StaleHeartbeats++
		m.context.Refuse(request.ID, "an old report")
		return
	}
	if heartbeat.FencingToken > m.leadership.Token() {
		m.context.Refuse(request.ID, "a newer token is out")
		m.leadership.StepDown(newerTokenSeen)
		return
	}
	machine := m.state.Machine(heartbeat.Machine)
	worker := &machine.Worker
	worker.HeartbeatIncarnation, worker.HeartbeatSequence = heartbeat.Incarnation, heartbeat.Sequence
	m.handleMessage(machine, heartbeat)
	if m.mustNotRenewLease(machine) {
		m.context.Refuse(request.ID, "must stop first")
		return
	}
	worker.AnsweredAt, worker.Answered = m.context.Monotonic(), true
	body := protocol.EncodeHeartbeatResponse(m.leadership.Token(), m.commandsInResponse(machine))
	m.context.Emit(message.Reply{ID: request.ID, Status: statusOK, Body: body})
}

// isStale reports whether a heartbeat comes from a released machine or an ended incarnation, or is
// not newer than the last one. No worker waits for the answer to such a heartbeat, and recording an
// answer would only delay the proof that the worker's lease has expired.
func (m *Manager) isStale(heartbeat *protocol.Heartbeat) bool {
	if m.state.ReleasedMachines[heartbeat.Machine] {
		return true
	}
	machine := m.state.Machines[heartbeat.Machine]
	if machine == nil {
		return false
	}
	worker := &machine.Worker
	return heartbeat.Incarnation <= worker.ExpiredIncarnation || heartbeat.Incarnation < worker.Incarnation ||
		!heartbeat.Newer(worker.HeartbeatIncarnation, worker.HeartbeatSequence)
}

// mustNotRenewLease reports whether a heartbeat must be refused so that the worker's lease expires
// in time. This is the case if, some time after a job was cancelled, the start of one of its tasks
// may still arrive with the current token: a stop command in the response cannot prevent such a start.
func (m *Manager) mustNotRenewLease(machine *cluster.Machine) bool {
	if machine.Commands.UnconfirmedToken < m.leadership.Token() {
		return false
	}
	now := m.context.Monotonic()
	for _, t := range machine.Tasks {
		if t.Job.IsDurablyCancelled() && !t.Reported && now > t.Job.Lifecycle.CancelledAt+m.timing.RefuseAfterCancellation {
			return true
		}
	}
	return false
}

// handleMessage handles the state that a worker reports in a heartbeat or in its answer to commands.
func (m *Manager) handleMessage(machine *cluster.Machine, heartbeat *protocol.Heartbeat) {
	worker := &machine.Worker
	isNewer := heartbeat.Newer(worker.Incarnation, worker.Sequence)
	if !isNewer && worker.Registered || heartbeat.Incarnation < worker.Incarnation {
		return
	}
	now := m.context.Monotonic()
	if machine.Commands.Failures > 0 && now-worker.LastSeenAt > m.timing.HeartbeatTimeout {
		machine.Commands.RetryAt = now // the worker is reachable again
	}
	m.updateIncarnation(machine, heartbeat.Incarnation)
	machine.Address = heartbeat.Addr
	machine.SetOffering(heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	if !worker.Registered {
		machine.Provisioning.EmptySince = now
		m.context.Log(message.Debug, "machine registered", "machine", machine.Name, "type", machine.Type, "zone", machine.Zone, "spot", machine.Spot)
	}
	worker.Registered, worker.LastSeenAt = true, now
	worker.Incarnation, worker.Sequence = heartbeat.Incarnation, heartbeat.Sequence
	worker.FencingToken = max(worker.FencingToken, heartbeat.FencingToken)
	m.updateInterruption(machine, heartbeat.InterruptionInS)
	m.reconcileTasks(machine, heartbeat)
}

// updateIncarnation handles the incarnation in a worker's message. Earlier incarnations have ended,
// and their tasks are gone. The records may hold starts from several incarnations, because an
// earlier leader may have rewritten only some of them before its term ended.
func (m *Manager) updateIncarnation(machine *cluster.Machine, incarnation int64) {
	isNew := incarnation > machine.Worker.Incarnation
	if !isNew && machine.Worker.Registered {
		return
	}
	m.state.NeedsScheduling = true
	if isNew {
		machine.Worker.IncarnationSeenAt = m.context.Monotonic()
		machine.Commands.UnconfirmedToken = 0
		machine.Worker.EndedAttempts = map[protocol.Attempt]cluster.EndedAttempt{}
		machine.Images.Clear()
	}
	for _, t := range slices.Clone(machine.Tasks) {
		if t.Incarnation < incarnation {
			m.jobs.MarkLost(t, "worker has a newer incarnation")
		}
	}
}

// updateInterruption handles the cloud's notice that it will interrupt a machine in remainingS
// seconds. A negative value means that there is no notice.
func (m *Manager) updateInterruption(machine *cluster.Machine, remainingS float64) {
	switch {
	case remainingS < 0:
		machine.Worker.InterruptionAt = 0
	case machine.Worker.InterruptionAt == 0:
		machine.Worker.InterruptionAt = m.context.Monotonic() + time.Duration(remainingS*float64(time.Second))
		m.prepareForInterruption(machine)
	}
}

const (
	// interruptionMarginS is how many seconds before the interruption a checkpoint must be
	// complete.
	interruptionMarginS = 1
	// taskEndMarginS is how many seconds before the interruption a task that can write a checkpoint
	// must be expected to end to be left running.
	taskEndMarginS = 2
)

// prepareForInterruption stops the tasks that benefit from it: those that can write a checkpoint in
// time and are not expected to end first, and those that have not begun to run.
func (m *Manager) prepareForInterruption(machine *cluster.Machine) {
	remaining := machine.Worker.InterruptionAt - m.context.Monotonic()
	m.context.Log(message.Info, "interruption notice for machine", "machine", machine.Name, "in", remaining.String())
	for _, t := range slices.Clone(machine.Tasks) {
		j := t.Job
		checkpointsInTime := j.Checkpoints() && j.CheckpointDurationS+interruptionMarginS < remaining.Seconds() && t.SeenRunning()
		notRunning := !t.Reported || t.State == protocol.Fetching || t.State == protocol.Waiting
		if checkpointsInTime && !m.expectedToEndWithin(t, remaining.Seconds()-taskEndMarginS) || notRunning {
			m.jobs.Preempt(t, "interruption notice for the machine")
		}
	}
	m.state.NeedsScheduling = true
}

// estimateTolerance is the factor by which a task may exceed its owner's estimate of the run time.
const estimateTolerance = 1.2

// expectedToEndWithin estimates whether a task will end within the given number of seconds.
func (m *Manager) expectedToEndWithin(t *cluster.Task, seconds float64) bool {
	if t.Job.Kind == protocol.Service || !t.SeenRunning() {
		return false
	}
	ran := (m.context.Monotonic() - t.RunningSince).Seconds()
	return t.Job.EstimatedRunS > 0 && ran+seconds > t.Job.EstimatedRunS*estimateTolerance
}
