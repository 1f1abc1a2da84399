package controller

import (
	"oakpick/internal/archive"
	"oakpick/internal/cluster"
	"oakpick/internal/message"
)

// Status is the status of a node as reported by the administration API.
type Status struct {
	Node   string        `json:"node"`
	Role   string        `json:"role"`
	Term   int64         `json:"term"`
	Leader string        `json:"leader"`
	UpS    float64       `json:"up_s"`
	Counts message.Stats `json:"counts"`
	Leads  *LeaderStatus `json:"leads,omitempty"`
}

// LeaderStatus is the part of the status that only the leader can report.
type LeaderStatus struct {
	SinceS              float64                  `json:"since_s"`
	LeaseRemainingS     float64                  `json:"certain_for_s"`
	Jobs                int                      `json:"jobs"`
	EndedJobs           int                      `json:"over"` // in memory, that is, not in the archive
	Archive             archive.Status           `json:"archive"`
	Classes             map[string]ClassCounts   `json:"classes"`
	Teams               map[string]TeamUsage     `json:"teams"`
	Machines            map[string]MachineCounts `json:"machines"`
	UnconfirmedMachines []string                 `json:"machines_in_doubt"` // machines at which unconfirmed start commands may still arrive
	CordonedMachines    []string                 `json:"machines_set_aside"`
	FailingJobs         []string                 `json:"jobs_failing_everywhere"`
	DamagedJobs         map[string]string        `json:"damaged_jobs,omitempty"` // reasons by job ID
	PagesToWrite        int                      `json:"pages_to_write"`
	OldestPageWaitS     float64                  `json:"oldest_page_waits_s"`
	BudgetFill          float64                  `json:"write_budget_fill"` // from 0 to 1
	BudgetWaitS         float64                  `json:"write_budget_waits_s"`
	Pages               int                      `json:"pages"`
	OversizedPages      int                      `json:"pages_above_limits_to_come"`
	SteppedDownPeers    []string                 `json:"peers_let_go"`
}

// ClassCounts are the counts of jobs and tasks of a class.
type ClassCounts struct {
	Jobs        int `json:"jobs"`
	Waiting     int `json:"waiting"`
	Placed      int `json:"placed"`
	Running     int `json:"running"`
	BlockedJobs int `json:"waiting_for_prerequisites"`
}

// TeamUsage is the resource usage of a team, with its guarantee and limit.
type TeamUsage struct {
	Waiting        int     `json:"waiting"` // tasks
	CPUs           float64 `json:"cpus"`
	GuaranteedCPUs float64 `json:"cpus_guaranteed"`
	CPULimit       float64 `json:"cpus_at_most"`
	GPUs           float64 `json:"gpus"`
	GuaranteedGPUs float64 `json:"gpus_guaranteed"`
	GPULimit       float64 `json:"gpus_at_most"`
}

// MachineCounts are the counts of machines of a type, by state.
type MachineCounts struct {
	Booting int `json:"booting"`
	Up      int `json:"up"`
	Silent  int `json:"silent"`
	Spot    int `json:"spot"`
	Empty   int `json:"empty"`
}

func (c *Controller) status() Status {
	s := Status{
		Node: c.config.Node, Role: c.Role(), Term: c.elector.Token(), Leader: c.elector.KnownLeader(),
		UpS: c.context.Monotonic().Seconds(), Counts: c.context.Stats,
	}
	if c.leader != nil {
		s.Leads = c.leader.status()
	}
	return s
}

func (l *leader) status() *LeaderStatus {
	now, elector := l.controller.context.Monotonic(), l.controller.elector
	pages, oldest := l.store.Backlog(now)
	budget := l.store.WriteBudget(now)
	s := &LeaderStatus{
		SinceS: (now - elector.LeadingSince()).Seconds(), LeaseRemainingS: max(0, elector.LeaseUntil()-now).Seconds(),
		Jobs: len(l.state.JobOrder), EndedJobs: len(l.state.EndedJobs), Archive: l.archive.Status(),
		Classes: map[string]ClassCounts{}, Teams: map[string]TeamUsage{}, Machines: map[string]MachineCounts{},
		UnconfirmedMachines: []string{}, CordonedMachines: []string{}, FailingJobs: l.failingJobs(), DamagedJobs: l.damagedJobs(),
		PagesToWrite: pages, OldestPageWaitS: oldest.Seconds(), BudgetFill: budget.Fill, BudgetWaitS: budget.WaitingFor.Seconds(), Pages: l.store.PageCount(), OversizedPages: l.store.OversizedPages(),
		SteppedDownPeers: elector.SteppedDownPeers(),
	}
	for name, t := range l.state.Teams {
		s.Teams[name] = TeamUsage{
			CPUs: t.Used.CPUs, GuaranteedCPUs: t.GuaranteedCPUs, CPULimit: t.CPULimit,
			GPUs: t.Used.GPUs, GuaranteedGPUs: t.GuaranteedGPUs, GPULimit: t.GPULimit,
		}
	}
	for _, j := range l.state.JobOrder {
		s.addJob(j)
	}
	for _, machine := range l.state.MachinesByName {
		l.addMachine(s, machine)
	}
	return s
}

func (s *LeaderStatus) addJob(j *cluster.Job) {
	class, team := s.Classes[j.Class], s.Teams[j.Team.Name]
	class.Jobs++
	if j.Blocked() {
		class.BlockedJobs++
	} else {
		class.Waiting += j.IdleTasks()
		team.Waiting += j.IdleTasks()
	}
	for _, t := range j.ActiveTasks {
		class.Placed++
		if t.SeenRunning() {
			class.Running++
		}
	}
	s.Classes[j.Class], s.Teams[j.Team.Name] = class, team
}

func (l *leader) addMachine(s *LeaderStatus, machine *cluster.Machine) {
	c := l.controller
	worker := &machine.Worker
	counts := s.Machines[machine.Type]
	switch {
	case !worker.Registered:
		counts.Booting++
	case worker.Expired() || c.context.Monotonic()-worker.LastSeenAt > c.timing.Workers.Lease:
		counts.Silent++
	default:
		counts.Up++
	}
	if machine.Spot {
		counts.Spot++
	}
	if worker.Registered && len(machine.Tasks) == 0 {
		counts.Empty++
	}
	s.Machines[machine.Type] = counts
	if machine.Commands.UnconfirmedToken >= c.elector.Token() {
		s.UnconfirmedMachines = append(s.UnconfirmedMachines, machine.Name)
	}
	if machine.Health.Cordoned {
		s.CordonedMachines = append(s.CordonedMachines, machine.Name)
	}
}

// damagedJobs returns why jobs are damaged, by job ID.
func (l *leader) damagedJobs() map[string]string {
	reasons := map[string]string{}
	for _, j := range l.state.JobOrder {
		if j.DamagedBy != nil {
			reasons[j.ID] = j.DamagedBy.Error()
		}
	}
	return reasons
}

// failingJobs returns the IDs of the jobs that fail on every machine.
func (l *leader) failingJobs() []string {
	ids := []string{}
	for _, j := range l.state.JobOrder {
		if j.Failures.JobAtFault && !j.Cancelled {
			ids = append(ids, j.ID)
		}
	}
	return ids
}
