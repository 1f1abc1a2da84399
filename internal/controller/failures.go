package controller

import (
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// A task that fails says something against its machine or against its job; which of them shows
// when the job is tried elsewhere. A machine where several jobs failed that run well on others
// is set aside. A job that fails on several machines was most likely submitted with a mistake:
// it is still tried, since that isn't certain, but one task (or one gang) at a time and ever
// later. Nothing is rented, stopped or set aside for it.

// machinesAgainstJob is on how many machines a job has to fail for it to be the job's fault.
const machinesAgainstJob = 3

// jobsAgainstMachine is how many jobs have to fail on a machine, and run well elsewhere, for
// it to be set aside.
const jobsAgainstMachine = 2

// suspectLeases is for how many leases a machine rests on which several jobs have failed.
const suspectLeases = 10

// failureSeries is what is known of a job's failures.
type failureSeries struct {
	rounds    int             // tries in a row that have failed, each of one task or many
	tasks     int             // that have failed since one completed
	on        map[string]bool // the machines
	jobsFault bool            // it fails wherever it goes
	lasted    time.Duration   // the longest that a task ran before it failed
	retryAt   time.Duration
}

// failed notes a task's error.
func (e *engine) failed(t *task) {
	e.n.Stats.TasksFailed++
	now, j, h := e.n.now.Monotonic, t.job, t.host
	f := &j.failures
	f.tasks++
	f.on[h.name] = true
	if t.ranSince >= 0 {
		f.lasted = max(f.lasted, now-t.ranSince)
	}
	if now >= f.retryAt { // not one more of the same round
		f.rounds++
		f.retryAt = now + e.rules.failure.Wait(f.rounds, e.n.rng)
	}
	if len(f.on) >= machinesAgainstJob {
		e.blameJob(j)
		return
	}
	e.suspectMachine(h, j)
}

// blameJob notes that a job fails wherever it goes: nothing is said against the machines.
func (e *engine) blameJob(j *job) {
	if j.failures.jobsFault {
		return
	}
	j.failures.jobsFault = true
	e.n.log(message.Info, "job fails on every machine", "job", j.ID, "class", j.Class, "team", j.Team, "machines", len(j.failures.on))
	for name := range j.failures.on {
		h := e.hosts[name]
		if h == nil {
			continue
		}
		delete(h.failedJobs, j.ID)
		if len(h.failedJobs) < jobsAgainstMachine {
			h.pauseUntil = min(h.pauseUntil, e.n.now.Monotonic+e.rules.lease)
		}
	}
}

// suspectMachine notes that a job has failed on a machine. Nothing is put there for a
// while, or, if several jobs have, until it is known whose fault it is. A job that is known
// to run well elsewhere says so at once.
func (e *engine) suspectMachine(h *host, j *job) {
	now := e.n.now.Monotonic
	if _, ok := h.failedJobs[j.ID]; !ok {
		h.failedJobs[j.ID] = false
	}
	h.pauseUntil = max(h.pauseUntil, now+e.rules.lease)
	if len(h.failedJobs) >= jobsAgainstMachine {
		h.pauseUntil = max(h.pauseUntil, now+suspectLeases*e.rules.lease)
	}
	if e.runsElsewhere(j, h) {
		e.blameMachine(h, j)
	}
}

// runsElsewhere tells whether tasks of a job are known to do well on other machines.
func (e *engine) runsElsewhere(j *job, than *host) bool {
	if j.done > 0 {
		return true
	}
	for _, t := range j.tasks {
		if t.host != than && t.ranSince >= 0 && e.n.now.Monotonic-t.ranSince > e.rules.report {
			return true
		}
	}
	return false
}

// runsWell ends a job's series of failures: a task of it has completed on a machine, or has
// run there for much longer than any that failed. What it says against the machines where it
// failed is confirmed.
func (e *engine) runsWell(j *job, on *host) {
	f := j.failures
	if f.tasks == 0 {
		return
	}
	j.failures = failureSeries{on: f.on}
	delete(f.on, on.name)
	delete(on.failedJobs, j.ID)
	for name := range f.on {
		if h := e.hosts[name]; h != nil {
			e.blameMachine(h, j)
		}
	}
}

// blameMachine notes that a job that failed on a machine runs well on another.
func (e *engine) blameMachine(h *host, j *job) {
	if _, failed := h.failedJobs[j.ID]; !failed {
		return
	}
	h.failedJobs[j.ID] = true
	confirmed := 0
	for _, elsewhere := range h.failedJobs {
		if elsewhere {
			confirmed++
		}
	}
	if confirmed >= jobsAgainstMachine && !h.cordoned {
		h.cordoned = true
		e.n.log(message.Info, "machine cordoned", "host", h.name, "why", "jobs that run well elsewhere fail there", "jobs", confirmed)
	}
}

// notesRunning looks whether a running task shows that its job is well.
func (e *engine) notesRunning(t *task) {
	f := &t.job.failures
	if f.tasks > 0 && t.ranSince >= 0 && e.n.now.Monotonic-t.ranSince > 2*(f.lasted+e.rules.report) {
		e.runsWell(t.job, t.host)
	}
}

// mayTry is how many of a job's idle tasks may be placed now, as far as its failures go.
func (e *engine) mayTry(j *job, idle int) int {
	now := e.n.now.Monotonic
	switch {
	case now < j.failures.retryAt:
		return 0
	case !j.failures.jobsFault:
		return idle
	case now < j.team.tryAt || len(j.tasks) > 0:
		return 0 // one at a time, and not all of a team's at once
	case j.Kind == protocol.Gang:
		return idle
	}
	return min(idle, 1)
}

// waitsAfterFailures notes that a job that fails everywhere finds no room for its next try.
// Nothing is stopped for it, and a machine is rented only after a long while: it may be the
// machines' fault after all.
func (e *engine) waitsAfterFailures(j *job, tasks int) {
	if e.n.now.Monotonic-j.idleSince < e.rules.patience {
		tasks = 0
	}
	e.fleet.unplaced = append(e.fleet.unplaced, wait{j, tasks})
}

// tried notes that a task of a job that fails everywhere is placed.
func (e *engine) tried(j *job) {
	if j.failures.jobsFault {
		j.team.tryAt = e.n.now.Monotonic + e.rules.tryApart
	}
}

// inheritFailures guesses, when a leader begins, which jobs were failing wherever they went:
// they have been started again and again, none of their tasks is done, and at most one is on
// a machine. They are tried one after the other, not all at once.
func (e *engine) inheritFailures() {
	for _, j := range e.order {
		if j.Kind == protocol.Service || j.Cancelled || j.done > 0 || len(j.tasks) > 1 {
			continue
		}
		ended := j.GangAttempt - int64(len(j.tasks))
		for _, b := range j.blocks {
			ended += b.try
		}
		if ended < machinesAgainstJob {
			continue
		}
		f := &j.failures
		f.jobsFault, f.tasks, f.rounds = true, int(ended), machinesAgainstJob
		f.retryAt = e.n.now.Monotonic + e.rules.failure.Wait(f.rounds, e.n.rng)
	}
}
