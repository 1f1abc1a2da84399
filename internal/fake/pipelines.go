package fake

import (
	"maps"
	"time"

	"oakpick/internal/protocol"
)

// prerequisites returns the known jobs that a job names as its prerequisites.
func (w *World) prerequisites(j *Job) []*Job {
	var prerequisites []*Job
	for _, id := range j.Submission.Prerequisites {
		if p := w.Jobs[id]; p != nil {
			prerequisites = append(prerequisites, p)
		}
	}
	return prerequisites
}

// ancestors returns the direct and indirect prerequisites of a job. The result is cached, because
// the prerequisites of a job never change.
func (w *World) ancestors(j *Job) map[*Job]bool {
	if j.ancestors != nil {
		return j.ancestors
	}
	ancestors := map[*Job]bool{}
	j.ancestors = ancestors // set before the recursion, which would not end for a rejected job that names itself
	for _, p := range w.prerequisites(j) {
		ancestors[p] = true
		maps.Copy(ancestors, w.ancestors(p))
	}
	return ancestors
}

// anyJob reports whether the condition holds for any job of a set.
func anyJob(jobs map[*Job]bool, condition func(*Job) bool) bool {
	for j := range jobs {
		if condition(j) {
			return true
		}
	}
	return false
}

// ancestorCancelRequested reports whether a user has asked to cancel an ancestor of the job.
func (w *World) ancestorCancelRequested(j *Job) bool {
	return anyJob(w.ancestors(j), func(p *Job) bool { return p.CancelRequested })
}

// CancelledByAncestor reports whether a user was told that an ancestor of the job is cancelled, which
// cancels the job, too.
func (w *World) CancelledByAncestor(j *Job) bool {
	return anyJob(w.ancestors(j), func(p *Job) bool { return p.Cancelled })
}

// checkPipeline checks the status that a user is told of a job against what users were told of its
// ancestors and descendants.
func (w *World) checkPipeline(j *Job, status string, askedAt time.Duration) {
	if !w.hasPipelines {
		return
	}
	if status == protocol.StatusQueued || status == protocol.StatusRunning {
		w.checkAncestors(j, status, askedAt)
	}
	for _, id := range w.jobIDs {
		if descendant := w.Jobs[id]; w.ancestors(descendant)[j] {
			w.checkDescendant(j, descendant, status)
		}
	}
}

// checkAncestors checks that no ancestor of an unfinished job was reported as cancelled.
func (w *World) checkAncestors(j *Job, status string, askedAt time.Duration) {
	for ancestor := range w.ancestors(j) {
		if ancestor.Cancelled && askedAt > ancestor.CancelledAt+w.cancelWithin() {
			w.RecordViolation(ruleOrphaned, "%s is reported %s more than cancel_s after ancestor %s was cancelled", j.Submission.ID, status, ancestor.Submission.ID)
		}
		// The protocol allows cancel_s, but a job that waits for its ancestors has no tasks to stop, so
		// its status must change at once.
		if ancestor.Cancelled && askedAt > ancestor.CancelledAt {
			w.RecordViolation(ruleOrphaned, "%s is reported %s after its user was told that ancestor %s is cancelled", j.Submission.ID, status, ancestor.Submission.ID)
		}
	}
}

// checkDescendant checks the final status of a job against the progress and status of a descendant.
func (w *World) checkDescendant(j, descendant *Job, status string) {
	id := descendant.Submission.ID
	if status == protocol.StatusCancelled && descendant.Started {
		w.RecordViolation(ruleWentBack, "%s is reported cancelled although descendant %s has started", j.Submission.ID, id)
	}
	otherCancelled := descendant.CancelRequested ||
		anyJob(w.ancestors(descendant), func(p *Job) bool { return p != j && p.CancelRequested })
	if status == protocol.StatusDone && descendant.Status == protocol.StatusCancelled && !otherCancelled {
		w.RecordViolation(ruleWentBack, "%s is reported done although descendant %s was reported cancelled because of it", j.Submission.ID, id)
	}
}
