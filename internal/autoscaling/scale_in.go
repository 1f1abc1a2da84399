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

// silentLeases is for how many worker leases a machine has to be silent to be released.
const silentLeases = 5

// idleTimeout is how long an empty machine of a type is kept: unless operators say otherwise,
// as long as another would take to boot, which is when keeping it has cost as much as that.
func (a *Autoscaler) idleTimeout(machineType *protocol.MachineType) time.Duration {
	if a.options.IdleS > 0 || machineType == nil {
		return config.Seconds(a.options.IdleS)
	}
	return config.Seconds(machineType.BootS)
}

// scaleIn releases machines that are empty, have failed or never came up.
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
		if !machine.Provisioning.Releasing { // once, however often it has to be asked for
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
		provisioning.Releasing = true // nothing new goes there, whenever the request gets through
	}
}

// releaseReason says why a machine is to be released; empty: it isn't.
func (a *Autoscaler) releaseReason(machine *cluster.Machine, needed bool) string {
	switch {
	case machine.Provisioning.Releasing:
		return "requested before"
	case machine.Provisioning.Failed:
		return "it has failed"
	case !machine.Worker.Registered:
		return a.unregisteredReleaseReason(machine)
	case machine.Worker.Expired() && a.context.SilenceDuration(machine.Worker.HeardAt) > a.timing.Lease*silentLeases:
		return "it is silent"
	case len(machine.Tasks) > 0:
		return ""
	case machine.Health.Cordoned:
		return "it is cordoned"
	case len(machine.Worker.UnknownTasks) > 0:
		return ""
	case machine.Provisioning.Draining:
		return "it was drained"
	case !needed && machine.Worker.InterruptionAt == 0 && a.idleFor(machine) > a.idleTimeout(a.state.Catalog.Type(machine.Type)):
		return "it is idle"
	}
	return ""
}

// idleFor is for how long a machine has been empty, as far as this leader knows.
func (a *Autoscaler) idleFor(machine *cluster.Machine) time.Duration {
	return a.context.SilenceDuration(max(machine.Provisioning.EmptySince, a.leadership.LeadingSince()))
}

// unregisteredReleaseReason says why a machine that hasn't reported in this term is to be
// released.
func (a *Autoscaler) unregisteredReleaseReason(machine *cluster.Machine) string {
	if len(machine.Tasks) > 0 {
		return ""
	}
	provisioning := &machine.Provisioning
	if provisioning.RunningAt > 0 {
		// It came up in an earlier term, and is cut off: it may come back.
		if a.context.SilenceDuration(provisioning.RunningAt) > a.timing.Lease*silentLeases {
			return "it is silent"
		}
		return ""
	}
	machineType := a.state.Catalog.Type(machine.Type)
	if machineType == nil {
		return ""
	}
	if a.context.Monotonic()-provisioning.ProvisionedAt > config.Seconds(machineType.BootS*a.options.GiveUpBoots) {
		return "it never came up"
	}
	return ""
}

// released takes in the cloud's answer to a release.
func (a *Autoscaler) released(names []string, result message.CloudResult) {
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
			a.jobs.Lose(t, "machine released")
		}
		a.state.RemoveMachine(machine)
		a.state.ReleasedMachines[name] = true
		a.context.Stats.MachinesScaledIn++
	}
	if result.Outcome == rpc.OK {
		a.state.NeedsScheduling = true
	}
}
