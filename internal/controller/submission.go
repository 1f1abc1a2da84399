package controller

import (
	"net/http"
	"slices"

	"oakpick/internal/archive"
	"oakpick/internal/cluster"
	"oakpick/internal/jobs"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/resources"
	"oakpick/internal/storage"
)

// submit takes in a job, or answers what became of an earlier request with its id.
func (h *requestHandler) submit(request message.UserRequest, archived archive.LookupResults) {
	if end := h.end(request.Submission.ID, archived); end != nil {
		h.replyEnd(request.ID, end, false)
		return
	}
	if j := h.state.Jobs[request.Submission.ID]; j != nil {
		h.resubmit(request.ID, j)
		return
	}
	if h.writesBehind() {
		h.context.Refuse(request.ID, writeBacklog)
		return
	}
	if !h.leader.autoscaler.KnowsTypes() {
		h.deferUntilTypesKnown(request)
		return
	}
	if reason := h.impossible(request.Submission); reason != "" {
		h.replyError(request.ID, http.StatusUnprocessableEntity, reason)
		return
	}
	switch status, reason := h.checkPrerequisites(request.Submission, archived); status {
	case http.StatusOK:
		h.accept(request, archived)
	case http.StatusServiceUnavailable:
		h.context.Refuse(request.ID, reason)
	default:
		h.replyError(request.ID, status, reason)
	}
}

// resubmit answers a repeated submission of a job that isn't over, once the first is durable.
func (h *requestHandler) resubmit(id uint64, j *cluster.Job) {
	switch {
	case j.EndUncertain():
		h.context.Refuse(id, endUncertain)
	case j.Lifecycle.SubmissionCommitted:
		h.replyJob(id, http.StatusOK, j, false)
	default:
		h.awaitingCommit[id] = true
		h.store.MarkDirty(h.context.Monotonic(), j.Blocks[0], storage.OnCommit(func() { h.replyJob(id, http.StatusOK, j, false) }))
	}
}

func (h *requestHandler) deferUntilTypesKnown(request message.UserRequest) {
	c := h.leader.controller
	if c.mayDefer(request) {
		c.deferRequest(request)
		return
	}
	h.context.Refuse(request.ID, machineTypesUnknown)
}

// accept takes a new job in. Its user is told once that is durable.
func (h *requestHandler) accept(request message.UserRequest, archived archive.LookupResults) {
	h.context.Stats.JobsSubmitted++
	j := h.jobs.NewJob(storage.NewJobRecord(request.Submission, h.context.Now.WallMs))
	j.Prerequisites.IDs, j.Prerequisites.ArchivedCancelled = h.withoutArchived(request.Submission.Prerequisites, archived)
	h.jobs.SplitPrerequisites(j)
	cancelled := h.jobs.LinkPrerequisites(j)
	switch {
	case cancelled:
		jobs.Cancel(j, h.context.Monotonic(), false)
	case !j.Blocked():
		h.state.NoteArrival(j)
		h.state.NeedsScheduling = true
	}
	h.awaitingCommit[request.ID] = true
	h.jobs.RecordPrerequisites(j, func() {
		h.store.MarkDirty(h.context.Monotonic(), j.Blocks[0], storage.OnCommit(func() {
			h.submissionCommitted(request.ID, j, cancelled)
		}))
	})
}

// submissionCommitted notes that a new job is durable, and with it its cancellation if a
// prerequisite is cancelled.
func (h *requestHandler) submissionCommitted(id uint64, j *cluster.Job, cancelled bool) {
	j.Lifecycle.SubmissionCommitted = true
	if j.BlockCount() > 1 || len(j.Prerequisites.Parts) > 0 { // see Job.TasksAwaitingRecord
		h.state.NeedsScheduling = true
	}
	if cancelled {
		j.Lifecycle.CancellationCommitted = true
	}
	h.replyJob(id, http.StatusCreated, j, false)
	h.jobs.EndIfOver(j, nil)
}

// impossible says why a job can never run; empty: it can.
func (h *requestHandler) impossible(s *protocol.Submission) string {
	team := h.state.Teams[s.Team]
	if team == nil {
		return "unknown team"
	}
	request := resources.Amount{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB}
	if !h.fitsAnyType(s, request) {
		return "a task fits no allowed machine type"
	}
	atOnce := request // what has to run at a time
	if s.Kind != protocol.Array {
		atOnce = request.Times(float64(s.Tasks))
		if s.Spread && s.Tasks > 1 && (s.OneZone || s.Zone != "") {
			return "cannot be both in one zone and spread"
		}
	}
	if team.CPULimit > 0 && atOnce.CPUs > team.CPULimit+resources.Tolerance || team.GPULimit > 0 && atOnce.GPUs > team.GPULimit+resources.Tolerance {
		return "needs more than the team's limit"
	}
	if h.minRecordSize(s) > h.store.MaxItemSize() {
		return "its description is too long to be kept"
	}
	return ""
}

// fitsAnyType reports whether a task fits a machine type that its job allows.
func (h *requestHandler) fitsAnyType(s *protocol.Submission, request resources.Amount) bool {
	types := h.state.Catalog.Types
	return slices.ContainsFunc(types, func(t protocol.MachineType) bool {
		allowed := (s.Types == nil || slices.Contains(s.Types, t.Name)) && (s.Zone == "" || slices.Contains(t.Zones, s.Zone))
		return allowed && request.FitsIn(cluster.Capacity(&t))
	})
}

// minRecordSize is the space that a job's record would take at least, without its
// prerequisites.
func (h *requestHandler) minRecordSize(s *protocol.Submission) int {
	record := storage.NewJobRecord(s, h.context.Now.WallMs)
	j := &cluster.Job{JobRecord: record, BlockTasks: h.leader.controller.timing.Jobs.BlockTasks, RecordBlockTasks: true}
	return j.MinRecordSize()
}

// checkPrerequisites tells whether a submission names a job that it can't: the status, and
// why; 200: none. Only a leader that holds its lease and has read every page is asked.
func (h *requestHandler) checkPrerequisites(s *protocol.Submission, archived archive.LookupResults) (status int, reason string) {
	for _, id := range s.Prerequisites {
		if id == s.ID {
			return http.StatusUnprocessableEntity, "a job can't need itself"
		}
		if h.end(id, archived) != nil {
			continue
		}
		prerequisite := h.state.Jobs[id]
		switch {
		case prerequisite == nil:
			return http.StatusUnprocessableEntity, "needs a job that was never accepted"
		case prerequisite.Kind == protocol.Service:
			return http.StatusUnprocessableEntity, "needs a service, which is never done"
		case !prerequisite.Lifecycle.SubmissionCommitted:
			// Its own acceptance may come to nothing.
			return http.StatusServiceUnavailable, "needs a job that isn't accepted yet"
		}
	}
	return http.StatusOK, ""
}

// withoutArchived leaves out the prerequisites whose ends are in the archive, or on their way
// there, so that a new leader needs no page of it: what is done stays done, and that one of
// them is cancelled is recorded as the job's own cancellation.
func (h *requestHandler) withoutArchived(ids []string, archived archive.LookupResults) (rest []string, cancelled bool) {
	for _, id := range ids {
		end := h.end(id, archived)
		if end == nil || h.state.EndedJobs[id] == end && !h.leader.archive.IsMoving(id) {
			rest = append(rest, id)
			continue
		}
		cancelled = cancelled || end.Cancelled
	}
	return rest, cancelled
}
