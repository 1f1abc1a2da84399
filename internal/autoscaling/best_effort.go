package autoscaling

import (
	"oakpick/internal/cluster"
	"oakpick/internal/message"
)

// releaseFromBestEffort drains machines that are kept for best-effort tasks alone and aren't
// worth it. Tasks that checkpoint are stopped and go on elsewhere; the others end by
// themselves.
func (a *Autoscaler) releaseFromBestEffort(needed map[*cluster.Machine]bool) {
	for _, unplaced := range a.scheduler.Unplaced() {
		j := unplaced.Job
		if unplaced.Tasks > 0 && j.BestEffort() && a.scheduler.Starving(j) {
			return // it waits for any room, also of such a machine
		}
	}
	for _, machine := range a.state.MachinesByName {
		if !a.onlyBestEffort(machine) || needed[machine] || machine.Worker.InterruptionAt != 0 || machine.Provisioning.Releasing {
			continue
		}
		if !machine.Provisioning.Draining {
			machine.Provisioning.Draining = true
			a.context.Log(message.Info, "machine draining", "machine", machine.Name, "type", machine.Type, "tasks", len(machine.Tasks),
				"reason", "only best-effort teams use it")
		}
		for _, t := range machine.Tasks {
			if t.Job.Checkpoints() && !t.Stopping {
				a.jobs.Preempt(t, "its machine costs more than the work is worth")
				break // one a plan: what it leaves is seen before the next
			}
		}
	}
}

// onlyBestEffort reports whether a machine has tasks, all of best-effort teams for which it
// isn't worth provisioning.
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
