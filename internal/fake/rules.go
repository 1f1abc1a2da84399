package fake

import (
	"fmt"
	"slices"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// Violation notes that a rule was broken.
func (w *World) Violation(rule, format string, args ...any) { w.violation(rule, format, args...) }

func (w *World) violation(rule, format string, args ...any) {
	if len(w.Violations) < 20 {
		w.Violations = append(w.Violations, fmt.Sprintf("%8.2f %s: %s", w.Now.Seconds(), rule, fmt.Sprintf(format, args...)))
	}
}

// checkStatus checks what a user hears against what was so and what was said before.
func (w *World) checkStatus(j *Job, r message.Reply, asked time.Duration) {
	var a protocol.JobResponse
	if err := protocol.Decode(r.Body, &a); err != nil || a.ID != j.Submission.ID {
		w.violation("answer", "%s: %v", j.Submission.ID, err)
		return
	}
	j.AnsweredAt = w.Now
	w.checkPipeline(j, a.Status, asked)
	if asked < j.statusReportedAt && a.Status != protocol.StatusDone && a.Status != protocol.StatusCancelled {
		return // asked before the last answer was heard: the two may cross
	}
	if a.Status == protocol.StatusDone && len(j.DoneTasks) < j.Submission.Tasks {
		w.violation("not_done", "%s: %d of %d", a.ID, len(j.DoneTasks), j.Submission.Tasks)
	}
	if a.Status == protocol.StatusCancelled && !j.CancelRequested && !w.ancestorCancelRequested(j) {
		w.violation("went_back", "%s: cancelled, and nobody asked", a.ID)
	}
	if (j.Status == protocol.StatusDone || j.Status == protocol.StatusCancelled) && a.Status != j.Status {
		w.violation("went_back", "%s: %s after %s", a.ID, a.Status, j.Status)
	}
	if j.Status != a.Status {
		w.Log = append(w.Log, fmt.Sprintf("%8.2f user is told %s is %s", w.Now.Seconds(), a.ID, a.Status))
	}
	j.Status, j.statusReportedAt = a.Status, w.Now
	if a.Status == protocol.StatusCancelled && !j.Cancelled {
		j.Cancelled, j.CancelledAt = true, w.Now
		w.cancelled = append(w.cancelled, j)
	}
}

// addUsage counts what a team's tasks on machines use.
func (w *World) addUsage(s protocol.Submission, tasks float64) {
	u := w.usageByTeam[s.Team]
	w.usageByTeam[s.Team] = [2]float64{u[0] + tasks*s.CPUs, u[1] + tasks*s.GPUs}
}

// checkStart checks the rules for a task that has just got its image.
func (w *World) checkStart(k *Worker, t *attempt) {
	j := t.job
	zones := map[string]int{k.machine.Zone: 1}
	for t2 := range j.attemptsOnMachines {
		if t2 == t {
			continue
		}
		if t2.Task == t.Task {
			w.violation("ran_twice", "%s/%d on %s while on %s", t.Job, t.Task, k.machine.Name, t2.worker.machine.Name)
		}
		zones[t2.worker.machine.Zone]++
	}
	s := j.Submission
	if s.Types != nil && !slices.Contains(s.Types, k.machine.Type) || s.Zone != "" && s.Zone != k.machine.Zone || !s.Spot && k.machine.Spot ||
		s.OneZone && len(zones) > 1 || s.Spread && zones[k.machine.Zone] > (s.Tasks+1)/2 {
		w.violation("wrong_place", "%s/%d on %s (%s, %s, spot %v), zones %v", t.Job, t.Task, k.machine.Name, k.machine.Type, k.machine.Zone, k.machine.Spot, zones)
	}
	if j.Cancelled && w.Now > j.CancelledAt+sec(w.Cfg.Settings.Workers.CancelWithinS) {
		w.violation("ran_cancelled", "%s/%d started", t.Job, t.Task)
	}
	j.Started = true
	for _, p := range w.prerequisites(j) {
		if len(p.DoneTasks) < p.Submission.Tasks {
			w.violation("too_early", "%s/%d started, and %s is not done", t.Job, t.Task, p.Submission.ID)
		}
	}
}

func (w *World) checkInvariants() {
	w.checkCancelled()
	for _, t := range w.Cfg.Settings.Teams {
		u := w.usageByTeam[t.Name]
		if t.CPULimit > 0 && u[0] > t.CPULimit+1e-6 || t.GPULimit > 0 && u[1] > t.GPULimit+1e-6 {
			w.violation("quota", "%s uses %v", t.Name, u)
		}
	}
	leaders := 0
	for _, n := range w.Controllers {
		if n.Leads() && w.Now >= n.PausedUntil {
			leaders++
		}
	}
	if leaders > 1 {
		w.violation("term", "%d nodes are certain to lead", leaders)
	}
}

// checkCancelled looks for tasks of cancelled jobs that are still on machines.
func (w *World) checkCancelled() {
	within := sec(w.Cfg.Settings.Workers.CancelWithinS)
	w.cancelled = slices.DeleteFunc(w.cancelled, func(j *Job) bool {
		if w.Now <= j.CancelledAt+within {
			return false
		}
		for t := range j.attemptsOnMachines {
			w.violation("ran_cancelled", "%s/%d is still on a machine", t.Job, t.Task)
		}
		return len(j.attemptsOnMachines) == 0 // what starts from now on is found by checkStart
	})
}
