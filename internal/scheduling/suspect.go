package scheduling

import (
	"cmp"
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/protocol"
)

// suspectWaitLeases is how long a job has to have waited for other machines before its tasks are placed
// on suspect ones, as a multiple of the worker lease. Most find another machine by then.
const suspectWaitLeases = 2

// maxSuspectWait bounds that time if leases are long: a job that has nowhere else to go must start well
// within protocol.MaxWaitWithRoomS.
const maxSuspectWait = protocol.MaxWaitWithRoomS * time.Second / 3

// mayUseSuspect reports whether a job has waited so long that its tasks may be placed on suspect machines.
func (s *Scheduler) mayUseSuspect(j *cluster.Job) bool {
	since := j.Placement.UnplacedSince
	return since != 0 && s.context.Monotonic()-since >= min(suspectWaitLeases*s.timing.Workers.Lease, maxSuspectWait)
}

// bestSuspect picks a suspect machine for a task that fits no other machine: one on which the job has
// not failed, if possible, and the one with the fewest failures. It returns nil if there is none that
// may be given a task now.
func (s *Scheduler) bestSuspect(j *cluster.Job, perZone map[string]int) *cluster.Machine {
	var best *cluster.Machine
	for _, machine := range s.cycle.suspect {
		s.context.Stats.MachinesExamined++
		usable := s.UsableResources(j, machine, machine.Unassigned)
		if !s.reachable(machine) || !j.Request.FitsIn(usable) || !j.AllowedOn(machine.Offering()) || !j.AllowsZone(machine.Zone, perZone) {
			continue
		}
		if best == nil || trialOrder(j, machine, best) < 0 {
			best = machine
		}
	}
	return best
}

// trialOrder compares two suspect machines by how promising they are for a job's task.
func trialOrder(j *cluster.Job, a, b *cluster.Machine) int {
	failed := func(machine *cluster.Machine) int {
		if j.Failures.Machines[machine.Name] {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(failed(a), failed(b)), cmp.Compare(a.Health.Failures, b.Health.Failures))
}
