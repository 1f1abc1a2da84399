package controller

import (
	"math"
	"slices"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// free is the room that the records leave on a machine.
func (e *engine) free(h *host) need {
	mt := e.fleet.kind(h.kind)
	if mt == nil {
		return need{}
	}
	n := need{mt.CPUs, mt.GPUs, mt.MemoryGB}.minus(h.used)
	for _, tr := range h.others {
		// A task that isn't in the records any more still takes its room; how much
		// is known only while its job is.
		if j := e.jobs[tr.Job]; j != nil && tr.State != protocol.Exited {
			n = n.minus(j.need)
		}
	}
	return n
}

// allowed tells whether a job's tasks may be on a machine of this kind and place.
func (j *job) allowed(kind, zone string, spot bool) bool {
	return (j.AnyType || slices.Contains(j.Types, kind)) && (j.Zone == "" || j.Zone == zone) && (j.Spot || !spot)
}

// zoneUse counts a job's tasks by zone: every one that may still be on a machine.
func (j *job) zoneUse() map[string]int {
	use := map[string]int{}
	for _, t := range j.tasks {
		use[t.host.zone]++
	}
	return use
}

// zoneOK tells whether one more task may go to a zone, given those that are.
func (j *job) zoneOK(zone string, use map[string]int) bool {
	if j.OneZone {
		for z, n := range use {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	// After a change of leaders a machine's zone isn't known until it reports or
	// is listed: a task there may be in any zone.
	return !j.Spread || use[zone]+use[""] < (j.Tasks+1)/2
}

// wait is a job of which some tasks have found no place.
type wait struct {
	job   *job
	tasks int
}

// placeAll places what waits, in order, and frees room for what may take it.
func (e *engine) placeAll() {
	before := e.n.Stats.MachinesExamined
	e.pass.tasks = 0
	defer func() { e.pass.machines = e.n.Stats.MachinesExamined - before }()
	e.fleet.unplaced = e.fleet.unplaced[:0]
	now := e.n.now.Monotonic
	q := e.queue()
	if len(q) == 0 {
		return
	}
	e.beginPass()
	for _, j := range q {
		if now < j.retryAt || e.mayTry(j, j.idle()) == 0 {
			e.fleet.unplaced = append(e.fleet.unplaced, wait{j, 0})
			continue
		}
		if j.Kind == protocol.Gang {
			e.placeGang(j)
			continue
		}
		idle := e.mayTry(j, j.idle())
		later := j.awaitsRecord(idle)
		idle -= later
		use := j.zoneUse()
		for idle > 0 && j.team.allows(j.need.plus(j.team.heldFrom(j))) {
			h := e.choose(j, use)
			if h == nil {
				break
			}
			i := j.nextIdle()
			if i < 0 {
				break
			}
			e.n.log(message.Debug, "task placed", "job", j.ID, "class", j.Class, "task", i, "host", h.name, "image", j.Image, "fetch_s", h.fetchTime(e, j))
			e.place(j, i, h, nil)
			e.tried(j)
			h.virtual = h.virtual.minus(j.need)
			use[h.zone]++
			idle--
		}
		if j.failures.jobsFault {
			e.waitsAfterFailures(j, min(idle, 1))
			continue
		}
		left := e.withinLimit(j, idle)
		if left+later > 0 {
			e.fleet.unplaced = append(e.fleet.unplaced, wait{j, e.withinLimit(j, idle+later)})
		}
		if left > 0 {
			e.makeRoom(j, left, use)
		}
		if left < idle {
			e.makeWayInLimit(j, idle-left)
		}
	}
}

// pass is what one placement pass has found out so far, so that a machine isn't
// looked at again for every task that waits.
type pass struct {
	room    map[shape][]*host // machines with room for such a task
	freeing []*host           // those that stopping tasks are about to leave
	// Machines with tasks that jobs of an order may have stopped.
	yieldingAbove    map[int][]*host
	booting          []*host
	machines         int64          // looked at
	tasks            int64          // looked at, of machines where some might be stopped
	noRoomByStopping map[claim]bool // no task that may be stopped makes room for these
	// Nothing of the team may be stopped for its jobs of up to this order.
	noneToStop map[*team]int
}

// looks is how much a pass has looked at, in machines: so many tasks take as long as one.
func (p *pass) looks() int64 {
	const tasksALook = 16
	return p.machines + p.tasks/tasksALook
}

// shape is what tells tasks apart that ask for the same machines.
type shape struct {
	need        need
	kinds, zone string
	spot        bool
	anyRoom     bool // also what guests leave to others, see takesAnyRoom
}

// claim is what tells apart jobs that may have other tasks stopped.
type claim struct {
	shape
	order  int
	within bool
	team   *team
}

func (j *job) shape() shape {
	return shape{j.need, j.kinds, j.Zone, j.Spot, j.guest() && j.e.takesAnyRoom(j)}
}

func (e *engine) beginPass() {
	p := &e.pass
	p.room, p.noRoomByStopping, p.noneToStop = map[shape][]*host{}, map[claim]bool{}, map[*team]int{}
	p.freeing, p.booting, p.yieldingAbove = p.freeing[:0], p.booting[:0], nil
	for _, t := range e.teams {
		t.owed = need{}
	}
	for _, h := range e.byName {
		e.n.Stats.MachinesExamined++
		h.virtual = e.free(h)
		if !h.up {
			p.booting = append(p.booting, h)
		} else if h.leaving != (need{}) {
			p.freeing = append(p.freeing, h)
		}
	}
}

// withRoom lists the machines with room for such a task.
func (e *engine) withRoom(j *job) []*host {
	s := j.shape()
	list, ok := e.pass.room[s]
	if !ok {
		for _, h := range e.byName {
			e.n.Stats.MachinesExamined++
			if e.alive(h) && j.allowed(h.kind, h.zone, h.spot) && j.need.fits(e.roomFor(j, h, h.virtual)) {
				list = append(list, h)
			}
		}
		e.pass.room[s] = list
	}
	return list
}

// giveRoomBack undoes what was set aside in this pass.
func (e *engine) giveRoomBack(saved map[*host]need) {
	for h, v := range saved {
		h.virtual = v
	}
	if len(saved) > 0 {
		clear(e.pass.room)
	}
}

// choose picks a machine for one task: the best of a few sampled from those
// with room that have lately reported.
func (e *engine) choose(j *job, use map[string]int) *host {
	if to := j.prefer; to != nil {
		j.prefer = nil
		if e.alive(to) && j.allowed(to.kind, to.zone, to.spot) && j.need.fits(to.virtual) && j.zoneOK(to.zone, use) && !j.failures.on[to.name] {
			return to
		}
	}
	list := e.withRoom(j)
	var best, failedThere *host // failedThere: only if there is no other
	bestCost, failedThereCost := math.Inf(1), math.Inf(1)
	for i, looked := 0, 0; i < len(list) && looked < e.opt.Sample; {
		e.n.Stats.MachinesExamined++
		r := i + e.n.rng.IntN(len(list)-i)
		h := list[r]
		if !j.need.fits(e.roomFor(j, h, h.virtual)) { // filled up in this pass
			list[r] = list[len(list)-1]
			list = list[:len(list)-1]
			e.pass.room[j.shape()] = list
			continue
		}
		list[i], list[r] = h, list[i]
		i++
		if !j.zoneOK(h.zone, use) {
			continue
		}
		c := e.cost(j, h)
		switch {
		case j.failures.on[h.name]:
			if c < failedThereCost {
				failedThere, failedThereCost = h, c
			}
		case c < bestCost || c == bestCost && h.name < best.name: // equals fill up one after the other, not side by side
			best, bestCost = h, c
			looked++
		default:
			looked++
		}
	}
	if best == nil {
		best = failedThere
	}
	if best != nil && e.betterSoon(j, best) {
		return nil
	}
	return best
}

// betterSoon tells whether a task should rather wait for a machine that is about
// to be up than have its image fetched beside another one: both would be late.
func (e *engine) betterSoon(j *job, h *host) bool {
	now := e.n.now.Monotonic
	mt := e.fleet.kind(h.kind)
	if mt == nil || mt.FetchGBPerS <= 0 {
		return false
	}
	own := j.ImageGB / mt.FetchGBPerS
	if own < 1 || h.fetchTime(e, j) < 1.3*own {
		return false
	}
	if j.holdUntil == 0 {
		j.holdUntil = now + config.Seconds(own/2)
	}
	if now >= j.holdUntil {
		return false
	}
	for _, x := range e.pass.booting {
		e.n.Stats.MachinesExamined++
		if !e.coming(x) || !j.allowed(x.kind, x.zone, x.spot) {
			continue
		}
		boot := config.Seconds(e.fleet.kind(x.kind).BootS)
		if age := now - x.rentedAt; age > boot-config.Seconds(own/2) && age < boot*5/4 {
			return true
		}
	}
	return false
}

// cost ranks machines for a task: by packing, since a machine that empties can be
// given back, and by the image's fetch, during which the place does nothing. A
// fetch that would make the start late by its class's aim counts far more.
func (e *engine) cost(j *job, h *host) float64 {
	mt := e.fleet.kind(h.kind)
	fetch := h.fetchTime(e, j)
	c := 0.8 * fetch
	if within := e.within[j.Class]; within > 0 {
		waited := float64(e.n.now.WallMs-j.readyMs) / 1000
		if left := within - waited; left > 0 && fetch > 0.9*left-0.5 {
			c += 40
		} else if left <= 0 && j.Kind == protocol.Service {
			c += 0.2 * fetch // late or lost: every second that the replica is away counts
		}
	}
	left := h.virtual.minus(j.need)
	total := size(mt)
	share := 0.0
	if total.gpus > 0 {
		share = left.gpus / total.gpus
		if j.need.gpus == 0 {
			// Not to strand the GPUs: enough of the rest has to stay with them.
			if left.cpus < left.gpus*total.cpus/total.gpus*0.75 {
				c += 60
			}
			share = left.cpus / total.cpus
		}
	} else {
		share = left.cpus / total.cpus
	}
	c += 25 * share
	if j.Spot && !h.spot {
		c += 10 // ordinary machines are for those that can use nothing else
	}
	if len(h.tasks) == 0 {
		c += 15 // an empty machine can be given back
	}
	if h.fails > 0 {
		c += 50 // commands haven't been getting through to it
	}
	return c
}
