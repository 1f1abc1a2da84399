package autoscaling

import (
	"maps"
	"math"
	"slices"

	"oakpick/internal/cluster"
	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

// lostReplicaFactor is for how many times as many replicas machines are provisioned if they
// were lost while they ran: of several machines one is up sooner than any one of them, and the
// rest are released.
const lostReplicaFactor = 2

// scaleOut packs what waits, and the room to be kept, into what is free, expected, and has to
// be provisioned. It returns the machines that the plan needs.
func (a *Autoscaler) scaleOut() map[*cluster.Machine]bool {
	p := newPacking(a, a.presentBins())
	for _, unplaced := range a.scheduler.Unplaced() {
		j := unplaced.Job
		if j.Lifecycle.Ended || j.Cancelled {
			continue
		}
		tasks := min(unplaced.Tasks, j.IdleTasks())
		if j.Kind == protocol.Service && j.HasRun {
			tasks *= lostReplicaFactor
		}
		p.add(j, tasks, j.TasksPerZone(), false)
	}
	a.packWarmRoom(p)
	if !a.provision(p.bins[p.existing:]) {
		a.consolidate(p.bins)
	}
	needed := p.needed()
	a.releaseFromBestEffort(needed)
	return needed
}

// packWarmRoom packs the room that is kept free for what is expected to arrive. Room for what
// may use spot machines is kept on those only: it isn't worth an ordinary machine.
func (a *Autoscaler) packWarmRoom(p *packing) {
	p.warm = true
	for _, name := range slices.Sorted(maps.Keys(a.state.Classes)) {
		if c := a.state.Classes[name]; c.Sample != nil && !c.Sample.BestEffort() {
			p.add(c.Sample, a.warmTasks(c), map[string]int{}, c.Sample.Spot)
		}
	}
}

// presentBins are the machines that can be counted on, and those asked for.
func (a *Autoscaler) presentBins() []*bin {
	var bins []*bin
	for _, machine := range a.state.MachinesByName {
		machineType := a.state.Catalog.Type(machine.Type)
		switch {
		case machineType == nil:
		case a.scheduler.Schedulable(machine):
			// The place of a stopping task is free long before a new machine is up.
			room := a.state.Free(machine).Plus(machine.Stopping)
			bins = append(bins, &bin{machine: machine, offering: machine.Offering(), room: room})
		case a.scheduler.ExpectedToJoin(machine):
			bins = append(bins, a.bootingBin(machine, machineType))
		}
	}
	for _, request := range a.requests {
		machineType := a.state.Catalog.Type(request.Type)
		if machineType == nil || request.Answered {
			continue
		}
		o := cluster.Offering{Type: request.Type, Zone: request.Zone, Spot: request.Spot}
		for range request.Count {
			bins = append(bins, &bin{offering: o, room: cluster.Capacity(machineType), readyIn: config.Seconds(machineType.BootS)})
		}
	}
	return bins
}

// minBootShare is the part of its type's boot time that a booting machine is taken to need
// still, however long it has been booting.
const minBootShare = 10

func (a *Autoscaler) bootingBin(machine *cluster.Machine, machineType *protocol.MachineType) *bin {
	age := a.context.Monotonic() - machine.Provisioning.ProvisionedAt
	return &bin{
		machine: machine, offering: machine.Offering(), room: cluster.Capacity(machineType),
		readyIn: max(config.Seconds(machineType.BootS)-age, config.Seconds(machineType.BootS/minBootShare)),
		overdue: age > config.Seconds(machineType.BootS*overdueBootFactor),
	}
}

// provision asks for machines, and reports whether ordinary ones are among them. What is asked
// for is in the next plan already, so several requests for one offering are no more machines,
// only sooner. Each offering has its turn.
func (a *Autoscaler) provision(bins []*bin) (ordinary bool) {
	counts := map[demand]int{}
	var demands []demand
	for _, b := range bins {
		d := demand{b.offering, b.bestEffort}
		if counts[d] == 0 {
			demands = append(demands, d)
		}
		counts[d]++
	}
	for more := true; more; {
		more = false
		for _, d := range demands {
			if counts[d] > 0 {
				requested := a.request(d, min(counts[d], protocol.MaxScaleOut))
				counts[d] -= requested
				more = more || requested > 0
			}
		}
	}
	return slices.ContainsFunc(demands, func(d demand) bool { return !d.Spot })
}

// arrivalLeases is over how many worker leases arrivals are counted.
const arrivalLeases = 10

// warmTasks is how many tasks of a class to keep room for: what may arrive, beyond what leaves,
// while a machine boots.
func (a *Autoscaler) warmTasks(c *cluster.WorkloadClass) int {
	now := a.context.Monotonic()
	window := a.timing.Lease * arrivalLeases
	arrivals := 0
	for _, at := range c.Arrivals {
		if now-at < window {
			arrivals++
		}
	}
	span := min(window, max(now-a.leadership.LeadingSince(), a.timing.Lease))
	expected := float64(arrivals) / span.Seconds() * a.longestBootS(c)
	deviations := a.options.WarmRoom
	if c.Sample != nil && c.Sample.Kind == protocol.Array {
		deviations /= 2 // its tasks needn't all run at once
	}
	return int(math.Round(deviations * math.Sqrt(expected) * c.MeanTasks))
}

// longestBootS is the boot time, in seconds, of the slowest type that holds a class's task.
func (a *Autoscaler) longestBootS(c *cluster.WorkloadClass) float64 {
	longest := 0.0
	for i := range a.state.Catalog.Types {
		machineType := &a.state.Catalog.Types[i]
		if c.Request.FitsIn(cluster.Capacity(machineType)) {
			longest = max(longest, machineType.BootS)
		}
	}
	return longest
}

const (
	// maxTasksWithGPUs is how many tasks without GPUs a machine with GPUs is taken to hold.
	maxTasksWithGPUs = 8
	// zoneWeight is by how much each task in a zone makes an offering there dearer.
	zoneWeight = 0.01
)

// cheapestOffering is the one that gives a task of the job its place for the least, of those
// that may be had.
func (a *Autoscaler) cheapestOffering(j *cluster.Job, perZone map[string]int, tasks int, spotOnly bool) (best cluster.Offering, ok bool) {
	bestCost := math.Inf(1)
	for i := range a.state.Catalog.Types {
		machineType := &a.state.Catalog.Types[i]
		slots := usableSlots(j, machineType, tasks)
		if slots == 0 {
			continue
		}
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				o := cluster.Offering{Type: machineType.Name, Zone: zone, Spot: spot}
				if spotOnly && !spot || !a.mayProvision(j, o, perZone) {
					continue
				}
				cost := a.state.Catalog.Price(o) / float64(slots) * (1 + zoneWeight*float64(perZone[zone]))
				if cost < bestCost {
					best, bestCost = o, cost
				}
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// usableSlots is how many tasks of a job, of so many that wait, would be on a machine of a
// type. Nobody else will use its GPUs.
func usableSlots(j *cluster.Job, machineType *protocol.MachineType, tasks int) int {
	slots := cluster.TasksPerMachine(j, machineType)
	if slots == 0 || j.Request.GPUs > 0 {
		return slots
	}
	slots = min(slots, max(tasks, 1))
	if machineType.GPUs > 0 {
		slots = min(slots, maxTasksWithGPUs)
	}
	return slots
}

func (a *Autoscaler) mayProvision(j *cluster.Job, o cluster.Offering, perZone map[string]int) bool {
	return j.AllowedOn(o) && j.AllowsZone(o.Zone, perZone) && a.context.Monotonic() >= a.outOfCapacity[o] && a.scheduler.WorthProvisioning(j, o)
}
