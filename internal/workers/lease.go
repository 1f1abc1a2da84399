package workers

import (
	"slices"
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/message"
)

const (
	// The leader assumes that its own connection has failed if at least minLiveMachines machines
	// are live and the share of silent ones among them exceeds
	// silentShareNumerator/silentShareDenominator.
	minLiveMachines                              = 3
	silentShareDenominator, silentShareNumerator = 8, 7
	// stopGraceHeartbeats and stopGraceCheckpoints are the numbers of heartbeat intervals and of
	// checkpoint durations that a task may take to stop in addition to its grace period.
	stopGraceHeartbeats  = 2
	stopGraceCheckpoints = 2
)

// CheckMachines handles expired worker leases and overdue stops of all machines, advances the
// fencing token if necessary, and resigns if nearly all workers are silent.
func (m *Manager) CheckMachines() {
	now := m.context.Monotonic()
	if now < m.nextCheckAt {
		return
	}
	m.nextCheckAt = now + m.timing.CheckInterval
	earlierSilentAt := m.leadership.EarlierLeadersSilentAt()
	needsAdvance := false
	live, silent := 0, 0
	for _, machine := range slices.Clone(m.state.MachinesByName) {
		m.context.Stats.MachinesExamined++
		if m.isLive(machine) {
			live++
			if m.isSilent(machine) {
				silent++
			}
		}
		m.expireLease(machine, earlierSilentAt)
		m.resendOverdueStops(machine)
		needsAdvance = needsAdvance || m.needsTokenAdvance(machine)
	}
	m.leadership.AdvanceToken(needsAdvance, m.writesInFlight)
	// If nearly all workers are silent, this node is most likely the one that is cut off, and the
	// workers know no other node that would answer them. Another node must lead before their
	// leases expire.
	if live >= minLiveMachines && silent*silentShareDenominator > live*silentShareNumerator {
		m.leadership.Resign("heartbeats from nearly all workers are overdue")
	}
}

// isLive reports whether a machine's worker can still hold its lease.
func (m *Manager) isLive(machine *cluster.Machine) bool {
	worker := &machine.Worker
	return worker.Registered && !worker.Expired() && m.context.Monotonic()-worker.LastSeenAt < m.timing.Lease
}

func (m *Manager) isSilent(machine *cluster.Machine) bool {
	return m.context.SilenceDuration(machine.Worker.LastSeenAt) > m.timing.HeartbeatTimeout
}

// expireLease removes all tasks from a machine whose worker's lease has certainly expired.
func (m *Manager) expireLease(machine *cluster.Machine, earlierSilentAt time.Duration) {
	worker := &machine.Worker
	if len(machine.Tasks) == 0 && !worker.Registered {
		return
	}
	if worker.Expired() || m.context.Monotonic() <= m.leaseExpiresBy(machine, earlierSilentAt) {
		return
	}
	worker.ExpiredIncarnation = worker.Incarnation
	worker.InterruptionAt = 0
	if len(machine.Tasks) > 0 {
		m.context.Log(message.Info, "worker lease expired", "machine", machine.Name, "tasks", len(machine.Tasks))
	}
	for _, t := range slices.Clone(machine.Tasks) {
		m.jobs.MarkLost(t, "lease expired")
	}
	machine.Commands.UnconfirmedToken = 0
	worker.ForgetTasks()
	m.state.NeedsScheduling = true
}

// leaseExpiresBy returns when the lease of a machine's worker has certainly expired if the worker
// gets no further answer. The first lease of an incarnation begins with the incarnation, which is
// no later than when the leader first saw it.
func (m *Manager) leaseExpiresBy(machine *cluster.Machine, earlierSilentAt time.Duration) time.Duration {
	worker := &machine.Worker
	renewedBy := earlierSilentAt
	if worker.Answered {
		renewedBy = max(renewedBy, worker.AnsweredAt)
	}
	return max(renewedBy, worker.IncarnationSeenAt) + m.timing.Lease
}

// resendOverdueStops queues stop commands again for tasks that have not stopped, and sets a task's
// grace period to 0 once it has passed.
func (m *Manager) resendOverdueStops(machine *cluster.Machine) {
	now := m.context.Monotonic()
	for _, t := range machine.Tasks {
		if !t.Stopping || t.StopSentAt == 0 || now-t.StopSentAt <= m.timing.HeartbeatInterval {
			continue
		}
		m.state.QueueCommands(machine)
		grace := time.Duration((t.GracePeriodS+stopGraceCheckpoints*t.Job.CheckpointDurationS)*float64(time.Second)) + stopGraceHeartbeats*m.timing.HeartbeatInterval
		if t.GracePeriodS > 0 && now-t.StopRequestedAt > grace {
			t.GracePeriodS = 0
		}
	}
}

// needsTokenAdvance reports whether the fencing token has to be advanced: to void starts that may
// still arrive at a machine, or so that its worker can be told to forget ended attempts.
func (m *Manager) needsTokenAdvance(machine *cluster.Machine) bool {
	now, token := m.context.Monotonic(), m.leadership.Token()
	if machine.Commands.UnconfirmedToken == token && now-machine.Commands.UnconfirmedAt > m.timing.HeartbeatInterval {
		return true
	}
	for _, ended := range machine.Worker.EndedAttempts {
		if ended.Committed && ended.FencingToken == token && now-ended.EndedAt > m.timing.Lease {
			return true
		}
	}
	return false
}

// CanConfirmCancellation reports whether the user of a cancelled job may be told that it is
// cancelled. Its tasks must be gone in time, even on a machine that can reach only the previous
// leader, which does not know of the cancellation and may answer within its grace period. Until
// each worker has seen this term's token, or its lease is certain to expire in time, the user has to retry.
func (m *Manager) CanConfirmCancellation(j *cluster.Job) bool {
	earlierSilentAt := m.leadership.EarlierLeadersSilentAt()
	deadline := m.context.Monotonic() + m.timing.CancellationConfirmTimeout
	for _, t := range j.ActiveTasks {
		knowsTerm := t.Machine.Worker.FencingToken >= m.leadership.FirstToken()
		if !knowsTerm && m.leaseExpiresBy(t.Machine, earlierSilentAt) > deadline {
			return false
		}
	}
	return true
}
