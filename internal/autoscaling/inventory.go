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

// inventory is the reading of the cloud's list of machines.
type inventory struct {
	readAt    time.Duration // when it is read next
	reading   bool
	listsRead int // whole lists
	listed    map[string]bool
}

// vanishedLags is for how many times the list's lag, and a worker's lease, a silent machine
// has to be missing from it to be forgotten.
const vanishedLags = 4

// readInventory reads the list of machines if that is due.
func (a *Autoscaler) readInventory() {
	if a.inventory.reading || a.context.Monotonic() < a.inventory.readAt {
		return
	}
	a.inventory.reading = a.send(message.CloudCall{Op: message.CloudListMachines}, cloudCall{})
	a.inventory.listed = map[string]bool{}
}

// machinesListed takes in a part of the list.
func (a *Autoscaler) machinesListed(result message.CloudResult) {
	a.inventory.reading = false
	if result.Outcome != rpc.OK {
		a.inventory.readAt = a.context.Monotonic() + a.timing.HeartbeatInterval
		return
	}
	machines := result.List.Machines
	for _, listed := range machines {
		a.inventory.listed[listed.Name] = true
		if !a.state.ReleasedMachines[listed.Name] {
			a.noteListed(listed)
		}
	}
	if result.List.More && len(machines) > 0 {
		next := message.CloudCall{Op: message.CloudListMachines, StartAfter: machines[len(machines)-1].Name}
		a.inventory.reading = a.send(next, cloudCall{})
		return
	}
	a.listComplete()
}

// noteListed takes in what the list says of a machine.
func (a *Autoscaler) noteListed(listed protocol.Machine) {
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

// listComplete forgets machines that are long gone. A list may be old, so one that lacks a
// machine proves nothing; many do.
func (a *Autoscaler) listComplete() {
	now := a.context.Monotonic()
	lag := config.Seconds(a.settings.ListLagS)
	a.inventory.listsRead++
	a.inventory.readAt = now + max(lag/2, a.timing.HeartbeatInterval)
	for _, machine := range slices.Clone(a.state.MachinesByName) {
		if a.inventory.listed[machine.Name] || len(machine.Tasks) > 0 {
			continue
		}
		lastKnownAt := max(machine.Provisioning.ListedAt, machine.Provisioning.ProvisionedAt, machine.Worker.LastSeenAt, a.leadership.LeadingSince())
		if cannotAnswer(machine) && now-lastKnownAt > vanishedLags*lag+a.timing.Lease {
			a.state.RemoveMachine(machine)
		}
	}
}

// cannotAnswer reports whether a machine's worker hasn't registered, or its lease has expired.
func cannotAnswer(machine *cluster.Machine) bool {
	return !machine.Worker.Registered || machine.Worker.Expired()
}
