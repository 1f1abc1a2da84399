package scheduling

import (
	"math"

	"oakpick/internal/cluster"
	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

// chooseMachine picks a machine for one task: the best of a few sampled from those with room
// that have lately reported.
func (s *Scheduler) chooseMachine(j *cluster.Job, perZone map[string]int) *cluster.Machine {
	if nominated := s.takeNominated(j, perZone); nominated != nil {
		return nominated
	}
	best := s.bestOfSample(j, perZone)
	if best != nil && s.shouldAwaitBooting(j, best) {
		return nil
	}
	return best
}

// takeNominated gives the machine that a replica was to be moved to, once, if it still can.
func (s *Scheduler) takeNominated(j *cluster.Job, perZone map[string]int) *cluster.Machine {
	machine := j.Placement.Nominated
	if machine == nil {
		return nil
	}
	j.Placement.Nominated = nil
	if !s.fits(j, machine, machine.ProjectedFree, perZone) || j.Failures.Machines[machine.Name] {
		return nil
	}
	return machine
}

// candidate is a machine and what a task would cost there.
type candidate struct {
	machine *cluster.Machine
	cost    float64
}

// beats reports whether a candidate is better than another. Of equals the first by name is:
// they fill up one after the other, not side by side.
func (c candidate) beats(other candidate) bool {
	return c.cost < other.cost || c.cost == other.cost && c.machine.Name < other.machine.Name
}

// bestOfSample compares a few machines with room, drawn at random. Those where the job has
// failed count only if there is no other.
func (s *Scheduler) bestOfSample(j *cluster.Job, perZone map[string]int) *cluster.Machine {
	list := s.machinesWithRoom(j)
	best, failedThere := candidate{cost: math.Inf(1)}, candidate{cost: math.Inf(1)}
	for i, sampled := 0, 0; i < len(list) && sampled < s.options.SampleSize; {
		s.context.Stats.MachinesExamined++
		drawn := i + s.context.Random.IntN(len(list)-i)
		machine := list[drawn]
		if !j.Request.FitsIn(s.UsableResources(j, machine, machine.ProjectedFree)) { // filled up in this cycle
			list[drawn] = list[len(list)-1]
			list = list[:len(list)-1]
			s.cycle.withRoom[s.RequestClass(j)] = list
			continue
		}
		list[i], list[drawn] = machine, list[i]
		i++
		if !j.AllowsZone(machine.Zone, perZone) {
			continue
		}
		c := candidate{machine, s.cost(j, machine)}
		if j.Failures.Machines[machine.Name] {
			if c.cost < failedThere.cost {
				failedThere = c
			}
			continue
		}
		sampled++
		if c.beats(best) {
			best = c
		}
	}
	if best.machine == nil {
		return failedThere.machine
	}
	return best.machine
}

const (
	// minFetchS is how many seconds a fetch has to take for a task to wait for another machine.
	minFetchS = 1
	// queuedFetchFactor is by how much longer than alone a fetch has to take for that.
	queuedFetchFactor = 1.3
)

// shouldAwaitBooting reports whether a task should rather wait for a machine that is about to
// be up than have its image fetched beside another one: both would be late.
func (s *Scheduler) shouldAwaitBooting(j *cluster.Job, machine *cluster.Machine) bool {
	now := s.context.Monotonic()
	machineType := s.state.Catalog.Type(machine.Type)
	if machineType == nil || machineType.FetchGBPerS <= 0 {
		return false
	}
	aloneS := j.ImageGB / machineType.FetchGBPerS
	if aloneS < minFetchS || s.state.FetchTimeS(j, machine) < queuedFetchFactor*aloneS {
		return false
	}
	if j.Placement.HoldUntil == 0 {
		j.Placement.HoldUntil = now + config.Seconds(aloneS/2)
	}
	if now >= j.Placement.HoldUntil {
		return false
	}
	for _, booting := range s.cycle.booting {
		s.context.Stats.MachinesExamined++
		if !s.ExpectedToJoin(booting) || !j.AllowedOn(booting.Offering()) {
			continue
		}
		boot := config.Seconds(s.state.Catalog.Type(booting.Type).BootS)
		age := now - booting.Provisioning.ProvisionedAt
		if age > boot-config.Seconds(aloneS/2) && age < boot*5/4 {
			return true
		}
	}
	return false
}

// lateBootFactor is for how many times its type's boot time a machine that isn't up is still
// counted on.
const lateBootFactor = 1.5

// ExpectedToJoin reports whether a machine that hasn't reported yet can still be counted on.
func (s *Scheduler) ExpectedToJoin(machine *cluster.Machine) bool {
	machineType := s.state.Catalog.Type(machine.Type)
	if machine.Worker.Registered || machineType == nil || machine.Provisioning.Releasing || machine.Provisioning.Failed {
		return false
	}
	age := s.context.Monotonic() - machine.Provisioning.ProvisionedAt
	return age < config.Seconds(machineType.BootS*lateBootFactor)
}

// Costs of a place, in seconds that a task's start may be later for it.
const (
	fetchWeight           = 0.8 // for each second of the image's fetch
	lateReplicaWeight     = 0.2 // the same beyond that, for a replica that is late already
	lateStartCost         = 40  // the fetch makes the start late
	strandedGPUsCost      = 60  // GPUs are left with too few processors to be used
	unusedCost            = 25  // for a machine that stays wholly unused
	needlessOnDemandCost  = 10  // an ordinary machine for what may use spot ones
	emptyMachineCost      = 15  // it could be released
	failingCommandsCost   = 50  // commands haven't been getting through
	startMargin           = 0.9 // part of the time left that the fetch may take
	startMarginS          = 0.5
	usefulProcessorsShare = 0.75 // of those that belong to a GPU have to stay with it
)

// cost ranks machines for a task: by packing, since a machine that empties can be released,
// and by the image's fetch, during which the place does nothing. A fetch that would make the
// start late by its class's objective counts far more.
func (s *Scheduler) cost(j *cluster.Job, machine *cluster.Machine) float64 {
	cost := s.fetchCost(j, machine)
	unused, strandsGPUs := s.unusedShare(j, machine)
	if strandsGPUs {
		cost += strandedGPUsCost
	}
	cost += unusedCost * unused
	if j.Spot && !machine.Spot {
		cost += needlessOnDemandCost
	}
	if len(machine.Tasks) == 0 {
		cost += emptyMachineCost
	}
	if machine.Commands.Failures > 0 {
		cost += failingCommandsCost
	}
	return cost
}

func (s *Scheduler) fetchCost(j *cluster.Job, machine *cluster.Machine) float64 {
	fetch := s.state.FetchTimeS(j, machine)
	cost := fetchWeight * fetch
	within := s.startObjective[j.Class]
	if within <= 0 {
		return cost
	}
	waited := float64(s.context.Now.WallMs-j.ReadyMs) / msPerS
	left := within - waited
	if left > 0 && fetch > startMargin*left-startMarginS {
		cost += lateStartCost
	} else if left <= 0 && j.Kind == protocol.Service {
		cost += lateReplicaWeight * fetch // every second that the replica is away counts
	}
	return cost
}

// unusedShare is the part of a machine's scarcest resource that stays unused beside a task,
// and whether it leaves GPUs with too few processors.
func (s *Scheduler) unusedShare(j *cluster.Job, machine *cluster.Machine) (share float64, strandsGPUs bool) {
	left := machine.ProjectedFree.Minus(j.Request)
	total := cluster.Capacity(s.state.Catalog.Type(machine.Type))
	if total.GPUs > 0 && j.Request.GPUs > 0 {
		return left.GPUs / total.GPUs, false
	}
	if total.GPUs > 0 {
		strandsGPUs = left.CPUs < left.GPUs*total.CPUs/total.GPUs*usefulProcessorsShare
	}
	return left.CPUs / total.CPUs, strandsGPUs
}
