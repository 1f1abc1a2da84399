package fake

import (
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// checkStatus checks the status in a response to a user against the state of the job and the earlier
// responses, and records it.
func (w *World) checkStatus(j *Job, reply message.Reply, askedAt time.Duration) {
	var response protocol.JobResponse
	if err := protocol.Decode(reply.Body, &response); err != nil || response.ID != j.Submission.ID {
		w.RecordViolation(ruleAnswer, "%s: response cannot be decoded or is for another job: %v", j.Submission.ID, err)
		return
	}
	j.AnsweredAt = w.Now
	status := response.Status
	w.checkPipeline(j, status, askedAt)
	if askedAt < j.statusReportedAt && !isFinal(status) {
		return // the request was sent before the last response arrived, so its response may be older
	}
	w.checkProgress(j, status)
	if j.Status != status {
		w.logf("user is told %s is %s", response.ID, status)
	}
	j.Status, j.statusReportedAt = status, w.Now
	if status == protocol.StatusCancelled && !j.Cancelled {
		j.Cancelled, j.CancelledAt = true, w.Now
		w.cancelled = append(w.cancelled, j)
	}
}

// checkProgress checks a status against the job's tasks and the previous status.
func (w *World) checkProgress(j *Job, status string) {
	id := j.Submission.ID
	if status == protocol.StatusDone && len(j.DoneTasks) < j.Submission.Tasks {
		w.RecordViolation(ruleNotDone, "%s: reported done with %d of %d tasks done", id, len(j.DoneTasks), j.Submission.Tasks)
	}
	if status == protocol.StatusCancelled && !j.CancelRequested && !w.ancestorCancelRequested(j) {
		w.RecordViolation(ruleWentBack, "%s: reported cancelled without a request to cancel it", id)
	}
	if isFinal(j.Status) && status != j.Status {
		w.RecordViolation(ruleWentBack, "%s: %s after %s", id, status, j.Status)
	}
}

// isFinal reports whether a job with this status never gets another one.
func isFinal(status string) bool {
	return status == protocol.StatusDone || status == protocol.StatusCancelled
}
