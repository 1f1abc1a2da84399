package cluster

import (
	"slices"

	"oakpick/internal/resources"
)

// RequestClass is the equivalence class of tasks that ask for the same machines.
type RequestClass struct {
	Request            resources.Amount
	allowedTypes, zone string
	spot               bool
	// AnyRoom is whether room that best-effort work leaves to others is taken, too.
	AnyRoom bool
}

// RequestClass is the class of the job's tasks.
func (j *Job) RequestClass(anyRoom bool) RequestClass {
	return RequestClass{j.Request, j.allowedTypes, j.Zone, j.Spot, anyRoom}
}

// AllowedOn reports whether the job's tasks may be on machines of an offering.
func (j *Job) AllowedOn(o Offering) bool {
	return (j.AnyType || slices.Contains(j.Types, o.Type)) && (j.Zone == "" || j.Zone == o.Zone) && (j.Spot || !o.Spot)
}

// TasksPerZone counts a job's tasks by zone: every one that may still be on a machine.
func (j *Job) TasksPerZone() map[string]int {
	perZone := map[string]int{}
	for _, t := range j.ActiveTasks {
		perZone[t.Machine.Zone]++
	}
	return perZone
}

// AllowsZone reports whether one more task may go to a zone, given those that there are.
func (j *Job) AllowsZone(zone string, perZone map[string]int) bool {
	if j.OneZone {
		for other, tasks := range perZone {
			if tasks > 0 && other != zone {
				return false
			}
		}
	}
	// After a failover a machine's zone isn't known until it reports or is listed: a task
	// there may be in any zone.
	return !j.Spread || perZone[zone]+perZone[""] < (j.Tasks+1)/2
}
