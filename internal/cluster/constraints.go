package cluster

import (
	"slices"

	"oakpick/internal/resources"
)

// RequestClass identifies tasks that have the same request and the same placement constraints.
type RequestClass struct {
	Request            resources.Amount
	allowedTypes, zone string
	spot               bool
	// AnyCapacity is whether the job is best effort and, because it is starving, may use any free
	// resources.
	AnyCapacity bool
}

// RequestClass returns the class of the job's tasks.
func (j *Job) RequestClass(anyCapacity bool) RequestClass {
	return RequestClass{j.Request, j.allowedTypes, j.Zone, j.Spot, anyCapacity}
}

// AllowedOn reports whether the job's tasks may run on machines of an offering.
func (j *Job) AllowedOn(o Offering) bool {
	return (j.AnyType || slices.Contains(j.Types, o.Type)) && (j.Zone == "" || j.Zone == o.Zone) && (j.Spot || !o.Spot)
}

// TasksPerZone counts the job's tasks by zone, including every task that may still be on a machine.
func (j *Job) TasksPerZone() map[string]int {
	perZone := map[string]int{}
	for _, t := range j.ActiveTasks {
		perZone[t.Machine.Zone]++
	}
	return perZone
}

// AllowsZone reports whether one more task may be placed in a zone, given the current number of tasks per zone.
func (j *Job) AllowsZone(zone string, perZone map[string]int) bool {
	if j.OneZone {
		for other, tasks := range perZone {
			if tasks > 0 && other != zone {
				return false
			}
		}
	}
	// After a failover, a machine's zone is unknown (empty) until its worker reports or the cloud
	// lists it. A task on such a machine may be in any zone, so it counts for each of them.
	return !j.Spread || perZone[zone]+perZone[""] < (j.Tasks+1)/2
}
