package workers

import (
	"slices"
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

const statusOK = 200

// HandleHeartbeat answers a worker. The node leads, or may still answer within its grace
// period.
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

// isStale reports whether a heartbeat is of a released machine, of an incarnation that is
// over, or a copy of an older one: no worker waits for its answer, and to count it as an
// answer would only put off the proof that the lease has expired.
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

// mustNotRenewLease reports whether a machine may hold a task of a cancelled job that
// answering cannot end: one whose start may yet arrive with the present token. Its worker's
// lease then has to expire in time.
func (m *Manager) mustNotRenewLease(machine *cluster.Machine) bool {
	if machine.Commands.UnconfirmedToken < m.leadership.Token() {
		return false
	}
	now := m.context.Monotonic()
	for _, t := range machine.Tasks {
		if t.Job.IsCancelled() && !t.Reported && now > t.Job.Lifecycle.CancelledAt+m.timing.RefuseAfterCancellation {
			return true
		}
	}
	return false
}

// handleMessage takes in what a worker says in a heartbeat or in its answer to commands.
func (m *Manager) handleMessage(machine *cluster.Machine, heartbeat *protocol.Heartbeat) {
	worker := &machine.Worker
	isNewer := heartbeat.Newer(worker.Incarnation, worker.Sequence)
	if !isNewer && worker.Registered || heartbeat.Incarnation < worker.Incarnation {
		return
	}
	now := m.context.Monotonic()
	if machine.Commands.Failures > 0 && now-worker.HeardAt > m.timing.HeartbeatTimeout {
		machine.Commands.RetryAt = now // it is back
	}
	m.noteIncarnation(machine, heartbeat.Incarnation)
	machine.Address = heartbeat.Addr
	machine.SetOffering(heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	if !worker.Registered {
		machine.Provisioning.EmptySince = now
		m.context.Log(message.Debug, "machine registered", "machine", machine.Name, "type", machine.Type, "zone", machine.Zone, "spot", machine.Spot)
	}
	worker.Registered, worker.HeardAt = true, now
	worker.Incarnation, worker.Sequence = heartbeat.Incarnation, heartbeat.Sequence
	worker.FencingToken = max(worker.FencingToken, heartbeat.FencingToken)
	m.noteInterruption(machine, heartbeat.InterruptionInS)
	m.reconcileTasks(machine, heartbeat)
}

// noteIncarnation notes that a machine's worker has been heard, maybe in a new incarnation.
// Earlier ones are over, and everything of them is gone. The records may hold starts of
// several: a leader that ended had recorded only some of them anew.
func (m *Manager) noteIncarnation(machine *cluster.Machine, incarnation int64) {
	isNew := incarnation > machine.Worker.Incarnation
	if !isNew && machine.Worker.Registered {
		return
	}
	m.state.NeedsScheduling = true
	if isNew {
		machine.Worker.IncarnationSeenAt = m.context.Monotonic()
		machine.Commands.UnconfirmedToken = 0
		machine.Worker.FinishedAttempts = map[protocol.Attempt]cluster.FinishedAttempt{}
		machine.Images.Clear()
	}
	for _, t := range slices.Clone(machine.Tasks) {
		if t.Incarnation < incarnation {
			m.jobs.Lose(t, "newer incarnation")
		}
	}
}

// noteInterruption takes in the cloud's notice that it takes a machine in some seconds;
// negative: there is none.
func (m *Manager) noteInterruption(machine *cluster.Machine, inS float64) {
	switch {
	case inS < 0:
		machine.Worker.InterruptionAt = 0
	case machine.Worker.InterruptionAt == 0:
		machine.Worker.InterruptionAt = m.context.Monotonic() + time.Duration(inS*float64(time.Second))
		m.prepareForInterruption(machine)
	}
}

const (
	// interruptionMarginS is how many seconds before the interruption a checkpoint has to be
	// written.
	interruptionMarginS = 1
	// finishMarginS is how many seconds before the interruption a task has to end that is
	// left to run.
	finishMarginS = 2
)

// prepareForInterruption stops the tasks that win by that: those that checkpoint in time, and
// those that haven't begun to run.
func (m *Manager) prepareForInterruption(machine *cluster.Machine) {
	left := machine.Worker.InterruptionAt - m.context.Monotonic()
	m.context.Log(message.Info, "machine is to be interrupted", "machine", machine.Name, "in", left.String())
	for _, t := range slices.Clone(machine.Tasks) {
		j := t.Job
		checkpointsInTime := j.Checkpoints() && j.CheckpointDurationS+interruptionMarginS < left.Seconds() && t.Runs()
		notRunning := !t.Reported || t.State == protocol.Fetching || t.State == protocol.Waiting
		if checkpointsInTime && !m.endsWithin(t, left.Seconds()-finishMarginS) || notRunning {
			m.jobs.Preempt(t, "the machine is to be interrupted")
		}
	}
	m.state.NeedsScheduling = true
}

// estimateTolerance is by how much a task may take longer than its owner's estimate.
const estimateTolerance = 1.2

// endsWithin guesses whether a task is over within so many seconds.
func (m *Manager) endsWithin(t *cluster.Task, seconds float64) bool {
	if t.Job.Kind == protocol.Service || !t.Runs() {
		return false
	}
	ran := (m.context.Monotonic() - t.RanSince).Seconds()
	return t.Job.EstimatedRunS > 0 && ran+seconds > t.Job.EstimatedRunS*estimateTolerance
}
