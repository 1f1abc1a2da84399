package controller

import (
	"maps"
	"slices"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// JobStatus is what a leader says to operators of one job.
type JobStatus struct {
	ID      string `json:"id"`
	Class   string `json:"class"`
	Team    string `json:"team"`
	Status  string `json:"status"`
	Tasks   int    `json:"tasks"`
	Done    int    `json:"done"`
	Placed  int    `json:"placed"`
	Waiting int    `json:"waiting"`
	// Guest tells that the team has no guarantee while others have one.
	Guest    bool            `json:"guest"`
	Failures *FailuresStatus `json:"failures,omitempty"`
}

// FailuresStatus is what is known of a job's failures.
type FailuresStatus struct {
	Tasks      int      `json:"tasks"`  // that have failed since one completed
	Rounds     int      `json:"rounds"` // tries in a row
	Machines   []string `json:"machines"`
	NextTryInS float64  `json:"next_try_in_s"`
	Fault      string   `json:"fault"` // "job" or "machine"
	Why        string   `json:"why"`
}

// jobStatus answers an operator's question about a job.
func (e *engine) jobStatus(c message.AdminRequest) {
	j := e.jobs[c.Job]
	if j == nil {
		why := "no unfinished job of that name"
		if e.finals[c.Job] != nil {
			why = "it is over"
		}
		e.reply(c.ID, 404, asJSON(map[string]string{"error": why}))
		return
	}
	s := JobStatus{
		ID: j.ID, Class: j.Class, Team: j.Team, Status: protocol.StatusQueued, Tasks: j.Tasks, Done: j.done,
		Placed: len(j.tasks), Waiting: j.idle(), Guest: j.guest(), Failures: e.failuresStatus(j),
	}
	for _, t := range j.tasks {
		if t.seen && t.ranSince >= 0 {
			s.Status = protocol.StatusRunning
		}
	}
	if j.Cancelled {
		s.Status = protocol.StatusCancelled
	}
	e.reply(c.ID, 200, asJSON(s))
}

// failuresStatus sums a job's failures up; nil: there are none.
func (e *engine) failuresStatus(j *job) *FailuresStatus {
	f := &j.failures
	if f.tasks == 0 {
		return nil
	}
	s := &FailuresStatus{
		Tasks: f.tasks, Rounds: f.rounds, Machines: slices.Sorted(maps.Keys(f.on)),
		NextTryInS: max(0, f.retryAt-e.n.now.Monotonic).Seconds(),
		Fault:      "machine", Why: "it has failed on fewer machines than it takes to call it the job's fault",
	}
	switch {
	case f.jobsFault && len(f.on) >= machinesAgainstJob:
		s.Fault, s.Why = "job", "it has failed on several machines, and no task has completed or run for long since"
	case f.jobsFault:
		s.Fault, s.Why = "job", "before this leader's term it was started again and again, and no task is done"
	}
	return s
}

// failingJobs lists the jobs that fail wherever they go.
func (e *engine) failingJobs() []string {
	ids := []string{}
	for _, j := range e.order {
		if j.failures.jobsFault && !j.Cancelled {
			ids = append(ids, j.ID)
		}
	}
	return ids
}
