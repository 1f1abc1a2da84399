package fake

import (
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// checkStatus checks what a user is answered against what was so and what was answered
// before.
func (w *World) checkStatus(j *Job, reply message.Reply, askedAt time.Duration) {
	var response protocol.JobResponse
	if err := protocol.Decode(reply.Body, &response); err != nil || response.ID != j.Submission.ID {
		w.RecordViolation(ruleAnswer, "%s: %v", j.Submission.ID, err)
		return
	}
	j.AnsweredAt = w.Now
	status := response.Status
	w.checkPipeline(j, status, askedAt)
	if askedAt < j.statusReportedAt && !isFinal(status) {
		return // asked before the last answer was heard: the two may cross
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

// checkProgress checks a status against the job's tasks and against the last status.
func (w *World) checkProgress(j *Job, status string) {
	id := j.Submission.ID
	if status == protocol.StatusDone && len(j.DoneTasks) < j.Submission.Tasks {
		w.RecordViolation(ruleNotDone, "%s: %d of %d", id, len(j.DoneTasks), j.Submission.Tasks)
	}
	if status == protocol.StatusCancelled && !j.CancelRequested && !w.ancestorCancelRequested(j) {
		w.RecordViolation(ruleWentBack, "%s: cancelled, and nobody asked", id)
	}
	if isFinal(j.Status) && status != j.Status {
		w.RecordViolation(ruleWentBack, "%s: %s after %s", id, status, j.Status)
	}
}

// isFinal tells whether a job never has another status after this one.
func isFinal(status string) bool {
	return status == protocol.StatusDone || status == protocol.StatusCancelled
}
