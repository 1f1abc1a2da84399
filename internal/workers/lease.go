package workers

import (
	"slices"
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/message"
)

const (
	// minSilentMachines is how many machines have to be silent at once before the leader
	// blames itself.
	minSilentMachines = 3
	// Of so many live machines so many have to be silent for that.
	silentOf, silentShare = 8, 7
	// graceHeartbeats is for how many heartbeat intervals beyond its grace period a task may
	// take to stop.
	graceHeartbeats = 2
	// graceCheckpoints is for how many times the duration of a checkpoint it may.
	graceCheckpoints = 2
)

// CheckMachines looks for leases that have expired, and for starts that may still arrive and
// are to be voided.
func (m *Manager) CheckMachines() {
	now := m.context.Monotonic()
	if now < m.checkAt {
		return
	}
	m.checkAt = now + m.timing.CheckInterval
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
		m.repeatStops(machine)
		needsAdvance = needsAdvance || m.needsTokenAdvance(machine)
	}
	m.leadership.AdvanceToken(needsAdvance, m.writesInFlight)
	// All of them at once: it is this node that the workers can't reach, and they know no
	// other that would answer them. Another has to lead before their leases expire.
	if live >= minSilentMachines && silent*silentOf > live*silentShare {
		m.leadership.Resign("no worker is heard any more")
	}
}

// isLive reports whether a machine's worker can still hold its lease.
func (m *Manager) isLive(machine *cluster.Machine) bool {
	worker := &machine.Worker
	return worker.Registered && !worker.Expired() && m.context.Monotonic()-worker.HeardAt < m.timing.Lease
}

func (m *Manager) isSilent(machine *cluster.Machine) bool {
	return m.context.SilenceDuration(machine.Worker.HeardAt) > m.timing.HeartbeatTimeout
}

// expireLease takes everything off a machine whose worker's lease has certainly expired.
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
		m.jobs.Lose(t, "lease expired")
	}
	machine.Commands.UnconfirmedToken = 0
	worker.ForgetTasks()
	m.state.NeedsScheduling = true
}

// leaseExpiresBy is when the lease of a machine's worker has certainly expired if nothing
// more is heard. A lease runs at least from the beginning of its incarnation, which was no
// later than when it was first heard of.
func (m *Manager) leaseExpiresBy(machine *cluster.Machine, earlierSilentAt time.Duration) time.Duration {
	worker := &machine.Worker
	from := earlierSilentAt
	if worker.Answered {
		from = max(from, worker.AnsweredAt)
	}
	return max(from, worker.IncarnationSeenAt) + m.timing.Lease
}

// repeatStops has stops sent again whose tasks are still there, without a grace period once
// that is over.
func (m *Manager) repeatStops(machine *cluster.Machine) {
	now := m.context.Monotonic()
	for _, t := range machine.Tasks {
		if !t.Stopping || t.StopSentAt == 0 || now-t.StopSentAt <= m.timing.HeartbeatInterval {
			continue
		}
		m.state.QueueCommands(machine)
		grace := time.Duration((t.GracePeriodS+graceCheckpoints*t.Job.CheckpointDurationS)*float64(time.Second)) + graceHeartbeats*m.timing.HeartbeatInterval
		if t.GracePeriodS > 0 && now-t.StopRequestedAt > grace {
			t.GracePeriodS = 0
		}
	}
}

// needsTokenAdvance reports whether a higher fencing token is needed to void starts that may
// still arrive at a machine, or to have its worker forget ended attempts.
func (m *Manager) needsTokenAdvance(machine *cluster.Machine) bool {
	now, token := m.context.Monotonic(), m.leadership.Token()
	if machine.Commands.UnconfirmedToken == token && now-machine.Commands.UnconfirmedAt > m.timing.HeartbeatInterval {
		return true
	}
	for _, finished := range machine.Worker.FinishedAttempts {
		if finished.Committed && finished.FencingToken == token && now-finished.EndedAt > m.timing.Lease {
			return true
		}
	}
	return false
}

// CanConfirmCancellation reports whether the user of a cancelled job may hear that it is. Its
// tasks have to be gone in time, also on a machine that only a predecessor reaches, which
// knows nothing of it and may answer within its grace period: until a worker has seen this
// term's token, or its lease will expire in time, the user is to come back.
func (m *Manager) CanConfirmCancellation(j *cluster.Job) bool {
	earlierSilentAt := m.leadership.EarlierLeadersSilentAt()
	by := m.context.Monotonic() + m.timing.CancellationConfirmTimeout
	for _, t := range j.ActiveTasks {
		knowsTerm := t.Machine.Worker.FencingToken >= m.leadership.FirstToken()
		if !knowsTerm && m.leaseExpiresBy(t.Machine, earlierSilentAt) > by {
			return false
		}
	}
	return true
}
