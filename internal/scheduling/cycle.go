package scheduling

import (
	"oakpick/internal/cluster"
	"oakpick/internal/resources"
)

// cycle is what one scheduling cycle has found out so far, so that a machine isn't examined
// again for every task that waits.
type cycle struct {
	withRoom map[cluster.RequestClass][]*cluster.Machine // machines with room for such a task
	freeing  []*cluster.Machine                          // those that stopping tasks are about to leave
	booting  []*cluster.Machine
	// withTasksBelow has, by rank, the machines with tasks that jobs of it may have stopped.
	withTasksBelow map[int][]*cluster.Machine
	// noRoomByPreemption are the claims for which no task that may be stopped makes room.
	noRoomByPreemption map[claim]bool
	// nothingBelow is up to which rank a team's jobs can have no task of the team stopped.
	nothingBelow map[*cluster.Team]int

	machinesExamined int64
	tasksExamined    int64 // of machines where some might be stopped
}

// tasksPerExamination is how many tasks take as long to examine as a machine.
const tasksPerExamination = 16

// examined is how much a cycle has examined, in machines.
func (c *cycle) examined() int64 { return c.machinesExamined + c.tasksExamined/tasksPerExamination }

// claim is what tells apart jobs that may have other tasks stopped.
type claim struct {
	cluster.RequestClass
	rank        int
	withinQuota bool
	team        *cluster.Team
}

func (s *Scheduler) beginCycle() {
	c := &s.cycle
	c.withRoom, c.noRoomByPreemption = map[cluster.RequestClass][]*cluster.Machine{}, map[claim]bool{}
	c.nothingBelow = map[*cluster.Team]int{}
	c.freeing, c.booting, c.withTasksBelow = c.freeing[:0], c.booting[:0], nil
	for _, t := range s.state.Teams {
		t.Promised = resources.Amount{}
	}
	for _, machine := range s.state.MachinesByName {
		s.context.Stats.MachinesExamined++
		machine.ProjectedFree = s.state.Free(machine)
		if !machine.Worker.Registered {
			c.booting = append(c.booting, machine)
		} else if machine.Stopping != (resources.Amount{}) {
			c.freeing = append(c.freeing, machine)
		}
	}
}

// machinesWithRoom lists the machines with room for a task of a job.
func (s *Scheduler) machinesWithRoom(j *cluster.Job) []*cluster.Machine {
	class := s.RequestClass(j)
	list, ok := s.cycle.withRoom[class]
	if ok {
		return list
	}
	for _, machine := range s.state.MachinesByName {
		s.context.Stats.MachinesExamined++
		if s.Schedulable(machine) && j.AllowedOn(machine.Offering()) && j.Request.FitsIn(s.UsableResources(j, machine, machine.ProjectedFree)) {
			list = append(list, machine)
		}
	}
	s.cycle.withRoom[class] = list
	return list
}

// reservations are the rooms of machines before a cycle has set some of them aside.
type reservations map[*cluster.Machine]resources.Amount

// remember keeps the room of a machine, unless it is kept already.
func (r reservations) remember(machine *cluster.Machine) {
	if _, ok := r[machine]; !ok {
		r[machine] = machine.ProjectedFree
	}
}

// undo gives back what was set aside.
func (s *Scheduler) undo(r reservations) {
	for machine, free := range r {
		machine.ProjectedFree = free
	}
	if len(r) > 0 {
		clear(s.cycle.withRoom)
	}
}
