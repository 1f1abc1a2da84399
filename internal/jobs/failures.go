package jobs

import (
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// A failed task may be the fault of its machine or of its job; attempts on other machines show
// which. A machine is cordoned if several jobs failed on it that run well on others. A job that
// fails on several machines was most likely submitted with a mistake. Since that is not certain, it
// is still attempted, but one task (or one gang) at a time and with growing backoff. No machine is
// cordoned and no task preempted for such a job, and a machine is provisioned only after the job
// has waited for a long time.
//
// A machine on which several jobs have failed is suspect, and a cordoned one stays so. It is avoided
// completely for a limited time after each failure. After that it gets single tasks at intervals if
// nothing else has room for them, and the first one that runs well clears the machine.

// MinFailedMachinesForJobFault is the number of machines on which a job must fail to be considered
// at fault itself.
const MinFailedMachinesForJobFault = 3

// minFailedJobsToCordon is the number of jobs that must fail on a machine, and run well elsewhere,
// for the machine to be cordoned.
const minFailedJobsToCordon = 2

// suspicionLeases is how long a machine is suspect after several jobs have failed on it, as a multiple
// of the worker lease.
const suspicionLeases = 10

// maxAvoidanceLeases is the longest time for which no task at all is placed on a machine after a
// failure, as a multiple of the worker lease.
const maxAvoidanceLeases = 3

// maxAvoidance bounds that time if leases are long: a job that has nowhere else to go must start well
// within protocol.MaxWaitWithRoomS.
const maxAvoidance = protocol.MaxWaitWithRoomS * time.Second / 2

// healthyRunFactor determines how long a task must run for its job to count as healthy: this
// multiple of the sum of the job's longest failed run and a heartbeat interval.
const healthyRunFactor = 2

// taskFailed records a task's failure.
func (m *Manager) taskFailed(t *cluster.Task) {
	m.context.Stats.TasksFailed++
	now, j := m.context.Monotonic(), t.Job
	failures := &j.Failures
	if !failures.JobAtFault {
		m.countMachineFailure(t)
		if t.Machine.Health.Cordoned {
			return // the machine's fault is known, and says nothing about the job
		}
	}
	failures.Tasks++
	failures.Machines[t.Machine.Name] = true
	if t.SeenRunning() {
		failures.LongestRun = max(failures.LongestRun, now-t.RunningSince)
	}
	if now >= failures.NextAttemptAt { // not a further failure of the same round
		failures.Rounds++
		failures.NextAttemptAt = now + m.failureBackoff(failures.Rounds)
	}
	if len(failures.Machines) >= MinFailedMachinesForJobFault {
		m.markJobAtFault(j)
		return
	}
	m.recordMachineFailure(t.Machine, j)
}

func (m *Manager) failureBackoff(rounds int) time.Duration {
	return m.timing.Jobs.FailureBackoff.Backoff(rounds, m.context.Random)
}

// markJobAtFault records that a job fails on every machine, and no longer counts its failures
// against the machines.
func (m *Manager) markJobAtFault(j *cluster.Job) {
	if j.Failures.JobAtFault {
		return
	}
	j.Failures.JobAtFault = true
	m.context.Log(message.Info, "job fails on every machine", "job", j.ID, "class", j.Class, "team", j.Team.Name, "machines", len(j.Failures.Machines))
	for name := range j.Failures.Machines {
		machine := m.state.Machines[name]
		if machine == nil {
			continue
		}
		health := &machine.Health
		delete(health.FailedJobs, j.ID)
		if len(health.FailedJobs) < minFailedJobsToCordon {
			health.AvoidUntil = min(health.AvoidUntil, m.context.Monotonic()+m.timing.Workers.Lease)
			health.SuspectUntil = 0
		}
	}
}

// countMachineFailure counts a failed task on its machine. A machine that is suspect already is avoided
// for longer with every failure.
func (m *Manager) countMachineFailure(t *cluster.Task) {
	now, health := m.context.Monotonic(), &t.Machine.Health
	health.Failures++
	health.LastFailureAt = now
	if t.SeenRunning() {
		health.LongestFailedRun = max(health.LongestFailedRun, now-t.RunningSince)
	}
	if health.Suspect(now) {
		health.AvoidUntil = max(health.AvoidUntil, now+m.avoidance(health.Failures))
	}
}

// avoidance returns for how long no task is placed on a machine after the given number of failures.
func (m *Manager) avoidance(failures int) time.Duration {
	return min(time.Duration(min(failures, maxAvoidanceLeases))*m.timing.Workers.Lease, maxAvoidance)
}

// limitTrials delays the next task for a suspect machine after one was placed there, so that a faulty
// machine fails one task after the other only slowly.
func (m *Manager) limitTrials(machine *cluster.Machine) {
	now := m.context.Monotonic()
	if machine.Health.Suspect(now) {
		machine.Health.AvoidUntil = max(machine.Health.AvoidUntil, now+m.avoidance(1))
	}
}

// recordMachineFailure records that a job has failed on a machine. No tasks are placed there for a
// while, so that attempts elsewhere can show the cause, and the machine is suspect if several jobs
// have failed there. If the job is already known to run well elsewhere, the machine's fault is
// confirmed at once.
func (m *Manager) recordMachineFailure(machine *cluster.Machine, j *cluster.Job) {
	now, health := m.context.Monotonic(), &machine.Health
	if _, ok := health.FailedJobs[j.ID]; !ok {
		health.FailedJobs[j.ID] = false
	}
	if len(health.FailedJobs) >= minFailedJobsToCordon {
		health.SuspectUntil = max(health.SuspectUntil, now+suspicionLeases*m.timing.Workers.Lease)
	}
	health.AvoidUntil = max(health.AvoidUntil, now+m.avoidance(len(health.FailedJobs)))
	if m.runsElsewhere(j, machine) {
		m.confirmMachineFailure(machine, j)
	}
}

// runsElsewhere reports whether tasks of a job are known to run well on other machines.
func (m *Manager) runsElsewhere(j *cluster.Job, otherThan *cluster.Machine) bool {
	if j.DoneTasks > 0 {
		return true
	}
	for _, t := range j.ActiveTasks {
		if t.Machine != otherThan && t.SeenRunning() && m.context.Monotonic()-t.RunningSince > m.timing.Workers.HeartbeatInterval {
			return true
		}
	}
	return false
}

// clearFailures resets a job's failure history after one of its tasks has completed on a machine or
// has run there for much longer than any failed task. The job's failures on other machines are then
// confirmed as faults of those machines.
func (m *Manager) clearFailures(j *cluster.Job, healthyMachine *cluster.Machine) {
	failures := j.Failures
	if failures.Tasks == 0 {
		return
	}
	j.Failures = cluster.FailureHistory{Machines: failures.Machines}
	delete(failures.Machines, healthyMachine.Name)
	delete(healthyMachine.Health.FailedJobs, j.ID)
	for name := range failures.Machines {
		if machine := m.state.Machines[name]; machine != nil {
			m.confirmMachineFailure(machine, j)
		}
	}
}

// confirmMachineFailure records that a job that failed on a machine runs well on another.
func (m *Manager) confirmMachineFailure(machine *cluster.Machine, j *cluster.Job) {
	health := &machine.Health
	if _, failed := health.FailedJobs[j.ID]; !failed {
		return
	}
	health.FailedJobs[j.ID] = true
	confirmed := 0
	for _, runsElsewhere := range health.FailedJobs {
		if runsElsewhere {
			confirmed++
		}
	}
	if confirmed >= minFailedJobsToCordon && !health.Cordoned {
		health.Cordoned = true
		m.context.Log(message.Info, "machine cordoned", "machine", machine.Name, "reason", "jobs that run well elsewhere fail there", "jobs", confirmed)
	}
}

// ClearFailuresIfHealthy clears the failures of a job and of a machine if a running task has shown that
// they are healthy.
func (m *Manager) ClearFailuresIfHealthy(t *cluster.Task) {
	if failures := &t.Job.Failures; failures.Tasks > 0 && m.runsLongerThanFailed(t, failures.LongestRun) {
		m.clearFailures(t.Job, t.Machine)
	}
	if health := &t.Machine.Health; health.Failures > 0 && m.runsLongerThanFailed(t, health.LongestFailedRun) {
		m.clearMachineFailures(t)
	}
}

// runsLongerThanFailed reports whether a task has run for much longer than the longest failed run.
func (m *Manager) runsLongerThanFailed(t *cluster.Task, longestFailed time.Duration) bool {
	healthyRun := healthyRunFactor * (longestFailed + m.timing.Workers.HeartbeatInterval)
	return t.SeenRunning() && m.context.Monotonic()-t.RunningSince > healthyRun
}

// clearMachineFailures resets the health of a task's machine after the task has run well there. A task
// that was already running when the last one failed proves nothing: machines may fail only new tasks.
func (m *Manager) clearMachineFailures(t *cluster.Task) {
	health := &t.Machine.Health
	startedBefore := t.Inherited || max(t.PlacedAt, t.RunningSince) <= health.LastFailureAt
	if health.Failures == 0 || startedBefore {
		return
	}
	if health.Cordoned {
		m.context.Log(message.Info, "machine uncordoned", "machine", t.Machine.Name, "job", t.Job.ID)
	}
	*health = cluster.HealthState{FailedJobs: map[string]bool{}}
	m.state.NeedsScheduling = true
}

// InferFailingJobs estimates, when a leader's term begins, which jobs were failing on every machine:
// those that were started repeatedly, have no completed task, and have at most one task on a
// machine. They are retried one at a time rather than all at once.
func (m *Manager) InferFailingJobs() {
	for _, j := range m.state.JobOrder {
		if j.Kind == protocol.Service || j.Cancelled || j.DoneTasks > 0 || len(j.ActiveTasks) > 1 {
			continue
		}
		ended := j.GangAttempt - int64(len(j.ActiveTasks))
		for _, b := range j.Blocks {
			ended += b.LastAttempt
		}
		if ended < MinFailedMachinesForJobFault {
			continue
		}
		failures := &j.Failures
		failures.JobAtFault, failures.Tasks, failures.Rounds = true, int(ended), MinFailedMachinesForJobFault
		failures.NextAttemptAt = m.context.Monotonic() + m.failureBackoff(failures.Rounds)
	}
}
