package jobs

import (
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// A task that fails speaks against its machine or against its job; which of them shows when
// the job is tried elsewhere. A machine where several jobs failed that run well on others is
// cordoned. A job that fails on several machines was most likely submitted with a mistake: it
// is still tried, since that isn't certain, but one task (or one gang) at a time and with
// growing backoff. Nothing is provisioned, preempted or cordoned for it.

// MinFailedMachinesForJobFault is on how many machines a job has to fail for it to be the job's fault.
const MinFailedMachinesForJobFault = 3

// jobsAgainstMachine is how many jobs have to fail on a machine, and run well elsewhere, for
// it to be cordoned.
const jobsAgainstMachine = 2

// suspectLeases is for how many worker leases a machine is avoided on which several jobs have
// failed.
const suspectLeases = 10

// provenRunFactor is how many times as long as the longest run that failed, and a heartbeat
// interval, a task has to run for its job to count as well.
const provenRunFactor = 2

// taskFailed notes a task's failure.
func (m *Manager) taskFailed(t *cluster.Task) {
	m.context.Stats.TasksFailed++
	now, j := m.context.Monotonic(), t.Job
	failures := &j.Failures
	failures.Tasks++
	failures.Machines[t.Machine.Name] = true
	if t.SeenRunning() {
		failures.LongestRun = max(failures.LongestRun, now-t.RunningSince)
	}
	if now >= failures.NextAttempt { // not one more of the same round
		failures.Rounds++
		failures.NextAttempt = now + m.failureBackoff(failures.Rounds)
	}
	if len(failures.Machines) >= MinFailedMachinesForJobFault {
		m.blameJob(j)
		return
	}
	m.suspectMachine(t.Machine, j)
}

func (m *Manager) failureBackoff(rounds int) time.Duration {
	return m.timing.Jobs.FailureBackoff.Backoff(rounds, m.context.Random)
}

// blameJob notes that a job fails on every machine: nothing is said against the machines.
func (m *Manager) blameJob(j *cluster.Job) {
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
		if len(health.FailedJobs) < jobsAgainstMachine {
			health.AvoidUntil = min(health.AvoidUntil, m.context.Monotonic()+m.timing.Workers.Lease)
		}
	}
}

// suspectMachine notes that a job has failed on a machine. Nothing is placed there for a
// while, or, if several jobs have, until it is known whose fault it is. A job that is known to
// run well elsewhere decides that at once.
func (m *Manager) suspectMachine(machine *cluster.Machine, j *cluster.Job) {
	now, lease, health := m.context.Monotonic(), m.timing.Workers.Lease, &machine.Health
	if _, ok := health.FailedJobs[j.ID]; !ok {
		health.FailedJobs[j.ID] = false
	}
	health.AvoidUntil = max(health.AvoidUntil, now+lease)
	if len(health.FailedJobs) >= jobsAgainstMachine {
		health.AvoidUntil = max(health.AvoidUntil, now+suspectLeases*lease)
	}
	if m.runsElsewhere(j, machine) {
		m.blameMachine(machine, j)
	}
}

// runsElsewhere reports whether tasks of a job are known to do well on other machines.
func (m *Manager) runsElsewhere(j *cluster.Job, than *cluster.Machine) bool {
	if j.DoneTasks > 0 {
		return true
	}
	for _, t := range j.ActiveTasks {
		if t.Machine != than && t.SeenRunning() && m.context.Monotonic()-t.RunningSince > m.timing.Workers.HeartbeatInterval {
			return true
		}
	}
	return false
}

// clearFailures ends a job's series of failures: a task of it has completed on a machine, or
// has run there for much longer than any that failed. What it says against the machines where
// it failed is confirmed.
func (m *Manager) clearFailures(j *cluster.Job, on *cluster.Machine) {
	failures := j.Failures
	if failures.Tasks == 0 {
		return
	}
	j.Failures = cluster.FailureHistory{Machines: failures.Machines}
	delete(failures.Machines, on.Name)
	delete(on.Health.FailedJobs, j.ID)
	for name := range failures.Machines {
		if machine := m.state.Machines[name]; machine != nil {
			m.blameMachine(machine, j)
		}
	}
}

// blameMachine notes that a job that failed on a machine runs well on another.
func (m *Manager) blameMachine(machine *cluster.Machine, j *cluster.Job) {
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
	if confirmed >= jobsAgainstMachine && !health.Cordoned {
		health.Cordoned = true
		m.context.Log(message.Info, "machine cordoned", "machine", machine.Name, "reason", "jobs that run well elsewhere fail there", "jobs", confirmed)
	}
}

// ClearFailuresIfHealthy checks whether a running task shows that its job is well.
func (m *Manager) ClearFailuresIfHealthy(t *cluster.Task) {
	failures := &t.Job.Failures
	proven := provenRunFactor * (failures.LongestRun + m.timing.Workers.HeartbeatInterval)
	if failures.Tasks > 0 && t.SeenRunning() && m.context.Monotonic()-t.RunningSince > proven {
		m.clearFailures(t.Job, t.Machine)
	}
}

// InferFailingJobs guesses, when a leader begins, which jobs were failing on every machine:
// they have been started again and again, none of their tasks is done, and at most one is on
// a machine. They are tried one after the other, not all at once.
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
		failures.NextAttempt = m.context.Monotonic() + m.failureBackoff(failures.Rounds)
	}
}
