package autoscaling

import (
	"maps"
	"math"
	"slices"

	"oakpick/internal/cluster"
	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

// lostReplicaFactor is the factor by which machines are overprovisioned for replicas that were
// lost while running. The first of several machines to boot is up sooner than a single one
// would be; the surplus is released.
const lostReplicaFactor = 2

// scaleOut packs the unplaced tasks and the headroom into existing, expected and new machines, and
// requests the new ones. It returns the existing machines that the plan needs.
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
	a.packHeadroom(p)
	if !a.provision(p.bins[p.existingBins:]) {
		a.consolidate(p.bins)
	}
	needed := p.needed()
	a.drainBestEffortMachines(needed)
	return needed
}

// packHeadroom packs the headroom: the capacity that is kept free for expected arrivals. For jobs
// that may use spot machines it is kept on these only, since it doesn't justify an on-demand
// machine.
func (a *Autoscaler) packHeadroom(p *packing) {
	p.headroom = true
	for _, name := range slices.Sorted(maps.Keys(a.state.Classes)) {
		if c := a.state.Classes[name]; c.LatestJob != nil && !c.LatestJob.BestEffort() {
			p.add(c.LatestJob, a.headroomTasks(c), map[string]int{}, c.LatestJob.Spot)
		}
	}
}

// presentBins returns bins for the machines that are up, booting or requested.
func (a *Autoscaler) presentBins() []*bin {
	var bins []*bin
	for _, machine := range a.state.MachinesByName {
		machineType := a.state.Catalog.Type(machine.Type)
		switch {
		case machineType == nil:
		case a.scheduler.Schedulable(machine):
			// A stopping task's resources are free long before a new machine would be up.
			free, _ := a.state.Free(machine) // its type is known
			bins = append(bins, &bin{machine: machine, offering: machine.Offering(), free: free.Plus(machine.Stopping)})
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
			bins = append(bins, &bin{offering: o, free: cluster.Capacity(machineType), readyIn: config.Seconds(machineType.BootS)})
		}
	}
	return bins
}

// minRemainingBootDivisor is the divisor of a type's boot time that gives the least remaining boot
// time assumed for a machine, however long it has been booting.
const minRemainingBootDivisor = 10

func (a *Autoscaler) bootingBin(machine *cluster.Machine, machineType *protocol.MachineType) *bin {
	age := a.context.Monotonic() - machine.Provisioning.ProvisionedAt
	return &bin{
		machine: machine, offering: machine.Offering(), free: cluster.Capacity(machineType),
		readyIn: max(config.Seconds(machineType.BootS)-age, config.Seconds(machineType.BootS/minRemainingBootDivisor)),
		overdue: age > config.Seconds(machineType.BootS*overdueBootFactor),
	}
}

// provision requests machines and reports whether the plan needs on-demand ones. It may make
// several requests for one offering at once. This provisions the machines sooner, but no more of
// them, since the next plan counts those already requested. The offerings take turns.
func (a *Autoscaler) provision(bins []*bin) (onDemand bool) {
	counts := map[machineDemand]int{}
	var demands []machineDemand
	for _, b := range bins {
		d := machineDemand{b.offering, b.bestEffort}
		if counts[d] == 0 {
			demands = append(demands, d)
		}
		counts[d]++
	}
	for more := true; more; {
		more = false
		for _, d := range demands {
			if counts[d] > 0 {
				requested := a.createRequest(d, min(counts[d], protocol.MaxScaleOut))
				counts[d] -= requested
				more = more || requested > 0
			}
		}
	}
	return slices.ContainsFunc(demands, func(d machineDemand) bool { return !d.Spot })
}

// arrivalWindowLeases is the window over which arrivals are counted, in worker leases.
const arrivalWindowLeases = 10

// headroomTasks returns the number of tasks of a class to keep headroom for: the arrivals in excess
// of departures that may occur while a machine boots.
func (a *Autoscaler) headroomTasks(c *cluster.WorkloadClass) int {
	now := a.context.Monotonic()
	window := a.timing.Lease * arrivalWindowLeases
	arrivals := 0
	for _, at := range c.Arrivals {
		if now-at < window {
			arrivals++
		}
	}
	span := min(window, max(now-a.leadership.LeadingSince(), a.timing.Lease))
	expected := float64(arrivals) / span.Seconds() * a.longestBootS(c)
	deviations := a.options.HeadroomStdDevs
	if c.LatestJob != nil && c.LatestJob.Kind == protocol.Array {
		deviations /= 2 // the tasks of an array need not all run at the same time
	}
	return int(math.Round(deviations * math.Sqrt(expected) * c.MeanTasks))
}

// longestBootS returns the longest boot time, in seconds, of the types that fit a class's task.
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
	// maxCPUTasksPerGPUMachine is the assumed maximum of tasks without GPUs on a machine with GPUs.
	maxCPUTasksPerGPUMachine = 8
	// zoneSpreadWeight is the relative price increase of an offering per task of the job in its zone.
	zoneSpreadWeight = 0.01
)

// cheapestOffering returns the offering with the lowest cost per task of the job among those
// that may be provisioned.
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
				cost := a.state.Catalog.Price(o) / float64(slots) * (1 + zoneSpreadWeight*float64(perZone[zone]))
				if cost < bestCost {
					best, bestCost = o, cost
				}
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// usableSlots returns how many tasks of a job are expected to share a machine of a type. For a job
// without GPUs that is at most the given number of waiting tasks, and at most
// maxCPUTasksPerGPUMachine on a machine with GPUs, because no other job is expected to use its
// GPUs.
func usableSlots(j *cluster.Job, machineType *protocol.MachineType, tasks int) int {
	slots := cluster.TasksPerMachine(j, machineType)
	if slots == 0 || j.Request.GPUs > 0 {
		return slots
	}
	slots = min(slots, max(tasks, 1))
	if machineType.GPUs > 0 {
		slots = min(slots, maxCPUTasksPerGPUMachine)
	}
	return slots
}

func (a *Autoscaler) mayProvision(j *cluster.Job, o cluster.Offering, perZone map[string]int) bool {
	return j.AllowedOn(o) && j.AllowsZone(o.Zone, perZone) && a.context.Monotonic() >= a.outOfCapacity[o] && a.scheduler.WorthProvisioning(j, o)
}
