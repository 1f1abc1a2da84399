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

// Reasons for refusing a request with 503; they are returned to users.
const (
	reasonEndUncertain             = "not settled yet"
	reasonTasksNotStopped          = "its tasks can't be stopped yet"
	reasonWriteBacklog             = "too much to be written"
	reasonMachineTypesUnknown      = "machine types not known yet"
	reasonJobDamaged               = "its records are damaged"
	reasonStateServiceUnresponsive = "the state service does not answer"
)

// requestHandler handles users' requests on the leader. A response is sent only once the state that it
// reports is durable.
type requestHandler struct {
	leader  *leader
	context *step.Context
	state   *cluster.State
	store   *storage.Store
	jobs    *jobs.Manager
	// awaitingCommit is the set of IDs of requests that wait for a commit.
	awaitingCommit map[uint64]bool
}

func newRequestHandler(l *leader) *requestHandler {
	return &requestHandler{
		leader: l, context: l.controller.context, state: l.state, store: l.store, jobs: l.jobs, awaitingCommit: map[uint64]bool{},
	}
}

// handle starts handling a request by looking up the jobs that it names in the archive.
func (h *requestHandler) handle(request message.UserRequest) {
	if request.Kind == message.Poll {
		h.context.Stats.JobsPolled++
	}
	h.leader.archive.Handle(request)
}

// decide handles a request, given the archived ends of the jobs that it names.
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

// findEndedJob returns the end of a job that has ended, or nil if the job has not ended or is unknown.
func (h *requestHandler) findEndedJob(id string, archived archive.LookupResults) *cluster.EndedJob {
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

// replyJob sends the status of an unfinished job, with its task counts if withCounts is set.
func (h *requestHandler) replyJob(id uint64, status int, j *cluster.Job, withCounts bool) {
	if j.IsDurablyCancelled() && !h.leader.workers.CanConfirmCancellation(j) {
		// An earlier leader may already have confirmed the cancellation, so no other status may be reported.
		delete(h.awaitingCommit, id)
		h.context.Refuse(id, reasonTasksNotStopped)
		return
	}
	response := protocol.JobResponse{ID: j.ID, Status: protocol.StatusQueued}
	running := countRunningTasks(j)
	switch {
	case j.IsDurablyCancelled():
		response.Status, running = protocol.StatusCancelled, 0
	case running > 0:
		response.Status = protocol.StatusRunning
	}
	if withCounts {
		response.Done, response.Running = &j.DoneTasks, &running
	}
	h.reply(id, status, protocol.Encode(response))
}

// countRunningTasks counts the tasks that workers report as running or checkpointing.
func countRunningTasks(j *cluster.Job) int {
	running := 0
	for _, t := range j.ActiveTasks {
		if t.Reported && (t.State == protocol.Running || t.State == protocol.Checkpointing) {
			running++
		}
	}
	return running
}

// replyEnd sends the status of an ended job, with its task counts if withCounts is set.
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

// commitTimeoutS is how long, in seconds, a user's request may wait for a commit. It is half of the
// user's timeout, which leaves enough time for the network round trip.
const commitTimeoutS = protocol.SubmitTimeoutS / 2.0

// commitWouldTimeOut reports whether a new record could not be committed within commitTimeoutS. Pages
// that are written only in the background don't delay the record and are not counted.
func (h *requestHandler) commitWouldTimeOut() bool {
	pages := h.store.PagesDueBy(h.context.Monotonic() + config.Seconds(commitTimeoutS))
	writesPerS := h.leader.controller.config.Settings.State.Smallest().WriteRPS * h.leader.options.WriteShare
	return h.writesStalled() || float64(pages) > writesPerS*commitTimeoutS
}

// writesStalled reports whether the state service has accepted no write for so long that requests
// should not wait for one.
func (h *requestHandler) writesStalled() bool {
	return h.store.StalledFor(h.context.Monotonic()) > config.Seconds(commitTimeoutS)
}

// refuseAwaitingCommit refuses all requests that wait for a commit that is not expected soon. The
// requested change may still become durable; the user then finds it on a retry.
func (h *requestHandler) refuseAwaitingCommit() {
	for _, id := range slices.Sorted(maps.Keys(h.awaitingCommit)) {
		h.context.Refuse(id, reasonStateServiceUnresponsive)
	}
	clear(h.awaitingCommit)
}

func (h *requestHandler) poll(request message.UserRequest, archived archive.LookupResults) {
	if end := h.findEndedJob(request.Job, archived); end != nil {
		h.replyEnd(request.ID, end, true)
		return
	}
	j := h.state.Jobs[request.Job]
	switch {
	case j == nil:
		h.replyError(request.ID, http.StatusNotFound, "no such job")
	case !j.Lifecycle.SubmissionCommitted || j.EndUncertain():
		h.context.Refuse(request.ID, reasonEndUncertain)
	default:
		h.replyJob(request.ID, http.StatusOK, j, true)
	}
}

func (h *requestHandler) cancel(request message.UserRequest, archived archive.LookupResults) {
	if end := h.findEndedJob(request.Job, archived); end != nil {
		h.replyEnd(request.ID, end, false)
		return
	}
	j := h.state.Jobs[request.Job]
	switch {
	case j == nil:
		h.replyError(request.ID, http.StatusNotFound, "no such job")
	case j.DamagedBy != nil && !j.IsDurablyCancelled():
		h.context.Refuse(request.ID, reasonJobDamaged)
	case j.EndUncertain(): // all tasks are done, and the record of the end is being written
		h.context.Refuse(request.ID, reasonEndUncertain)
	case j.IsDurablyCancelled():
		h.replyJob(request.ID, http.StatusOK, j, false)
	default:
		h.recordCancellation(request.ID, j)
	}
}

// recordCancellation writes a cancellation. It is made durable first, then answered, and only then
// are the job's tasks stopped: a cancellation that was never confirmed must not cost the job its
// tasks.
func (h *requestHandler) recordCancellation(id uint64, j *cluster.Job) {
	if !j.Cancelled {
		h.context.Stats.JobsCancelled++
		jobs.MarkCancelled(j, h.context.Monotonic(), false)
	}
	h.awaitingCommit[id] = true
	h.store.MarkDirty(h.context.Monotonic(), j.Blocks[0], storage.OnCommit(func() {
		j.Lifecycle.SubmissionCommitted = true
		if !j.Lifecycle.CancellationCommitted {
			jobs.MarkCancelled(j, h.context.Monotonic(), true)
			h.jobs.StopAll(j)
			h.jobs.CancelDependents(j.ID)
		}
		h.replyJob(id, http.StatusOK, j, false)
		h.jobs.EndIfFinished(j, nil)
	}))
}
