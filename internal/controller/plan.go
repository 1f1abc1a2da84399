package controller

import (
	"math"
	"slices"

	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

// plan packs what waits, and the room to be kept, into what is free, coming,
// and has to be rented. It gives the machines that the plan needs.
func (e *engine) plan() map[*host]bool {
	p := newPacking(e, e.presentBins())
	for _, w := range e.fleet.unplaced {
		if !w.job.over && !w.job.Cancelled {
			tasks := min(w.tasks, w.job.idle())
			if w.job.Kind == protocol.Service && w.job.hasRun {
				tasks *= lostRoom
			}
			p.add(w.job, tasks, w.job.zoneUse(), false)
		}
	}
	p.warm = true
	for _, name := range e.classNames() {
		if c := e.classes[name]; c.sample != nil && !c.sample.guest() {
			// Room for what may use spot machines is kept on those only: it isn't
			// worth an ordinary machine.
			p.add(c.sample, e.warmTasks(c), map[string]int{}, c.sample.Spot)
		}
	}
	if !e.rentAll(p.bins[p.existing:]) {
		e.consolidate(p.bins)
	}
	needed := p.needed()
	e.releaseFromGuests(needed)
	return needed
}

// needed are the machines that something in the plan has its place on.
func (p *packing) needed() map[*host]bool {
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
			age := e.n.now.Monotonic - h.rentedAt
			bins = append(bins, &bin{
				h: h, offer: offer{h.kind, h.zone, h.spot}, room: size(mt),
				ready:   max(config.Seconds(mt.BootS)-age, config.Seconds(mt.BootS/10)),
				overdue: age > config.Seconds(mt.BootS*overdueBoot),
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

// rentAll asks for machines, and tells whether ordinary ones are among them. What is
// asked for is in the next plan already, so several requests for one offer are no more
// machines, only sooner. Each offer has its turn.
func (e *engine) rentAll(bins []*bin) (ordinary bool) {
	counts := map[wanted]int{}
	var offers []wanted
	for _, b := range bins {
		w := wanted{b.offer, b.guests}
		if counts[w] == 0 {
			offers = append(offers, w)
		}
		counts[w]++
	}
	for more := true; more; {
		more = false
		for _, w := range offers {
			if counts[w] > 0 {
				asked := e.rent(w, min(counts[w], protocol.MaxScaleOut))
				counts[w] -= asked
				more = more || asked > 0
			}
		}
	}
	return slices.ContainsFunc(offers, func(w wanted) bool { return !w.spot })
}

// wanted is an offer that machines are to be rented of.
type wanted struct {
	offer
	guests bool // for guests' tasks only
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
	now := e.n.now.Monotonic
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
	if c.sample != nil && c.sample.Kind == protocol.Array {
		warm /= 2 // its tasks needn't all run at once
	}
	return int(math.Round(warm * math.Sqrt(expected) * c.tasks))
}

// perTask is the hourly price of an offer for each such task that it holds.
func (e *engine) perTask(j *job, o offer) float64 {
	return e.fleet.price(o) / float64(max(1, j.need.count(size(e.fleet.kind(o.kind)), 1<<20)))
}

// cheapest is the offer that gives a task of the job its place for the least.
func (e *engine) cheapest(j *job, use map[string]int, n int, spotOnly bool) (offer, bool) {
	f, now := &e.fleet, e.n.now.Monotonic
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
				if spotOnly && !spot || !j.allowed(mt.Name, z, spot) || !j.zoneOK(z, use) || now < f.refused[o] || !e.worthRenting(j, o) {
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
