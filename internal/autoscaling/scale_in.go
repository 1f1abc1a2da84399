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

// silentReleaseLeases is the number of worker leases without contact after which a machine is
// released.
const silentReleaseLeases = 5

// idleTimeout returns how long an empty machine of a type is kept. The default is the type's boot
// time: by then, keeping the machine has cost as much as booting another one.
func (a *Autoscaler) idleTimeout(machineType *protocol.MachineType) time.Duration {
	if a.options.IdleTimeoutS > 0 || machineType == nil {
		return config.Seconds(a.options.IdleTimeoutS)
	}
	return config.Seconds(machineType.BootS)
}

// scaleIn releases machines that are empty, failed, unreachable or never came up.
func (a *Autoscaler) scaleIn(needed map[*cluster.Machine]bool) {
	var names []string
	for _, machine := range a.state.MachinesByName {
		if machine.Provisioning.ReleaseRequested || len(names) >= protocol.MaxScaleIn {
			continue
		}
		reason := a.releaseReason(machine, needed[machine])
		if reason == "" {
			continue
		}
		if !machine.Provisioning.Releasing { // logged once, even if the request has to be repeated
			a.context.Log(message.Info, "machine released", "machine", machine.Name, "type", machine.Type, "reason", reason)
		}
		names = append(names, machine.Name)
	}
	if len(names) == 0 {
		return
	}
	slices.Sort(names)
	requested := a.send(message.CloudCall{Op: message.CloudScaleIn, Machines: names}, cloudCall{machines: names})
	for _, name := range names {
		provisioning := &a.state.Machines[name].Provisioning
		provisioning.ReleaseRequested = requested
		provisioning.Releasing = true // nothing is placed there, even if the request has to be repeated
	}
}

// releaseReason returns why a machine is to be released, or "" if it isn't.
func (a *Autoscaler) releaseReason(machine *cluster.Machine, needed bool) string {
	switch {
	case machine.Provisioning.Releasing:
		return "release requested before"
	case machine.Provisioning.Failed:
		return "failed"
	case !machine.Worker.Registered:
		return a.unregisteredReleaseReason(machine)
	case machine.Worker.Expired() && a.context.SilenceDuration(machine.Worker.LastSeenAt) > a.timing.Lease*silentReleaseLeases:
		return "silent"
	case len(machine.Tasks) > 0:
		return ""
	case machine.Health.Cordoned:
		return "cordoned"
	case len(machine.Worker.UnknownTasks) > 0:
		return ""
	case machine.Provisioning.Draining:
		return "drained"
	case a.state.Catalog.Type(machine.Type) == nil:
		return "" // whether a waiting task fits there isn't known
	case !needed && machine.Worker.InterruptionAt == 0 && a.idleFor(machine) > a.idleTimeout(a.state.Catalog.Type(machine.Type)):
		return "idle"
	}
	return ""
}

// idleFor returns for how long a machine has been empty, counting from the start of this term
// at the earliest.
func (a *Autoscaler) idleFor(machine *cluster.Machine) time.Duration {
	return a.context.SilenceDuration(max(machine.Provisioning.EmptySince, a.leadership.LeadingSince()))
}

// unregisteredReleaseReason returns why a machine that has not registered in this term is to be
// released, or "" if it isn't.
func (a *Autoscaler) unregisteredReleaseReason(machine *cluster.Machine) string {
	if len(machine.Tasks) > 0 {
		return ""
	}
	provisioning := &machine.Provisioning
	if provisioning.RunningAt > 0 {
		// The machine came up in an earlier term and is disconnected. It may come back.
		if a.context.SilenceDuration(provisioning.RunningAt) > a.timing.Lease*silentReleaseLeases {
			return "silent"
		}
		return ""
	}
	machineType := a.state.Catalog.Type(machine.Type)
	if machineType == nil {
		return ""
	}
	if a.context.Monotonic()-provisioning.ProvisionedAt > config.Seconds(machineType.BootS*a.options.BootTimeoutMultiple) {
		return "never came up"
	}
	return ""
}

// handleScaleIn processes the cloud's answer to a release request.
func (a *Autoscaler) handleScaleIn(names []string, result message.CloudResult) {
	for _, name := range names {
		machine := a.state.Machines[name]
		if machine == nil {
			continue
		}
		if result.Outcome != rpc.OK {
			machine.Provisioning.ReleaseRequested = false
			continue
		}
		for _, t := range slices.Clone(machine.Tasks) {
			a.jobs.MarkLost(t, "machine released")
		}
		a.state.RemoveMachine(machine)
		a.state.ReleasedMachines[name] = true
		a.context.Stats.MachinesReleased++
	}
	if result.Outcome == rpc.OK {
		a.state.NeedsScheduling = true
	}
}
