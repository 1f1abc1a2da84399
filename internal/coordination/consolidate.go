package coordination

import (
	"time"

	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

// consolidate moves replicas off a machine that is little used, so that it can
// be given back. Only replicas are moved, only to machines that are up, have
// room beyond what is kept free and hold the image, so that a replica is away
// for no longer than two messages and a write take.
func (e *engine) consolidate(bins []*bin) {
	f, now := &e.fleet, e.n.now.Mono
	draining := 0
	for _, h := range e.byName {
		if h.draining && h.noticeAt == 0 && !h.returning {
			draining++
		}
	}
	if len(f.unplaced) > 0 {
		// Room is short: what was to be emptied is used again.
		for _, h := range e.byName {
			h.draining = false
		}
		return
	}
	if e.opt.MovesPerMin == 0 {
		return
	}
	if draining == 0 && now-e.ledAt > config.Seconds(e.opt.IdleS) {
		e.drainOne(bins)
	}
	for _, h := range e.byName {
		if h.draining {
			e.moveOne(h)
		}
	}
}

// drainOne picks the machine that costs most for each replica to be moved.
func (e *engine) drainOne(bins []*bin) {
	var best *host
	bestWorth := 0.0
	for _, b := range bins {
		h := b.h
		if h == nil || b.used || !e.alive(h) || len(h.tasks) == 0 || len(h.tasks) > 6 || len(h.others) > 0 {
			continue
		}
		mt := e.fleet.kind(h.kind)
		price := mt.Price
		if h.spot {
			price = mt.SpotPrice
		}
		if worth := price / float64(len(h.tasks)); worth > bestWorth && e.movable(h, bins) {
			best, bestWorth = h, worth
		}
	}
	if best != nil {
		best.draining = true
		e.n.log(Info, "machine is emptied", "host", best.name, "type", best.kind, "tasks", len(best.tasks))
	}
}

// movable tells whether all of a machine's replicas have places elsewhere.
func (e *engine) movable(h *host, bins []*bin) bool {
	room := map[*bin]need{}
	for _, t := range h.tasks {
		j := t.job
		if j.Shape == protocol.Gang || t.stopping || j.Cancelled {
			return false
		}
		if j.Shape == protocol.Array {
			continue // it ends by itself
		}
		use := j.zoneUse()
		use[h.zone]--
		var to *bin
		for _, b := range bins {
			if b.h == nil || b.h == h || len(b.h.tasks) == 0 || !e.fitsMove(j, b.h, use) {
				continue
			}
			left, ok := room[b]
			if !ok {
				left = b.room
			}
			if j.need.fits(left) {
				room[b] = left.minus(j.need)
				to = b
				break
			}
		}
		if to == nil {
			return false
		}
	}
	return true
}

func (e *engine) fitsMove(j *job, h *host, use map[string]int) bool {
	return e.alive(h) && j.allowed(h.kind, h.zone, h.spot) && j.zoneOK(h.zone, use) && !j.failedOn[h.name] && h.fetchTime(e, j) == 0
}

// moveOne stops a replica of a machine that is being emptied, if a place is
// ready for it and its job has no other on the move.
func (e *engine) moveOne(h *host) {
	now := e.n.now.Mono
	if now < e.moveAt {
		return
	}
	for _, t := range h.tasks {
		if t.job.Shape != protocol.Service {
			return // first let the others end
		}
	}
	for _, t := range h.tasks {
		j := t.job
		// A start that is undone within half a minute counts for nothing.
		if t.stopping || t.ranSince < 0 || now-t.ranSince < protocol.StartCountsS*time.Second*4/3 || j.idle() > 0 {
			continue
		}
		use := j.zoneUse()
		use[h.zone]--
		for _, to := range e.byName {
			if to != h && len(to.tasks) > 0 && e.fitsMove(j, to, use) && j.need.fits(e.free(to)) {
				e.n.Stats.Moved++
				e.moveAt = now + time.Duration(float64(time.Minute)/e.opt.MovesPerMin)
				j.prefer = to
				e.preemptTask(t, "moved to free its machine")
				return
			}
		}
	}
}
