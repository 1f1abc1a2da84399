package controller

import (
	"slices"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// prerequisitesPart is a record of some of a job's prerequisites, if they are too many
// for the page of the job itself.
type prerequisitesPart struct{ storage.PrerequisitesRecord }

// AppendTo writes it.
func (p *prerequisitesPart) AppendTo(v *storage.PageValue) {
	v.Prerequisites = append(v.Prerequisites, p.PrerequisitesRecord)
}

// ReservedSize is the space that it takes, which never changes.
func (p *prerequisitesPart) ReservedSize() int { return p.EncodedSize() }

// divide puts the prerequisites of a new job into records of their own if the job's page
// can't take them.
func (e *engine) divide(j *job) {
	if (&block{job: j}).baseSize()+j.leastStarts()*storage.StartReservedSize <= e.store.MaxItemSize() {
		return
	}
	for _, r := range storage.SplitPrerequisites(j.ID, j.prerequisites, e.store.MaxItemSize()) {
		j.parts = append(j.parts, &prerequisitesPart{r})
	}
}

// recordParts writes the records of a job's prerequisites, and goes on once all of them
// are durable: so the job is never found with only some of its prerequisites.
func (e *engine) recordParts(j *job, then func()) {
	if len(j.parts) == 0 {
		then()
		return
	}
	j.recordsParts = true
	wait := storage.OnDeferredCommit(func() {
		j.recordsParts = false
		then()
	})
	for _, p := range j.parts {
		e.store.MarkDirty(e.n.now.Monotonic, p, wait)
	}
}

// waits tells whether a job has to wait for others. Such a job takes no part in
// placement, limits, guarantees or renting, and is queued to its user.
func (j *job) waits() bool { return j.dependency.waits() }

// priority is the job's own, or that of a job that needs it if that is higher.
func (j *job) priority() protocol.Priority {
	if j.dependency == nil {
		return j.Priority
	}
	return j.dependency.effective
}

// expectedRun is how many seconds a task of the job is expected to run: what was
// seen of its class counts more than its owner's estimate, which is often wrong.
func (j *job) expectedRun() float64 {
	if c := j.e.classes[j.Class]; c != nil && c.run > 0 {
		return c.run
	}
	return j.EstimatedRunS
}

// refusedPrerequisite tells whether a submission names a job that it can't: the
// status, and why; 0: none. Only a leader that is certain of its term and has read
// every page is asked.
func (e *engine) refusedPrerequisite(s *protocol.Submission, archived ends) (status int, why string) {
	for _, id := range s.Prerequisites {
		if id == s.ID {
			return 422, "a job can't need itself"
		}
		if e.final(id, archived) != nil {
			continue
		}
		p := e.jobs[id]
		switch {
		case p == nil:
			return 422, "needs a job that was never accepted"
		case p.Kind == protocol.Service:
			return 422, "needs a service, which is never done"
		case !p.committed:
			// Its own acceptance may come to nothing.
			return 503, "needs a job that isn't accepted yet"
		}
	}
	return 0, ""
}

// withoutArchived leaves out the prerequisites whose ends are in the archive, or on their
// way there, so that a take-over needs no page of it: what is done stays done, and that one
// of them is cancelled is recorded as the job's own cancellation.
func (e *engine) withoutArchived(ids []string, archived ends) (rest []string, cancelled bool) {
	for _, id := range ids {
		f := e.final(id, archived)
		if f == nil || e.finals[id] == f && !e.archive.moving[id] {
			rest = append(rest, id)
			continue
		}
		cancelled = cancelled || f.Cancelled
	}
	return rest, cancelled
}

// linkPrerequisites puts a job into the graph. It tells whether the job is cancelled
// because one that it needs is, durably.
func (e *engine) linkPrerequisites(j *job) (cancelled bool) {
	var needs []*job
	unknown := 0
	for _, id := range j.prerequisites {
		p := e.jobs[id]
		if f := e.finals[id]; f != nil {
			cancelled = cancelled || f.Cancelled
		} else if p != nil {
			cancelled = cancelled || p.Cancelled && p.cancelKnown
			needs = append(needs, p)
		} else {
			// Damage. The job can't start, since it may be too early, nor vanish.
			unknown++
			e.n.log(message.Error, "a prerequisite is on no page: the job waits for good", "job", j.ID, "prerequisite", id)
		}
	}
	if !cancelled && len(needs)+unknown > 0 {
		if cyclic := e.dependencies.add(j, needs, unknown); cyclic > 0 {
			e.n.log(message.Error, "a prerequisite needs the job itself: the job waits for good", "job", j.ID)
		}
	}
	return cancelled
}

// prerequisiteDone lets the jobs begin that have waited for this one only. It has to
// be durable that it is done: a successor that didn't know could cancel it still.
func (e *engine) prerequisiteDone(id string) {
	for _, ready := range e.dependencies.done(id) {
		j := e.jobs[ready]
		j.readyMs = e.n.now.WallMs
		j.idleSince = e.n.now.Monotonic
		e.arrived(j)
		e.order = append(slices.DeleteFunc(e.order, func(x *job) bool { return x == j }), j)
		e.schedule = true
	}
}

// cancelDependents cancels all that need a job whose cancellation is durable. None
// of them has begun, and nothing is recorded for them but their end: until that is,
// a successor comes to the same result by the edges.
func (e *engine) cancelDependents(id string) {
	for _, dependent := range e.dependencies.cancelled(id) {
		j := e.jobs[dependent]
		if j == nil || j.over {
			continue
		}
		e.n.log(message.Debug, "job cancelled with its prerequisite", "job", j.ID, "prerequisite", id)
		j.Cancelled, j.cancelKnown, j.cancelledAt = true, true, e.n.now.Monotonic
		e.settle(j, nil)
	}
}
