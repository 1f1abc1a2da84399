package scheduling

import (
	"cmp"
	"slices"

	"oakpick/internal/cluster"
	"oakpick/internal/protocol"
	"oakpick/internal/resources"
)

const msPerS = 1000

// lengthWeight is how many seconds a job with a deadline lets others go first for each second
// that it would take with its team's limit to itself.
const lengthWeight = 30

// ranksPerPriority is how many ranks jobs of the same priority can have.
const ranksPerPriority = 3

// maxTasksAtOnce bounds how many tasks of a job could run at a time.
const maxTasksAtOnce = 1 << 30

// queue returns the jobs that wait: by priority, then those within their team's guarantee,
// then by age.
func (s *Scheduler) queue() []*cluster.Job {
	requested := map[*cluster.Team]resources.Amount{}
	var waiting []*cluster.Job
	for _, t := range s.state.Teams {
		t.FiniteUsed, t.FiniteWaiting = resources.Amount{}, resources.Amount{}
	}
	for _, j := range s.state.JobOrder {
		s.context.Stats.JobsExamined++
		j.Placement.WithinQuota = false
		if j.Blocked() {
			continue
		}
		countFinite(j)
		if j.Cancelled || j.Lifecycle.Ended {
			continue
		}
		total := requested[j.Team].Plus(j.Request.Times(float64(j.Tasks - j.DoneTasks)))
		requested[j.Team] = total
		j.Placement.WithinQuota = j.Team.Guarantees(total)
		if j.IdleTasks() > 0 {
			waiting = append(waiting, j)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *cluster.Job) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(s.queuedAtMs(a), s.queuedAtMs(b)))
	})
	return waiting
}

// countFinite counts what work that ends by itself takes of its team's limit, and what waits
// of it.
func countFinite(j *cluster.Job) {
	if j.Kind == protocol.Service {
		return
	}
	running, waiting := float64(len(j.ActiveTasks)-j.StoppingTasks()), float64(j.IdleTasks())
	j.Team.FiniteUsed = j.Team.FiniteUsed.Plus(j.Request.Times(running))
	j.Team.FiniteWaiting = j.Team.FiniteWaiting.Plus(j.Request.Times(waiting))
}

// queuedAtMs orders jobs of the same rank: by age, but of those with deadlines the short go
// before the long. Where a team's limit lets too little run, all would be a little late
// otherwise; and since age counts as well, the longest have their turn too.
//
// A job of a pipeline yields to none for its length. It is queued since its last prerequisite
// is done, or since it has to begin for a deadline further on, if that is earlier.
func (s *Scheduler) queuedAtMs(j *cluster.Job) int64 {
	if j.Prerequisites.Node != nil {
		return min(j.ReadyMs, j.Prerequisites.Node.LatestStartMs())
	}
	if j.BestEffort() {
		// Best-effort teams have only what is left: of their work the short goes first, so
		// that a few long arrays don't keep many small jobs waiting.
		return j.ReadyMs + int64(s.state.ExpectedRunS(j)*lengthWeight*msPerS)
	}
	if j.DeadlineS == 0 {
		return j.ReadyMs
	}
	atOnce := max(1, j.Request.CountIn(j.Team.Limit(), maxTasksAtOnce))
	alone := s.state.ExpectedRunS(j) * float64(j.Tasks-j.DoneTasks) / float64(atOnce)
	return j.ReadyMs + int64(alone*lengthWeight*msPerS)
}

// rank is a job's standing: its priority, and among equals whether its team's guarantee covers
// it, then whether its team has one.
func rank(j *cluster.Job) int {
	base := ranksPerPriority * int(j.EffectivePriority())
	switch {
	case j.Placement.WithinQuota:
		return base + 2
	case !j.BestEffort():
		return base + 1
	}
	return base
}
