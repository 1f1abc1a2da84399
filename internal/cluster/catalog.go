package cluster

import (
	"oakpick/internal/protocol"
	"oakpick/internal/resources"
)

// Catalog has the machine types that the cloud offers.
type Catalog struct {
	Types []protocol.MachineType
	// Version counts the lists of types read, whose prices may differ.
	Version int
}

// Offering is what machines can be had as: of a type, in a zone, as spot instances or not.
type Offering struct {
	Type, Zone string
	Spot       bool
}

// maxTasksPerMachine bounds a count of tasks that ask for next to nothing.
const maxTasksPerMachine = 1 << 20

// Update takes in a list of types.
func (c *Catalog) Update(types []protocol.MachineType) {
	c.Types = types
	c.Version++
}

// Type returns a machine type, or nil.
func (c *Catalog) Type(name string) *protocol.MachineType {
	for i := range c.Types {
		if c.Types[i].Name == name {
			return &c.Types[i]
		}
	}
	return nil
}

// Price is what a machine of a known type costs an hour.
func (c *Catalog) Price(o Offering) float64 {
	machineType := c.Type(o.Type)
	if o.Spot {
		return machineType.SpotPrice
	}
	return machineType.Price
}

// PricePerTask is the hourly price of an offering of a known type for each task of the job
// that it holds.
func (c *Catalog) PricePerTask(j *Job, o Offering) float64 {
	return c.Price(o) / float64(max(1, TasksPerMachine(j, c.Type(o.Type))))
}

// Capacity is what a machine of a type has.
func Capacity(t *protocol.MachineType) resources.Amount {
	return resources.Amount{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// TasksPerMachine is how many tasks of a job an empty machine of a type holds.
func TasksPerMachine(j *Job, t *protocol.MachineType) int {
	return j.Request.CountIn(Capacity(t), maxTasksPerMachine)
}
