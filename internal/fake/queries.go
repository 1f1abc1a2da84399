package fake

import (
	"encoding/json"
	"slices"
	"time"

	"oakpick/internal/controller"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// KnownMachines returns how many machines the leader's admin status lists as booting, up or silent,
// or -1 if there is no leader.
func (w *World) KnownMachines() int {
	leader := w.Leader()
	if leader == nil {
		return -1
	}
	known := -1
	leader.Request(message.AdminRequest{Kind: message.AdminStatus}, func(r message.Reply) {
		var status controller.Status
		if json.Unmarshal(r.Body, &status) != nil || status.Leads == nil {
			return
		}
		known = 0
		for _, m := range status.Leads.Machines {
			known += m.Booting + m.Up + m.Silent
		}
	})
	return known
}

// RunningTasks returns the number of running tasks of a job.
func (w *World) RunningTasks(id string) int {
	count := 0
	for a := range w.attemptsOnMachines(id) {
		if a.State == protocol.Running {
			count++
		}
	}
	return count
}

// attemptsOnMachines returns the attempts of a job whose tasks are on machines.
func (w *World) attemptsOnMachines(id string) map[*attempt]bool {
	if j := w.Jobs[id]; j != nil {
		return j.attemptsOnMachines
	}
	return nil
}

// TasksOnMachines returns the number of tasks of all jobs that are on machines.
func (w *World) TasksOnMachines() int {
	count := 0
	for _, name := range w.workerNames {
		count += w.Workers[name].tasksOnMachine()
	}
	return count
}

// MachinesOf returns the sorted names of the machines that have tasks of a job.
func (w *World) MachinesOf(id string) []string {
	var names []string
	for a := range w.attemptsOnMachines(id) {
		names = append(names, a.worker.machine.Name)
	}
	slices.Sort(names)
	return names
}

// MachineNames returns the names of the machines that have booted and are not terminated.
func (w *World) MachineNames() []string {
	var names []string
	for _, name := range w.workerNames {
		if !w.Workers[name].terminated {
			names = append(names, name)
		}
	}
	return names
}

// TypeOf returns a machine's type.
func (w *World) TypeOf(name string) string { return w.Workers[name].machine.Type }

// ZoneOf returns a machine's zone.
func (w *World) ZoneOf(name string) string { return w.Workers[name].machine.Zone }

// Incarnation returns the current incarnation of a machine's worker.
func (w *World) Incarnation(name string) int64 { return w.Workers[name].incarnation }

// AnnounceInterruption makes the cloud terminate a machine after the given time, and notifies the
// machine's worker now.
func (w *World) AnnounceInterruption(name string, in time.Duration) {
	if worker := w.Workers[name]; worker != nil && !worker.terminated {
		worker.interruptionAt = w.Now + in
		worker.heartbeatSoon()
	}
}
