package scheduling

import (
	"math"
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/resources"
)

// Teams without a guarantee are best effort while other teams have one: their jobs use resources
// that the other teams leave idle. Machines are provisioned and kept for them only from offerings
// whose price per task is close to the lowest that the job allows.

// maxPriceRatio is the highest price per task at which a machine is provisioned for a
// best-effort job, as a multiple of the job's lowest price per task. Overdue work is bought
// elsewhere at twice its cost, so a higher price is never worth it.
const maxPriceRatio = 2

// RequestClass returns the class of a job's tasks in the current cycle.
func (s *Scheduler) RequestClass(j *cluster.Job) cluster.RequestClass {
	return j.RequestClass(j.BestEffort() && s.Starving(j))
}

// WorthProvisioning reports whether a machine may be provisioned or kept for a job's tasks
// alone.
func (s *Scheduler) WorthProvisioning(j *cluster.Job, o cluster.Offering) bool {
	if !j.BestEffort() {
		return true
	}
	worth := &j.Placement.WorthwhileOfferings
	if worth.Offerings == nil || worth.CatalogVersion != s.state.Catalog.Version {
		*worth = cluster.WorthwhileOfferings{CatalogVersion: s.state.Catalog.Version, Offerings: s.offeringsWorthProvisioning(j)}
	}
	return worth.Offerings[o]
}

// offeringsWorthProvisioning compares the price per task of every offering that the job allows
// with the lowest one, regardless of current availability.
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

// Starving reports whether a job without active tasks has waited so long that it may use any
// free resources, regardless of price.
func (s *Scheduler) Starving(j *cluster.Job) bool {
	if len(j.ActiveTasks) > 0 {
		return false
	}
	sinceReady := time.Duration(s.context.Now.WallMs-j.ReadyMs) * time.Millisecond
	waited := min(s.context.Monotonic()-j.Placement.IdleSince, sinceReady)
	return waited > s.timing.Scheduling.StarvationThreshold
}

// UsableResources returns the part of a machine's free resources that a job's tasks may use. On
// a machine that isn't worth provisioning for it, a best-effort job may only run beside tasks of
// guaranteed teams, unless it is starving. If it requests no GPUs, it then leaves each free GPU
// its share of the processors, so that a task that requests the GPU can start at once.
func (s *Scheduler) UsableResources(j *cluster.Job, machine *cluster.Machine, free resources.Amount) resources.Amount {
	if !j.BestEffort() || s.WorthProvisioning(j, machine.Offering()) || s.Starving(j) {
		return free
	}
	machineType := s.state.Catalog.Type(machine.Type)
	if machineType == nil || machine.GuaranteedTasks == 0 {
		return resources.Amount{}
	}
	if j.Request.GPUs == 0 && machineType.GPUs > 0 {
		free.CPUs = max(0, free.CPUs-free.GPUs*machineType.CPUs/machineType.GPUs)
	}
	return free
}
