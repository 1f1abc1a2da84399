package scheduling

import (
	"oakpick/internal/cluster"
	"oakpick/internal/resources"
)

// cycle caches intermediate results of one scheduling cycle, so that machines need not be examined
// again for every waiting task.
type cycle struct {
	feasible map[cluster.RequestClass][]*cluster.Machine // machines with enough free resources for a task of the class
	freeing  []*cluster.Machine                          // machines with stopping tasks
	booting  []*cluster.Machine
	suspect  []*cluster.Machine // machines that are registered and suspect
	// preemptableByRank lists, by rank, the machines with tasks of a lower rank.
	preemptableByRank map[int][]*cluster.Machine
	// preemptionFailed has the classes of jobs for which no preemption frees enough resources.
	preemptionFailed map[preemptionClass]bool
	// noVictimsUpToRank is, by team, the highest rank for which the team has no task to preempt.
	noVictimsUpToRank map[*cluster.Team]int

	machinesExamined int64
	tasksExamined    int64 // tasks considered for preemption
}

// tasksPerMachineExamination is the number of tasks that take as long to examine as a machine.
const tasksPerMachineExamination = 16

// examined returns the work that the cycle did, in units of one machine examined.
func (c *cycle) examined() int64 {
	return c.machinesExamined + c.tasksExamined/tasksPerMachineExamination
}

// preemptionClass groups jobs that may preempt the same tasks.
type preemptionClass struct {
	cluster.RequestClass
	rank            int
	withinGuarantee bool
	team            *cluster.Team
}

func (s *Scheduler) beginCycle() {
	c := &s.cycle
	c.feasible, c.preemptionFailed = map[cluster.RequestClass][]*cluster.Machine{}, map[preemptionClass]bool{}
	c.noVictimsUpToRank = map[*cluster.Team]int{}
	c.freeing, c.booting, c.suspect, c.preemptableByRank = c.freeing[:0], c.booting[:0], c.suspect[:0], nil
	for _, t := range s.state.Teams {
		t.Reserved = resources.Amount{}
	}
	for _, machine := range s.state.MachinesByName {
		s.context.Stats.MachinesExamined++
		machine.Unassigned, _ = s.state.Free(machine) // a machine of unknown capacity is not reachable
		if !machine.Worker.Registered {
			c.booting = append(c.booting, machine)
		} else if machine.Stopping != (resources.Amount{}) {
			c.freeing = append(c.freeing, machine)
		}
		if machine.Worker.Registered && machine.Health.Suspect(s.context.Monotonic()) {
			c.suspect = append(c.suspect, machine)
		}
	}
}

// feasibleMachines returns the machines with enough free resources for a task of the job.
func (s *Scheduler) feasibleMachines(j *cluster.Job) []*cluster.Machine {
	class := s.RequestClass(j)
	list, ok := s.cycle.feasible[class]
	if ok {
		return list
	}
	for _, machine := range s.state.MachinesByName {
		s.context.Stats.MachinesExamined++
		if s.Schedulable(machine) && j.AllowedOn(machine.Offering()) && j.Request.FitsIn(s.UsableResources(j, machine, machine.Unassigned)) {
			list = append(list, machine)
		}
	}
	s.cycle.feasible[class] = list
	return list
}

// freeSnapshot has the unassigned resources of machines before tasks were assigned to them.
type freeSnapshot map[*cluster.Machine]resources.Amount

// save records the unassigned resources of a machine unless they are recorded already.
func (r freeSnapshot) save(machine *cluster.Machine) {
	if _, ok := r[machine]; !ok {
		r[machine] = machine.Unassigned
	}
}

// restoreFree resets the machines' unassigned resources to those of the snapshot.
func (s *Scheduler) restoreFree(r freeSnapshot) {
	for machine, free := range r {
		machine.Unassigned = free
	}
	if len(r) > 0 {
		clear(s.cycle.feasible)
	}
}
