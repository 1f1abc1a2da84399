package fake

import (
	"fmt"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// StatusOf asks a leader about a job and gives what it calls it; "": no answer, or the
// job is unknown.
func (w *World) StatusOf(id string) string {
	status := ""
	w.RunUntil(5*time.Second, func() bool {
		if l := w.Leader(); l != nil {
			l.Request(message.UserRequest{Kind: message.Poll, Job: id}, func(r message.Reply) {
				var a protocol.JobResponse
				if r.Status == 200 && protocol.Decode(r.Body, &a) == nil {
					status = a.Status
				}
			})
		}
		return status != ""
	})
	return status
}

// Job is a job as its user and its tasks know it.
type Job struct {
	Submission  protocol.Submission
	RunTime     time.Duration
	AlwaysFails bool
	Saved       map[int]time.Duration
	DoneTasks   map[int]bool

	// SubmittedAt is when it was first handed in, AcceptedAt when its user was told.
	SubmittedAt, AcceptedAt time.Duration

	Started            bool // a task was on a machine
	RejectedWith       int  // its submission was refused for good, with this status
	Accepted           bool
	CancelRequested    bool // its user asked to cancel
	CancelledAt        time.Duration
	Cancelled          bool // and was told that it is
	Status             string
	statusReportedAt   time.Duration
	attemptsOnMachines map[*attempt]bool // its tasks that are on machines
	ancestors          map[*Job]bool     // see World.ancestors
	// AnsweredAt is when a question about it was last answered with 200; 0: never.
	AnsweredAt time.Duration
}

// Submit hands a job in, and again until it is accepted, as users do.
func (w *World) Submit(s protocol.Submission, run time.Duration) *Job {
	j := &Job{Submission: s, RunTime: run, Saved: map[int]time.Duration{}, DoneTasks: map[int]bool{}, SubmittedAt: w.Now}
	w.pipelines = w.pipelines || len(s.Prerequisites) > 0
	w.Jobs[s.ID] = j
	w.jobNames = append(w.jobNames, s.ID)
	w.submit(j)
	return j
}

func (w *World) submit(j *Job) {
	s, asked := j.Submission, w.Now
	w.request(message.UserRequest{Kind: message.Submit, Job: s.ID, Submission: &s}, func(r message.Reply, ok bool) {
		switch {
		case ok && (r.Status == 200 || r.Status == 201):
			if !j.Accepted {
				j.Accepted, j.AcceptedAt = true, w.Now
			}
			w.checkStatus(j, r, asked)
		case ok && (r.Status == 400 || r.Status == 422):
			if j.Accepted {
				w.violation("forgotten", "%s: a repeat got %d", s.ID, r.Status)
			}
			j.RejectedWith = r.Status
		default:
			w.After(max(time.Second, time.Duration(r.RetryAfterS)*time.Second), func() { w.submit(j) })
		}
	})
}

// Resubmit hands an accepted job in once more.
func (w *World) Resubmit(j *Job) { w.submit(j) }

// request sends a user's request to some node.
func (w *World) request(c message.UserRequest, done func(message.Reply, bool)) {
	w.requestAt(w.pickController(), c, done)
}

func (w *World) requestAt(n *Controller, c message.UserRequest, done func(message.Reply, bool)) {
	over := false
	w.After(5*time.Second, func() {
		if !over {
			over = true
			done(message.Reply{}, false)
		}
	})
	n.receive(c, func(r message.Reply) {
		if !over {
			over = true
			done(r, true)
		}
	})
}

// PollAll asks about every job, and about one that nobody has submitted.
func (w *World) PollAll() {
	for _, id := range w.jobNames {
		w.Poll(w.Jobs[id])
	}
	w.PollUnknown()
}

// PollEnded asks about a job that ended before the world began.
func (w *World) PollEnded(id string) {
	w.request(message.UserRequest{Kind: message.Poll, Job: id}, func(r message.Reply, ok bool) {
		var a protocol.JobResponse
		if ok && (r.Status == 404 || r.Status == 200 && (protocol.Decode(r.Body, &a) != nil || a.Status != protocol.StatusDone)) {
			w.violation("forgotten", "%s, which is done: %d %s", id, r.Status, a.Status)
		}
	})
}

// PollUnknown asks about a job that nobody has submitted.
func (w *World) PollUnknown() {
	w.request(message.UserRequest{Kind: message.Poll, Job: "wk-999999"}, func(r message.Reply, ok bool) {
		if ok && r.Status == 200 {
			w.violation("invented", "a job that nobody submitted")
		}
	})
}

func (w *World) poll(n *Controller, j *Job) {
	was, asked := j.Accepted || j.AnsweredAt > 0, w.Now
	w.requestAt(n, message.UserRequest{Kind: message.Poll, Job: j.Submission.ID}, func(r message.Reply, ok bool) {
		if ok && r.Status == 404 && was {
			w.violation("forgotten", "%s", j.Submission.ID)
		}
		if ok && r.Status == 200 {
			w.checkStatus(j, r, asked)
		}
	})
}

// QueryEverywhere asks about a job at every node at once, and hands it in again there.
func (w *World) QueryEverywhere(j *Job) {
	for _, n := range w.Controllers {
		w.poll(n, j)
		s, asked, was := j.Submission, w.Now, j.Accepted || j.AnsweredAt > 0
		w.requestAt(n, message.UserRequest{Kind: message.Submit, Job: s.ID, Submission: &s}, func(r message.Reply, ok bool) {
			switch {
			case ok && (r.Status == 400 || r.Status == 422):
				w.violation("forgotten", "%s: a repeat got %d", s.ID, r.Status)
			case ok && r.Status == 201 && was:
				w.violation("forgotten", "%s: a repeat was accepted as new", s.ID)
			case ok && (r.Status == 200 || r.Status == 201):
				j.Accepted = true
				w.checkStatus(j, r, asked)
			}
		})
	}
}

// InvalidRequests sends what users send at times: jobs that can't run, of a team that
// nobody knows, too large for any machine or for their team's limit. Each is
// refused for good, or for now, and never accepted.
func (w *World) InvalidRequests() {
	for i, change := range []func(*protocol.Submission){
		func(s *protocol.Submission) { s.Team = "nobody" },
		func(s *protocol.Submission) { s.CPUs = 1e6 },
		func(s *protocol.Submission) { s.Types = []string{"nothing"} },
		func(s *protocol.Submission) { s.Team, s.Kind, s.Tasks = "red", protocol.Gang, 1000 },
	} {
		s := protocol.Submission{ID: fmt.Sprintf("wk-9%05d", i), Class: "odd", Team: "blue", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img"}
		change(&s)
		w.request(message.UserRequest{Kind: message.Submit, Job: s.ID, Submission: &s}, func(r message.Reply, ok bool) {
			if ok && r.Status != 422 && r.Status != 503 {
				w.violation("accepted", "%s, which can't run: %d", s.ID, r.Status)
			}
		})
	}
}

// CancelEverywhere asks every node at once to cancel a job, and repeats that as
// users do.
func (w *World) CancelEverywhere(j *Job) {
	for _, n := range w.Controllers {
		w.cancelAt(n, j)
	}
}

// CancelJob asks to cancel a job, again and again until that is answered.
func (w *World) CancelJob(j *Job) {
	w.cancelAt(w.pickController(), j)
}

func (w *World) cancelAt(n *Controller, j *Job) {
	j.CancelRequested = true
	asked := w.Now
	w.requestAt(n, message.UserRequest{Kind: message.Cancel, Job: j.Submission.ID}, func(r message.Reply, ok bool) {
		if ok && r.Status == 200 {
			w.checkStatus(j, r, asked)
			return
		}
		if ok && r.Status == 404 && j.Accepted {
			w.violation("forgotten", "%s: cancelling it got 404", j.Submission.ID)
		}
		w.After(time.Second, func() { w.CancelJob(j) })
	})
}
