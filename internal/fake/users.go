package fake

import (
	"fmt"
	"time"

	"oakpick/internal/coordination"
	"oakpick/internal/protocol"
)

// StatusOf asks a leader about a job and gives what it calls it; "": no answer, or the
// job is unknown.
func (w *World) StatusOf(id string) string {
	status := ""
	w.Until(5*time.Second, func() bool {
		if l := w.Leader(); l != nil {
			l.Ask(coordination.UserCall{Kind: coordination.Poll, Job: id}, func(r coordination.Reply) {
				var a protocol.JobAnswer
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
	Sub       protocol.Submission
	Run       time.Duration
	Broken    bool
	Saved     map[int]time.Duration
	DoneTasks map[int]bool

	// SubmittedAt is when it was first handed in, AcceptedAt when its user was told.
	SubmittedAt, AcceptedAt time.Duration

	Began     bool // a task was on a machine
	Refused   int  // its submission was refused for good, with this status
	Accepted  bool
	Cancel    bool // its user asked to cancel
	CancelAt  time.Duration
	Cancelled bool // and was told that it is
	Told      string
	toldAt    time.Duration
	on        map[*work]bool // its tasks that are on machines
	ancestors map[*Job]bool  // see World.ancestors
	// AnsweredAt is when a question about it was last answered with 200; 0: never.
	AnsweredAt time.Duration
}

// Submit hands a job in, and again until it is accepted, as users do.
func (w *World) Submit(s protocol.Submission, run time.Duration) *Job {
	j := &Job{Sub: s, Run: run, Saved: map[int]time.Duration{}, DoneTasks: map[int]bool{}, SubmittedAt: w.Now}
	w.pipelines = w.pipelines || len(s.Prerequisites) > 0
	w.Jobs[s.ID] = j
	w.jobNames = append(w.jobNames, s.ID)
	w.submit(j)
	return j
}

func (w *World) submit(j *Job) {
	s, asked := j.Sub, w.Now
	w.ask(coordination.UserCall{Kind: coordination.Submit, Job: s.ID, Submit: &s}, func(r coordination.Reply, ok bool) {
		switch {
		case ok && (r.Status == 200 || r.Status == 201):
			if !j.Accepted {
				j.Accepted, j.AcceptedAt = true, w.Now
			}
			w.told(j, r, asked)
		case ok && (r.Status == 400 || r.Status == 422):
			if j.Accepted {
				w.fail("forgotten", "%s: a repeat got %d", s.ID, r.Status)
			}
			j.Refused = r.Status
		default:
			w.After(max(time.Second, time.Duration(r.RetryAfter)*time.Second), func() { w.submit(j) })
		}
	})
}

// Again hands an accepted job in once more.
func (w *World) Again(j *Job) { w.submit(j) }

// ask sends a user's request to some node.
func (w *World) ask(c coordination.UserCall, done func(coordination.Reply, bool)) {
	w.askAt(w.pick(), c, done)
}

func (w *World) askAt(n *Node, c coordination.UserCall, done func(coordination.Reply, bool)) {
	over := false
	w.After(5*time.Second, func() {
		if !over {
			over = true
			done(coordination.Reply{}, false)
		}
	})
	n.deliver(c, func(r coordination.Reply) {
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
	w.ask(coordination.UserCall{Kind: coordination.Poll, Job: id}, func(r coordination.Reply, ok bool) {
		var a protocol.JobAnswer
		if ok && (r.Status == 404 || r.Status == 200 && (protocol.Decode(r.Body, &a) != nil || a.Status != protocol.StatusDone)) {
			w.fail("forgotten", "%s, which is done: %d %s", id, r.Status, a.Status)
		}
	})
}

// PollUnknown asks about a job that nobody has submitted.
func (w *World) PollUnknown() {
	w.ask(coordination.UserCall{Kind: coordination.Poll, Job: "wk-999999"}, func(r coordination.Reply, ok bool) {
		if ok && r.Status == 200 {
			w.fail("invented", "a job that nobody submitted")
		}
	})
}

func (w *World) poll(n *Node, j *Job) {
	was, asked := j.Accepted || j.AnsweredAt > 0, w.Now
	w.askAt(n, coordination.UserCall{Kind: coordination.Poll, Job: j.Sub.ID}, func(r coordination.Reply, ok bool) {
		if ok && r.Status == 404 && was {
			w.fail("forgotten", "%s", j.Sub.ID)
		}
		if ok && r.Status == 200 {
			w.told(j, r, asked)
		}
	})
}

// CloseLook asks about a job at every node at once, and hands it in again there.
func (w *World) CloseLook(j *Job) {
	for _, n := range w.Nodes {
		w.poll(n, j)
		s, asked, was := j.Sub, w.Now, j.Accepted || j.AnsweredAt > 0
		w.askAt(n, coordination.UserCall{Kind: coordination.Submit, Job: s.ID, Submit: &s}, func(r coordination.Reply, ok bool) {
			switch {
			case ok && (r.Status == 400 || r.Status == 422):
				w.fail("forgotten", "%s: a repeat got %d", s.ID, r.Status)
			case ok && r.Status == 201 && was:
				w.fail("forgotten", "%s: a repeat was accepted as new", s.ID)
			case ok && (r.Status == 200 || r.Status == 201):
				j.Accepted = true
				w.told(j, r, asked)
			}
		})
	}
}

// OddRequests sends what users send at times: jobs that can't run, of a team that
// nobody knows, too large for any machine or for their team's limit. Each is
// refused for good, or for now, and never accepted.
func (w *World) OddRequests() {
	for i, change := range []func(*protocol.Submission){
		func(s *protocol.Submission) { s.Team = "nobody" },
		func(s *protocol.Submission) { s.CPUs = 1e6 },
		func(s *protocol.Submission) { s.Types = []string{"nothing"} },
		func(s *protocol.Submission) { s.Team, s.Shape, s.Tasks = "red", protocol.Gang, 1000 },
	} {
		s := protocol.Submission{ID: fmt.Sprintf("wk-9%05d", i), Class: "odd", Team: "blue", Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img"}
		change(&s)
		w.ask(coordination.UserCall{Kind: coordination.Submit, Job: s.ID, Submit: &s}, func(r coordination.Reply, ok bool) {
			if ok && r.Status != 422 && r.Status != 503 {
				w.fail("accepted", "%s, which can't run: %d", s.ID, r.Status)
			}
		})
	}
}

// CancelEverywhere asks every node at once to cancel a job, and repeats that as
// users do.
func (w *World) CancelEverywhere(j *Job) {
	for _, n := range w.Nodes {
		w.cancelAt(n, j)
	}
}

// CancelJob asks to cancel a job, again and again until that is answered.
func (w *World) CancelJob(j *Job) {
	w.cancelAt(w.pick(), j)
}

func (w *World) cancelAt(n *Node, j *Job) {
	j.Cancel = true
	asked := w.Now
	w.askAt(n, coordination.UserCall{Kind: coordination.Cancel, Job: j.Sub.ID}, func(r coordination.Reply, ok bool) {
		if ok && r.Status == 200 {
			w.told(j, r, asked)
			return
		}
		if ok && r.Status == 404 && j.Accepted {
			w.fail("forgotten", "%s: cancelling it got 404", j.Sub.ID)
		}
		w.After(time.Second, func() { w.CancelJob(j) })
	})
}
