package scheduling

import (
	"oakpick/internal/cluster"
)

// scheduleGang starts a gang if there is a machine for every member, or replaces missing members
// of an attempt that has not run yet.
func (s *Scheduler) scheduleGang(j *cluster.Job) {
	if j.Gang.Ending {
		return
	}
	idle := j.IdleTasks()
	if idle < j.Tasks-j.DoneTasks && j.Gang.HasRun {
		return
	}
	if j.TasksAwaitingRecord(idle) > 0 {
		s.recordUnplaced(j, tasksWithinLimit(j, idle))
		return
	}
	if !s.jobs.CanRecordGang(j) {
		s.recordUnplaced(j, 0)
		return
	}
	if left := tasksWithinLimit(j, idle); left < idle {
		s.preemptWithinTeam(j, idle-left)
		return
	}
	machines := s.machinesForGang(j, idle)
	switch {
	case machines != nil:
		s.startGang(j, machines)
	case j.Failures.JobAtFault:
		s.recordFailingUnplaced(j, idle)
	default:
		s.recordUnplaced(j, idle)
		s.reserveOrPreempt(j, idle, j.TasksPerZone())
	}
}

// machinesForGang returns a machine for each of the members, or nil if any of them fits nowhere.
func (s *Scheduler) machinesForGang(j *cluster.Job, members int) []*cluster.Machine {
	if !j.OneZone || len(j.ActiveTasks) > 0 {
		return s.machinesInZone(j, members, "")
	}
	for _, zone := range s.zones {
		if machines := s.machinesInZone(j, members, zone); machines != nil {
			return machines
		}
	}
	return nil
}

// machinesInZone is like machinesForGang, but limited to a zone if one is given.
func (s *Scheduler) machinesInZone(j *cluster.Job, members int, zone string) []*cluster.Machine {
	perZone := j.TasksPerZone()
	var machines []*cluster.Machine
	before := freeSnapshot{}
	for range members {
		machine := s.chooseInZone(j, perZone, zone)
		if machine == nil {
			s.restoreFree(before)
			return nil
		}
		before.save(machine)
		assign(machine, j, perZone)
		machines = append(machines, machine)
	}
	return machines
}

// chooseInZone is like chooseMachine, but limited to a zone if one is given.
func (s *Scheduler) chooseInZone(j *cluster.Job, perZone map[string]int, zone string) *cluster.Machine {
	if zone == "" {
		return s.chooseMachine(j, perZone)
	}
	jobZone := j.Zone
	if jobZone != "" && jobZone != zone {
		return nil
	}
	j.Zone = zone
	machine := s.chooseMachine(j, perZone)
	j.Zone = jobZone
	return machine
}

// startGang records the starts of all missing members. No start command is sent until all of
// them are durable.
func (s *Scheduler) startGang(j *cluster.Job, machines []*cluster.Machine) {
	if len(j.ActiveTasks) == 0 {
		j.GangAttempt++
		j.Gang.HasRun = false
		s.store.MarkDirty(s.context.Monotonic(), j.Blocks[0], nil)
	}
	var members []*cluster.Task
	waiter := j.StartWaiter(func() {
		for _, t := range members {
			s.jobs.StartCommitted(t)
		}
	})
	s.recordAttempt(j)
	j.Placement.UnplacedSince = 0
	recordPlaced(j)
	for _, machine := range machines {
		index := j.NextIdle(s.store.MaxItemSize())
		members = append(members, s.jobs.Start(j, index, machine, waiter))
	}
}
