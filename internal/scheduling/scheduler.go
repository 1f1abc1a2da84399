// Package scheduling assigns waiting tasks to machines and preempts running tasks in favor of
// others. It runs in cycles. Each cycle sorts the waiting jobs and places their tasks, job by
// job, within the limits of their teams. Package autoscaling provisions machines for the tasks
// that could not be placed.
package scheduling

import (
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/config"
	"oakpick/internal/jobs"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/resources"
	"oakpick/internal/step"
	"oakpick/internal/storage"
	"oakpick/internal/timing"
)

// Leadership is the scheduler's view of the leader's term.
type Leadership interface {
	// Token returns the fencing token.
	Token() int64
}

// Options are the scheduler's tunable parameters.
type Options struct {
	SampleSize         int     // number of candidate machines compared for each task
	MaxPreemptionCostS float64 // upper bound on the cost of preempting tasks for one task, in seconds of lost work
}

// Scheduler places the tasks of a cluster.
type Scheduler struct {
	context    *step.Context
	state      *cluster.State
	store      *storage.Store
	jobs       *jobs.Manager
	timing     timing.Timing
	leadership Leadership
	options    Options

	zones           []string
	startObjectiveS map[string]float64 // start-time objective in seconds, by workload class

	cycle       cycle
	nextCycleAt time.Duration
	unplaced    []Unplaced
}

// Unplaced is a job with tasks that could not be placed in the last cycle.
type Unplaced struct {
	Job *cluster.Job
	// Tasks is the number of unplaced tasks that the team's limit allows to start. It is 0 if
	// the job may not start any for another reason, such as a backoff after failures.
	Tasks int
}

// startObjectiveKind is the kind of objective that bounds the time until a task starts.
const startObjectiveKind = "wait"

// New returns the scheduler of a cluster.
func New(
	context *step.Context, state *cluster.State, store *storage.Store, jobs *jobs.Manager, timing timing.Timing,
	leadership Leadership, settings *config.Settings, options Options,
) *Scheduler {
	s := &Scheduler{
		context: context, state: state, store: store, jobs: jobs, timing: timing, leadership: leadership, options: options,
		zones: settings.Zones, startObjectiveS: map[string]float64{},
	}
	for _, objective := range settings.Objectives {
		if objective.Kind == startObjectiveKind {
			s.startObjectiveS[objective.Class] = objective.WithinS
		}
	}
	return s
}

// SetOptions replaces the options.
func (s *Scheduler) SetOptions(options Options) { s.options = options }

// Unplaced returns the jobs with tasks that could not be placed in the last cycle.
func (s *Scheduler) Unplaced() []Unplaced { return s.unplaced }

// RunIfDue runs a scheduling cycle if a change in the state may allow a task to start and the
// backoff after the last cycle has elapsed. The backoff grows with the number of unschedulable
// jobs and with the number of machines examined, since these make cycles more expensive and a
// delay less relevant.
func (s *Scheduler) RunIfDue() {
	now := s.context.Monotonic()
	if !s.state.NeedsScheduling || now < s.nextCycleAt {
		return
	}
	s.state.NeedsScheduling = false
	s.runCycle()
	times := s.timing.Scheduling
	examination := min(time.Duration(s.cycle.examined())*times.ExaminationBackoff, times.MaxExaminationBackoff)
	s.nextCycleAt = now + time.Duration(len(s.unplaced))*times.UnschedulableBackoff + examination
}

// runCycle places the waiting tasks in queue order, and preempts tasks for jobs that may do so.
func (s *Scheduler) runCycle() {
	examinedBefore := s.context.Stats.MachinesExamined
	s.cycle.tasksExamined = 0
	defer func() { s.cycle.machinesExamined = s.context.Stats.MachinesExamined - examinedBefore }()
	s.unplaced = s.unplaced[:0]
	queue := s.queue()
	if len(queue) == 0 {
		return
	}
	s.beginCycle()
	for _, j := range queue {
		s.scheduleJob(j)
	}
}

func (s *Scheduler) scheduleJob(j *cluster.Job) {
	switch {
	case s.context.Monotonic() < j.Placement.NotBefore || s.attemptsAllowed(j, j.IdleTasks()) == 0:
		s.recordUnplaced(j, 0)
	case j.Kind == protocol.Gang:
		s.scheduleGang(j)
	default:
		s.scheduleTasks(j)
	}
}

// scheduleTasks places the tasks of a job whose tasks start independently of each other.
func (s *Scheduler) scheduleTasks(j *cluster.Job) {
	idle := s.attemptsAllowed(j, j.IdleTasks())
	awaiting := j.TasksAwaitingRecord(idle)
	perZone := j.TasksPerZone()
	idle -= awaiting
	idle -= s.placeTasks(j, idle, perZone)
	if idle+awaiting == 0 {
		j.Placement.UnplacedSince = 0
	}
	if j.Failures.JobAtFault {
		s.recordFailingUnplaced(j, min(idle, 1))
		return
	}
	left := tasksWithinLimit(j, idle)
	if left+awaiting > 0 {
		s.recordUnplaced(j, tasksWithinLimit(j, idle+awaiting))
	}
	if left > 0 {
		s.reserveOrPreempt(j, left, perZone)
	}
	if left < idle {
		s.preemptWithinTeam(j, idle-left)
	}
}

// placeTasks places up to idle tasks of a job and returns the number that it placed.
func (s *Scheduler) placeTasks(j *cluster.Job, idle int, perZone map[string]int) (placed int) {
	for placed < idle && j.Team.Allows(j.Request.Plus(unavailableLimit(j))) {
		machine := s.chooseMachine(j, perZone)
		if machine == nil {
			break
		}
		index := j.NextIdle(s.store.MaxItemSize())
		if index < 0 {
			break
		}
		s.context.Log(message.Debug, "task placed", "job", j.ID, "class", j.Class, "task", index, "machine", machine.Name,
			"image", j.Image, "fetch_s", s.state.FetchTimeS(j, machine))
		s.jobs.Start(j, index, machine, nil)
		s.recordAttempt(j)
		recordPlaced(j)
		assign(machine, j, perZone)
		placed++
	}
	return placed
}

// assign subtracts a task's request from a machine's free resources for the rest of the cycle.
func assign(machine *cluster.Machine, j *cluster.Job, perZone map[string]int) {
	machine.Unassigned = machine.Unassigned.Minus(j.Request)
	perZone[machine.Zone]++
}

// recordPlaced records that a task of a job was placed, or all tasks of a gang.
func recordPlaced(j *cluster.Job) { j.Placement.PreemptionRounds, j.Placement.PreemptNotBefore = 0, 0 }

func (s *Scheduler) recordUnplaced(j *cluster.Job, tasks int) {
	if j.Placement.UnplacedSince == 0 {
		j.Placement.UnplacedSince = s.context.Monotonic()
	}
	s.unplaced = append(s.unplaced, Unplaced{j, tasks})
}

// maxSilentHeartbeats is the number of heartbeat intervals without a heartbeat after which a
// machine is given no more tasks.
const maxSilentHeartbeats = 2.5

// Schedulable reports whether tasks may be placed on a machine.
func (s *Scheduler) Schedulable(machine *cluster.Machine) bool {
	return s.reachable(machine) && !machine.Health.Suspect(s.context.Monotonic())
}

// reachable reports whether tasks could be placed on a machine if it were not suspect. On a machine of
// unknown capacity nothing is placed, and so nothing is preempted, moved or reserved for a task either.
func (s *Scheduler) reachable(machine *cluster.Machine) bool {
	worker, provisioning := &machine.Worker, &machine.Provisioning
	switch {
	case !worker.Registered || worker.Expired() || worker.InterruptionAt != 0:
		return false
	case provisioning.Releasing || provisioning.Draining || provisioning.Failed:
		return false
	case s.context.Monotonic() < machine.Health.AvoidUntil:
		return false
	case s.state.Catalog.Type(machine.Type) == nil:
		return false
	}
	silentLimit := time.Duration(maxSilentHeartbeats * float64(s.timing.Workers.HeartbeatInterval))
	return s.context.SilenceDuration(worker.LastSeenAt) < silentLimit && machine.Commands.UnconfirmedToken < s.leadership.Token()
}

// fits reports whether a task may be placed on a machine that has the given free resources.
func (s *Scheduler) fits(j *cluster.Job, machine *cluster.Machine, free resources.Amount, perZone map[string]int) bool {
	return j.Request.FitsIn(free) && s.Schedulable(machine) && j.AllowedOn(machine.Offering()) && j.AllowsZone(machine.Zone, perZone)
}
