package fake

import (
	"fmt"
	"slices"
)

// The rules that a World checks, as a violation names them.
const (
	ruleState            = "state"             // requests to the state service are within its limits
	ruleCloud            = "cloud"             // requests to the cloud are within its limits
	ruleWorker           = "worker"            // what workers are sent can be read
	ruleForward          = "forward"           // only requests are forwarded
	ruleAnswer           = "answer"            // what users are answered can be read and is of their job
	ruleTerm             = "term"              // one controller leads at a time
	ruleQuota            = "quota"             // teams stay within their limits
	ruleRanTwice         = "ran_twice"         // a task is on one machine at a time
	ruleWrongPlace       = "wrong_place"       // machine types, zones and capacity types are as submitted
	ruleTooEarly         = "too_early"         // nothing starts before its prerequisites are done
	ruleStartedCancelled = "started_cancelled" // nothing is started once its user was told that it is cancelled
	ruleRanCancelled     = "ran_cancelled"     // and nothing of it is on a machine cancel_s later
	ruleOrphaned         = "orphaned"          // what needs a cancelled job is cancelled, too
	ruleNotDone          = "not_done"          // a job that is called done has run to its end
	ruleWentBack         = "went_back"         // statuses only move forward
	ruleForgotten        = "forgotten"         // an accepted job stays known
	ruleInvented         = "invented"          // a job that nobody submitted is unknown
	ruleAccepted         = "accepted"          // a job that can't run isn't accepted
)

// maxViolations is how many violations are kept.
const maxViolations = 20

// RecordViolation notes that a rule was broken.
func (w *World) RecordViolation(rule, format string, args ...any) {
	if len(w.Violations) < maxViolations {
		w.Violations = append(w.Violations, fmt.Sprintf("%8.2f %s: %s", w.Now.Seconds(), rule, fmt.Sprintf(format, args...)))
	}
}

// usage is what the tasks of a team on machines use.
type usage struct {
	cpus, gpus float64
}

// addUsage counts so many tasks more of a job on machines.
func (w *World) addUsage(job *Job, tasks float64) {
	s := job.Submission
	used := w.usageByTeam[s.Team]
	w.usageByTeam[s.Team] = usage{cpus: used.cpus + tasks*s.CPUs, gpus: used.gpus + tasks*s.GPUs}
}

// checkStart checks the rules for a task that has just got its image.
func (w *World) checkStart(worker *Worker, a *attempt) {
	job := a.job
	for other := range job.attemptsOnMachines {
		if other != a && other.Task == a.Task {
			w.RecordViolation(ruleRanTwice, "%s/%d on %s while on %s", a.Job, a.Task, worker.machine.Name, other.worker.machine.Name)
		}
	}
	w.checkPlacement(worker, a)
	if job.Cancelled && w.Now > job.CancelledAt+w.cancelWithin() {
		w.RecordViolation(ruleRanCancelled, "%s/%d started", a.Job, a.Task)
	}
	job.Started = true
	for _, p := range w.prerequisites(job) {
		if len(p.DoneTasks) < p.Submission.Tasks {
			w.RecordViolation(ruleTooEarly, "%s/%d started, and %s is not done", a.Job, a.Task, p.Submission.ID)
		}
	}
}

// checkPlacement checks the rules on machine types and zones.
func (w *World) checkPlacement(worker *Worker, a *attempt) {
	s, m := a.job.Submission, worker.machine
	tasksByZone := map[string]int{m.Zone: 1}
	for other := range a.job.attemptsOnMachines {
		if other != a {
			tasksByZone[other.worker.machine.Zone]++
		}
	}
	wrongType := s.Types != nil && !slices.Contains(s.Types, m.Type) || !s.Spot && m.Spot
	wrongZone := s.Zone != "" && s.Zone != m.Zone ||
		s.OneZone && len(tasksByZone) > 1 ||
		s.Spread && tasksByZone[m.Zone] > (s.Tasks+1)/2
	if wrongType || wrongZone {
		w.RecordViolation(ruleWrongPlace, "%s/%d on %s (%s, %s, spot %v), zones %v", a.Job, a.Task, m.Name, m.Type, m.Zone, m.Spot, tasksByZone)
	}
}

// checkInvariants checks the rules that hold at all times.
func (w *World) checkInvariants() {
	w.checkCancelled()
	w.checkQuotas()
	leaders := 0
	for _, c := range w.Controllers {
		if c.Leads() && !c.paused() {
			leaders++
		}
	}
	if leaders > 1 {
		w.RecordViolation(ruleTerm, "%d controllers are certain to lead", leaders)
	}
}

func (w *World) checkQuotas() {
	for _, team := range w.Cfg.Settings.Teams {
		used := w.usageByTeam[team.Name]
		if team.CPULimit > 0 && used.cpus > team.CPULimit+resourceTolerance || team.GPULimit > 0 && used.gpus > team.GPULimit+resourceTolerance {
			w.RecordViolation(ruleQuota, "%s uses %v", team.Name, used)
		}
	}
}

// checkCancelled looks for tasks of cancelled jobs that are still on machines.
func (w *World) checkCancelled() {
	w.cancelled = slices.DeleteFunc(w.cancelled, func(j *Job) bool {
		if w.Now <= j.CancelledAt+w.cancelWithin() {
			return false
		}
		for a := range j.attemptsOnMachines {
			w.RecordViolation(ruleRanCancelled, "%s/%d is still on a machine", a.Job, a.Task)
		}
		return len(j.attemptsOnMachines) == 0 // what starts from now on is found by checkStart
	})
}
