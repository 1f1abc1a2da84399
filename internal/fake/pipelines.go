package fake

import (
	"maps"
	"time"

	"oakpick/internal/protocol"
)

// prerequisites are the jobs that a job names.
func (w *World) prerequisites(j *Job) []*Job {
	var prerequisites []*Job
	for _, id := range j.Submission.Prerequisites {
		if p := w.Jobs[id]; p != nil {
			prerequisites = append(prerequisites, p)
		}
	}
	return prerequisites
}

// ancestors are all jobs that a job needs, directly or through others. What a job names
// never changes, so they are found once.
func (w *World) ancestors(j *Job) map[*Job]bool {
	if j.ancestors != nil {
		return j.ancestors
	}
	ancestors := map[*Job]bool{}
	j.ancestors = ancestors // a job that names itself, which is refused, comes to an end, too
	for _, p := range w.prerequisites(j) {
		ancestors[p] = true
		maps.Copy(ancestors, w.ancestors(p))
	}
	return ancestors
}

// anyJob tells whether a condition holds for any of a set of jobs.
func anyJob(jobs map[*Job]bool, condition func(*Job) bool) bool {
	for j := range jobs {
		if condition(j) {
			return true
		}
	}
	return false
}

// ancestorCancelRequested tells whether a user has asked to cancel a job that this one
// needs.
func (w *World) ancestorCancelRequested(j *Job) bool {
	return anyJob(w.ancestors(j), func(p *Job) bool { return p.CancelRequested })
}

// CancelledByAncestor tells whether a user was told that a job that this one needs is
// cancelled, so that this one is cancelled, too.
func (w *World) CancelledByAncestor(j *Job) bool {
	return anyJob(w.ancestors(j), func(p *Job) bool { return p.Cancelled })
}

// checkPipeline checks what a user is told of a job against what was said of the jobs
// that it needs, and of those that need it.
func (w *World) checkPipeline(j *Job, status string, askedAt time.Duration) {
	if !w.hasPipelines {
		return
	}
	if status == protocol.StatusQueued || status == protocol.StatusRunning {
		w.checkAncestors(j, status, askedAt)
	}
	for _, id := range w.jobNames {
		if descendant := w.Jobs[id]; w.ancestors(descendant)[j] {
			w.checkDescendant(j, descendant, status)
		}
	}
}

// checkAncestors checks that no job that an unfinished one needs is cancelled.
func (w *World) checkAncestors(j *Job, status string, askedAt time.Duration) {
	for ancestor := range w.ancestors(j) {
		if ancestor.Cancelled && askedAt > ancestor.CancelledAt+w.cancelWithin() {
			w.RecordViolation(ruleOrphaned, "%s is called %s, and %s is cancelled", j.Submission.ID, status, ancestor.Submission.ID)
		}
		// Stricter than the rule: a job that waits has nothing to be stopped.
		if ancestor.Cancelled && askedAt > ancestor.CancelledAt {
			w.RecordViolation(ruleOrphaned, "%s is called %s after its user was told that %s is cancelled", j.Submission.ID, status, ancestor.Submission.ID)
		}
	}
}

// checkDescendant checks a job's end against what was so of a job that needs it.
func (w *World) checkDescendant(j, descendant *Job, status string) {
	id := descendant.Submission.ID
	if status == protocol.StatusCancelled && descendant.Started {
		w.RecordViolation(ruleWentBack, "%s is called cancelled, and %s, which needs it, has begun", j.Submission.ID, id)
	}
	otherCancelled := descendant.CancelRequested ||
		anyJob(w.ancestors(descendant), func(p *Job) bool { return p != j && p.CancelRequested })
	if status == protocol.StatusDone && descendant.Status == protocol.StatusCancelled && !otherCancelled {
		w.RecordViolation(ruleWentBack, "%s is done, and %s was called cancelled with it", j.Submission.ID, id)
	}
}
