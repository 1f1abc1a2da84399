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

// bin is an existing machine, or one to be provisioned, in the plan.
type bin struct {
	machine    *cluster.Machine // nil if the machine doesn't exist yet
	offering   cluster.Offering
	free       resources.Amount
	readyIn    time.Duration // remaining boot time
	overdue    bool          // the machine should have been up by now
	used       bool          // the plan has placed a task in it
	bestEffort bool          // only best-effort tasks have been placed in it
	index      int           // position in the plan; breaks ties
}

// packing is the state of making a plan. It packs the waiting tasks and the headroom into the bins
// of existing, expected and new machines.
type packing struct {
	autoscaler   *Autoscaler
	bins         []*bin
	existingBins int // number of bins for machines that exist or have been requested
	// searchFrom is, by class, the index of the first bin that may have enough free resources.
	// These only shrink during packing, so a bin that is too full for one task of a class stays so.
	searchFrom map[packingClass]int
	headroom   bool // the packed tasks are headroom rather than waiting tasks
}

// overdueBootFactor is the multiple of its type's boot time after which waiting replicas no
// longer count on a booting machine.
const overdueBootFactor = 1.1

// packingClass groups tasks that fit into the same bins.
type packingClass struct {
	cluster.RequestClass
	spotOnly, headroom, service bool
}

func newPacking(a *Autoscaler, present []*bin) *packing {
	p := &packing{autoscaler: a, searchFrom: map[packingClass]int{}, existingBins: len(present)}
	for _, b := range present {
		p.append(b)
	}
	return p
}

func (p *packing) append(b *bin) {
	b.index = len(p.bins)
	p.bins = append(p.bins, b)
}

// needed returns the existing machines that the plan has placed tasks on.
func (p *packing) needed() map[*cluster.Machine]bool {
	needed := map[*cluster.Machine]bool{}
	for _, b := range p.bins[:p.existingBins] {
		if b.machine != nil && b.used {
			needed[b.machine] = true
		}
	}
	return needed
}

// isWaitingReplica reports whether the packed tasks are replicas that users are waiting for.
func (p *packing) isWaitingReplica(j *cluster.Job) bool {
	return !p.headroom && j.Kind == protocol.Service
}

// add packs the given number of a job's tasks, and adds bins of new machines for those that don't
// fit into the existing bins.
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
		// The best bin for one task stays the best for the next until it is full.
		count := 1
		if !j.Spread {
			count = j.Request.CountIn(c.usableResources(b), tasks)
		}
		b.free = b.free.Minus(j.Request.Times(float64(count)))
		b.used = true
		b.bestEffort = b.bestEffort && j.BestEffort()
		perZone[b.offering.Zone] += count
		tasks -= count
		c.insert(b)
	}
}

// candidates are the bins for the tasks of one job, best first: those in use, fullest first,
// then the empty ones by price per task, so that expensive machines stay unneeded. The bins are
// searched once for all tasks of the job.
type candidates struct {
	packing  *packing
	job      *cluster.Job
	spotOnly bool
	list     []candidate
	prices   map[cluster.Offering]float64 // price per task
}

// candidate is a bin with its sort key.
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
		if c.fits(b) {
			c.list = append(c.list, candidate{b, c.key(b)})
		}
	}
	slices.SortFunc(c.list, candidate.compare)
	return c
}

// class returns the packing class of the job's tasks.
func (c *candidates) class() packingClass {
	class := c.packing.autoscaler.scheduler.RequestClass(c.job)
	return packingClass{class, c.spotOnly, c.packing.headroom, c.job.Kind == protocol.Service}
}

// fits reports whether a bin has enough free resources for a task of the job and is allowed for
// it.
func (c *candidates) fits(b *bin) bool {
	return c.job.Request.FitsIn(c.usableResources(b)) && (b.offering.Spot || !c.spotOnly) && c.job.AllowedOn(b.offering)
}

// usableResources returns the part of a bin's free resources that the job's tasks may use.
func (c *candidates) usableResources(b *bin) resources.Amount {
	scheduler := c.packing.autoscaler.scheduler
	switch {
	case b.machine != nil && b.machine.Worker.Registered:
		return scheduler.UsableResources(c.job, b.machine, b.free)
	case scheduler.WorthProvisioning(c.job, b.offering):
		return b.free
	}
	return resources.Amount{}
}

const (
	// processorDivisor is the number of free processors that weigh as much as one free GPU in
	// the sort key of a bin.
	processorDivisor = 1000
	// unusedBinKey sorts unused bins after all bins in use.
	unusedBinKey = 1e6
)

func (c *candidates) key(b *bin) float64 {
	if b.used || b.machine != nil && len(b.machine.Tasks) > 0 {
		return b.free.GPUs + b.free.CPUs/processorDivisor
	}
	return unusedBinKey * (1 + c.price(b.offering))
}

// price returns the hourly price of an offering per task of the job that fits on it.
func (c *candidates) price(o cluster.Offering) float64 {
	price, ok := c.prices[o]
	if !ok {
		price = c.packing.autoscaler.state.Catalog.PricePerTask(c.job, o)
		c.prices[o] = price
	}
	return price
}

// insert adds a bin to the candidates if another task fits into it.
func (c *candidates) insert(b *bin) {
	if !c.fits(b) {
		return
	}
	x := candidate{b, c.key(b)}
	at, _ := slices.BinarySearchFunc(c.list, x, candidate.compare)
	c.list = slices.Insert(c.list, at, x)
}

// next removes and returns the best bin for the next of the given number of tasks. It adds a
// bin if no candidate is suitable, and returns nil if no offering is available either.
func (c *candidates) next(tasks int, perZone map[string]int) *bin {
	p, j := c.packing, c.job
	o, ok := p.autoscaler.cheapestOffering(j, perZone, tasks, c.spotOnly)
	for i, x := range c.list {
		if j.AllowsZone(x.offering.Zone, perZone) && !(ok && c.skips(x.bin, o)) {
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
	b := &bin{offering: o, readyIn: config.Seconds(machineType.BootS), free: cluster.Capacity(machineType), bestEffort: j.BestEffort()}
	p.append(b)
	return b
}

// skips reports whether the job's tasks don't use the bin of a booting machine because a new
// machine is expected to be up sooner. The next plan includes the machine that is provisioned
// instead.
func (c *candidates) skips(b *bin, o cluster.Offering) bool {
	return c.newMachineIsSooner(b, o) || b.overdue && c.packing.isWaitingReplica(c.job)
}

// newMachineIsSooner reports whether a new machine of another type would be up before a booting
// one and costs no more per task.
func (c *candidates) newMachineIsSooner(b *bin, o cluster.Offering) bool {
	if b.readyIn == 0 || o.Type == b.offering.Type {
		return false
	}
	machineType := c.packing.autoscaler.state.Catalog.Type(o.Type)
	return machineType != nil && config.Seconds(machineType.BootS) < b.readyIn && c.price(o) <= c.price(b.offering)
}
