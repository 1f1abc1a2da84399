package scheduling

import (
	"cmp"
	"slices"

	"oakpick/internal/cluster"
	"oakpick/internal/protocol"
	"oakpick/internal/resources"
)

// finiteShare is the share of a team's limit that services may not use while finite jobs (arrays
// and gangs) wait for it. Services don't end by themselves and could starve finite jobs.
const finiteShare = 0.4

// unavailableLimit returns the part of its team's limit that a job may not use: the amount
// reserved in this cycle and, for a service, the amount reserved for finite jobs.
func unavailableLimit(j *cluster.Job) resources.Amount {
	t := j.Team
	reserved := t.Reserved
	if j.Kind == protocol.Service {
		reserved.CPUs += max(0, min(t.CPULimit*finiteShare, t.FiniteUsed.CPUs+t.FiniteWaiting.CPUs)-t.FiniteUsed.CPUs)
		reserved.GPUs += max(0, min(t.GPULimit*finiteShare, t.FiniteUsed.GPUs+t.FiniteWaiting.GPUs)-t.FiniteUsed.GPUs)
	}
	return reserved
}

// tasksWithinLimit returns how many more tasks of a job the team's limit allows, up to maxTasks.
func tasksWithinLimit(j *cluster.Job, maxTasks int) int {
	t := j.Team
	left := resources.Unlimited()
	reserved := unavailableLimit(j)
	if t.CPULimit > 0 {
		left.CPUs = t.CPULimit - t.Used.CPUs - reserved.CPUs
	}
	if t.GPULimit > 0 {
		left.GPUs = t.GPULimit - t.Used.GPUs - reserved.GPUs
	}
	return j.Request.CountIn(left, maxTasks)
}

// limitShortfall returns the amount by which a job's team would exceed its limit with the given
// number of further tasks of the job. Resources of stopping tasks count as freed, unless they are
// reserved.
func limitShortfall(j *cluster.Job, tasks int) resources.Amount {
	t := j.Team
	total := t.Used.Plus(t.Reserved).Plus(j.Request.Times(float64(tasks))).Minus(t.Stopping)
	shortfall := resources.Amount{}
	if t.CPULimit > 0 {
		shortfall.CPUs = max(0, total.CPUs-t.CPULimit)
	}
	if t.GPULimit > 0 {
		shortfall.GPUs = max(0, total.GPUs-t.GPULimit)
	}
	return shortfall
}

// isZero reports whether an amount is zero, within rounding error.
func isZero(a resources.Amount) bool { return a.FitsIn(resources.Amount{}) }

// preemptWithinTeam preempts tasks of a team that is at its limit, so that its jobs of higher
// priority need not wait until those of lower priority end. The freed part of the limit is
// reserved for the job, so that no job later in the queue uses it.
func (s *Scheduler) preemptWithinTeam(j *cluster.Job, tasks int) {
	t := j.Team
	highestRank, known := s.cycle.noVictimsUpToRank[t]
	if !isZero(limitShortfall(j, tasks)) && (!known || rank(j) > highestRank) {
		s.preemptTeamTasks(j, tasks)
	}
	for ; tasks > 0 && t.Reserved.Plus(j.Request).FitsIn(t.Stopping); tasks-- {
		t.Reserved = t.Reserved.Plus(j.Request)
	}
}

// preemptTeamTasks preempts tasks of the job's team until its limit allows the given number of
// tasks of the job to start, but leaves the team's finite jobs finiteShare of the limit. Victims
// are taken by ascending priority, then those not running yet, then by ascending cost, then the
// most recently started.
func (s *Scheduler) preemptTeamTasks(j *cluster.Job, tasks int) {
	t := j.Team
	victims := s.preemptableTeamTasks(j)
	if len(victims) == 0 {
		s.cycle.noVictimsUpToRank[t] = rank(j)
	}
	slices.SortStableFunc(victims, func(a, b *cluster.Task) int {
		return cmp.Or(cmp.Compare(a.Job.EffectivePriority(), b.Job.EffectivePriority()), cmp.Compare(min(0, a.RunningSince), min(0, b.RunningSince)),
			cmp.Compare(s.preemptionCostS(a), s.preemptionCostS(b)), cmp.Compare(b.RunningSince, a.RunningSince))
	})
	for _, victim := range victims {
		if isZero(limitShortfall(j, tasks)) {
			return
		}
		if victim.Stopping || !victim.Active() {
			continue // stopped together with its gang
		}
		rest := t.FiniteUsed.Minus(victim.Job.Request)
		if t.GPULimit > 0 && rest.GPUs < t.GPULimit*finiteShare || t.CPULimit > 0 && rest.CPUs < t.CPULimit*finiteShare {
			return
		}
		t.FiniteUsed = rest
		s.context.Stats.TasksPreempted++
		s.jobs.Preempt(victim, "team limit needed for "+j.ID)
	}
}

// preemptableTeamTasks returns the tasks of a job's team that may be preempted for it.
func (s *Scheduler) preemptableTeamTasks(j *cluster.Job) []*cluster.Task {
	var tasks []*cluster.Task
	for _, other := range s.state.JobOrder {
		if other.Team != j.Team || other.EffectivePriority() >= j.EffectivePriority() || other.Lifecycle.Ended || other.Cancelled || other.DamagedBy != nil ||
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
