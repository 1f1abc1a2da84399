package controller

import (
	"cmp"
	"slices"

	"oakpick/internal/protocol"
)

// queue sorts the jobs that wait: by priority, then those within their team's
// guarantee, then by age.
func (e *engine) queue() []*job {
	sum := map[*team]need{}
	var out []*job
	for _, t := range e.teams {
		t.ends, t.endsWait = need{}, need{}
	}
	for _, j := range e.order {
		e.n.Stats.JobsExamined++
		if j.waits() {
			j.within = false
			continue
		}
		if j.Kind != protocol.Service {
			j.team.ends = j.team.ends.plus(j.need.times(float64(len(j.tasks) - j.stopping)))
			j.team.endsWait = j.team.endsWait.plus(j.need.times(float64(j.idle())))
		}
		if j.Cancelled || j.over {
			j.within = false
			continue
		}
		s := sum[j.team].plus(j.need.times(float64(j.Tasks - j.done)))
		sum[j.team] = s
		t := j.team
		j.within = (t.GuaranteedCPUs > 0 || t.GuaranteedGPUs > 0) && (t.GuaranteedCPUs == 0 || s.cpus <= t.GuaranteedCPUs+slack) && (t.GuaranteedGPUs == 0 || s.gpus <= t.GuaranteedGPUs+slack)
		if j.idle() > 0 {
			out = append(out, j)
		}
	}
	slices.SortStableFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(order(b), order(a)), cmp.Compare(e.queuedAtMs(a), e.queuedAtMs(b)))
	})
	return out
}

// queuedAtMs orders jobs of the same standing: by age, but of those with deadlines the
// short go before the long. Where a team's limit lets too little run, all would be a
// little late otherwise; and since age counts as well, the longest have their turn too.
//
// A job of a pipeline yields to none for its length. It is queued since its last
// prerequisite is done, or since it has to begin for a deadline further on, if that is
// earlier.
func (e *engine) queuedAtMs(j *job) int64 {
	if j.dependency != nil {
		return min(j.readyMs, j.dependency.latestStartMs())
	}
	if j.guest() {
		// Guests have only what is left: of their work the short goes first, so that a
		// few long arrays don't keep many small jobs waiting.
		return j.readyMs + int64(j.expectedRun()*lengthWeight*1000)
	}
	if j.DeadlineS == 0 {
		return j.readyMs
	}
	limit := need{1e12, 1e12, 1e12}
	if j.team.CPULimit > 0 {
		limit.cpus = j.team.CPULimit
	}
	if j.team.GPULimit > 0 {
		limit.gpus = j.team.GPULimit
	}
	alone := j.expectedRun() * float64(j.Tasks-j.done) / float64(max(1, j.need.count(limit, 1<<30)))
	return j.readyMs + int64(alone*lengthWeight*1000)
}

// lengthWeight is how many seconds a job with a deadline lets others go first for each
// second that it would take with its team's limit to itself.
const lengthWeight = 30

// order is a job's standing: its priority, and among equals whether its team's guarantee
// covers it, then whether its team has one.
func order(j *job) int {
	n := standings * int(j.priority())
	switch {
	case j.within:
		return n + 2
	case !j.guest():
		return n + 1
	}
	return n
}

// standings is how many jobs of the same priority can have.
const standings = 3
