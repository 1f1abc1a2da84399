package scheduling

import (
	"cmp"
	"math"
	"slices"

	"oakpick/internal/cluster"
	"oakpick/internal/protocol"
	"oakpick/internal/resources"
)

// mayPreempt reports whether a task may be stopped for a job.
func mayPreempt(j *cluster.Job, victim *cluster.Task) bool {
	other := victim.Job
	if other == j || other.Cancelled || j.Failures.JobAtFault {
		return false
	}
	// Whoever is stopped must not come before the job in the queue: it would take the room
	// again, and be stopped again, for ever.
	if rank(other) >= rank(j) {
		return false
	}
	return other.EffectivePriority() < j.EffectivePriority() ||
		j.Placement.WithinQuota && !other.Placement.WithinQuota && other.Team != j.Team
}

// preemption is the search for room for the tasks of one job.
type preemption struct {
	job     *cluster.Job
	victims []*cluster.Task
	taken   map[*cluster.Task]bool                // nil: none yet
	freed   map[*cluster.Machine]resources.Amount // what the victims leave; nil: nothing yet
}

func (p *preemption) take(machine *cluster.Machine, victims []*cluster.Task) {
	if p.taken == nil {
		p.taken, p.freed = map[*cluster.Task]bool{}, map[*cluster.Machine]resources.Amount{}
	}
	for _, t := range victims {
		p.taken[t] = true
		p.freed[machine] = p.freed[machine].Plus(t.Job.Request)
	}
	p.victims = append(p.victims, victims...)
}

// projected is the room of a machine once stopping tasks and victims have left it.
func (p *preemption) projected(machine *cluster.Machine) resources.Amount {
	return machine.ProjectedFree.Plus(machine.Stopping).Plus(p.freed[machine])
}

// makeRoom frees room for the tasks of a job that found none. Room that is about to come free
// is set aside for it first. Nothing is stopped for a gang that could not start even then.
func (s *Scheduler) makeRoom(j *cluster.Job, tasks int, perZone map[string]int) {
	if j.BestEffort() {
		return // best-effort work gets what is idle
	}
	p := &preemption{job: j}
	before := reservations{}
	for n := range tasks {
		machine := s.findRoom(p, perZone, n == 0)
		if machine == nil && j.Kind == protocol.Gang {
			s.undo(before)
			return
		}
		if machine == nil {
			break
		}
		before.remember(machine)
		assign(machine, j, perZone)
	}
	for _, victim := range p.victims {
		s.context.Stats.TasksPreempted++
		s.jobs.Preempt(victim, "preempted for "+j.ID)
		if machine := victim.Machine; !slices.Contains(s.cycle.freeing, machine) {
			s.cycle.freeing = append(s.cycle.freeing, machine)
		}
	}
}

// findRoom finds a machine that has room for one more task, at the latest once further victims
// have left it.
func (s *Scheduler) findRoom(p *preemption, perZone map[string]int, first bool) *cluster.Machine {
	if machine := s.machineAboutToFree(p, perZone); machine != nil {
		return machine
	}
	machine, victims := s.chooseVictims(p, perZone, first)
	if machine != nil {
		p.take(machine, victims)
	}
	return machine
}

// machineAboutToFree finds a machine whose stopping tasks will leave room for a task.
func (s *Scheduler) machineAboutToFree(p *preemption, perZone map[string]int) *cluster.Machine {
	if machine := s.firstThatFits(p, perZone, s.machinesWithRoom(p.job)); machine != nil {
		return machine
	}
	if machine := s.firstThatFits(p, perZone, s.cycle.freeing); machine != nil {
		return machine
	}
	if len(p.freed) == 0 {
		return nil
	}
	// Of those with victims of this very job the first by name.
	byName := make([]*cluster.Machine, 0, len(p.freed))
	for machine := range p.freed {
		byName = append(byName, machine)
	}
	slices.SortFunc(byName, func(a, b *cluster.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return s.firstThatFits(p, perZone, byName)
}

// firstThatFits finds the first machine of a list that will have room for a task.
func (s *Scheduler) firstThatFits(p *preemption, perZone map[string]int, list []*cluster.Machine) *cluster.Machine {
	for _, machine := range list {
		s.context.Stats.MachinesExamined++
		if s.fits(p.job, machine, p.projected(machine), perZone) {
			return machine
		}
	}
	return nil
}

// chooseVictims finds the tasks whose loss costs least, on one machine, so that a task of the
// job fits there without them.
func (s *Scheduler) chooseVictims(p *preemption, perZone map[string]int, first bool) (*cluster.Machine, []*cluster.Task) {
	j := p.job
	c := claim{s.RequestClass(j), rank(j), j.Placement.WithinQuota, j.Team}
	// Within a cycle room only shrinks: what was found for no job is found for none that may
	// stop the same. A zone's limit is the job's own affair, and so are the places that its
	// other tasks have been promised.
	isCacheable := first && !j.Spread && !j.OneZone && !j.Failures.JobAtFault
	if isCacheable && s.cycle.noRoomByPreemption[c] {
		return nil, nil
	}
	best, victims, cost := s.cheapestVictims(p, perZone, s.machinesWithTasksBelow(c.rank))
	if cost > s.options.MaxPreemptionCostS {
		if isCacheable && best == nil {
			s.cycle.noRoomByPreemption[c] = true
		}
		return nil, nil
	}
	return best, victims
}

// cheapestVictims compares a few machines, drawn at random from a list that it shuffles.
func (s *Scheduler) cheapestVictims(
	p *preemption, perZone map[string]int, list []*cluster.Machine,
) (best *cluster.Machine, victims []*cluster.Task, bestCost float64) {
	bestCost = math.Inf(1)
	for i, found := 0, 0; i < len(list) && found < s.options.SampleSize; i++ {
		s.context.Stats.MachinesExamined++
		drawn := i + s.context.Random.IntN(len(list)-i)
		list[i], list[drawn] = list[drawn], list[i]
		machine := list[i]
		if !s.Schedulable(machine) || !p.job.AllowedOn(machine.Offering()) || !p.job.AllowsZone(machine.Zone, perZone) {
			continue
		}
		chosen, cost := s.victimsOn(p, machine)
		if len(chosen) == 0 {
			continue
		}
		found++
		if cost < bestCost {
			best, victims, bestCost = machine, chosen, cost
		}
	}
	return best, victims, bestCost
}

// victimsOn picks the tasks on a machine whose loss costs least, until a task of the job fits.
// It returns none if it wouldn't fit even then.
func (s *Scheduler) victimsOn(p *preemption, machine *cluster.Machine) (victims []*cluster.Task, cost float64) {
	j := p.job
	room := p.projected(machine)
	s.cycle.tasksExamined += int64(len(machine.Tasks))
	var preemptable []*cluster.Task
	for _, t := range machine.Tasks {
		if !t.Stopping && !p.taken[t] && mayPreempt(j, t) {
			preemptable = append(preemptable, t)
		}
	}
	slices.SortStableFunc(preemptable, func(a, b *cluster.Task) int {
		return cmp.Compare(s.preemptionCostS(a), s.preemptionCostS(b))
	})
	cost = s.state.FetchTimeS(j, machine)
	for _, t := range preemptable {
		if j.Request.FitsIn(room) {
			break
		}
		room = room.Plus(t.Job.Request)
		victims = append(victims, t)
		cost += s.preemptionCostS(t)
	}
	if !j.Request.FitsIn(room) {
		return nil, 0
	}
	return victims, cost
}

// machinesWithTasksBelow lists the machines with tasks that could be stopped for a job of such
// a rank: tasks of jobs of a lower one. What is placed later in a cycle is of jobs of at least
// the rank of those that are still to come.
func (s *Scheduler) machinesWithTasksBelow(rank int) []*cluster.Machine {
	c := &s.cycle
	if c.withTasksBelow == nil {
		c.withTasksBelow = map[int][]*cluster.Machine{}
		for _, machine := range s.state.MachinesByName {
			machine.LowestRank = s.lowestRank(machine)
		}
	}
	list, ok := c.withTasksBelow[rank]
	if ok {
		return list
	}
	for _, machine := range s.state.MachinesByName {
		if machine.Worker.Registered && machine.LowestRank < rank {
			list = append(list, machine)
		}
	}
	c.withTasksBelow[rank] = list
	return list
}

// lowestRank is the lowest rank of the tasks on a machine that could be stopped.
func (s *Scheduler) lowestRank(machine *cluster.Machine) int {
	s.context.Stats.MachinesExamined++
	s.cycle.tasksExamined += int64(len(machine.Tasks))
	lowest := math.MaxInt
	for _, t := range machine.Tasks {
		if !t.Job.Cancelled && !t.Stopping {
			lowest = min(lowest, rank(t.Job))
		}
	}
	return lowest
}

// What stopping a task costs, in seconds of work.
const (
	runningReplicaCostS  = 240
	startingReplicaCostS = 30
	priorityCostS        = 60 // for each step of a replica's priority
	restartCostS         = 10
)

// preemptionCostS is what stopping a task costs, in seconds of work.
func (s *Scheduler) preemptionCostS(t *cluster.Task) float64 {
	j := t.Job
	switch {
	case j.Kind == protocol.Service && t.SeenRunning():
		return runningReplicaCostS + priorityCostS*float64(j.Priority)
	case j.Kind == protocol.Service:
		return startingReplicaCostS + priorityCostS*float64(j.Priority)
	case j.Checkpoints():
		return j.CheckpointDurationS + restartCostS
	case t.SeenRunning():
		return (s.context.Monotonic() - t.RunningSince).Seconds() + restartCostS
	}
	return restartCostS
}
