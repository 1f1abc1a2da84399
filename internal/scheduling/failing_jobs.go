package scheduling

import (
	"oakpick/internal/cluster"
	"oakpick/internal/protocol"
)

// attemptsAllowed returns how many of a job's idle tasks its earlier failures allow to be placed
// now.
func (s *Scheduler) attemptsAllowed(j *cluster.Job, idle int) int {
	now := s.context.Monotonic()
	switch {
	case now < j.Failures.NextAttemptAt:
		return 0
	case !j.Failures.JobAtFault:
		return idle
	case now < j.Team.FailingJobNotBefore || len(j.ActiveTasks) > 0:
		return 0 // one attempt at a time, and not all failing jobs of a team at once
	case j.Kind == protocol.Gang:
		return idle
	}
	return min(idle, 1)
}

// recordFailingUnplaced records that a job that fails on every machine could not be placed for
// its next attempt. No task is preempted for it. A machine is provisioned only after the job
// has waited for a long time, in case the machines are at fault after all.
func (s *Scheduler) recordFailingUnplaced(j *cluster.Job, tasks int) {
	if s.context.Monotonic()-j.Placement.IdleSince < s.timing.Scheduling.StarvationThreshold {
		tasks = 0
	}
	s.recordUnplaced(j, tasks)
}

// recordAttempt delays the next attempt of the team's failing jobs if the placed job is one.
func (s *Scheduler) recordAttempt(j *cluster.Job) {
	if j.Failures.JobAtFault {
		j.Team.FailingJobNotBefore = s.context.Monotonic() + s.timing.Scheduling.FailingJobInterval
	}
}
