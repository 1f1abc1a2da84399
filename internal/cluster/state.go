// Package cluster holds a leader's in-memory state of the cluster: jobs and their tasks, machines
// and teams, as derived from the stored records and from reports of workers, users and the cloud.
// It keeps the counters across them consistent. The packages built on it decide what happens: jobs,
// workers, scheduling and autoscaling.
package cluster

import (
	"cmp"
	"slices"

	"oakpick/internal/config"
	"oakpick/internal/dependency"
	"oakpick/internal/resources"
	"oakpick/internal/step"
)

// State is a leader's in-memory state of the cluster. Each term starts with a new one.
type State struct {
	context *step.Context

	Jobs      map[string]*Job // jobs that have not ended, by ID
	JobOrder  []*Job          // sorted by when they were submitted or became ready
	EndedJobs map[string]*EndedJob
	Teams     map[string]*Team
	Classes   map[string]*WorkloadClass
	// Dependencies has the jobs of JobOrder that have prerequisites or dependents.
	Dependencies *dependency.Graph

	Machines       map[string]*Machine
	MachinesByName []*Machine // sorted
	// ReleasedMachines are the machines that were released to the cloud in this term.
	ReleasedMachines map[string]bool
	Catalog          Catalog

	// NeedsScheduling is set by every change that may allow a task to start.
	NeedsScheduling bool

	// pendingCommands are the machines that have commands to be sent.
	pendingCommands []*Machine
}

// NewState returns the state of a cluster without jobs and machines. Teams without a guarantee are
// best effort if another team has one.
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

// Team returns a team, creating it if the settings no longer name it.
func (s *State) Team(name string) *Team {
	t := s.Teams[name]
	if t == nil {
		t = &Team{Team: config.Team{Name: name}}
		s.Teams[name] = t
	}
	return t
}

// AddJob adds a job that has not ended, at the end of the order.
func (s *State) AddJob(j *Job) {
	s.Jobs[j.ID] = j
	s.JobOrder = append(s.JobOrder, j)
}

// HasJob reports whether a job is in memory: it has not ended, or its end is not yet in the archive.
func (s *State) HasJob(id string) bool { return s.Jobs[id] != nil || s.EndedJobs[id] != nil }

// MoveJobToEnd moves a job to the end of the order.
func (s *State) MoveJobToEnd(j *Job) {
	s.RemoveFromOrder(j)
	s.JobOrder = append(s.JobOrder, j)
}

// RemoveFromOrder removes a job from the order.
func (s *State) RemoveFromOrder(j *Job) {
	s.JobOrder = slices.DeleteFunc(s.JobOrder, func(x *Job) bool { return x == j })
}

// Machine returns a machine, creating one with nothing but a name if it is unknown.
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

// RemoveMachine removes a machine from the state.
func (s *State) RemoveMachine(m *Machine) {
	delete(s.Machines, m.Name)
	s.MachinesByName = slices.DeleteFunc(s.MachinesByName, func(x *Machine) bool { return x == m })
}

// QueueCommands marks a machine as having commands to be sent.
func (s *State) QueueCommands(m *Machine) {
	m.Commands.Pending = true
	if !m.Commands.queued {
		m.Commands.queued = true
		s.pendingCommands = append(s.pendingCommands, m)
	}
}

// QueueCommandsToAll marks every machine as having commands to be sent.
func (s *State) QueueCommandsToAll() {
	for _, m := range s.MachinesByName {
		s.QueueCommands(m)
	}
}

// FlushPendingCommands calls send for each machine that has commands to be sent. The machines for
// which it returns true stay queued.
func (s *State) FlushPendingCommands(send func(*Machine) (keepQueued bool)) {
	pending := s.pendingCommands
	s.pendingCommands = s.pendingCommands[:0]
	for _, m := range pending {
		m.Commands.queued = send(m)
		if m.Commands.queued {
			s.pendingCommands = append(s.pendingCommands, m)
		}
	}
}

// Free returns the capacity of a machine that is not used by its recorded or unknown tasks. known is
// false if the catalog doesn't have the machine's type, so that its capacity is unknown.
func (s *State) Free(m *Machine) (free resources.Amount, known bool) {
	machineType := s.Catalog.Type(m.Type)
	if machineType == nil {
		return resources.Amount{}, false
	}
	free = Capacity(machineType).Minus(m.Allocated)
	for _, status := range m.Worker.UnknownTasks {
		// A task that is no longer in the records still uses its resources. Their amount is known
		// only while its job is in memory.
		if j := s.Jobs[status.Job]; j != nil && !hasExited(status) {
			free = free.Minus(j.Request)
		}
	}
	return free, true
}

// FetchTimeS returns how many seconds it would take until a job's image is available on a machine.
func (s *State) FetchTimeS(j *Job, m *Machine) float64 {
	return m.Images.fetchTimeS(s.context.Monotonic(), j.Image, j.ImageGB, s.Catalog.Type(m.Type))
}

// ExpectedRunS returns the expected run time of a job's tasks in seconds. The mean observed for its
// class takes precedence over its owner's estimate, which is often wrong.
func (s *State) ExpectedRunS(j *Job) float64 {
	if c := s.Classes[j.Class]; c != nil && c.MeanRunS > 0 {
		return c.MeanRunS
	}
	return j.EstimatedRunS
}
