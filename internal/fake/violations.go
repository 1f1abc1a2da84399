package fake

import (
	"fmt"
	"slices"
)

// Names of the rules that a World checks. The text of a violation contains the time and this name.
const (
	ruleState            = "state"             // requests to the state service are within its limits
	ruleCloud            = "cloud"             // requests to the cloud API are within its limits
	ruleWorker           = "worker"            // messages to workers can be decoded
	ruleForward          = "forward"           // controllers only forward pending requests
	ruleAnswer           = "answer"            // responses to users can be decoded and are about the requested job
	ruleTerm             = "term"              // at most one controller leads at a time
	ruleQuota            = "quota"             // teams stay within their limits
	ruleRanTwice         = "ran_twice"         // a task is on at most one machine at a time
	ruleWrongPlace       = "wrong_place"       // machine types, zones and capacity types are as submitted
	ruleTooEarly         = "too_early"         // a job starts only after its prerequisites are done
	ruleStartedCancelled = "started_cancelled" // no task is started after the user was told that the job is cancelled
	ruleRanCancelled     = "ran_cancelled"     // no task is on a machine more than cancel_s after the user was told that the job is cancelled
	ruleOrphaned         = "orphaned"          // descendants of a cancelled job are cancelled, too
	ruleNotDone          = "not_done"          // all tasks of a job that is reported done have run to completion
	ruleWentBack         = "went_back"         // statuses only move forward
	ruleForgotten        = "forgotten"         // an accepted job stays known
	ruleInvented         = "invented"          // a job that was never submitted is unknown
	ruleAccepted         = "accepted"          // a job that cannot run is not accepted
)

// maxViolations is the maximum number of violations that a World keeps. Later ones are dropped.
const maxViolations = 20

// RecordViolation records that a rule was broken.
func (w *World) RecordViolation(rule, format string, args ...any) {
	if len(w.Violations) < maxViolations {
		w.Violations = append(w.Violations, fmt.Sprintf("%8.2f %s: %s", w.Now.Seconds(), rule, fmt.Sprintf(format, args...)))
	}
}

// usage is the resource usage of a team's tasks on machines.
type usage struct {
	cpus, gpus float64
}

// addUsage adds the usage of a number of tasks of a job to its team's usage.
func (w *World) addUsage(job *Job, tasks float64) {
	s := job.Submission
	used := w.usageByTeam[s.Team]
	w.usageByTeam[s.Team] = usage{cpus: used.cpus + tasks*s.CPUs, gpus: used.gpus + tasks*s.GPUs}
}

// checkStart checks the rules for a task whose image has just been fetched.
func (w *World) checkStart(worker *Worker, a *attempt) {
	job := a.job
	for other := range job.attemptsOnMachines {
		if other != a && other.Task == a.Task {
			w.RecordViolation(ruleRanTwice, "%s/%d on %s while also on %s", a.Job, a.Task, worker.machine.Name, other.worker.machine.Name)
		}
	}
	w.checkPlacement(worker, a)
	if job.Cancelled && w.Now > job.CancelledAt+w.cancelWithin() {
		w.RecordViolation(ruleRanCancelled, "%s/%d started although the job is cancelled", a.Job, a.Task)
	}
	job.Started = true
	for _, p := range w.prerequisites(job) {
		if len(p.DoneTasks) < p.Submission.Tasks {
			w.RecordViolation(ruleTooEarly, "%s/%d started before prerequisite %s is done", a.Job, a.Task, p.Submission.ID)
		}
	}
}

// checkPlacement checks a task's machine against the job's machine types, zones and capacity type.
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
		w.RecordViolation(ruleWrongPlace, "%s/%d on %s (%s, %s, spot %v), tasks by zone %v", a.Job, a.Task, m.Name, m.Type, m.Zone, m.Spot, tasksByZone)
	}
}

// checkInvariants checks the rules that must hold at every tick.
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
		w.RecordViolation(ruleTerm, "%d controllers lead at the same time", leaders)
	}
}

func (w *World) checkQuotas() {
	for _, team := range w.Cfg.Settings.Teams {
		used := w.usageByTeam[team.Name]
		if team.CPULimit > 0 && used.cpus > team.CPULimit+resourceTolerance || team.GPULimit > 0 && used.gpus > team.GPULimit+resourceTolerance {
			w.RecordViolation(ruleQuota, "team %s uses %v", team.Name, used)
		}
	}
}

// checkCancelled checks that cancelled jobs have no tasks on machines after the allowed time.
func (w *World) checkCancelled() {
	w.cancelled = slices.DeleteFunc(w.cancelled, func(j *Job) bool {
		if w.Now <= j.CancelledAt+w.cancelWithin() {
			return false
		}
		for a := range j.attemptsOnMachines {
			w.RecordViolation(ruleRanCancelled, "%s/%d is still on a machine", a.Job, a.Task)
		}
		return len(j.attemptsOnMachines) == 0 // checkStart finds tasks that start later
	})
}
