package cluster

import (
	"oakpick/internal/protocol"
	"oakpick/internal/resources"
)

// Catalog holds the machine types that the cloud provider offers.
type Catalog struct {
	Types []protocol.MachineType
	// Version counts the updates of Types. Prices may differ between versions.
	Version int
	// Inherited is whether the types come from an earlier leader and not from the cloud. The cloud may
	// offer others by now.
	Inherited bool
}

// Offering is a kind of machine that can be provisioned: its type, its zone, and whether it is a spot instance.
type Offering struct {
	Type, Zone string
	Spot       bool
}

// maxTasksPerMachine caps the number of tasks that fit on a machine if they request almost no
// resources.
const maxTasksPerMachine = 1 << 20

// Update replaces the list of machine types by that of the cloud.
func (c *Catalog) Update(types []protocol.MachineType) {
	c.Types, c.Inherited = types, false
	c.Version++
}

// Inherit replaces the list of machine types by that of an earlier leader.
func (c *Catalog) Inherit(types []protocol.MachineType) {
	c.Update(types)
	c.Inherited = true
}

// Type returns a machine type, or nil if the catalog does not have it.
func (c *Catalog) Type(name string) *protocol.MachineType {
	for i := range c.Types {
		if c.Types[i].Name == name {
			return &c.Types[i]
		}
	}
	return nil
}

// Price returns the hourly price of an offering, whose type must be in the catalog.
func (c *Catalog) Price(o Offering) float64 {
	machineType := c.Type(o.Type)
	if o.Spot {
		return machineType.SpotPrice
	}
	return machineType.Price
}

// PricePerTask returns the hourly price of an offering divided by the number of the job's tasks
// that fit on such a machine. The type must be in the catalog.
func (c *Catalog) PricePerTask(j *Job, o Offering) float64 {
	return c.Price(o) / float64(max(1, TasksPerMachine(j, c.Type(o.Type))))
}

// Capacity returns the resources of a machine type.
func Capacity(t *protocol.MachineType) resources.Amount {
	return resources.Amount{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// TasksPerMachine returns how many tasks of a job fit on an empty machine of a type.
func TasksPerMachine(j *Job, t *protocol.MachineType) int {
	return j.Request.CountIn(Capacity(t), maxTasksPerMachine)
}
