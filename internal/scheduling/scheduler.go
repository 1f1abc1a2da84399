// Package scheduling decides which waiting tasks start where, and which tasks are stopped for
// others. It works in cycles: the jobs that wait are sorted, and tasks are placed one job after
// the other, within the quotas of their teams. What finds no place is left to package
// autoscaling.
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

// Leadership is what the scheduler has to know of the term.
type Leadership interface {
	// Token is the fencing token.
	Token() int64
}

// Options are the figures that operators may change.
type Options struct {
	SampleSize         int     // machines compared for a task
	MaxPreemptionCostS float64 // seconds of work that stopping tasks for another may cost
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

	zones          []string
	startObjective map[string]float64 // seconds within which a class's tasks should start

	cycle       cycle
	nextCycleAt time.Duration
	unplaced    []Unplaced
}

// Unplaced is a job of which some tasks have found no place in the last cycle.
type Unplaced struct {
	Job *cluster.Job
	// Tasks is for how many of them there would be quota; 0: none may start for another reason.
	Tasks int
}

// startObjectiveKind is the kind of objectives on the time until a task starts.
const startObjectiveKind = "wait"

// New returns the scheduler of a cluster.
func New(
	context *step.Context, state *cluster.State, store *storage.Store, jobs *jobs.Manager, timing timing.Timing,
	leadership Leadership, settings *config.Settings, options Options,
) *Scheduler {
	s := &Scheduler{
		context: context, state: state, store: store, jobs: jobs, timing: timing, leadership: leadership, options: options,
		zones: settings.Zones, startObjective: map[string]float64{},
	}
	for _, objective := range settings.Objectives {
		if objective.Kind == startObjectiveKind {
			s.startObjective[objective.Class] = objective.WithinS
		}
	}
	return s
}

// SetOptions puts figures in force.
func (s *Scheduler) SetOptions(options Options) { s.options = options }

// Unplaced are the jobs of which some tasks found no place in the last cycle.
func (s *Scheduler) Unplaced() []Unplaced { return s.unplaced }

// RunIfDue runs a scheduling cycle if something has changed that may let a task start, and
// the last one is long enough ago. The more is unschedulable, the more a cycle takes, and the
// less it matters that the next is a little later.
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

// runCycle places what waits, in order, and frees room for what may take it.
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
		s.noteUnplaced(j, 0)
	case j.Kind == protocol.Gang:
		s.scheduleGang(j)
	default:
		s.scheduleTasks(j)
	}
}

// scheduleTasks places the tasks of a job that start independently of each other.
func (s *Scheduler) scheduleTasks(j *cluster.Job) {
	idle := s.attemptsAllowed(j, j.IdleTasks())
	awaiting := j.TasksAwaitingRecord(idle)
	perZone := j.TasksPerZone()
	idle -= awaiting
	idle -= s.placeTasks(j, idle, perZone)
	if j.Failures.JobAtFault {
		s.noteFailingUnplaced(j, min(idle, 1))
		return
	}
	left := withinLimit(j, idle)
	if left+awaiting > 0 {
		s.noteUnplaced(j, withinLimit(j, idle+awaiting))
	}
	if left > 0 {
		s.makeRoom(j, left, perZone)
	}
	if left < idle {
		s.preemptWithinLimit(j, idle-left)
	}
}

// placeTasks places as many tasks as find a machine, and returns how many did.
func (s *Scheduler) placeTasks(j *cluster.Job, idle int, perZone map[string]int) (placed int) {
	for placed < idle && j.Team.Allows(j.Request.Plus(reservedFrom(j))) {
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
		s.noteAttempt(j)
		assign(machine, j, perZone)
		placed++
	}
	return placed
}

// assign takes a task's room on a machine for the rest of the cycle.
func assign(machine *cluster.Machine, j *cluster.Job, perZone map[string]int) {
	machine.ProjectedFree = machine.ProjectedFree.Minus(j.Request)
	perZone[machine.Zone]++
}

func (s *Scheduler) noteUnplaced(j *cluster.Job, tasks int) {
	s.unplaced = append(s.unplaced, Unplaced{j, tasks})
}

// silentHeartbeats is after how many heartbeat intervals without one nothing is placed on a
// machine.
const silentHeartbeats = 2.5

// Schedulable reports whether a machine can be given tasks.
func (s *Scheduler) Schedulable(machine *cluster.Machine) bool {
	worker, provisioning := &machine.Worker, &machine.Provisioning
	switch {
	case !worker.Registered || worker.Expired() || worker.InterruptionAt != 0:
		return false
	case provisioning.Releasing || provisioning.Draining || provisioning.Failed:
		return false
	case machine.Health.Cordoned || s.context.Monotonic() < machine.Health.AvoidUntil:
		return false
	}
	silentLimit := time.Duration(silentHeartbeats * float64(s.timing.Workers.HeartbeatInterval))
	return s.context.SilenceDuration(worker.HeardAt) < silentLimit && machine.Commands.UnconfirmedToken < s.leadership.Token()
}

// fits reports whether a task may go to a machine that has so much room.
func (s *Scheduler) fits(j *cluster.Job, machine *cluster.Machine, room resources.Amount, perZone map[string]int) bool {
	return j.Request.FitsIn(room) && s.Schedulable(machine) && j.AllowedOn(machine.Offering()) && j.AllowsZone(machine.Zone, perZone)
}
