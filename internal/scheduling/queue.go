package scheduling

import (
	"cmp"
	"slices"

	"oakpick/internal/cluster"
	"oakpick/internal/protocol"
	"oakpick/internal/resources"
)

const msPerS = 1000

// queueDelayPerRunS is the delay in the queue, in seconds, per second of a job's run time. For a
// job with a deadline, the run time is estimated as if the job had its team's limit to itself.
const queueDelayPerRunS = 30

// ranksPerPriority is the number of ranks within a priority.
const ranksPerPriority = 3

// maxConcurrentTasks bounds the number of tasks of a job that could run concurrently.
const maxConcurrentTasks = 1 << 30

// queue returns the waiting jobs in scheduling order: by descending rank, then by queueOrderMs.
func (s *Scheduler) queue() []*cluster.Job {
	requested := map[*cluster.Team]resources.Amount{}
	var waiting []*cluster.Job
	for _, t := range s.state.Teams {
		t.FiniteUsed, t.FiniteWaiting = resources.Amount{}, resources.Amount{}
	}
	for _, j := range s.state.JobOrder {
		s.context.Stats.JobsExamined++
		j.Placement.WithinGuarantee = false
		if j.Blocked() {
			continue
		}
		countFinite(j)
		if j.Cancelled || j.Lifecycle.Ended {
			continue
		}
		total := requested[j.Team].Plus(j.Request.Times(float64(j.Tasks - j.DoneTasks)))
		requested[j.Team] = total
		j.Placement.WithinGuarantee = j.Team.Guarantees(total)
		if j.IdleTasks() > 0 {
			waiting = append(waiting, j)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *cluster.Job) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(s.queueOrderMs(a), s.queueOrderMs(b)))
	})
	return waiting
}

// countFinite adds the running and the waiting tasks of a finite job (an array or a gang) to
// its team's totals.
func countFinite(j *cluster.Job) {
	if j.Kind == protocol.Service {
		return
	}
	running, waiting := float64(len(j.ActiveTasks)-j.StoppingTasks()), float64(j.IdleTasks())
	j.Team.FiniteUsed = j.Team.FiniteUsed.Plus(j.Request.Times(running))
	j.Team.FiniteWaiting = j.Team.FiniteWaiting.Plus(j.Request.Times(waiting))
}

// queueOrderMs returns the time by which jobs of equal rank are ordered, earliest first. It is the
// time at which the job became ready. A job that has a deadline or belongs to a best-effort team
// is delayed in proportion to its run time, so that short jobs precede long ones. Without the
// delay, all jobs of a team with a tight limit would be slightly late. Since age counts as well,
// long jobs are not starved.
//
// A job with prerequisites or dependents is not delayed. It is ordered by the time at which it
// became ready, or by the latest start that lets it and its dependents meet their deadlines, if
// that is earlier.
func (s *Scheduler) queueOrderMs(j *cluster.Job) int64 {
	if j.Prerequisites.Node != nil {
		return min(j.ReadyMs, j.Prerequisites.Node.LatestStartMs())
	}
	if j.BestEffort() {
		// Best-effort teams only have the resources that others leave idle. Short jobs go first
		// so that a few long arrays don't keep many small jobs waiting.
		return j.ReadyMs + int64(s.state.ExpectedRunS(j)*queueDelayPerRunS*msPerS)
	}
	if j.DeadlineS == 0 {
		return j.ReadyMs
	}
	concurrentTasks := max(1, j.Request.CountIn(j.Team.Limit(), maxConcurrentTasks))
	unsharedRunS := s.state.ExpectedRunS(j) * float64(j.Tasks-j.DoneTasks) / float64(concurrentTasks)
	return j.ReadyMs + int64(unsharedRunS*queueDelayPerRunS*msPerS)
}

// rank returns a job's scheduling rank. Jobs are ranked by priority, then by whether their
// team's guarantee covers them, then by whether their team has a guarantee at all.
func rank(j *cluster.Job) int {
	base := ranksPerPriority * int(j.EffectivePriority())
	switch {
	case j.Placement.WithinGuarantee:
		return base + 2
	case !j.BestEffort():
		return base + 1
	}
	return base
}
