package fake

import (
	"fmt"
	"net/http"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

const (
	userTimeout    = 5 * time.Second // for the reply to a user's request
	userRetryDelay = time.Second     // minimum delay; a reply may ask for a longer one
)

// submit submits a job and retries until it is accepted or permanently rejected.
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
				w.RecordViolation(ruleForgotten, "%s: repeated submission got status %d", s.ID, r.Status)
			}
			j.RejectedWith = r.Status
		default:
			retryAfter := time.Duration(r.RetryAfterS) * time.Second
			w.After(max(userRetryDelay, retryAfter), func() { w.submit(j) })
		}
	})
}

// accepts reports whether a status means that the submission is accepted, or was accepted earlier.
func accepts(status int) bool { return status == http.StatusOK || status == http.StatusCreated }

// rejects reports whether a status means that the submission is permanently rejected.
func rejects(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusUnprocessableEntity
}

// Resubmit submits an accepted job again.
func (w *World) Resubmit(j *Job) { w.submit(j) }

// pickController chooses a controller for a user's request as the load balancer does: in turn, and
// a healthy one if there is any.
func (w *World) pickController() *Controller {
	for range w.Controllers {
		w.seq++
		if c := w.Controllers[w.seq%len(w.Controllers)]; !c.Unhealthy {
			return c
		}
	}
	return w.Controllers[w.seq%len(w.Controllers)]
}

// sendRequest sends a user's request through the load balancer.
func (w *World) sendRequest(request message.UserRequest, done func(r message.Reply, answered bool)) {
	w.sendRequestTo(w.pickController(), request, done)
}

// sendRequestTo sends a user's request to a controller. If there is no reply before the timeout, the
// request counts as unanswered.
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

// StatusOf queries the leader for a job's status. It returns "" if the job is unknown or there is no
// answer before the timeout.
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

// Poll queries a job's status through the load balancer.
func (w *World) Poll(j *Job) { w.poll(w.pickController(), j) }

// PollAll queries every submitted job, and a job that was never submitted.
func (w *World) PollAll() {
	for _, id := range w.jobIDs {
		w.Poll(w.Jobs[id])
	}
	w.PollUnknown()
}

// PollDone queries a job that was done before the simulation started, and checks that it is still
// known as done.
func (w *World) PollDone(id string) {
	w.sendRequest(message.UserRequest{Kind: message.Poll, Job: id}, func(r message.Reply, answered bool) {
		var response protocol.JobResponse
		notDone := r.Status == http.StatusOK &&
			(protocol.Decode(r.Body, &response) != nil || response.Status != protocol.StatusDone)
		if answered && (r.Status == http.StatusNotFound || notDone) {
			w.RecordViolation(ruleForgotten, "%s is done, but a query for it got status %d %s", id, r.Status, response.Status)
		}
	})
}

// PollUnknown queries a job that was never submitted, and checks that it is unknown.
func (w *World) PollUnknown() {
	w.sendRequest(message.UserRequest{Kind: message.Poll, Job: "wk-999999"}, func(r message.Reply, answered bool) {
		if answered && r.Status == http.StatusOK {
			w.RecordViolation(ruleInvented, "query for a job that was never submitted got status 200")
		}
	})
}

func (w *World) poll(c *Controller, j *Job) {
	known, askedAt := j.knownToUser(), w.Now
	w.sendRequestTo(c, message.UserRequest{Kind: message.Poll, Job: j.Submission.ID}, func(r message.Reply, answered bool) {
		if answered && r.Status == http.StatusNotFound && known {
			w.RecordViolation(ruleForgotten, "%s: query got status 404", j.Submission.ID)
		}
		if answered && r.Status == http.StatusOK {
			w.checkStatus(j, r, askedAt)
		}
	})
}

// PollAndResubmitEverywhere queries a job at every controller at once, and resubmits it to each.
func (w *World) PollAndResubmitEverywhere(j *Job) {
	for _, c := range w.Controllers {
		w.poll(c, j)
		w.resubmitAt(c, j)
	}
}

// resubmitAt resubmits a job to a controller. The controller must not reject it, and must not accept
// it as new if the user was told that it exists.
func (w *World) resubmitAt(c *Controller, j *Job) {
	s, askedAt, known := j.Submission, w.Now, j.knownToUser()
	w.sendRequestTo(c, message.UserRequest{Kind: message.Submit, Job: s.ID, Submission: &s}, func(r message.Reply, answered bool) {
		switch {
		case answered && rejects(r.Status):
			w.RecordViolation(ruleForgotten, "%s: repeated submission got status %d", s.ID, r.Status)
		case answered && r.Status == http.StatusCreated && known:
			w.RecordViolation(ruleForgotten, "%s: repeated submission was accepted as new", s.ID)
		case answered && accepts(r.Status):
			j.Accepted = true
			w.checkStatus(j, r, askedAt)
		}
	})
}

// SubmitInvalidJobs submits jobs that cannot run: with an unknown team, too large for any machine,
// with an unknown machine type, and too large for the team's limit. Each must be rejected, either
// permanently (422) or for the time being (503).
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
				w.RecordViolation(ruleAccepted, "%s: invalid submission got status %d", s.ID, r.Status)
			}
		})
	}
}

// CancelEverywhere asks every controller at once to cancel a job. Requests that fail are retried
// through the load balancer.
func (w *World) CancelEverywhere(j *Job) {
	for _, c := range w.Controllers {
		w.cancelAt(c, j)
	}
}

// CancelJob asks to cancel a job and retries until a controller confirms it.
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
			w.RecordViolation(ruleForgotten, "%s: request to cancel it got status 404", j.Submission.ID)
		}
		w.After(userRetryDelay, func() { w.CancelJob(j) })
	})
}
