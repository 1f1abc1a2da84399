package scheduling

import (
	"math"
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/resources"
)

// Teams without a guarantee run best effort beside those that have one: their work runs on
// what the others leave idle. Machines are provisioned for it only where a place costs little
// more than the cheapest that its job may have, and machines that cost more are not kept for
// it.

// maxPriceRatio is how many times the cheapest place a place for a best-effort task may cost
// for a machine to be provisioned for it. Overdue work is bought elsewhere at twice its cost
// (see "How aims are counted" in the protocol), so nothing above that is worth it.
const maxPriceRatio = 2

// RequestClass is the class of a job's tasks in the present cycle.
func (s *Scheduler) RequestClass(j *cluster.Job) cluster.RequestClass {
	return j.RequestClass(j.BestEffort() && s.Starving(j))
}

// WorthProvisioning reports whether a machine may be provisioned, or kept, for a job's tasks
// alone.
func (s *Scheduler) WorthProvisioning(j *cluster.Job, o cluster.Offering) bool {
	if !j.BestEffort() {
		return true
	}
	worth := &j.Placement.WorthOffering
	if worth.Offerings == nil || worth.CatalogVersion != s.state.Catalog.Version {
		*worth = cluster.WorthOffering{CatalogVersion: s.state.Catalog.Version, Offerings: s.offeringsWorthProvisioning(j)}
	}
	return worth.Offerings[o]
}

// offeringsWorthProvisioning compares every place that a task of the job may have with the
// cheapest of them, whether there is one just now or not.
func (s *Scheduler) offeringsWorthProvisioning(j *cluster.Job) map[cluster.Offering]bool {
	prices := map[cluster.Offering]float64{}
	lowest := math.Inf(1)
	for i := range s.state.Catalog.Types {
		machineType := &s.state.Catalog.Types[i]
		if !j.Request.FitsIn(cluster.Capacity(machineType)) {
			continue
		}
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{true, false} {
				o := cluster.Offering{Type: machineType.Name, Zone: zone, Spot: spot}
				if j.AllowedOn(o) {
					prices[o] = s.state.Catalog.PricePerTask(j, o)
					lowest = min(lowest, prices[o])
				}
			}
		}
	}
	worth := map[cluster.Offering]bool{}
	for o, price := range prices {
		worth[o] = price <= maxPriceRatio*lowest
	}
	return worth
}

// Starving reports whether a job has waited for so long without any task that it is given
// whatever room there is.
func (s *Scheduler) Starving(j *cluster.Job) bool {
	if len(j.ActiveTasks) > 0 {
		return false
	}
	sinceReady := time.Duration(s.context.Now.WallMs-j.ReadyMs) * time.Millisecond
	waited := min(s.context.Monotonic()-j.Placement.IdleSince, sinceReady)
	return waited > s.timing.Scheduling.Patience
}

// UsableResources is what of the room on a machine a job's tasks may take. Best-effort work, on a
// machine that isn't worth provisioning for it, takes room only beside others' tasks, and only
// processors that no unused accelerator needs: work that comes for these starts at once.
func (s *Scheduler) UsableResources(j *cluster.Job, machine *cluster.Machine, room resources.Amount) resources.Amount {
	if !j.BestEffort() || s.WorthProvisioning(j, machine.Offering()) || s.Starving(j) {
		return room
	}
	machineType := s.state.Catalog.Type(machine.Type)
	if machineType == nil || machine.GuaranteedTasks == 0 {
		return resources.Amount{}
	}
	if j.Request.GPUs == 0 && machineType.GPUs > 0 {
		room.CPUs = max(0, room.CPUs-room.GPUs*machineType.CPUs/machineType.GPUs)
	}
	return room
}
