package fake

import (
	"fmt"
	"net/http"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

const (
	userTimeout    = 5 * time.Second // of a user's request
	userRetryDelay = time.Second     // at least
)

// submit hands a job in, and again until that is answered for good.
func (w *World) submit(j *Job) {
	s, askedAt := j.Submission, w.Now
	w.sendRequest(message.UserRequest{Kind: message.Submit, Job: s.ID, Submission: &s}, func(r message.Reply, answered bool) {
		switch {
		case answered && accepts(r.Status):
			if !j.Accepted {
				j.Accepted, j.AcceptedAt = true, w.Now
			}
			w.checkStatus(j, r, askedAt)
		case answered && rejects(r.Status):
			if j.Accepted {
				w.RecordViolation(ruleForgotten, "%s: a repeat got %d", s.ID, r.Status)
			}
			j.RejectedWith = r.Status
		default:
			retryAfter := time.Duration(r.RetryAfterS) * time.Second
			w.After(max(userRetryDelay, retryAfter), func() { w.submit(j) })
		}
	})
}

// accepts tells whether a status says that a submission is accepted, now or earlier.
func accepts(status int) bool { return status == http.StatusOK || status == http.StatusCreated }

// rejects tells whether a status says that a submission is refused for good.
func rejects(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusUnprocessableEntity
}

// Resubmit hands an accepted job in once more.
func (w *World) Resubmit(j *Job) { w.submit(j) }

// pickController chooses a controller for a user's request, as the load balancer does.
func (w *World) pickController() *Controller {
	for range w.Controllers {
		w.seq++
		if c := w.Controllers[w.seq%len(w.Controllers)]; !c.Unhealthy {
			return c
		}
	}
	return w.Controllers[w.seq%len(w.Controllers)]
}

// sendRequest sends a user's sendRequest to some controller.
func (w *World) sendRequest(request message.UserRequest, done func(r message.Reply, answered bool)) {
	w.sendRequestTo(w.pickController(), request, done)
}

// sendRequestTo sends a user's request to a controller. After the timeout it counts as not
// answered.
func (w *World) sendRequestTo(c *Controller, request message.UserRequest, done func(r message.Reply, answered bool)) {
	finished := false
	finish := func(r message.Reply, answered bool) {
		if !finished {
			finished = true
			done(r, answered)
		}
	}
	w.After(userTimeout, func() { finish(message.Reply{}, false) })
	c.Request(request, func(r message.Reply) { finish(r, true) })
}

// StatusOf asks a leader about a job and gives its status; "": no answer, or the job is
// unknown.
func (w *World) StatusOf(id string) string {
	status := ""
	w.RunUntil(userTimeout, func() bool {
		if leader := w.Leader(); leader != nil {
			leader.Request(message.UserRequest{Kind: message.Poll, Job: id}, func(r message.Reply) {
				var response protocol.JobResponse
				if r.Status == http.StatusOK && protocol.Decode(r.Body, &response) == nil {
					status = response.Status
				}
			})
		}
		return status != ""
	})
	return status
}

// Poll asks some controller about a job.
func (w *World) Poll(j *Job) { w.poll(w.pickController(), j) }

// PollAll asks about every job, and about one that nobody has submitted.
func (w *World) PollAll() {
	for _, id := range w.jobNames {
		w.Poll(w.Jobs[id])
	}
	w.PollUnknown()
}

// PollEnded asks about a job that ended before the world began.
func (w *World) PollEnded(id string) {
	w.sendRequest(message.UserRequest{Kind: message.Poll, Job: id}, func(r message.Reply, answered bool) {
		var response protocol.JobResponse
		notDone := r.Status == http.StatusOK &&
			(protocol.Decode(r.Body, &response) != nil || response.Status != protocol.StatusDone)
		if answered && (r.Status == http.StatusNotFound || notDone) {
			w.RecordViolation(ruleForgotten, "%s, which is done: %d %s", id, r.Status, response.Status)
		}
	})
}

// PollUnknown asks about a job that nobody has submitted.
func (w *World) PollUnknown() {
	w.sendRequest(message.UserRequest{Kind: message.Poll, Job: "wk-999999"}, func(r message.Reply, answered bool) {
		if answered && r.Status == http.StatusOK {
			w.RecordViolation(ruleInvented, "a job that nobody submitted")
		}
	})
}

func (w *World) poll(c *Controller, j *Job) {
	known, askedAt := j.knownToUser(), w.Now
	w.sendRequestTo(c, message.UserRequest{Kind: message.Poll, Job: j.Submission.ID}, func(r message.Reply, answered bool) {
		if answered && r.Status == http.StatusNotFound && known {
			w.RecordViolation(ruleForgotten, "%s", j.Submission.ID)
		}
		if answered && r.Status == http.StatusOK {
			w.checkStatus(j, r, askedAt)
		}
	})
}

// QueryEverywhere asks about a job at every controller at once, and hands it in again there.
func (w *World) QueryEverywhere(j *Job) {
	for _, c := range w.Controllers {
		w.poll(c, j)
		w.resubmitAt(c, j)
	}
}

// resubmitAt hands a job in at a controller, which the controller has to recognize if its
// user knows of it.
func (w *World) resubmitAt(c *Controller, j *Job) {
	s, askedAt, known := j.Submission, w.Now, j.knownToUser()
	w.sendRequestTo(c, message.UserRequest{Kind: message.Submit, Job: s.ID, Submission: &s}, func(r message.Reply, answered bool) {
		switch {
		case answered && rejects(r.Status):
			w.RecordViolation(ruleForgotten, "%s: a repeat got %d", s.ID, r.Status)
		case answered && r.Status == http.StatusCreated && known:
			w.RecordViolation(ruleForgotten, "%s: a repeat was accepted as new", s.ID)
		case answered && accepts(r.Status):
			j.Accepted = true
			w.checkStatus(j, r, askedAt)
		}
	})
}

// SubmitInvalidJobs sends what users send at times: jobs that can't run, of a team that
// nobody knows, too large for any machine or for their team's limit. Each is
// refused for good, or for now, and never accepted.
func (w *World) SubmitInvalidJobs() {
	for i, change := range []func(*protocol.Submission){
		func(s *protocol.Submission) { s.Team = "nobody" },
		func(s *protocol.Submission) { s.CPUs = 1e6 },
		func(s *protocol.Submission) { s.Types = []string{"nothing"} },
		func(s *protocol.Submission) { s.Team, s.Kind, s.Tasks = "red", protocol.Gang, 1000 },
	} {
		s := protocol.Submission{
			ID: fmt.Sprintf("wk-9%05d", i), Class: "invalid", Team: "blue", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img",
		}
		change(&s)
		w.sendRequest(message.UserRequest{Kind: message.Submit, Job: s.ID, Submission: &s}, func(r message.Reply, answered bool) {
			if answered && r.Status != http.StatusUnprocessableEntity && r.Status != http.StatusServiceUnavailable {
				w.RecordViolation(ruleAccepted, "%s, which can't run: %d", s.ID, r.Status)
			}
		})
	}
}

// CancelEverywhere asks every controller at once to cancel a job, and repeats that as
// users do.
func (w *World) CancelEverywhere(j *Job) {
	for _, c := range w.Controllers {
		w.cancelAt(c, j)
	}
}

// CancelJob asks to cancel a job, again and again until that is answered.
func (w *World) CancelJob(j *Job) {
	w.cancelAt(w.pickController(), j)
}

func (w *World) cancelAt(c *Controller, j *Job) {
	j.CancelRequested = true
	askedAt := w.Now
	w.sendRequestTo(c, message.UserRequest{Kind: message.Cancel, Job: j.Submission.ID}, func(r message.Reply, answered bool) {
		if answered && r.Status == http.StatusOK {
			w.checkStatus(j, r, askedAt)
			return
		}
		if answered && r.Status == http.StatusNotFound && j.Accepted {
			w.RecordViolation(ruleForgotten, "%s: cancelling it got 404", j.Submission.ID)
		}
		w.After(userRetryDelay, func() { w.CancelJob(j) })
	})
}
