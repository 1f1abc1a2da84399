package scheduling

import (
	"cmp"
	"slices"

	"oakpick/internal/cluster"
	"oakpick/internal/protocol"
	"oakpick/internal/resources"
)

// finiteShare is the part of a team's limit that is left to work that ends, as long as such
// work waits: services, which don't end, would keep it waiting for good.
const finiteShare = 0.4

// reservedFrom is what of its team's limit a job may not take: what is promised to others,
// and from services what is left to work that ends.
func reservedFrom(j *cluster.Job) resources.Amount {
	t := j.Team
	reserved := t.Reserved
	if j.Kind == protocol.Service {
		reserved.CPUs += max(0, min(t.CPULimit*finiteShare, t.FiniteUsed.CPUs+t.FiniteWaiting.CPUs)-t.FiniteUsed.CPUs)
		reserved.GPUs += max(0, min(t.GPULimit*finiteShare, t.FiniteUsed.GPUs+t.FiniteWaiting.GPUs)-t.FiniteUsed.GPUs)
	}
	return reserved
}

// withinLimit is how many more tasks the team's limit lets a job start, at most so many.
func withinLimit(j *cluster.Job, most int) int {
	t := j.Team
	left := resources.Unlimited()
	reserved := reservedFrom(j)
	if t.CPULimit > 0 {
		left.CPUs = t.CPULimit - t.Used.CPUs - reserved.CPUs
	}
	if t.GPULimit > 0 {
		left.GPUs = t.GPULimit - t.Used.GPUs - reserved.GPUs
	}
	return j.Request.CountIn(left, most)
}

// shortage is what a team's limit lacks for so many tasks of a job, whatever is promised
// already.
func shortage(j *cluster.Job, tasks int) resources.Amount {
	t := j.Team
	total := t.Used.Plus(t.Reserved).Plus(j.Request.Times(float64(tasks))).Minus(t.Stopping)
	lack := resources.Amount{}
	if t.CPULimit > 0 {
		lack.CPUs = max(0, total.CPUs-t.CPULimit)
	}
	if t.GPULimit > 0 {
		lack.GPUs = max(0, total.GPUs-t.GPULimit)
	}
	return lack
}

// isNothing reports whether an amount is none, but for rounding.
func isNothing(a resources.Amount) bool { return a.FitsIn(resources.Amount{}) }

// preemptWithinLimit stops tasks of a team that is at its limit, so that its jobs of higher
// priority need not wait for those of lower to end by themselves. What is about to be left is
// promised to the job: nothing later in the queue takes it.
func (s *Scheduler) preemptWithinLimit(j *cluster.Job, tasks int) {
	t := j.Team
	highest, known := s.cycle.nothingBelow[t]
	if !isNothing(shortage(j, tasks)) && (!known || rank(j) > highest) {
		s.preemptTeamTasks(j, tasks)
	}
	for ; tasks > 0 && t.Reserved.Plus(j.Request).FitsIn(t.Stopping); tasks-- {
		t.Reserved = t.Reserved.Plus(j.Request)
	}
}

// preemptTeamTasks stops tasks of the job's team until its limit lets so many of the job
// start: what doesn't run yet first, then what costs least, the latest first.
func (s *Scheduler) preemptTeamTasks(j *cluster.Job, tasks int) {
	t := j.Team
	victims := s.teamTasksBelow(j)
	if len(victims) == 0 {
		s.cycle.nothingBelow[t] = rank(j)
	}
	slices.SortStableFunc(victims, func(a, b *cluster.Task) int {
		return cmp.Or(cmp.Compare(a.Job.EffectivePriority(), b.Job.EffectivePriority()), cmp.Compare(min(0, a.RunningSince), min(0, b.RunningSince)),
			cmp.Compare(s.preemptionCostS(a), s.preemptionCostS(b)), cmp.Compare(b.RunningSince, a.RunningSince))
	})
	for _, victim := range victims {
		if isNothing(shortage(j, tasks)) {
			return
		}
		if victim.Stopping || !victim.Active() {
			continue // with the gang that it was of
		}
		rest := t.FiniteUsed.Minus(victim.Job.Request)
		if t.GPULimit > 0 && rest.GPUs < t.GPULimit*finiteShare || t.CPULimit > 0 && rest.CPUs < t.CPULimit*finiteShare {
			return
		}
		t.FiniteUsed = rest
		s.context.Stats.TasksPreempted++
		s.jobs.Preempt(victim, "its team's limit is needed for "+j.ID)
	}
}

// teamTasksBelow are the tasks of a job's team that may be stopped for it.
func (s *Scheduler) teamTasksBelow(j *cluster.Job) []*cluster.Task {
	var tasks []*cluster.Task
	for _, other := range s.state.JobOrder {
		if other.Team != j.Team || other.EffectivePriority() >= j.EffectivePriority() || other.Lifecycle.Ended || other.Cancelled ||
			rank(other) >= rank(j) || other.Kind == protocol.Service {
			continue
		}
		for _, t := range other.SortedTasks() {
			if !t.Stopping {
				tasks = append(tasks, t)
			}
		}
	}
	return tasks
}
