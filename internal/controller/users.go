package controller

import (
	"maps"
	"slices"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

func (e *engine) user(c message.UserRequest) {
	if c.Kind == message.Poll {
		e.n.Stats.JobsPolled++
	}
	e.archive.request(c)
}

// decide answers a request, given the ends of what it is about that are in the archive.
func (e *engine) decide(c message.UserRequest, archived ends) {
	switch c.Kind {
	case message.Submit:
		e.submit(c, archived)
	case message.Poll:
		e.poll(c, archived)
	case message.Cancel:
		e.cancel(c, archived)
	}
}

// final is the end of a job that is over.
func (e *engine) final(id string, archived ends) *final {
	if f := e.finals[id]; f != nil {
		return f
	}
	return archived[id]
}

func (e *engine) reply(id uint64, status int, body []byte) {
	delete(e.asking, id)
	e.n.emit(message.Reply{ID: id, Status: status, Body: body})
}

func (e *engine) answerJob(id uint64, status int, j *job, counts bool) {
	if j.Cancelled && j.cancelKnown && !e.canConfirmCancellation(j) {
		// Another leader may have told it already: nothing else may be said either.
		delete(e.asking, id)
		e.n.refuse(id, "its tasks can't be stopped yet")
		return
	}
	a := protocol.JobResponse{ID: j.ID, Status: protocol.StatusQueued}
	running := 0
	for _, t := range j.tasks {
		if t.seen && (t.state == protocol.Running || t.state == protocol.Checkpointing) {
			running++
		}
	}
	switch {
	case j.Cancelled && j.cancelKnown:
		a.Status, running = protocol.StatusCancelled, 0
	case running > 0:
		a.Status = protocol.StatusRunning
	}
	if counts {
		a.Done, a.Running = &j.done, &running
	}
	e.reply(id, status, protocol.Encode(a))
}

func (e *engine) answerFinal(id uint64, f *final, counts bool) {
	a := protocol.JobResponse{ID: f.ID, Status: protocol.StatusDone}
	done, running := f.Tasks, 0
	if f.Cancelled {
		a.Status, done = protocol.StatusCancelled, 0
	}
	if counts {
		a.Done, a.Running = &done, &running
	}
	e.reply(id, 200, protocol.Encode(a))
}

func (e *engine) submit(c message.UserRequest, archived ends) {
	s := c.Submission
	if f := e.final(s.ID, archived); f != nil {
		e.answerFinal(c.ID, f, false)
		return
	}
	if j := e.jobs[s.ID]; j != nil {
		if j.settling() {
			e.n.refuse(c.ID, "not settled yet")
			return
		}
		if j.committed {
			e.answerJob(c.ID, 200, j, false)
			return
		}
		e.asking[c.ID] = true
		e.store.MarkDirty(e.n.now.Monotonic, j.blocks[0], storage.OnCommit(func() { e.answerJob(c.ID, 200, j, false) }))
		return
	}
	if e.behind() {
		e.n.refuse(c.ID, "too much to be written")
		return
	}
	if len(e.fleet.types) == 0 {
		if e.n.mayDefer(c) {
			e.n.deferCall(c)
		} else {
			e.n.refuse(c.ID, "machine types not known yet")
		}
		return
	}
	if why := e.impossible(s); why != "" {
		e.reply(c.ID, 422, protocol.EncodeError(why))
		return
	}
	switch status, why := e.refusedPrerequisite(s, archived); status {
	case 0:
		e.accept(c, archived)
	case 503:
		e.n.refuse(c.ID, why)
	default:
		e.reply(c.ID, status, protocol.EncodeError(why))
	}
}

// accept takes a new job in. Its user is told once that is durable.
func (e *engine) accept(c message.UserRequest, archived ends) {
	e.n.Stats.JobsSubmitted++
	j := e.newJob(storage.NewJobRecord(c.Submission, e.n.now.WallMs))
	var cancelled bool
	j.prerequisites, cancelled = e.withoutArchived(c.Submission.Prerequisites, archived)
	e.divide(j)
	cancelled = e.linkPrerequisites(j) || cancelled
	switch {
	case cancelled:
		j.Cancelled, j.cancelledAt = true, e.n.now.Monotonic
	case !j.waits():
		e.arrived(j)
		e.schedule = true
	}
	e.asking[c.ID] = true
	e.recordParts(j, func() {
		e.store.MarkDirty(e.n.now.Monotonic, j.blocks[0], storage.OnCommit(func() {
			j.committed = true
			e.schedule = e.schedule || j.blockCount() > 1 || len(j.parts) > 0 // see awaitsRecord
			j.cancelKnown = j.cancelKnown || cancelled
			e.answerJob(c.ID, 201, j, false)
			e.settle(j, nil)
		}))
	})
}

// commitWithinS is within how many seconds a commit has to be expected for a user to wait
// for it: half of the time that users wait leaves enough for the way there and back.
const commitWithinS = protocol.SubmitTimeoutS / 2.0

// behind tells whether a new record could not be committed while its user waits. What is
// only written in the background doesn't keep it waiting.
func (e *engine) behind() bool {
	pages := e.store.PagesDueBefore(e.n.now.Monotonic + config.Seconds(commitWithinS))
	return e.stalled() || float64(pages) > e.n.cfg.Settings.State.Smallest().WriteRPS*e.opt.WriteShare*commitWithinS
}

// stalled tells whether the state service has taken no write for so long that nobody
// should wait for one.
func (e *engine) stalled() bool {
	return e.store.StalledFor(e.n.now.Monotonic) > config.Seconds(commitWithinS)
}

// refuseAsking answers at once whoever waits for a commit that isn't to be
// expected: what was asked may be durable all the same, and is found so when the
// user comes back.
func (e *engine) refuseAsking() {
	for _, id := range slices.Sorted(maps.Keys(e.asking)) {
		e.n.refuse(id, "the state service does not answer")
	}
	clear(e.asking)
}

// impossible says why a job can never run, or nothing.
func (e *engine) impossible(s *protocol.Submission) string {
	t := e.teams[s.Team]
	if t == nil {
		return "unknown team"
	}
	n := need{s.CPUs, s.GPUs, s.MemoryGB}
	fits := false
	for _, mt := range e.fleet.types {
		if s.Types != nil && !slices.Contains(s.Types, mt.Name) || s.Zone != "" && !slices.Contains(mt.Zones, s.Zone) {
			continue
		}
		fits = fits || n.fits(need{mt.CPUs, mt.GPUs, mt.MemoryGB})
	}
	if !fits {
		return "a task fits no allowed machine type"
	}
	whole := n
	if s.Kind != protocol.Array {
		whole = n.times(float64(s.Tasks))
		if s.Spread && s.Tasks > 1 && (s.OneZone || s.Zone != "") {
			return "cannot be both in one zone and spread"
		}
	}
	if t.CPULimit > 0 && whole.cpus > t.CPULimit+slack || t.GPULimit > 0 && whole.gpus > t.GPULimit+slack {
		return "needs more than the team's limit"
	}
	probe := &job{e: e, JobRecord: storage.NewJobRecord(s, e.n.now.WallMs), blockTasks: e.rules.blockTasks, recordBlocks: true}
	if (&block{job: probe}).baseSize()+probe.leastStarts()*storage.StartReservedSize > e.store.MaxItemSize() {
		return "its description is too long to be kept"
	}
	return ""
}

func (e *engine) poll(c message.UserRequest, archived ends) {
	if f := e.final(c.Job, archived); f != nil {
		e.answerFinal(c.ID, f, true)
	} else if j := e.jobs[c.Job]; j == nil {
		e.reply(c.ID, 404, protocol.EncodeError("no such job"))
	} else if !j.committed || j.settling() {
		e.n.refuse(c.ID, "not settled yet")
	} else {
		e.answerJob(c.ID, 200, j, true)
	}
}

func (e *engine) cancel(c message.UserRequest, archived ends) {
	if f := e.final(c.Job, archived); f != nil {
		e.answerFinal(c.ID, f, false)
		return
	}
	j := e.jobs[c.Job]
	if j == nil {
		e.reply(c.ID, 404, protocol.EncodeError("no such job"))
		return
	}
	if j.settling() { // all its tasks are done; the record of that is under way
		e.n.refuse(c.ID, "not settled yet")
		return
	}
	if j.Cancelled && j.cancelKnown {
		e.answerJob(c.ID, 200, j, false)
		return
	}
	if !j.Cancelled {
		e.n.Stats.JobsCancelled++
		j.Cancelled, j.cancelledAt = true, e.n.now.Monotonic
	}
	e.asking[c.ID] = true
	// Durable first, then answered, and only then are its tasks stopped: a
	// cancellation that was never told must not have cost the job its tasks.
	e.store.MarkDirty(e.n.now.Monotonic, j.blocks[0], storage.OnCommit(func() {
		j.committed = true
		if !j.cancelKnown {
			j.cancelKnown, j.cancelledAt = true, e.n.now.Monotonic
			e.stopAll(j)
			e.cancelDependents(j.ID)
		}
		e.answerJob(c.ID, 200, j, false)
		e.settle(j, nil)
	}))
}

// stopAll stops what a cancelled job has on machines. A start that was never
// sent is simply withdrawn.
func (e *engine) stopAll(j *job) {
	for _, t := range e.sorted(j) {
		if t.sentToken == 0 && !t.inherited {
			e.drop(t)
			continue
		}
		e.stop(t, 0)
	}
	e.schedule = true
}
