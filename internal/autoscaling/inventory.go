package autoscaling

import (
	"slices"
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// inventory is the state of reading the cloud's list of machines.
type inventory struct {
	nextReadAt time.Duration
	reading    bool
	listsRead  int             // number of complete lists read
	listed     map[string]bool // names of the machines on the pages of the current list read so far
}

// vanishedLagFactor is the multiple of the list's lag that, plus a worker lease, an unreachable
// machine has to be missing from the list before it is removed.
const vanishedLagFactor = 4

// readInventory requests the list of machines if a read is due.
func (a *Autoscaler) readInventory() {
	if a.inventory.reading || a.context.Monotonic() < a.inventory.nextReadAt {
		return
	}
	a.inventory.reading = a.send(message.CloudCall{Op: message.CloudListMachines}, cloudCall{})
	a.inventory.listed = map[string]bool{}
}

// handleMachineList processes a page of the list and requests the next one, if any.
func (a *Autoscaler) handleMachineList(result message.CloudResult) {
	a.inventory.reading = false
	if result.Outcome != rpc.OK {
		a.inventory.nextReadAt = a.context.Monotonic() + a.timing.HeartbeatInterval
		return
	}
	machines := result.List.Machines
	for _, listed := range machines {
		a.inventory.listed[listed.Name] = true
		if !a.state.ReleasedMachines[listed.Name] {
			a.updateListed(listed)
		}
	}
	if result.List.More && len(machines) > 0 {
		next := message.CloudCall{Op: message.CloudListMachines, StartAfter: machines[len(machines)-1].Name}
		a.inventory.reading = a.send(next, cloudCall{})
		return
	}
	a.finishList()
}

// updateListed updates a machine's state from its entry in the list.
func (a *Autoscaler) updateListed(listed protocol.Machine) {
	now := a.context.Monotonic()
	known := a.state.Machines[listed.Name] != nil
	machine := a.state.Machine(listed.Name)
	provisioning := &machine.Provisioning
	if !known || !machine.Worker.Registered && provisioning.ListedAt == 0 {
		provisioning.ProvisionedAt = now - config.Seconds(listed.AgeS)
	}
	machine.SetOffering(listed.Type, listed.Zone, listed.Spot)
	provisioning.ListedAt = now
	if listed.Status == protocol.MachineRunning && provisioning.RunningAt == 0 {
		provisioning.RunningAt = now
	}
	if listed.Status == protocol.MachineFailed && !provisioning.Failed {
		provisioning.Failed = true
		a.context.Log(message.Info, "machine failed", "machine", machine.Name, "tasks", len(machine.Tasks))
		a.state.NeedsScheduling = true
	}
}

// finishList removes machines that have been missing from the list for a long time. A list may
// be stale, so a machine counts as gone only if it is absent from many lists.
func (a *Autoscaler) finishList() {
	now := a.context.Monotonic()
	lag := config.Seconds(a.settings.ListLagS)
	a.inventory.listsRead++
	a.inventory.nextReadAt = now + max(lag/2, a.timing.HeartbeatInterval)
	for _, machine := range slices.Clone(a.state.MachinesByName) {
		if a.inventory.listed[machine.Name] || len(machine.Tasks) > 0 {
			continue
		}
		lastKnownAt := max(machine.Provisioning.ListedAt, machine.Provisioning.ProvisionedAt, machine.Worker.LastSeenAt, a.leadership.LeadingSince())
		if unreachable(machine) && now-lastKnownAt > vanishedLagFactor*lag+a.timing.Lease {
			a.state.RemoveMachine(machine)
		}
	}
}

// unreachable reports whether a machine's worker has not registered or its lease has expired.
func unreachable(machine *cluster.Machine) bool {
	return !machine.Worker.Registered || machine.Worker.Expired()
}
