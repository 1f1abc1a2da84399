package fake

import (
	"time"

	"oakpick/internal/protocol"
)

// Job is a job: its submission, the progress of its tasks, and the replies that its user got.
type Job struct {
	// Submission is the user's submission, RunTime the run time of each task.
	Submission protocol.Submission
	RunTime    time.Duration
	// AlwaysFails makes every task exit with a failure as soon as its image is fetched.
	AlwaysFails bool
	// CheckpointedRunTime is the run time that checkpoints have saved, by task.
	CheckpointedRunTime map[int]time.Duration
	// DoneTasks is the set of tasks that ran to completion.
	DoneTasks map[int]bool
	// Started reports whether any task was ever on a machine.
	Started bool

	// SubmittedAt is when the user first submitted the job, AcceptedAt when the user was told that
	// it is accepted.
	SubmittedAt, AcceptedAt time.Duration
	// Accepted reports whether the user was told that the job is accepted.
	Accepted bool
	// RejectedWith is the HTTP status with which the submission was permanently rejected, or 0.
	RejectedWith int
	// CancelRequested reports whether the user asked to cancel the job.
	CancelRequested bool
	// Cancelled reports whether the user was told that the job is cancelled, at CancelledAt.
	Cancelled   bool
	CancelledAt time.Duration
	// Status is the last status that the user was told.
	Status string
	// AnsweredAt is when a user last got a response with the job's status, or 0.
	AnsweredAt time.Duration

	statusReportedAt   time.Duration     // when the user was told Status
	attemptsOnMachines map[*attempt]bool // attempts that are on machines
	ancestors          map[*Job]bool     // cache, see World.ancestors
}

// knownToUser reports whether the user was ever told that the job exists.
func (j *Job) knownToUser() bool { return j.Accepted || j.AnsweredAt > 0 }

// Submit submits a job as a user does: it repeats the request until the job is accepted or rejected.
func (w *World) Submit(s protocol.Submission, runTime time.Duration) *Job {
	j := &Job{Submission: s, RunTime: runTime, CheckpointedRunTime: map[int]time.Duration{}, DoneTasks: map[int]bool{}, SubmittedAt: w.Now}
	w.hasPipelines = w.hasPipelines || len(s.Prerequisites) > 0
	w.Jobs[s.ID] = j
	w.jobIDs = append(w.jobIDs, s.ID)
	w.submit(j)
	return j
}

// AddEndedJob adds a job that ended before the simulation started, so that other jobs can name it as
// a prerequisite. The simulated user does not query it.
func (w *World) AddEndedJob(id string, cancelled bool) {
	if w.Jobs[id] != nil {
		return
	}
	status := protocol.StatusDone
	if cancelled {
		status = protocol.StatusCancelled
	}
	w.Jobs[id] = &Job{
		Submission: protocol.Submission{ID: id}, Accepted: true, Status: status, CancelRequested: cancelled, Cancelled: cancelled,
	}
}
