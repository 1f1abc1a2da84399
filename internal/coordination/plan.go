package coordination

import (
	"math"
	"slices"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

// bin is a machine, or one to be rented, in the plan.
type bin struct {
	h     *host
	offer offer
	room  need
	ready time.Duration // until it is up
	late  bool          // it should have been up by now
	used  bool
}

// sooner tells whether a task that would wait for a booting machine is better
// served by a new one of another kind, which is up before it and costs no more
// for each task.
func (e *engine) sooner(j *job, b *bin, o offer) bool {
	mt := e.fleet.kind(o.kind)
	if b.ready == 0 || mt == nil || o.kind == b.offer.kind {
		return false
	}
	return config.Seconds(mt.BootS) < b.ready && e.perTask(j, o) <= e.perTask(j, b.offer)
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

// lateBoot is after how many times its type's boot time replicas that wait no longer
// count on a machine that isn't up.
const lateBoot = 1.1

// lostRoom is for how many times as many replicas room is rented if they were lost while
// they ran: of several machines one is up sooner than any one of them, and the rest are
// returned.
const lostRoom = 2

// waits tells whether what is being packed are replicas that users miss.
func (p *packing) waits(j *job) bool { return !p.warm && j.Shape == protocol.Service }

// packed is what tells tasks apart that may go into the same bins.
type packed struct {
	shape
	spotOnly, warm, service bool
}

// plan packs what waits, and the room to be kept, into what is free, coming,
// and has to be rented. It gives the machines that the plan needs.
func (e *engine) plan() map[*host]bool {
	p := &packing{e: e, bins: e.presentBins(), from: map[packed]int{}}
	p.existing = len(p.bins)
	for _, w := range e.fleet.unplaced {
		if !w.job.over && !w.job.Cancelled {
			tasks := min(w.tasks, w.job.idle())
			if w.job.Shape == protocol.Service && w.job.hasRun {
				tasks *= lostRoom
			}
			p.add(w.job, tasks, w.job.zoneUse(), false)
		}
	}
	p.warm = true
	for _, name := range e.classNames() {
		if c := e.classes[name]; c.sample != nil {
			// Room for what may use spot machines is kept on those only: it isn't
			// worth an ordinary machine.
			p.add(c.sample, e.warmTasks(c), map[string]int{}, c.sample.Spot)
		}
	}
	if !e.rentAll(p.bins[p.existing:]) {
		e.consolidate(p.bins)
	}
	needed := map[*host]bool{}
	for _, b := range p.bins[:p.existing] {
		if b.h != nil && b.used {
			needed[b.h] = true
		}
	}
	return needed
}

// presentBins are the machines that can be counted on, and those asked for.
func (e *engine) presentBins() []*bin {
	f := &e.fleet
	var bins []*bin
	for _, h := range e.byName {
		mt := f.kind(h.kind)
		if mt == nil {
			continue
		}
		switch {
		case e.alive(h):
			// The place of a stopping task is free long before a new machine is up.
			bins = append(bins, &bin{h: h, offer: offer{h.kind, h.zone, h.spot}, room: e.free(h).plus(h.leaving)})
		case e.coming(h):
			age := e.n.now.Mono - h.rentedAt
			bins = append(bins, &bin{
				h: h, offer: offer{h.kind, h.zone, h.spot}, room: size(mt),
				ready: max(config.Seconds(mt.BootS)-age, config.Seconds(mt.BootS/10)),
				late:  age > config.Seconds(mt.BootS*lateBoot),
			})
		}
	}
	for _, r := range f.rentals {
		if mt := f.kind(r.Type); mt != nil && !r.Answered {
			for range r.Count {
				bins = append(bins, &bin{offer: offer{r.Type, r.Zone, r.Spot}, room: size(mt), ready: config.Seconds(mt.BootS)})
			}
		}
	}
	return bins
}

// add packs so many tasks of a job, and adds bins of machines to be rented for those
// that find no room.
func (p *packing) add(j *job, tasks int, use map[string]int, spotOnly bool) {
	for tasks > 0 {
		b := p.binFor(j, tasks, use, spotOnly)
		if b == nil {
			return
		}
		// The bin that was best for one task is so for the next, until it is full.
		count := 1
		if !j.Spread {
			count = j.need.count(b.room, tasks)
		}
		b.room = b.room.minus(j.need.times(float64(count)))
		b.used = true
		use[b.offer.zone] += count
		tasks -= count
	}
}

// binFor is the bin for the next of so many tasks, a new one if need be.
func (p *packing) binFor(j *job, tasks int, use map[string]int, spotOnly bool) *bin {
	e := p.e
	k := packed{j.shape(), spotOnly, p.warm, j.Shape == protocol.Service}
	o, ok := e.cheapest(j, use, tasks, spotOnly)
	// A bin that a new machine would be up before is passed over, and the others aren't:
	// what is rented instead is among them in the next plan.
	passOver := func(b *bin) bool { return ok && (e.sooner(j, b, o) || b.late && p.waits(j)) }
	b := e.pack(p.bins[p.from[k]:], j, use, spotOnly, passOver)
	if b == nil && !j.Spread && !j.OneZone {
		p.from[k] = len(p.bins)
	}
	if b != nil || !ok {
		return b
	}
	mt := e.fleet.kind(o.kind)
	b = &bin{offer: o, ready: config.Seconds(mt.BootS), room: size(mt)}
	p.bins = append(p.bins, b)
	return b
}

// rentAll asks for machines, and tells whether ordinary ones are among them. What is
// asked for is in the next plan already, so several requests for one offer are no more
// machines, only sooner. Each offer has its turn.
func (e *engine) rentAll(bins []*bin) (ordinary bool) {
	counts := map[offer]int{}
	var offers []offer
	for _, b := range bins {
		if counts[b.offer] == 0 {
			offers = append(offers, b.offer)
		}
		counts[b.offer]++
	}
	for more := true; more; {
		more = false
		for _, o := range offers {
			if counts[o] > 0 {
				asked := e.rent(o, min(counts[o], protocol.MaxRented))
				counts[o] -= asked
				more = more || asked > 0
			}
		}
	}
	return slices.ContainsFunc(offers, func(o offer) bool { return !o.spot })
}

func (e *engine) classNames() []string {
	names := make([]string, 0, len(e.classes))
	for n := range e.classes {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// warmTasks is how many tasks of a class to keep room for: what may arrive,
// beyond what leaves, while a machine boots.
func (e *engine) warmTasks(c *class) int {
	now := e.n.now.Mono
	window := e.rules.lease * 10
	n := 0
	for _, at := range c.arrivals {
		if now-at < window {
			n++
		}
	}
	span := min(window, max(now-e.ledAt, e.rules.lease))
	boot := 0.0
	for _, mt := range e.fleet.types {
		if c.need.fits(size(&mt)) {
			boot = max(boot, mt.BootS)
		}
	}
	expected := float64(n) / span.Seconds() * boot
	warm := e.opt.WarmRoom
	if c.sample != nil && c.sample.Shape == protocol.Array {
		warm /= 2 // its tasks needn't all run at once
	}
	return int(math.Round(warm * math.Sqrt(expected) * c.tasks))
}

// pack finds the bin for a task: the fullest of those in use, else the empty one
// that costs least for each such task, so that the dear ones stay unneeded.
func (e *engine) pack(bins []*bin, j *job, use map[string]int, spotOnly bool, passOver func(*bin) bool) *bin {
	var best *bin
	bestKey := math.Inf(1)
	for _, b := range bins {
		e.n.Stats.HostsSeen++
		if !j.need.fits(b.room) || spotOnly && !b.offer.spot || !j.allowed(b.offer.kind, b.offer.zone, b.offer.spot) || !j.zoneOK(b.offer.zone, use) || passOver(b) {
			continue
		}
		key := b.room.gpus + b.room.cpus/1000
		if !b.used && (b.h == nil || len(b.h.tasks) == 0) {
			key = 1e6 * (1 + e.perTask(j, b.offer))
		}
		if key < bestKey {
			best, bestKey = b, key
		}
	}
	return best
}

// perTask is the hourly price of an offer for each such task that it holds.
func (e *engine) perTask(j *job, o offer) float64 {
	return e.fleet.price(o) / float64(max(1, j.need.count(size(e.fleet.kind(o.kind)), 1<<20)))
}

// cheapest is the offer that gives a task of the job its place for the least.
func (e *engine) cheapest(j *job, use map[string]int, n int, spotOnly bool) (offer, bool) {
	f, now := &e.fleet, e.n.now.Mono
	var best offer
	bestCost := math.Inf(1)
	for i := range f.types {
		mt := &f.types[i]
		slots := j.need.count(size(mt), 1<<20)
		if slots == 0 {
			continue
		}
		if j.need.gpus == 0 {
			slots = min(slots, max(n, 1)) // nobody else will use the GPUs
			if mt.GPUs > 0 {
				slots = min(slots, 8)
			}
		}
		for _, z := range mt.Zones {
			for _, spot := range []bool{true, false} {
				o := offer{mt.Name, z, spot}
				if spotOnly && !spot || !j.allowed(mt.Name, z, spot) || !j.zoneOK(z, use) || now < f.refused[o] {
					continue
				}
				c := f.price(o) / float64(slots) * (1 + 0.01*float64(use[z]))
				if c < bestCost {
					best, bestCost = o, c
				}
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}
