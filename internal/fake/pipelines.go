package fake

import (
	"maps"
	"time"

	"oakpick/internal/protocol"
)

// prerequisites are the jobs that a job names.
func (w *World) prerequisites(j *Job) []*Job {
	var out []*Job
	for _, id := range j.Submission.Prerequisites {
		if p := w.Jobs[id]; p != nil {
			out = append(out, p)
		}
	}
	return out
}

// ancestors are all jobs that a job needs, directly or through others. What a job names
// never changes, so they are found once.
func (w *World) ancestors(j *Job) map[*Job]bool {
	if j.ancestors != nil {
		return j.ancestors
	}
	all := map[*Job]bool{}
	j.ancestors = all // a job that names itself, which is refused, comes to an end, too
	for _, p := range w.prerequisites(j) {
		all[p] = true
		maps.Copy(all, w.ancestors(p))
	}
	return all
}

// anyJob tells whether any of a set of jobs is as asked.
func anyJob(jobs map[*Job]bool, ok func(*Job) bool) bool {
	for j := range jobs {
		if ok(j) {
			return true
		}
	}
	return false
}

// ancestorCancelRequested tells whether a user has asked to cancel a job that this one needs.
func (w *World) ancestorCancelRequested(j *Job) bool {
	return anyJob(w.ancestors(j), func(p *Job) bool { return p.CancelRequested })
}

// CancelledByAncestor tells whether a user was told that a job that this one needs is
// cancelled, so that this one is cancelled, too.
func (w *World) CancelledByAncestor(j *Job) bool {
	return anyJob(w.ancestors(j), func(p *Job) bool { return p.Cancelled })
}

// checkPipeline checks what a user hears of a job against what was said of the jobs
// that it needs, and of those that need it.
func (w *World) checkPipeline(j *Job, status string, asked time.Duration) {
	if !w.pipelines {
		return
	}
	ancestors := w.ancestors(j)
	if status == protocol.StatusQueued || status == protocol.StatusRunning {
		for p := range ancestors {
			if p.Cancelled && asked > p.CancelledAt+sec(w.Cfg.Settings.Workers.CancelWithinS) {
				w.violation("orphaned", "%s is called %s, and %s is cancelled", j.Submission.ID, status, p.Submission.ID)
			}
			// Stricter than the rule: a job that waits has nothing to be stopped.
			if p.Cancelled && asked > p.CancelledAt {
				w.violation("orphaned", "%s is called %s after its user was told that %s is cancelled", j.Submission.ID, status, p.Submission.ID)
			}
		}
	}
	for _, id := range w.jobNames {
		d := w.Jobs[id]
		needs := w.ancestors(d)
		if !needs[j] {
			continue
		}
		if status == protocol.StatusCancelled && d.Started {
			w.violation("went_back", "%s is called cancelled, and %s, which needs it, has begun", j.Submission.ID, id)
		}
		other := d.CancelRequested || anyJob(needs, func(p *Job) bool { return p != j && p.CancelRequested })
		if status == protocol.StatusDone && d.Status == protocol.StatusCancelled && !other {
			w.violation("went_back", "%s is done, and %s was called cancelled with it", j.Submission.ID, id)
		}
	}
}
