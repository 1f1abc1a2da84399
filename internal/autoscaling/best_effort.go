package autoscaling

import (
	"oakpick/internal/cluster"
	"oakpick/internal/message"
)

// drainBestEffortMachines drains machines that run only best-effort tasks and cost more than is
// worth paying for these. Tasks that checkpoint are preempted and resume elsewhere; the others
// run to their end.
func (a *Autoscaler) drainBestEffortMachines(needed map[*cluster.Machine]bool) {
	for _, unplaced := range a.scheduler.Unplaced() {
		j := unplaced.Job
		if unplaced.Tasks > 0 && j.BestEffort() && a.scheduler.Starving(j) {
			return // the job may use any free resources, also those of such machines
		}
	}
	for _, machine := range a.state.MachinesByName {
		if !a.onlyBestEffort(machine) || needed[machine] || machine.Worker.InterruptionAt != 0 || machine.Provisioning.Releasing {
			continue
		}
		if !machine.Provisioning.Draining {
			machine.Provisioning.Draining = true
			a.context.Log(message.Info, "machine draining", "machine", machine.Name, "type", machine.Type, "tasks", len(machine.Tasks),
				"reason", "too expensive for its best-effort tasks")
		}
		for _, t := range machine.Tasks {
			if t.Job.Checkpoints() && !t.Stopping {
				a.jobs.Preempt(t, "machine too expensive for best-effort tasks")
				break // one task per plan, so that the next plan sees the freed resources
			}
		}
	}
}

// onlyBestEffort reports whether a machine has tasks, and all of them belong to best-effort jobs
// that it isn't worth provisioning for.
func (a *Autoscaler) onlyBestEffort(machine *cluster.Machine) bool {
	if !machine.Worker.Registered || len(machine.Tasks) == 0 || machine.GuaranteedTasks > 0 || a.state.Catalog.Type(machine.Type) == nil {
		return false
	}
	for _, t := range machine.Tasks {
		if t.Job.Cancelled || a.scheduler.WorthProvisioning(t.Job, machine.Offering()) {
			return false
		}
	}
	return true
}
