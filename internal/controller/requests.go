package controller

import (
	"maps"
	"net/http"
	"slices"

	"oakpick/internal/archive"
	"oakpick/internal/cluster"
	"oakpick/internal/config"
	"oakpick/internal/jobs"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/step"
	"oakpick/internal/storage"
)

// Why a request is refused with 503: the words go to users.
const (
	endUncertain          = "not settled yet"
	tasksCannotBeStopped  = "its tasks can't be stopped yet"
	writeBacklog          = "too much to be written"
	machineTypesUnknown   = "machine types not known yet"
	stateServiceNotAnswer = "the state service does not answer"
)

// requestHandler decides users' requests at the leader. Users are answered once what they are
// told is durable.
type requestHandler struct {
	leader  *leader
	context *step.Context
	state   *cluster.State
	store   *storage.Store
	jobs    *jobs.Manager
	// awaitingCommit are the requests that wait for a commit.
	awaitingCommit map[uint64]bool
}

func newRequestHandler(l *leader) *requestHandler {
	return &requestHandler{
		leader: l, context: l.controller.context, state: l.state, store: l.store, jobs: l.jobs, awaitingCommit: map[uint64]bool{},
	}
}

// handle takes in a request.
func (h *requestHandler) handle(request message.UserRequest) {
	if request.Kind == message.Poll {
		h.context.Stats.JobsPolled++
	}
	h.leader.archive.Handle(request)
}

// decide answers a request, given the ends of what it is about that are in the archive.
func (h *requestHandler) decide(request message.UserRequest, archived archive.LookupResults) {
	switch request.Kind {
	case message.Submit:
		h.submit(request, archived)
	case message.Poll:
		h.poll(request, archived)
	case message.Cancel:
		h.cancel(request, archived)
	}
}

// end is the end of a job that is over; nil: it isn't, or isn't known.
func (h *requestHandler) end(id string, archived archive.LookupResults) *cluster.EndedJob {
	if end := h.state.EndedJobs[id]; end != nil {
		return end
	}
	return archived[id]
}

func (h *requestHandler) reply(id uint64, status int, body []byte) {
	delete(h.awaitingCommit, id)
	h.context.Emit(message.Reply{ID: id, Status: status, Body: body})
}

func (h *requestHandler) replyError(id uint64, status int, reason string) {
	h.reply(id, status, protocol.EncodeError(reason))
}

// replyJob tells a user about a job that isn't over, with its counts if asked for.
func (h *requestHandler) replyJob(id uint64, status int, j *cluster.Job, withCounts bool) {
	if j.IsCancelled() && !h.leader.workers.CanConfirmCancellation(j) {
		// Another leader may have told it already: nothing else may be said either.
		delete(h.awaitingCommit, id)
		h.context.Refuse(id, tasksCannotBeStopped)
		return
	}
	response := protocol.JobResponse{ID: j.ID, Status: protocol.StatusQueued}
	running := runningTasks(j)
	switch {
	case j.IsCancelled():
		response.Status, running = protocol.StatusCancelled, 0
	case running > 0:
		response.Status = protocol.StatusRunning
	}
	if withCounts {
		response.Done, response.Running = &j.DoneTasks, &running
	}
	h.reply(id, status, protocol.Encode(response))
}

// runningTasks counts the tasks that workers say to run.
func runningTasks(j *cluster.Job) int {
	running := 0
	for _, t := range j.ActiveTasks {
		if t.Reported && (t.State == protocol.Running || t.State == protocol.Checkpointing) {
			running++
		}
	}
	return running
}

// replyEnd tells a user about a job that is over, with its counts if asked for.
func (h *requestHandler) replyEnd(id uint64, end *cluster.EndedJob, withCounts bool) {
	response := protocol.JobResponse{ID: end.ID, Status: protocol.StatusDone}
	done, running := end.Tasks, 0
	if end.Cancelled {
		response.Status, done = protocol.StatusCancelled, 0
	}
	if withCounts {
		response.Done, response.Running = &done, &running
	}
	h.reply(id, http.StatusOK, protocol.Encode(response))
}

// commitTimeoutS is within how many seconds a commit has to be expected for a user to wait for
// it: half of the time that users wait leaves enough for the way there and back.
const commitTimeoutS = protocol.SubmitTimeoutS / 2.0

// writesBehind reports whether a new record could not be committed while its user waits. What
// is only written in the background doesn't keep it waiting.
func (h *requestHandler) writesBehind() bool {
	pages := h.store.PagesDueBefore(h.context.Monotonic() + config.Seconds(commitTimeoutS))
	writesPerS := h.leader.controller.config.Settings.State.Smallest().WriteRPS * h.leader.options.WriteShare
	return h.writesStalled() || float64(pages) > writesPerS*commitTimeoutS
}

// writesStalled reports whether the state service has taken no write for so long that nobody
// should wait for one.
func (h *requestHandler) writesStalled() bool {
	return h.store.StalledFor(h.context.Monotonic()) > config.Seconds(commitTimeoutS)
}

// refuseAwaitingCommit answers at once whoever waits for a commit that isn't to be expected:
// what was asked may be durable all the same, and is found so when the user comes back.
func (h *requestHandler) refuseAwaitingCommit() {
	for _, id := range slices.Sorted(maps.Keys(h.awaitingCommit)) {
		h.context.Refuse(id, stateServiceNotAnswer)
	}
	clear(h.awaitingCommit)
}

func (h *requestHandler) poll(request message.UserRequest, archived archive.LookupResults) {
	if end := h.end(request.Job, archived); end != nil {
		h.replyEnd(request.ID, end, true)
		return
	}
	j := h.state.Jobs[request.Job]
	switch {
	case j == nil:
		h.replyError(request.ID, http.StatusNotFound, "no such job")
	case !j.Lifecycle.SubmissionCommitted || j.EndUncertain():
		h.context.Refuse(request.ID, endUncertain)
	default:
		h.replyJob(request.ID, http.StatusOK, j, true)
	}
}

func (h *requestHandler) cancel(request message.UserRequest, archived archive.LookupResults) {
	if end := h.end(request.Job, archived); end != nil {
		h.replyEnd(request.ID, end, false)
		return
	}
	j := h.state.Jobs[request.Job]
	switch {
	case j == nil:
		h.replyError(request.ID, http.StatusNotFound, "no such job")
	case j.EndUncertain(): // all its tasks are done; the record of that is under way
		h.context.Refuse(request.ID, endUncertain)
	case j.IsCancelled():
		h.replyJob(request.ID, http.StatusOK, j, false)
	default:
		h.recordCancellation(request.ID, j)
	}
}

// recordCancellation has a cancellation written. Durable first, then answered, and only then
// are the job's tasks stopped: a cancellation that was never told must not have cost the job
// its tasks.
func (h *requestHandler) recordCancellation(id uint64, j *cluster.Job) {
	if !j.Cancelled {
		h.context.Stats.JobsCancelled++
		jobs.Cancel(j, h.context.Monotonic(), false)
	}
	h.awaitingCommit[id] = true
	h.store.MarkDirty(h.context.Monotonic(), j.Blocks[0], storage.OnCommit(func() {
		j.Lifecycle.SubmissionCommitted = true
		if !j.Lifecycle.CancellationCommitted {
			jobs.Cancel(j, h.context.Monotonic(), true)
			h.jobs.StopAll(j)
			h.jobs.CancelDependents(j.ID)
		}
		h.replyJob(id, http.StatusOK, j, false)
		h.jobs.EndIfOver(j, nil)
	}))
}
