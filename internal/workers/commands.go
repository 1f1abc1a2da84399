package workers

import (
	"cmp"
	"slices"
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// commandsInResponse returns the commands sent with the response to a heartbeat. Every response
// repeats the stop commands until the task is gone, so that no response renews the lease without
// them. Starts are sent only in direct calls, so that their outcome is known.
func (m *Manager) commandsInResponse(machine *cluster.Machine) []protocol.Command {
	commands := stopCommandsForUnknown(machine)
	for _, t := range machine.Tasks {
		if needsStop(t, machine) {
			commands = append(commands, stopCommand(t))
		}
	}
	return append(commands, m.forgetCommands(machine)...)
}

// directCommands returns the commands to send in a direct call, except for starts. A stop is not
// repeated within half a heartbeat interval.
func (m *Manager) directCommands(machine *cluster.Machine) []protocol.Command {
	now := m.context.Monotonic()
	commands := stopCommandsForUnknown(machine)
	for _, t := range machine.Tasks {
		if needsStop(t, machine) && (t.StopSentAt == 0 || now-t.StopSentAt > m.timing.HeartbeatInterval/2) {
			commands = append(commands, stopCommand(t))
			t.StopSentAt = now
		}
	}
	return append(commands, m.forgetCommands(machine)...)
}

// needsStop reports whether a task is to stop and belongs to the worker's current incarnation.
func needsStop(t *cluster.Task, machine *cluster.Machine) bool {
	return t.Stopping && t.Incarnation == machine.Worker.Incarnation
}

func stopCommand(t *cluster.Task) protocol.Command {
	return protocol.Command{Verb: protocol.Stop, Attempt: t.AttemptID(), GracePeriodS: t.GracePeriodS}
}

func stopCommandsForUnknown(machine *cluster.Machine) []protocol.Command {
	var commands []protocol.Command
	for _, status := range machine.Worker.UnknownTasks {
		if status.State != protocol.Exited {
			commands = append(commands, protocol.Command{Verb: protocol.Stop, Attempt: status.Attempt})
		}
	}
	return commands
}

// forgetCommands returns the commands to forget ended attempts. It returns none while starts are in
// flight, since the worker could execute a start again after forgetting the attempt.
func (m *Manager) forgetCommands(machine *cluster.Machine) []protocol.Command {
	if len(machine.Commands.Starting) > 0 {
		return nil
	}
	var attempts []protocol.Attempt
	for attempt, ended := range machine.Worker.EndedAttempts {
		if ended.Committed && ended.FencingToken < m.leadership.Token() {
			attempts = append(attempts, attempt)
		}
	}
	slices.SortFunc(attempts, compareAttempts)
	var commands []protocol.Command
	for _, attempt := range attempts {
		commands = append(commands, protocol.Command{Verb: protocol.Forget, Attempt: attempt})
	}
	return commands
}

func compareAttempts(a, b protocol.Attempt) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
}

// SendCommands sends the pending commands to the machines. Machines that cannot be called now stay
// queued.
func (m *Manager) SendCommands() { m.state.FlushPendingCommands(m.sendPending) }

// sendPending sends a machine its pending commands and reports whether the machine stays queued.
func (m *Manager) sendPending(machine *cluster.Machine) (keepQueued bool) {
	m.context.Stats.MachinesExamined++
	calls, worker := &machine.Commands, &machine.Worker
	if !calls.Pending {
		return false
	}
	if calls.CallID != 0 || m.context.Monotonic() < calls.RetryAt || !worker.Registered || worker.Expired() {
		return true
	}
	calls.Pending = false
	starting := tasksToStart(machine)
	if len(starting) > 0 && !m.leadership.HoldsLease() {
		// The leader's lease may have expired since the write of these starts was sent. They are
		// sent once the lease is held again.
		starting = nil
		calls.Pending, keepQueued = true, true
	}
	m.sendCall(machine, m.directCommands(machine), starting)
	return keepQueued
}

// tasksToStart returns the tasks of a machine whose start is durable and not yet confirmed, except
// those that are to stop.
func tasksToStart(machine *cluster.Machine) []*cluster.Task {
	var starting []*cluster.Task
	for _, t := range machine.Tasks {
		if t.Committed && !t.Inherited && !t.Confirmed && !t.Stopping && !t.Job.Cancelled && t.Incarnation == machine.Worker.Incarnation {
			starting = append(starting, t)
		}
	}
	return starting
}

// sendCall sends commands and starts in a direct call to a machine, if there are any.
func (m *Manager) sendCall(machine *cluster.Machine, commands []protocol.Command, starting []*cluster.Task) {
	token := m.leadership.Token()
	for _, t := range starting {
		commands = append(commands, protocol.Command{Verb: protocol.Start, Attempt: t.AttemptID()})
		if t.SentToken == 0 {
			m.context.Stats.TasksStarted++
		}
		t.PreviousToken, t.SentToken = t.SentToken, token
	}
	if len(commands) == 0 {
		return
	}
	calls := &machine.Commands
	calls.CallID, calls.CallSentAt, calls.Starting = m.context.NextID(), m.context.Monotonic(), starting
	call := message.CommandsCall{
		ID: calls.CallID, Machine: machine.Name, Address: machine.Address,
		FencingToken: token, Incarnation: machine.Worker.Incarnation, Commands: commands,
	}
	if len(starting) > 0 {
		call.NotAfter = m.leadership.LeaseUntil() // no task may start once another node can lead
	}
	m.context.Emit(call)
}

// HandleCommandsResult handles the outcome of a command call and the worker's answer, if any.
func (m *Manager) HandleCommandsResult(result message.CommandsResult) {
	machine := m.state.Machines[result.Machine]
	if machine == nil || machine.Commands.CallID != result.ID {
		return
	}
	starting, sentAt := machine.Commands.Starting, machine.Commands.CallSentAt
	machine.Commands.CallID, machine.Commands.Starting = 0, nil
	switch result.Outcome {
	case rpc.OK:
		machine.Commands.Failures = 0
		for _, t := range starting {
			t.Confirmed = true
		}
	case rpc.Conflict, rpc.NotSent:
		machine.Commands.Failures++
		m.revertStarts(starting)
	default:
		machine.Commands.Failures++
		if len(starting) > 0 {
			m.markStartsUnconfirmed(machine, sentAt)
		}
	}
	if machine.Commands.Failures > 0 {
		m.backOff(machine)
	}
	m.handleCommandAnswer(machine, result, starting)
}

// revertStarts undoes the bookkeeping of starts whose call was not executed. Starts of earlier calls
// may still arrive.
func (m *Manager) revertStarts(starting []*cluster.Task) {
	for _, t := range starting {
		t.SentToken = t.PreviousToken
		if t.Stopping && t.SentToken == 0 && t.Active() {
			m.jobs.Remove(t)
			m.jobs.EndIfFinished(t.Job, nil)
		}
	}
}

// markStartsUnconfirmed records that starts with the current token may still arrive at a machine.
func (m *Manager) markStartsUnconfirmed(machine *cluster.Machine, sentAt time.Duration) {
	calls, token := &machine.Commands, m.leadership.Token()
	if calls.UnconfirmedToken < token {
		calls.UnconfirmedAt = sentAt
	}
	calls.UnconfirmedToken = token
}

const (
	// commandBackoffDivisor is the divisor of the heartbeat interval that gives the base of the retry
	// delay. The delay doubles with every failure.
	commandBackoffDivisor = 6
	// maxBackoffDoublings caps the doublings of the retry delay.
	maxBackoffDoublings = 5
)

// backOff schedules the next command call to a machine after a failed one.
func (m *Manager) backOff(machine *cluster.Machine) {
	now, calls := m.context.Monotonic(), &machine.Commands
	m.state.QueueCommands(machine)
	wait := m.timing.HeartbeatInterval / commandBackoffDivisor << min(calls.Failures, maxBackoffDoublings)
	calls.RetryAt = now + min(wait, m.timing.Lease/2)
	if m.context.SilenceDuration(machine.Worker.LastSeenAt) > m.timing.HeartbeatTimeout {
		// The worker is not sending heartbeats either. Hundreds of workers may be silent at once, and
		// each call holds a connection for a while, so they are not called until they report again.
		calls.RetryAt = now + m.timing.Lease/2
	}
	machine.Health.AvoidUntil = max(machine.Health.AvoidUntil, now+m.timing.HeartbeatInterval/2)
}

// handleCommandAnswer handles the state that a worker reports in its answer to commands.
func (m *Manager) handleCommandAnswer(machine *cluster.Machine, result message.CommandsResult, starting []*cluster.Task) {
	heartbeat := result.Heartbeat
	if heartbeat == nil || heartbeat.Machine != machine.Name {
		return
	}
	if heartbeat.FencingToken > m.leadership.Token() {
		m.leadership.StepDown(newerTokenSeen)
		return
	}
	m.handleMessage(machine, heartbeat)
	if result.Outcome != rpc.OK {
		return
	}
	for _, t := range starting {
		if t.Active() && !t.Reported && heartbeat.Incarnation == t.Incarnation && heartbeat.Sequence >= machine.Worker.Sequence {
			m.jobs.MarkLost(t, "start executed, but the worker does not report the task")
		}
	}
}
