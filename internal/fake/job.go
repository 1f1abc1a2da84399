package fake

import (
	"time"

	"oakpick/internal/protocol"
)

// Job is a job as its user and its tasks know it.
type Job struct {
	// Submission is what its user hands in, RunTime how long each task runs.
	Submission protocol.Submission
	RunTime    time.Duration
	// AlwaysFails makes every task exit with a failure as soon as it has its image.
	AlwaysFails bool
	// CheckpointedRunTime is how much of its run time each task has saved in checkpoints.
	CheckpointedRunTime map[int]time.Duration
	// DoneTasks has the tasks that ran to their end.
	DoneTasks map[int]bool
	// Started tells whether a task was ever on a machine.
	Started bool

	// SubmittedAt is when it was first handed in, AcceptedAt when its user was told.
	SubmittedAt, AcceptedAt time.Duration
	// Accepted tells whether its user was told that it is accepted.
	Accepted bool
	// RejectedWith is the status with which its submission was refused for good; 0: it wasn't.
	RejectedWith int
	// CancelRequested tells whether its user asked to cancel it.
	CancelRequested bool
	// Cancelled tells whether its user was told that it is cancelled, CancelledAt when.
	Cancelled   bool
	CancelledAt time.Duration
	// Status is what its user was told last.
	Status string
	// AnsweredAt is when a question about it was last answered with 200; 0: never.
	AnsweredAt time.Duration

	statusReportedAt   time.Duration     // when Status was told
	attemptsOnMachines map[*attempt]bool // its tasks that are on machines
	ancestors          map[*Job]bool     // see World.ancestors
}

// knownToUser tells whether its user was ever told that the job exists.
func (j *Job) knownToUser() bool { return j.Accepted || j.AnsweredAt > 0 }

// Submit hands a job in, and again until it is accepted, as users do.
func (w *World) Submit(s protocol.Submission, run time.Duration) *Job {
	j := &Job{Submission: s, RunTime: run, CheckpointedRunTime: map[int]time.Duration{}, DoneTasks: map[int]bool{}, SubmittedAt: w.Now}
	w.hasPipelines = w.hasPipelines || len(s.Prerequisites) > 0
	w.Jobs[s.ID] = j
	w.jobNames = append(w.jobNames, s.ID)
	w.submit(j)
	return j
}

// AddEndedJob notes a job that ended before the world began, so that others may name it.
// Nobody asks about it.
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
