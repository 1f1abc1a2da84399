package autoscaling

import (
	"cmp"
	"slices"
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/config"
	"oakpick/internal/protocol"
	"oakpick/internal/resources"
)

// bin is a machine, or one to be provisioned, in the plan.
type bin struct {
	machine    *cluster.Machine // nil: not there yet
	offering   cluster.Offering
	room       resources.Amount
	readyIn    time.Duration // until it is up
	overdue    bool          // it should have been up by now
	used       bool
	bestEffort bool // only best-effort tasks are in it
	index      int  // in the plan, which decides between equals
}

// packing is a plan being made: what waits, and the room to be kept, are packed into what is
// free, expected, and has to be provisioned.
type packing struct {
	autoscaler *Autoscaler
	bins       []*bin
	existing   int // so many of them are there, or asked for already
	// searchFrom is the first bin that may have room. Room only shrinks here: where there was
	// none for one task, there is none for the next of its class.
	searchFrom map[packingClass]int
	warm       bool // room to be kept is being packed, not what waits
}

// overdueBootFactor is after how many times its type's boot time replicas that wait no longer
// count on a machine that isn't up.
const overdueBootFactor = 1.1

// packingClass tells tasks apart that may go into the same bins.
type packingClass struct {
	cluster.RequestClass
	spotOnly, warm, service bool
}

func newPacking(a *Autoscaler, present []*bin) *packing {
	p := &packing{autoscaler: a, searchFrom: map[packingClass]int{}, existing: len(present)}
	for _, b := range present {
		p.append(b)
	}
	return p
}

func (p *packing) append(b *bin) {
	b.index = len(p.bins)
	p.bins = append(p.bins, b)
}

// needed are the machines that something in the plan has its place on.
func (p *packing) needed() map[*cluster.Machine]bool {
	needed := map[*cluster.Machine]bool{}
	for _, b := range p.bins[:p.existing] {
		if b.machine != nil && b.used {
			needed[b.machine] = true
		}
	}
	return needed
}

// awaited reports whether what is being packed are replicas that users miss.
func (p *packing) awaited(j *cluster.Job) bool { return !p.warm && j.Kind == protocol.Service }

// add packs so many tasks of a job, and adds bins of machines to be provisioned for those that
// find no room.
func (p *packing) add(j *cluster.Job, tasks int, perZone map[string]int, spotOnly bool) {
	if tasks <= 0 {
		return
	}
	c := p.candidates(j, spotOnly)
	for tasks > 0 {
		b := c.next(tasks, perZone)
		if b == nil {
			return
		}
		// The bin that was best for one task is so for the next, until it is full.
		count := 1
		if !j.Spread {
			count = j.Request.CountIn(c.room(b), tasks)
		}
		b.room = b.room.Minus(j.Request.Times(float64(count)))
		b.used = true
		b.bestEffort = b.bestEffort && j.BestEffort()
		perZone[b.offering.Zone] += count
		tasks -= count
		c.insert(b)
	}
}

// candidates are the bins that tasks of one job may go into, the best one first: the fullest
// of those in use, then the empty ones by what they cost for each such task, so that the dear
// ones stay unneeded. They are searched once for all tasks of the job.
type candidates struct {
	packing  *packing
	job      *cluster.Job
	spotOnly bool
	list     []candidate
	prices   map[cluster.Offering]float64 // for each task
}

// candidate is a bin, and what orders it.
type candidate struct {
	*bin
	key float64
}

func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(c.key, other.key), cmp.Compare(c.index, other.index))
}

func (p *packing) candidates(j *cluster.Job, spotOnly bool) *candidates {
	c := &candidates{packing: p, job: j, spotOnly: spotOnly, prices: map[cluster.Offering]float64{}}
	for _, b := range p.bins[p.searchFrom[c.class()]:] {
		p.autoscaler.context.Stats.MachinesExamined++
		if c.takes(b) {
			c.list = append(c.list, candidate{b, c.key(b)})
		}
	}
	slices.SortFunc(c.list, candidate.compare)
	return c
}

// class tells the job's tasks apart from others that go into the same bins.
func (c *candidates) class() packingClass {
	class := c.packing.autoscaler.scheduler.RequestClass(c.job)
	return packingClass{class, c.spotOnly, c.packing.warm, c.job.Kind == protocol.Service}
}

// takes reports whether a bin has room for a task of the job, which may go there.
func (c *candidates) takes(b *bin) bool {
	return c.job.Request.FitsIn(c.room(b)) && (b.offering.Spot || !c.spotOnly) && c.job.AllowedOn(b.offering)
}

// room is what of a bin's room the job's tasks may take.
func (c *candidates) room(b *bin) resources.Amount {
	scheduler := c.packing.autoscaler.scheduler
	switch {
	case b.machine != nil && b.machine.Worker.Registered:
		return scheduler.UsableResources(c.job, b.machine, b.room)
	case scheduler.WorthProvisioning(c.job, b.offering):
		return b.room
	}
	return resources.Amount{}
}

const (
	// processorWeight is what a free processor counts of a free GPU in the order of bins.
	processorWeight = 1000
	// unusedKey orders unused bins behind all that are in use.
	unusedKey = 1e6
)

func (c *candidates) key(b *bin) float64 {
	if b.used || b.machine != nil && len(b.machine.Tasks) > 0 {
		return b.room.GPUs + b.room.CPUs/processorWeight
	}
	return unusedKey * (1 + c.price(b.offering))
}

// price is the hourly price of an offering for each task of the job that it holds.
func (c *candidates) price(o cluster.Offering) float64 {
	price, ok := c.prices[o]
	if !ok {
		price = c.packing.autoscaler.state.Catalog.PricePerTask(c.job, o)
		c.prices[o] = price
	}
	return price
}

// insert puts a bin among the candidates, if it still has room.
func (c *candidates) insert(b *bin) {
	if !c.takes(b) {
		return
	}
	x := candidate{b, c.key(b)}
	at, _ := slices.BinarySearchFunc(c.list, x, candidate.compare)
	c.list = slices.Insert(c.list, at, x)
}

// next takes the best bin for the next of so many tasks, a new one if need be.
func (c *candidates) next(tasks int, perZone map[string]int) *bin {
	p, j := c.packing, c.job
	o, ok := p.autoscaler.cheapestOffering(j, perZone, tasks, c.spotOnly)
	for i, x := range c.list {
		if j.AllowsZone(x.offering.Zone, perZone) && !(ok && c.passesOver(x.bin, o)) {
			c.list = slices.Delete(c.list, i, i+1)
			return x.bin
		}
	}
	if !j.Spread && !j.OneZone {
		p.searchFrom[c.class()] = len(p.bins)
		c.list = c.list[:0]
	}
	if !ok {
		return nil
	}
	machineType := p.autoscaler.state.Catalog.Type(o.Type)
	b := &bin{offering: o, readyIn: config.Seconds(machineType.BootS), room: cluster.Capacity(machineType), bestEffort: j.BestEffort()}
	p.append(b)
	return b
}

// passesOver reports whether a bin is left to others, because a new machine would be up before
// it. What is provisioned instead is among the bins of the next plan.
func (c *candidates) passesOver(b *bin, o cluster.Offering) bool {
	return c.newIsSooner(b, o) || b.overdue && c.packing.awaited(c.job)
}

// newIsSooner reports whether a task that would wait for a booting machine is better served by
// a new one of another type, which is up before it and costs no more for each task.
func (c *candidates) newIsSooner(b *bin, o cluster.Offering) bool {
	if b.readyIn == 0 || o.Type == b.offering.Type {
		return false
	}
	machineType := c.packing.autoscaler.state.Catalog.Type(o.Type)
	return machineType != nil && config.Seconds(machineType.BootS) < b.readyIn && c.price(o) <= c.price(b.offering)
}
