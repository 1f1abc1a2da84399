package scheduling

import (
	"cmp"
	"math"
	"slices"

	"oakpick/internal/cluster"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/resources"
)

// mayPreempt reports whether a task may be preempted for a job.
func mayPreempt(j *cluster.Job, victim *cluster.Task) bool {
	other := victim.Job
	if other == j || other.Cancelled || other.DamagedBy != nil || j.Failures.JobAtFault {
		return false
	}
	// A victim has to rank below the job. Otherwise it would precede the job in the queue, take
	// the freed resources again and be preempted again, in an endless loop.
	if rank(other) >= rank(j) {
		return false
	}
	return other.EffectivePriority() < j.EffectivePriority() ||
		j.Placement.WithinGuarantee && !other.Placement.WithinGuarantee && other.Team != j.Team
}

// preemptionSearch is a search for machines on which tasks of a job will fit once other tasks have
// stopped.
type preemptionSearch struct {
	job     *cluster.Job
	victims []*cluster.Task
	taken   map[*cluster.Task]bool                // the victims as a set; nil if there are none
	freed   map[*cluster.Machine]resources.Amount // resources that the victims will free; nil if there are none
}

func (p *preemptionSearch) addVictims(machine *cluster.Machine, victims []*cluster.Task) {
	if p.taken == nil {
		p.taken, p.freed = map[*cluster.Task]bool{}, map[*cluster.Machine]resources.Amount{}
	}
	for _, t := range victims {
		p.taken[t] = true
		p.freed[machine] = p.freed[machine].Plus(t.Job.Request)
	}
	p.victims = append(p.victims, victims...)
}

// projectedFree returns a machine's free resources after its stopping tasks and victims end.
func (p *preemptionSearch) projectedFree(machine *cluster.Machine) resources.Amount {
	return machine.Unassigned.Plus(machine.Stopping).Plus(p.freed[machine])
}

// reserveOrPreempt finds machines for tasks of a job that could not be placed. It reserves
// resources that stopping tasks will free, and preempts tasks only if these don't suffice. It
// preempts nothing for a gang that could not start even then.
func (s *Scheduler) reserveOrPreempt(j *cluster.Job, tasks int, perZone map[string]int) {
	if j.BestEffort() {
		return // best-effort jobs only use idle resources
	}
	p := &preemptionSearch{job: j}
	before := freeSnapshot{}
	for n := range tasks {
		machine := s.findPreemptionTarget(p, perZone, n == 0)
		if machine == nil && j.Kind == protocol.Gang {
			s.restoreFree(before)
			return
		}
		if machine == nil {
			break
		}
		before.save(machine)
		assign(machine, j, perZone)
	}
	s.countPreemption(j, len(p.victims))
	for _, victim := range p.victims {
		s.context.Stats.TasksPreempted++
		s.jobs.Preempt(victim, "preempted for "+j.ID)
		if machine := victim.Machine; !slices.Contains(s.cycle.freeing, machine) {
			s.cycle.freeing = append(s.cycle.freeing, machine)
		}
	}
}

// maxPreemptionRounds is the number of cycles that may preempt tasks for a job without any task of it
// being placed. After that, whatever is believed about the machines, preemption makes no room for it.
const maxPreemptionRounds = 2

// countPreemption counts a cycle that preempted tasks for a job. If such cycles make no room, the next
// one has to wait.
func (s *Scheduler) countPreemption(j *cluster.Job, victims int) {
	if victims == 0 {
		return
	}
	placement := &j.Placement
	placement.PreemptionRounds++
	if placement.PreemptionRounds < maxPreemptionRounds {
		return
	}
	placement.PreemptNotBefore = s.context.Monotonic() + s.timing.Workers.Lease
	if placement.PreemptionRounds > maxPreemptionRounds {
		s.context.Stats.FutilePreemptions++
		s.context.Log(message.Info, "preemption makes no room", "job", j.ID, "class", j.Class, "rounds", placement.PreemptionRounds, "preempted", victims)
	}
}

// findPreemptionTarget returns a machine on which one more task will fit, possibly after
// preempting further tasks.
func (s *Scheduler) findPreemptionTarget(p *preemptionSearch, perZone map[string]int, first bool) *cluster.Machine {
	if machine := s.findProjectedFit(p, perZone); machine != nil {
		return machine
	}
	if s.context.Monotonic() < p.job.Placement.PreemptNotBefore {
		return nil
	}
	machine, victims := s.chooseVictims(p, perZone, first)
	if machine != nil {
		p.addVictims(machine, victims)
	}
	return machine
}

// findProjectedFit returns a machine on which a task will fit once stopping tasks have ended.
func (s *Scheduler) findProjectedFit(p *preemptionSearch, perZone map[string]int) *cluster.Machine {
	if machine := s.firstFit(p, perZone, s.feasibleMachines(p.job)); machine != nil {
		return machine
	}
	if machine := s.firstFit(p, perZone, s.cycle.freeing); machine != nil {
		return machine
	}
	if len(p.freed) == 0 {
		return nil
	}
	// Machines with victims of this job are tried in order of their names.
	byName := make([]*cluster.Machine, 0, len(p.freed))
	for machine := range p.freed {
		byName = append(byName, machine)
	}
	slices.SortFunc(byName, func(a, b *cluster.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return s.firstFit(p, perZone, byName)
}

// firstFit returns the first machine of a list on which a task will fit.
func (s *Scheduler) firstFit(p *preemptionSearch, perZone map[string]int, list []*cluster.Machine) *cluster.Machine {
	for _, machine := range list {
		s.context.Stats.MachinesExamined++
		if s.fits(p.job, machine, p.projectedFree(machine), perZone) {
			return machine
		}
	}
	return nil
}

// chooseVictims returns the cheapest set of tasks found on one machine whose preemption allows a
// task of the job to fit there. It returns none if the cost exceeds MaxPreemptionCostS.
func (s *Scheduler) chooseVictims(p *preemptionSearch, perZone map[string]int, first bool) (*cluster.Machine, []*cluster.Task) {
	j := p.job
	c := preemptionClass{s.RequestClass(j), rank(j), j.Placement.WithinGuarantee, j.Team}
	// Free resources only shrink within a cycle, so a failed search holds for every job of the
	// same class. A search whose result depends on the job itself is not cached: one under zone
	// limits, and one for a task after the first, for which resources are already reserved.
	isCacheable := first && !j.Spread && !j.OneZone && !j.Failures.JobAtFault
	if isCacheable && s.cycle.preemptionFailed[c] {
		return nil, nil
	}
	best, victims, cost := s.cheapestVictims(p, perZone, s.preemptableMachines(c.rank))
	if cost > s.options.MaxPreemptionCostS {
		if isCacheable && best == nil {
			s.cycle.preemptionFailed[c] = true
		}
		return nil, nil
	}
	return best, victims
}

// cheapestVictims compares a random sample of the machines in list, which it shuffles.
func (s *Scheduler) cheapestVictims(
	p *preemptionSearch, perZone map[string]int, list []*cluster.Machine,
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

// victimsOn selects tasks on a machine, cheapest first, until a task of the job fits. It
// returns none if the task would not fit even with all of them preempted.
func (s *Scheduler) victimsOn(p *preemptionSearch, machine *cluster.Machine) (victims []*cluster.Task, cost float64) {
	j := p.job
	free := p.projectedFree(machine)
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
		if j.Request.FitsIn(free) {
			break
		}
		free = free.Plus(t.Job.Request)
		victims = append(victims, t)
		cost += s.preemptionCostS(t)
	}
	if !j.Request.FitsIn(free) {
		return nil, 0
	}
	return victims, cost
}

// preemptableMachines returns the machines with tasks of a rank lower than the given one. The
// list stays valid for the cycle: jobs are scheduled by descending rank, so tasks placed later
// rank no lower than the jobs that remain in the queue.
func (s *Scheduler) preemptableMachines(rank int) []*cluster.Machine {
	c := &s.cycle
	if c.preemptableByRank == nil {
		c.preemptableByRank = map[int][]*cluster.Machine{}
		for _, machine := range s.state.MachinesByName {
			machine.LowestRank = s.lowestRank(machine)
		}
	}
	list, ok := c.preemptableByRank[rank]
	if ok {
		return list
	}
	for _, machine := range s.state.MachinesByName {
		if machine.Worker.Registered && machine.LowestRank < rank {
			list = append(list, machine)
		}
	}
	c.preemptableByRank[rank] = list
	return list
}

// lowestRank returns the lowest rank of the tasks on a machine that are neither stopping nor
// cancelled.
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

// Costs of preempting a task, in seconds of lost work.
const (
	runningReplicaCostS  = 240
	startingReplicaCostS = 30
	priorityCostS        = 60 // per priority level of a replica
	restartCostS         = 10
)

// preemptionCostS returns the cost of preempting a task, in seconds of lost work.
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
