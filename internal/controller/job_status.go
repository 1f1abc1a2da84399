package controller

import (
	"maps"
	"net/http"
	"slices"

	"oakpick/internal/cluster"
	"oakpick/internal/jobs"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// JobStatus is the status of one job as reported to operators by the leader.
type JobStatus struct {
	ID      string `json:"id"`
	Class   string `json:"class"`
	Team    string `json:"team"`
	Status  string `json:"status"`
	Tasks   int    `json:"tasks"`
	Done    int    `json:"done"`
	Placed  int    `json:"placed"`
	Waiting int    `json:"waiting"`
	// BestEffort is set if the job's team has no guarantee while other teams have one.
	BestEffort bool           `json:"guest"`
	Failures   *FailureStatus `json:"failures,omitempty"`
}

// FailureStatus summarizes the failures of a job.
type FailureStatus struct {
	Tasks          int      `json:"tasks"`  // failed tasks since the last completed one
	Rounds         int      `json:"rounds"` // consecutive failed attempts
	Machines       []string `json:"machines"`
	NextAttemptInS float64  `json:"next_try_in_s"`
	Fault          string   `json:"fault"` // "job" or "machine"
	Reason         string   `json:"why"`
}

// replyJobStatus answers an operator's request for the status of a job.
func (l *leader) replyJobStatus(request message.AdminRequest) {
	j := l.state.Jobs[request.Job]
	if j == nil {
		reason := "no unfinished job of that name"
		if l.state.EndedJobs[request.Job] != nil {
			reason = "it is over"
		}
		l.controller.replyJSON(request.ID, http.StatusNotFound, adminError{reason})
		return
	}
	s := JobStatus{
		ID: j.ID, Class: j.Class, Team: j.Team.Name, Status: protocol.StatusQueued, Tasks: j.Tasks, Done: j.DoneTasks,
		Placed: len(j.ActiveTasks), Waiting: j.IdleTasks(), BestEffort: j.BestEffort(), Failures: l.failuresStatus(j),
	}
	for _, t := range j.ActiveTasks {
		if t.Reported && t.SeenRunning() {
			s.Status = protocol.StatusRunning
		}
	}
	if j.Cancelled {
		s.Status = protocol.StatusCancelled
	}
	l.controller.replyJSON(request.ID, http.StatusOK, s)
}

// failuresStatus summarizes a job's failures. It returns nil if there are none.
func (l *leader) failuresStatus(j *cluster.Job) *FailureStatus {
	failures := &j.Failures
	if failures.Tasks == 0 {
		return nil
	}
	s := &FailureStatus{
		Tasks: failures.Tasks, Rounds: failures.Rounds, Machines: slices.Sorted(maps.Keys(failures.Machines)),
		NextAttemptInS: max(0, failures.NextAttemptAt-l.controller.context.Monotonic()).Seconds(),
		Fault:          "machine", Reason: "it has failed on fewer machines than it takes to call it the job's fault",
	}
	switch {
	case failures.JobAtFault && len(failures.Machines) >= jobs.MinFailedMachinesForJobFault:
		s.Fault, s.Reason = "job", "it has failed on several machines, and no task has completed or run for long since"
	case failures.JobAtFault:
		s.Fault, s.Reason = "job", "before this leader's term it was started again and again, and no task is done"
	}
	return s
}
