package controller

import (
	"cmp"
	"slices"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

// bin is a machine, or one to be rented, in the plan.
type bin struct {
	h       *host
	offer   offer
	room    need
	ready   time.Duration // until it is up
	overdue bool          // it should have been up by now
	used    bool
	guests  bool // only guests' tasks are in it
	index   int  // in the plan, which decides between equals
}

// packing is a plan being made: what waits, and the room to be kept, are packed into
// what is free, coming, and has to be rented.
type packing struct {
	e        *engine
	bins     []*bin
	existing int // so many of them are there, or asked for already
	// Room only shrinks here: where there was none for one task, there is none for
	// the next of its shape.
	from map[packed]int
	warm bool // room to be kept is being packed, not what waits
}

// overdueBoot is after how many times its type's boot time replicas that wait no longer
// count on a machine that isn't up.
const overdueBoot = 1.1

// lostRoom is for how many times as many replicas room is rented if they were lost while
// they ran: of several machines one is up sooner than any one of them, and the rest are
// returned.
const lostRoom = 2

// waits tells whether what is being packed are replicas that users miss.
func (p *packing) waits(j *job) bool { return !p.warm && j.Kind == protocol.Service }

// packed is what tells tasks apart that may go into the same bins.
type packed struct {
	shape
	spotOnly, warm, service bool
}

func newPacking(e *engine, present []*bin) *packing {
	p := &packing{e: e, from: map[packed]int{}, existing: len(present)}
	for _, b := range present {
		p.append(b)
	}
	return p
}

func (p *packing) append(b *bin) {
	b.index = len(p.bins)
	p.bins = append(p.bins, b)
}

// add packs so many tasks of a job, and adds bins of machines to be rented for those
// that find no room.
func (p *packing) add(j *job, tasks int, use map[string]int, spotOnly bool) {
	if tasks <= 0 {
		return
	}
	c := p.candidates(j, spotOnly)
	for tasks > 0 {
		b := c.next(tasks, use)
		if b == nil {
			return
		}
		// The bin that was best for one task is so for the next, until it is full.
		count := 1
		if !j.Spread {
			count = j.need.count(c.room(b), tasks)
		}
		b.room = b.room.minus(j.need.times(float64(count)))
		b.used = true
		b.guests = b.guests && j.guest()
		use[b.offer.zone] += count
		tasks -= count
		c.insert(b)
	}
}

// candidates are the bins that tasks of one job may go into, the best one first: the
// fullest of those in use, then the empty ones by what they cost for each such task, so
// that the dear ones stay unneeded. They are looked for once for all tasks of the job.
type candidates struct {
	p        *packing
	j        *job
	spotOnly bool
	list     []candidate
	costs    map[offer]float64 // for each task
}

// candidate is a bin, and what orders it.
type candidate struct {
	*bin
	key float64
}

func (a candidate) compare(b candidate) int {
	return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.index, b.index))
}

func (p *packing) candidates(j *job, spotOnly bool) *candidates {
	c := &candidates{p: p, j: j, spotOnly: spotOnly, costs: map[offer]float64{}}
	for _, b := range p.bins[p.from[c.packed()]:] {
		p.e.n.Stats.MachinesExamined++
		if c.takes(b) {
			c.list = append(c.list, candidate{b, c.key(b)})
		}
	}
	slices.SortFunc(c.list, candidate.compare)
	return c
}

// packed is what tells the job's tasks apart from others that go into the same bins.
func (c *candidates) packed() packed {
	return packed{c.j.shape(), c.spotOnly, c.p.warm, c.j.Kind == protocol.Service}
}

// takes tells whether a bin has room for a task of the job, which may go there.
func (c *candidates) takes(b *bin) bool {
	return c.j.need.fits(c.room(b)) && (b.offer.spot || !c.spotOnly) && c.j.allowed(b.offer.kind, b.offer.zone, b.offer.spot)
}

// room is what of a bin's room the job's tasks may take.
func (c *candidates) room(b *bin) need {
	switch {
	case b.h != nil && b.h.up:
		return c.p.e.roomFor(c.j, b.h, b.room)
	case c.p.e.worthRenting(c.j, b.offer):
		return b.room
	}
	return need{}
}

func (c *candidates) key(b *bin) float64 {
	if b.used || b.h != nil && len(b.h.tasks) > 0 {
		return b.room.gpus + b.room.cpus/1000
	}
	const afterAllInUse = 1e6
	return afterAllInUse * (1 + c.cost(b.offer))
}

// cost is the hourly price of an offer for each task of the job that it holds.
func (c *candidates) cost(o offer) float64 {
	cost, ok := c.costs[o]
	if !ok {
		cost = c.p.e.perTask(c.j, o)
		c.costs[o] = cost
	}
	return cost
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
func (c *candidates) next(tasks int, use map[string]int) *bin {
	p, j := c.p, c.j
	o, ok := p.e.cheapest(j, use, tasks, c.spotOnly)
	for i, x := range c.list {
		if j.zoneOK(x.offer.zone, use) && !(ok && c.passOver(x.bin, o)) {
			c.list = slices.Delete(c.list, i, i+1)
			return x.bin
		}
	}
	if !j.Spread && !j.OneZone {
		p.from[c.packed()] = len(p.bins)
		c.list = c.list[:0]
	}
	if !ok {
		return nil
	}
	mt := p.e.fleet.kind(o.kind)
	b := &bin{offer: o, ready: config.Seconds(mt.BootS), room: size(mt), guests: j.guest()}
	p.append(b)
	return b
}

// passOver tells whether a bin is left to others, because a new machine would be up before
// it. What is rented instead is among the bins of the next plan.
func (c *candidates) passOver(b *bin, o offer) bool {
	return c.sooner(b, o) || b.overdue && c.p.waits(c.j)
}

// sooner tells whether a task that would wait for a booting machine is better
// served by a new one of another kind, which is up before it and costs no more
// for each task.
func (c *candidates) sooner(b *bin, o offer) bool {
	if b.ready == 0 || o.kind == b.offer.kind {
		return false
	}
	mt := c.p.e.fleet.kind(o.kind)
	return mt != nil && config.Seconds(mt.BootS) < b.ready && c.cost(o) <= c.cost(b.offer)
}
