package controller

import (
	"cmp"
	"slices"

	"oakpick/internal/protocol"
)

// endsShare is the part of a team's limit that is left to work that ends, as long
// as such work waits: services, which don't end, would keep it waiting for good.
const endsShare = 0.4

// heldFrom is what of its team's limit a job may not take: what is promised to
// others, and from services what is left to work that ends.
func (t *team) heldFrom(j *job) need {
	n := t.owed
	if j.Kind == protocol.Service {
		n.cpus += max(0, min(t.CPULimit*endsShare, t.ends.cpus+t.endsWait.cpus)-t.ends.cpus)
		n.gpus += max(0, min(t.GPULimit*endsShare, t.ends.gpus+t.endsWait.gpus)-t.ends.gpus)
	}
	return n
}

// makeWayInLimit stops tasks of a team that is at its limit, so that its jobs of
// higher priority need not wait for those of lower to end by themselves. What is
// about to be left is promised to the job: nothing later in the queue takes it.
func (e *engine) makeWayInLimit(j *job, count int) {
	t := j.team
	// Room beyond the limit that so many tasks lack, whatever is promised already.
	lack := func() need {
		over := t.used.plus(t.owed).plus(j.need.times(float64(count))).minus(t.leaving)
		n := need{}
		if t.CPULimit > 0 {
			n.cpus = max(0, over.cpus-t.CPULimit)
		}
		if t.GPULimit > 0 {
			n.gpus = max(0, over.gpus-t.GPULimit)
		}
		return n
	}
	short := lack()
	if highest, ok := e.pass.noneToStop[t]; !short.fits(need{}) && (!ok || order(j) > highest) {
		var may []*task
		for _, v := range e.order {
			if v.team != t || v.priority() >= j.priority() || v.over || v.Cancelled || order(v) >= order(j) || v.Kind == protocol.Service {
				continue
			}
			for _, x := range e.sorted(v) {
				if !x.stopping {
					may = append(may, x)
				}
			}
		}
		if len(may) == 0 {
			e.pass.noneToStop[t] = order(j)
		}
		// What doesn't run yet first, then what costs least, the latest first.
		slices.SortStableFunc(may, func(a, b *task) int {
			return cmp.Or(cmp.Compare(a.job.priority(), b.job.priority()), cmp.Compare(min(0, a.ranSince), min(0, b.ranSince)),
				cmp.Compare(e.lossOf(a), e.lossOf(b)), cmp.Compare(b.ranSince, a.ranSince))
		})
		for _, x := range may {
			if short.fits(need{}) {
				break
			}
			if x.stopping || x.job.tasks[x.index] != x {
				continue // with the gang that it was of
			}
			if rest := t.ends.minus(x.job.need); t.GPULimit > 0 && rest.gpus < t.GPULimit*endsShare || t.CPULimit > 0 && rest.cpus < t.CPULimit*endsShare {
				break
			}
			t.ends = t.ends.minus(x.job.need)
			e.n.Stats.TasksPreempted++
			e.preemptTask(x, "its team's limit is needed for "+j.ID)
			short = lack()
		}
	}
	for ; count > 0 && t.owed.plus(j.need).fits(t.leaving); count-- {
		t.owed = t.owed.plus(j.need)
	}
}

// withinLimit is how many more tasks the team's limit lets a job start.
func (e *engine) withinLimit(j *job, most int) int {
	t := j.team
	left := need{1e12, 1e12, 1e12} // no limit
	held := t.heldFrom(j)
	if t.CPULimit > 0 {
		left.cpus = t.CPULimit - t.used.cpus - held.cpus
	}
	if t.GPULimit > 0 {
		left.gpus = t.GPULimit - t.used.gpus - held.gpus
	}
	return j.need.count(left, most)
}
