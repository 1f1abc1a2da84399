// Package cluster is a leader's picture of the cluster: jobs and their tasks, machines and
// teams, as they follow from the stored records and from what workers, users and the cloud
// have said. It keeps the counts between them right; what happens to them is decided in the
// packages above: jobs, workers, scheduling and autoscaling.
package cluster

import (
	"cmp"
	"slices"

	"oakpick/internal/config"
	"oakpick/internal/dependency"
	"oakpick/internal/resources"
	"oakpick/internal/step"
)

// State is the whole picture. It begins anew with every term.
type State struct {
	context *step.Context

	Jobs      map[string]*Job // that aren't over, by id
	JobOrder  []*Job          // in the order in which they were submitted or became ready
	EndedJobs map[string]*EndedJob
	Teams     map[string]*Team
	Classes   map[string]*WorkloadClass
	// Dependencies has the jobs of JobOrder that need others or are needed.
	Dependencies *dependency.Graph

	Machines       map[string]*Machine
	MachinesByName []*Machine // sorted
	// ReleasedMachines were given back to the cloud in this term.
	ReleasedMachines map[string]bool
	Catalog          Catalog

	// NeedsScheduling is set by whatever may let a task start.
	NeedsScheduling bool

	// pendingCommands are the machines that are to be told something.
	pendingCommands []*Machine
}

// NewState returns the picture of a cluster without jobs and machines. Teams without a
// guarantee run best effort, if others have one.
func NewState(context *step.Context, teams []config.Team) *State {
	s := &State{
		context: context,
		Jobs:    map[string]*Job{}, EndedJobs: map[string]*EndedJob{}, Teams: map[string]*Team{}, Classes: map[string]*WorkloadClass{},
		Dependencies: dependency.NewGraph(),
		Machines:     map[string]*Machine{}, ReleasedMachines: map[string]bool{},
		NeedsScheduling: true,
	}
	anyGuarantee := slices.ContainsFunc(teams, hasGuarantee)
	for _, t := range teams {
		s.Teams[t.Name] = &Team{Team: t, BestEffort: anyGuarantee && !hasGuarantee(t)}
	}
	return s
}

// Team finds a team, or adds one that the settings no longer name.
func (s *State) Team(name string) *Team {
	t := s.Teams[name]
	if t == nil {
		t = &Team{Team: config.Team{Name: name}}
		s.Teams[name] = t
	}
	return t
}

// AddJob adds a job that isn't over, as the last one.
func (s *State) AddJob(j *Job) {
	s.Jobs[j.ID] = j
	s.JobOrder = append(s.JobOrder, j)
}

// KnowsJob reports whether a job is in memory: not over, or its end not yet in the archive.
func (s *State) KnowsJob(id string) bool { return s.Jobs[id] != nil || s.EndedJobs[id] != nil }

// MoveJobToEnd makes a job the last in the order.
func (s *State) MoveJobToEnd(j *Job) {
	s.RemoveFromOrder(j)
	s.JobOrder = append(s.JobOrder, j)
}

// RemoveFromOrder takes a job out of the order.
func (s *State) RemoveFromOrder(j *Job) {
	s.JobOrder = slices.DeleteFunc(s.JobOrder, func(x *Job) bool { return x == j })
}

// Machine finds a machine, or adds one of which nothing but the name is known.
func (s *State) Machine(name string) *Machine {
	if m := s.Machines[name]; m != nil {
		return m
	}
	m := newMachine(name, s.context.Monotonic())
	s.Machines[name] = m
	i, _ := slices.BinarySearchFunc(s.MachinesByName, name, func(m *Machine, name string) int { return cmp.Compare(m.Name, name) })
	s.MachinesByName = slices.Insert(s.MachinesByName, i, m)
	return m
}

// RemoveMachine forgets a machine.
func (s *State) RemoveMachine(m *Machine) {
	delete(s.Machines, m.Name)
	s.MachinesByName = slices.DeleteFunc(s.MachinesByName, func(x *Machine) bool { return x == m })
}

// QueueCommands notes that there are commands for a machine.
func (s *State) QueueCommands(m *Machine) {
	m.Commands.Pending = true
	if !m.Commands.queued {
		m.Commands.queued = true
		s.pendingCommands = append(s.pendingCommands, m)
	}
}

// QueueCommandsToAll notes that there are commands for every machine.
func (s *State) QueueCommandsToAll() {
	for _, m := range s.MachinesByName {
		s.QueueCommands(m)
	}
}

// FlushPendingCommands calls a function for every machine for which there are commands. The
// machines for which it returns true stay queued.
func (s *State) FlushPendingCommands(send func(*Machine) (again bool)) {
	pending := s.pendingCommands
	s.pendingCommands = s.pendingCommands[:0]
	for _, m := range pending {
		m.Commands.queued = send(m)
		if m.Commands.queued {
			s.pendingCommands = append(s.pendingCommands, m)
		}
	}
}

// Free is the room that the records leave on a machine.
func (s *State) Free(m *Machine) resources.Amount {
	machineType := s.Catalog.Type(m.Type)
	if machineType == nil {
		return resources.Amount{}
	}
	free := Capacity(machineType).Minus(m.Allocated)
	for _, status := range m.Worker.UnknownTasks {
		// A task that isn't in the records any more still takes its room; how much is known
		// only while its job is.
		if j := s.Jobs[status.Job]; j != nil && !hasExited(status) {
			free = free.Minus(j.Request)
		}
	}
	return free
}

// FetchTimeS is how many seconds the image of a job's task would take to be on a machine.
func (s *State) FetchTimeS(j *Job, m *Machine) float64 {
	return m.Images.fetchTimeS(s.context.Monotonic(), j.Image, j.ImageGB, s.Catalog.Type(m.Type))
}

// ExpectedRunS is how many seconds a task of a job is expected to run: what was seen of its
// class counts more than its owner's estimate, which is often wrong.
func (s *State) ExpectedRunS(j *Job) float64 {
	if c := s.Classes[j.Class]; c != nil && c.MeanRunS > 0 {
		return c.MeanRunS
	}
	return j.EstimatedRunS
}
