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

// commandsInResponse are the commands that go out with the answer to a heartbeat. Stops go
// out with every answer until the task is gone: an answer that renews the lease then always
// carries them. Starts only go direct, so that their outcome is known.
func (m *Manager) commandsInResponse(machine *cluster.Machine) []protocol.Command {
	commands := stopUnknownTasks(machine)
	for _, t := range machine.Tasks {
		if isStoppedIn(t, machine) {
			commands = append(commands, stopCommand(t))
		}
	}
	return append(commands, m.forgetCommands(machine)...)
}

// directCommands are the commands that are sent to a machine at once, but for starts. A stop
// isn't repeated within half a heartbeat interval.
func (m *Manager) directCommands(machine *cluster.Machine) []protocol.Command {
	now := m.context.Monotonic()
	commands := stopUnknownTasks(machine)
	for _, t := range machine.Tasks {
		if isStoppedIn(t, machine) && (t.StopSentAt == 0 || now-t.StopSentAt > m.timing.HeartbeatInterval/2) {
			commands = append(commands, stopCommand(t))
			t.StopSentAt = now
		}
	}
	return append(commands, m.forgetCommands(machine)...)
}

// isStoppedIn reports whether a task of a worker's present incarnation is told to stop.
func isStoppedIn(t *cluster.Task, machine *cluster.Machine) bool {
	return t.Stopping && t.Incarnation == machine.Worker.Incarnation
}

func stopCommand(t *cluster.Task) protocol.Command {
	return protocol.Command{Verb: protocol.Stop, Attempt: t.AttemptName(), GracePeriodS: t.GracePeriodS}
}

func stopUnknownTasks(machine *cluster.Machine) []protocol.Command {
	var commands []protocol.Command
	for _, status := range machine.Worker.UnknownTasks {
		if status.State != protocol.Exited {
			commands = append(commands, protocol.Command{Verb: protocol.Stop, Attempt: status.Attempt})
		}
	}
	return commands
}

// forgetCommands has a worker forget ended attempts: not while starts are on their way, which
// it might execute again afterwards.
func (m *Manager) forgetCommands(machine *cluster.Machine) []protocol.Command {
	if len(machine.Commands.Starting) > 0 {
		return nil
	}
	var attempts []protocol.Attempt
	for attempt, finished := range machine.Worker.FinishedAttempts {
		if finished.Committed && finished.FencingToken < m.leadership.Token() {
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

// SendCommands sends what machines are to be told at once. Those that can't be told now stay
// queued.
func (m *Manager) SendCommands() { m.state.EachPendingCommands(m.sendPending) }

// sendPending sends a machine its commands, and reports whether it stays queued.
func (m *Manager) sendPending(machine *cluster.Machine) (again bool) {
	m.context.Stats.MachinesExamined++
	pending, worker := &machine.Commands, &machine.Worker
	if !pending.Pending {
		return false
	}
	if pending.CallID != 0 || m.context.Monotonic() < pending.RetryAt || !worker.Registered || worker.Expired() {
		return true
	}
	pending.Pending = false
	starting := tasksToStart(machine)
	if len(starting) > 0 && !m.leadership.HoldsLease() {
		// The answer to the write came while the lease may have expired. What it lets start
		// must not be lost for that: it is sent once the lease is held again.
		starting = nil
		pending.Pending, again = true, true
	}
	m.sendCall(machine, m.directCommands(machine), starting)
	return again
}

// tasksToStart are the tasks of a machine whose start is durable and not confirmed.
func tasksToStart(machine *cluster.Machine) []*cluster.Task {
	var starting []*cluster.Task
	for _, t := range machine.Tasks {
		if t.Committed && !t.Inherited && !t.Confirmed && !t.Stopping && !t.Job.Cancelled && t.Incarnation == machine.Worker.Incarnation {
			starting = append(starting, t)
		}
	}
	return starting
}

// sendCall sends commands and starts, if there are any, straight to a machine.
func (m *Manager) sendCall(machine *cluster.Machine, commands []protocol.Command, starting []*cluster.Task) {
	token := m.leadership.Token()
	for _, t := range starting {
		commands = append(commands, protocol.Command{Verb: protocol.Start, Attempt: t.AttemptName()})
		if t.SentToken == 0 {
			m.context.Stats.TasksStarted++
		}
		t.PreviousToken, t.SentToken = t.SentToken, token
	}
	if len(commands) == 0 {
		return
	}
	pending := &machine.Commands
	pending.CallID, pending.CallAt, pending.Starting = m.context.NextID(), m.context.Monotonic(), starting
	call := message.CommandsCall{
		ID: pending.CallID, Machine: machine.Name, Addr: machine.Address,
		FencingToken: token, Incarnation: machine.Worker.Incarnation, Commands: commands,
	}
	if len(starting) > 0 {
		call.NotAfter = m.leadership.LeaseUntil() // nothing starts once another may lead
	}
	m.context.Emit(call)
}

// HandleCommandsResult takes in how a call with commands ended, and what the worker said.
func (m *Manager) HandleCommandsResult(result message.CommandsResult) {
	machine := m.state.Machines[result.Machine]
	if machine == nil || machine.Commands.CallID != result.ID {
		return
	}
	starting, sentAt := machine.Commands.Starting, machine.Commands.CallAt
	machine.Commands.CallID, machine.Commands.Starting = 0, nil
	switch result.Outcome {
	case rpc.OK:
		machine.Commands.Failures = 0
		for _, t := range starting {
			t.Confirmed = true
		}
	case rpc.Conflict, rpc.NotSent:
		machine.Commands.Failures++
		m.startsNotExecuted(starting)
	default:
		machine.Commands.Failures++
		if len(starting) > 0 {
			m.startsUnconfirmed(machine, sentAt)
		}
	}
	if machine.Commands.Failures > 0 {
		m.backOff(machine)
	}
	m.handleAnswer(machine, result, starting)
}

// startsNotExecuted undoes the sending of starts: nothing of the call was executed. Starts of
// earlier calls may still arrive.
func (m *Manager) startsNotExecuted(starting []*cluster.Task) {
	for _, t := range starting {
		t.SentToken = t.PreviousToken
		if t.Stopping && t.SentToken == 0 && t.Active() {
			m.jobs.Remove(t)
			m.jobs.EndIfOver(t.Job, nil)
		}
	}
}

// startsUnconfirmed notes that starts with the present token may still arrive at a machine.
func (m *Manager) startsUnconfirmed(machine *cluster.Machine, sentAt time.Duration) {
	pending, token := &machine.Commands, m.leadership.Token()
	if pending.UnconfirmedToken < token {
		pending.UnconfirmedAt = sentAt
	}
	pending.UnconfirmedToken = token
}

const (
	// commandBackoffShare is the part of a heartbeat interval after which commands that failed
	// once are sent again; it doubles with every failure.
	commandBackoffShare = 6
	// maxBackoffDoublings bounds that.
	maxBackoffDoublings = 5
)

// backOff plans the next commands for a machine to which the last ones did not get through.
func (m *Manager) backOff(machine *cluster.Machine) {
	now, pending := m.context.Monotonic(), &machine.Commands
	m.state.QueueCommands(machine)
	wait := m.timing.HeartbeatInterval / commandBackoffShare << min(pending.Failures, maxBackoffDoublings)
	pending.RetryAt = now + min(wait, m.timing.Lease/2)
	if m.context.SilenceDuration(machine.Worker.HeardAt) > m.timing.HeartbeatTimeout {
		// It is silent itself. Hundreds may be, and each call takes a connection for a while:
		// they are left alone until they are heard.
		pending.RetryAt = now + m.timing.Lease/2
	}
	machine.Health.AvoidUntil = max(machine.Health.AvoidUntil, now+m.timing.HeartbeatInterval/2)
}

// handleAnswer takes in what a worker said in its answer to commands.
func (m *Manager) handleAnswer(machine *cluster.Machine, result message.CommandsResult, starting []*cluster.Task) {
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
			m.jobs.Lose(t, "executed, and yet not on the machine")
		}
	}
}
