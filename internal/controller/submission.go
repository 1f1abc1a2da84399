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

// reasonFitsNoType is the reason for refusing a job of which a task fits no machine type.
const reasonFitsNoType = "a task fits no allowed machine type"

// submit accepts a job, or answers with the status of an earlier job with the same ID.
func (h *requestHandler) submit(request message.UserRequest, archived archive.LookupResults) {
	if end := h.findEndedJob(request.Submission.ID, archived); end != nil {
		h.replyEnd(request.ID, end, false)
		return
	}
	if j := h.state.Jobs[request.Submission.ID]; j != nil {
		h.resubmit(request.ID, j)
		return
	}
	if h.commitWouldTimeOut() {
		h.context.Refuse(request.ID, reasonWriteBacklog)
		return
	}
	if !h.leader.autoscaler.KnowsTypes() {
		h.deferUntilTypesKnown(request)
		return
	}
	reason := h.rejectionReason(request.Submission)
	if reason == reasonFitsNoType && h.state.Catalog.Inherited {
		h.deferUntilTypesKnown(request)
		return
	}
	if reason != "" {
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

// resubmit answers a repeated submission of an unfinished job once the first one is durable.
func (h *requestHandler) resubmit(id uint64, j *cluster.Job) {
	switch {
	case j.EndUncertain():
		h.context.Refuse(id, reasonEndUncertain)
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
	h.context.Refuse(request.ID, reasonMachineTypesUnknown)
}

// accept creates a new job and answers the user once the job is durable.
func (h *requestHandler) accept(request message.UserRequest, archived archive.LookupResults) {
	h.context.Stats.JobsSubmitted++
	j := h.jobs.NewJob(storage.NewJobRecord(request.Submission, h.context.Now.WallMs))
	j.Prerequisites.IDs, j.Prerequisites.ArchivedCancelled = h.dropArchivedPrerequisites(request.Submission.Prerequisites, archived)
	h.jobs.SplitPrerequisites(j)
	cancelled := h.jobs.LinkPrerequisites(j)
	switch {
	case cancelled:
		jobs.MarkCancelled(j, h.context.Monotonic(), false)
	case !j.Blocked():
		h.state.ObserveArrival(j)
		h.state.NeedsScheduling = true
	}
	h.awaitingCommit[request.ID] = true
	h.jobs.RecordPrerequisites(j, func() {
		h.store.MarkDirty(h.context.Monotonic(), j.Blocks[0], storage.OnCommit(func() {
			h.submissionCommitted(request.ID, j, cancelled)
		}))
	})
}

// submissionCommitted marks a new job as durable, along with its cancellation if one of its
// prerequisites is cancelled.
func (h *requestHandler) submissionCommitted(id uint64, j *cluster.Job, cancelled bool) {
	j.Lifecycle.SubmissionCommitted = true
	if j.BlockCount() > 1 || j.Prerequisites.Separate { // see Job.TasksAwaitingRecord
		h.state.NeedsScheduling = true
	}
	if cancelled {
		j.Lifecycle.CancellationCommitted = true
	}
	h.replyJob(id, http.StatusCreated, j, false)
	h.jobs.EndIfFinished(j, nil)
}

// rejectionReason returns why a job can never run, or an empty string if it can.
func (h *requestHandler) rejectionReason(s *protocol.Submission) string {
	team := h.state.Teams[s.Team]
	if team == nil {
		return "unknown team"
	}
	request := resources.Amount{CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB}
	if !h.fitsAnyType(s, request) {
		return reasonFitsNoType
	}
	atOnce := request // resources that must be available at the same time
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

// minRecordSize returns the minimum size of a job's record, without its prerequisites.
func (h *requestHandler) minRecordSize(s *protocol.Submission) int {
	record := storage.NewJobRecord(s, h.context.Now.WallMs)
	j := &cluster.Job{JobRecord: record, BlockTasks: h.leader.controller.timing.Jobs.BlockTasks, RecordBlockTasks: true}
	return j.MinRecordSize()
}

// checkPrerequisites checks the prerequisites of a submission. It returns status 200 if they are
// valid, and otherwise the response status and the reason. It must be called only on a leader that
// holds its lease and has loaded every page, because an unknown job counts as never accepted.
func (h *requestHandler) checkPrerequisites(s *protocol.Submission, archived archive.LookupResults) (status int, reason string) {
	for _, id := range s.Prerequisites {
		if id == s.ID {
			return http.StatusUnprocessableEntity, "a job can't need itself"
		}
		if h.findEndedJob(id, archived) != nil {
			continue
		}
		prerequisite := h.state.Jobs[id]
		switch {
		case prerequisite == nil:
			return http.StatusUnprocessableEntity, "needs a job that was never accepted"
		case prerequisite.Kind == protocol.Service:
			return http.StatusUnprocessableEntity, "needs a service, which is never done"
		case !prerequisite.Lifecycle.SubmissionCommitted:
			// The acceptance of the prerequisite may never become durable.
			return http.StatusServiceUnavailable, "needs a job that isn't accepted yet"
		}
	}
	return http.StatusOK, ""
}

// dropArchivedPrerequisites drops the prerequisites whose ends are archived or about to be archived,
// so that a new leader does not have to read the archive for them. A completed prerequisite stays
// completed, and a cancelled one is recorded as the cancellation of the job itself.
func (h *requestHandler) dropArchivedPrerequisites(ids []string, archived archive.LookupResults) (rest []string, cancelled bool) {
	for _, id := range ids {
		end := h.findEndedJob(id, archived)
		if end == nil || h.state.EndedJobs[id] == end && !h.leader.archive.IsMoving(id) {
			rest = append(rest, id)
			continue
		}
		cancelled = cancelled || end.Cancelled
	}
	return rest, cancelled
}
