package controller

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// consolidate moves replicas off machines that cost more than they are worth, so
// that they can be given back. Only replicas are moved, only to machines that
// are up, have room beyond what is kept free and hold the image, so that a
// replica is away for no longer than two messages and a write take.
func (e *engine) consolidate(bins []*bin) {
	f, now := &e.fleet, e.n.now.Monotonic
	for _, w := range f.unplaced {
		if w.tasks > 0 && !w.job.Spot {
			// Room is short: what was to be emptied is used again.
			for _, h := range e.byName {
				h.draining = false
			}
			return
		}
	}
	settled := e.ledAt // a new leader first sees what is really idle
	for i := range f.types {
		settled = max(settled, e.ledAt+e.keepIdle(&f.types[i]))
	}
	if e.opt.MovesPerMin == 0 || now < settled {
		return
	}
	alive, draining := 0, 0
	for _, h := range e.byName {
		if h.draining && h.noticeAt == 0 && !h.returning {
			draining++
		} else if e.alive(h) {
			alive++
		}
	}
	e.drainSome(bins, 1+alive/drainShare-draining)
	// What wasn't used of the moves allowed is kept for a second.
	e.moveAt = max(e.moveAt, now-time.Second)
	// Replicas that are on their way have been promised their places.
	promised := map[*host]need{}
	for _, j := range e.order {
		if j.prefer != nil {
			promised[j.prefer] = promised[j.prefer].plus(j.need)
		}
	}
	// A move takes a replica away for about a second: few may be away at a time.
	replicas := 0
	for _, j := range e.order {
		if j.Kind == protocol.Service {
			replicas += len(j.tasks)
		}
	}
	perMin := min(e.opt.MovesPerMin, float64(replicas)/moveShare)
	for _, h := range e.byName {
		if h.draining {
			e.moveOne(h, promised, perMin)
		}
	}
}

const (
	// drainShare is the part of the machines that are emptied at a time.
	drainShare = 16
	// moveShare is the part of the replicas that may be moved in a minute.
	moveShare = 4
	// drainTries is how many machines a pass looks at closely, at most.
	drainTries = 8
	// dearer is how many times as much a task's place may cost on the machine
	// that it is moved to.
	dearer = 2
)

// drainSome picks the machines that save most for what has to be moved.
func (e *engine) drainSome(bins []*bin, most int) {
	type candidate struct {
		h     *host
		worth float64
	}
	var list []candidate
	now := e.n.now.Monotonic
	for _, b := range bins {
		h := b.h
		if h == nil || b.used || !e.alive(h) || len(h.tasks) == 0 || len(h.others) > 0 || now < h.drainNext {
			continue
		}
		price, excess, replicas := e.fleet.price(b.offer), 0.0, false
		for _, t := range h.tasks {
			excess += e.perTask(t.job, b.offer) / e.leastPerTask(t.job)
			replicas = replicas || t.job.Kind == protocol.Service
		}
		if !replicas {
			continue // what is on it ends by itself, and its room is for more of that
		}
		n := float64(len(h.tasks))
		// Dear types go first even if more has to be moved: the cheap ones may be
		// used up, and are not to be given back for a few moves less.
		list = append(list, candidate{h, price * math.Pow(excess/n, 3) / (2 + n)})
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(b.worth, a.worth) })
	taken := map[*bin]need{}
	for _, c := range list[:min(len(list), drainTries)] {
		if most <= 0 {
			return
		}
		if !e.movable(c.h, bins, taken) {
			c.h.drainNext = now + e.rules.lease/2
			continue
		}
		most--
		c.h.draining = true
		e.n.log(message.Info, "machine is emptied", "host", c.h.name, "type", c.h.kind, "tasks", len(c.h.tasks))
	}
}

// leastPerTask is the least that a place for a task of the job costs on any
// ordinary machine.
func (e *engine) leastPerTask(j *job) float64 {
	least := math.Inf(1)
	for i := range e.fleet.types {
		mt := &e.fleet.types[i]
		if j.need.fits(size(mt)) && (j.AnyType || slices.Contains(j.Types, mt.Name)) {
			least = min(least, e.perTask(j, offer{kind: mt.Name}))
		}
	}
	return least
}

// movable tells whether all of a machine's replicas have places elsewhere, and
// takes these from the room that this pass may still give.
func (e *engine) movable(h *host, bins []*bin, taken map[*bin]need) bool {
	room := map[*bin]need{}
	for _, t := range h.tasks {
		j := t.job
		if j.Kind == protocol.Gang || t.stopping || j.Cancelled {
			return false
		}
		if j.Kind == protocol.Array {
			continue // it ends by itself
		}
		use := j.zoneUse()
		use[h.zone]--
		i := slices.IndexFunc(bins, func(b *bin) bool {
			return b.h != nil && j.need.fits(b.room.minus(room[b]).minus(taken[b])) && e.fitsMove(j, h, b.h, use)
		})
		if i < 0 {
			return false
		}
		room[bins[i]] = room[bins[i]].plus(j.need)
	}
	for b, n := range room {
		taken[b] = taken[b].plus(n)
	}
	return true
}

// fitsMove tells whether a replica may be moved from one machine to another, as
// far as anything but room goes. The other machine's offer may cost more, but
// not much: room there is free now, but taking it keeps that machine.
func (e *engine) fitsMove(j *job, from, to *host, use map[string]int) bool {
	return to != from && len(to.tasks) > 0 && e.alive(to) && j.allowed(to.kind, to.zone, to.spot) && j.zoneOK(to.zone, use) &&
		!j.failures.on[to.name] && to.fetchTime(e, j) == 0 &&
		e.perTask(j, offer{to.kind, to.zone, to.spot}) <= dearer*e.perTask(j, offer{from.kind, from.zone, from.spot})
}

// moveOne stops a replica of a machine that is being emptied, if a place is
// ready for it and its job has no other on the move.
func (e *engine) moveOne(h *host, promised map[*host]need, perMin float64) {
	now := e.n.now.Monotonic
	if now < e.moveAt || now < h.drainNext {
		return
	}
	for _, t := range h.tasks {
		if t.job.Kind != protocol.Service {
			return // first let the others end
		}
	}
	for _, t := range h.tasks {
		j := t.job
		// A start that is undone within half a minute counts for nothing.
		if t.stopping || t.ranSince < 0 || now-t.ranSince < protocol.StableStartS*time.Second*4/3 || j.idle() > 0 {
			continue
		}
		use := j.zoneUse()
		use[h.zone]--
		for _, to := range e.byName {
			e.n.Stats.MachinesExamined++
			if !j.need.fits(e.free(to).minus(promised[to])) || !e.fitsMove(j, h, to, use) {
				continue
			}
			e.n.Stats.ReplicasMoved++
			e.moveAt += time.Duration(float64(time.Minute) / perMin)
			j.prefer = to
			promised[to] = promised[to].plus(j.need)
			e.preemptTask(t, "moved to free its machine")
			return
		}
	}
	h.drainNext = now + e.rules.lease/16 // nothing can be moved yet
}
