package scheduling

import (
	"oakpick/internal/cluster"
	"oakpick/internal/protocol"
)

// attemptsAllowed is how many of a job's idle tasks may be placed now, as far as its failures
// go.
func (s *Scheduler) attemptsAllowed(j *cluster.Job, idle int) int {
	now := s.context.Monotonic()
	switch {
	case now < j.Failures.NextAttempt:
		return 0
	case !j.Failures.JobAtFault:
		return idle
	case now < j.Team.FailingJobNotBefore || len(j.ActiveTasks) > 0:
		return 0 // one at a time, and not all of a team's at once
	case j.Kind == protocol.Gang:
		return idle
	}
	return min(idle, 1)
}

// noteFailingUnplaced notes that a job that fails on every machine finds no room for its next
// attempt. Nothing is stopped for it, and a machine is provisioned only after a long while: it
// may be the machines' fault after all.
func (s *Scheduler) noteFailingUnplaced(j *cluster.Job, tasks int) {
	if s.context.Monotonic()-j.Placement.IdleSince < s.timing.Scheduling.StarvationThreshold {
		tasks = 0
	}
	s.noteUnplaced(j, tasks)
}

// noteAttempt notes that a task of a job that fails on every machine is placed.
func (s *Scheduler) noteAttempt(j *cluster.Job) {
	if j.Failures.JobAtFault {
		j.Team.FailingJobNotBefore = s.context.Monotonic() + s.timing.Scheduling.FailingJobInterval
	}
}
