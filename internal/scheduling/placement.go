package scheduling

import (
	"math"

	"oakpick/internal/cluster"
	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

// chooseMachine picks a machine for one task: the nominated one, or else the best of a random
// sample of feasible machines, or else a suspect one if the job has waited long enough. It returns
// nil if there is none, or if the task should wait for a booting machine.
func (s *Scheduler) chooseMachine(j *cluster.Job, perZone map[string]int) *cluster.Machine {
	if nominated := s.takeNominated(j, perZone); nominated != nil {
		return nominated
	}
	best := s.bestOfSample(j, perZone)
	switch {
	case best == nil && s.mayUseSuspect(j):
		return s.bestSuspect(j, perZone)
	case best == nil:
		return nil
	case s.shouldAwaitBooting(j, best):
		return nil
	}
	return best
}

// takeNominated clears the job's nominated machine, the target of a replica's move, and returns
// the machine if the replica still fits there.
func (s *Scheduler) takeNominated(j *cluster.Job, perZone map[string]int) *cluster.Machine {
	machine := j.Placement.Nominated
	if machine == nil {
		return nil
	}
	j.Placement.Nominated = nil
	if !s.fits(j, machine, machine.Unassigned, perZone) || j.Failures.Machines[machine.Name] {
		return nil
	}
	return machine
}

// candidate is a machine and the cost of placing a task there.
type candidate struct {
	machine *cluster.Machine
	cost    float64
}

// beats reports whether a candidate is better than another. Ties are broken by name, so that
// equal machines are filled one after the other rather than evenly.
func (c candidate) beats(other candidate) bool {
	return c.cost < other.cost || c.cost == other.cost && c.machine.Name < other.machine.Name
}

// bestOfSample returns the best of a random sample of feasible machines. It returns a machine
// on which the job has failed before only if there is no other.
func (s *Scheduler) bestOfSample(j *cluster.Job, perZone map[string]int) *cluster.Machine {
	list := s.feasibleMachines(j)
	best, failedThere := candidate{cost: math.Inf(1)}, candidate{cost: math.Inf(1)}
	for i, sampled := 0, 0; i < len(list) && sampled < s.options.SampleSize; {
		s.context.Stats.MachinesExamined++
		drawn := i + s.context.Random.IntN(len(list)-i)
		machine := list[drawn]
		if !j.Request.FitsIn(s.UsableResources(j, machine, machine.Unassigned)) { // no longer feasible in this cycle
			list[drawn] = list[len(list)-1]
			list = list[:len(list)-1]
			s.cycle.feasible[s.RequestClass(j)] = list
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
	// minFetchS is the shortest image fetch, in seconds, that justifies waiting for another machine.
	minFetchS = 1
	// queuedFetchFactor is how many times longer than without competing fetches the image fetch
	// must be expected to take before the task waits for another machine.
	queuedFetchFactor = 1.3
)

// shouldAwaitBooting reports whether a task should wait for a machine that is about to finish
// booting. On the given machine its image fetch would compete with others, which delays them
// all.
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

// lateBootFactor is the multiple of its type's boot time after which a machine that has not
// registered is no longer expected to join.
const lateBootFactor = 1.5

// ExpectedToJoin reports whether a machine that has not registered yet is still expected to.
func (s *Scheduler) ExpectedToJoin(machine *cluster.Machine) bool {
	machineType := s.state.Catalog.Type(machine.Type)
	if machine.Worker.Registered || machineType == nil || machine.Provisioning.Releasing || machine.Provisioning.Failed {
		return false
	}
	age := s.context.Monotonic() - machine.Provisioning.ProvisionedAt
	return age < config.Seconds(machineType.BootS*lateBootFactor)
}

// Components of the cost of a placement, in seconds of start delay that they are worth.
const (
	fetchWeight              = 0.8 // per second of the image fetch
	lateReplicaWeight        = 0.2 // added per second of the fetch for a replica that is late already
	lateStartCost            = 40  // the fetch would make the task miss its start objective
	strandedGPUsCost         = 60  // the remaining processors are too few to use the free GPUs
	unusedCost               = 25  // for a machine that stays entirely unused; scaled by the unused share
	needlessOnDemandCost     = 10  // on-demand machine for a task that may use spot machines
	emptyMachineCost         = 15  // the machine could be released instead
	failingCommandsCost      = 50  // recent commands to the machine have failed
	maxFetchShare            = 0.9 // share of the time left until the objective that the fetch may take
	startMarginS             = 0.5
	minProcessorsPerGPUShare = 0.75 // share of a GPU's proportion of processors that has to stay free with it
)

// cost returns the cost of placing a task on a machine. It favors dense packing, because an
// empty machine can be released, and short image fetches, during which the allocated resources
// do nothing. A fetch that would make the task miss its class's start objective costs far more.
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
	within := s.startObjectiveS[j.Class]
	if within <= 0 {
		return cost
	}
	waited := float64(s.context.Now.WallMs-j.ReadyMs) / msPerS
	left := within - waited
	if left > 0 && fetch > maxFetchShare*left-startMarginS {
		cost += lateStartCost
	} else if left <= 0 && j.Kind == protocol.Service {
		cost += lateReplicaWeight * fetch // every second that the replica is unavailable counts
	}
	return cost
}

// unusedShare returns the share of a machine's scarcest resource that would stay unused with
// the task placed there, and whether the placement would leave GPUs with too few processors.
func (s *Scheduler) unusedShare(j *cluster.Job, machine *cluster.Machine) (share float64, strandsGPUs bool) {
	left := machine.Unassigned.Minus(j.Request)
	total := cluster.Capacity(s.state.Catalog.Type(machine.Type))
	if total.GPUs > 0 && j.Request.GPUs > 0 {
		return left.GPUs / total.GPUs, false
	}
	if total.GPUs > 0 {
		strandsGPUs = left.CPUs < left.GPUs*total.CPUs/total.GPUs*minProcessorsPerGPUShare
	}
	if total.CPUs == 0 {
		return 0, strandsGPUs
	}
	return left.CPUs / total.CPUs, strandsGPUs
}
