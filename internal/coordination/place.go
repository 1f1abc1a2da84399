package coordination

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// free is the room that the books leave on a machine.
func (e *engine) free(h *host) need {
	mt := e.fleet.kind(h.kind)
	if mt == nil {
		return need{}
	}
	n := need{mt.CPUs, mt.GPUs, mt.MemoryGB}.minus(h.used)
	for _, tr := range h.others {
		// A task that isn't in the books any more still takes its room; how much
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
	e.fleet.unplaced = e.fleet.unplaced[:0]
	now := e.n.now.Mono
	q := e.queue()
	if len(q) == 0 {
		return
	}
	e.beginPass()
	for _, j := range q {
		if now < j.retryAt {
			e.fleet.unplaced = append(e.fleet.unplaced, wait{j, 0})
			continue
		}
		if j.Shape == protocol.Gang {
			e.placeGang(j)
			continue
		}
		idle := j.idle()
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
			e.n.log(Debug, "task placed", "job", j.ID, "class", j.Class, "task", i, "host", h.name, "image", j.Image, "fetch_s", h.fetchTime(e, j))
			e.place(j, i, h, nil)
			h.virtual = h.virtual.minus(j.need)
			use[h.zone]++
			idle--
		}
		left := e.withinLimit(j, idle)
		if left > 0 {
			e.fleet.unplaced = append(e.fleet.unplaced, wait{j, left})
			e.makeRoom(j, left, use)
		}
		if left < idle {
			e.makeWayInLimit(j, idle-left)
		}
	}
}

// endsShare is the part of a team's limit that is left to work that ends, as long
// as such work waits: services, which don't end, would keep it waiting for good.
const endsShare = 0.4

// heldFrom is what of its team's limit a job may not take: what is promised to
// others, and from services what is left to work that ends.
func (t *team) heldFrom(j *job) need {
	n := t.owed
	if j.Shape == protocol.Service {
		n.cpus += max(0, min(t.CPUsMax*endsShare, t.ends.cpus+t.endsWait.cpus)-t.ends.cpus)
		n.gpus += max(0, min(t.GPUsMax*endsShare, t.ends.gpus+t.endsWait.gpus)-t.ends.gpus)
	}
	return n
}

// makeWayInLimit stops tasks of a team that is at its limit, so that its jobs of
// higher priority need not wait for those of lower to end by themselves. What is
// about to be left is promised to the job: nothing later in the queue takes it.
func (e *engine) makeWayInLimit(j *job, count int) {
	t := j.team
	// Room beyond the limit that so many tasks lack, whatever is promised already.
	lack := func() need {
		over := t.used.plus(t.owed).plus(j.need.times(float64(count))).minus(t.leaving)
		n := need{}
		if t.CPUsMax > 0 {
			n.cpus = max(0, over.cpus-t.CPUsMax)
		}
		if t.GPUsMax > 0 {
			n.gpus = max(0, over.gpus-t.GPUsMax)
		}
		return n
	}
	short := lack()
	if vain, ok := e.pass.vainLimit[t]; !short.fits(need{}) && (!ok || order(j) > vain) {
		var may []*task
		for _, v := range e.order {
			if v.team != t || v.priority() >= j.priority() || v.over || v.Cancelled || order(v) >= order(j) || v.Shape == protocol.Service {
				continue
			}
			for _, x := range e.sorted(v) {
				if !x.stopping {
					may = append(may, x)
				}
			}
		}
		if len(may) == 0 {
			e.pass.vainLimit[t] = order(j)
		}
		// What doesn't run yet first, then what costs least, the latest first.
		slices.SortStableFunc(may, func(a, b *task) int {
			return cmp.Or(cmp.Compare(a.job.priority(), b.job.priority()), cmp.Compare(min(0, a.ranSince), min(0, b.ranSince)),
				cmp.Compare(e.lossOf(a), e.lossOf(b)), cmp.Compare(b.ranSince, a.ranSince))
		})
		for _, x := range may {
			if short.fits(need{}) {
				break
			}
			if x.stopping || x.job.tasks[x.index] != x {
				continue // with the gang that it was of
			}
			if rest := t.ends.minus(x.job.need); t.GPUsMax > 0 && rest.gpus < t.GPUsMax*endsShare || t.CPUsMax > 0 && rest.cpus < t.CPUsMax*endsShare {
				break
			}
			t.ends = t.ends.minus(x.job.need)
			e.n.Stats.Preempted++
			e.preemptTask(x, "its team's limit is needed for "+j.ID)
			short = lack()
		}
	}
	for ; count > 0 && t.owed.plus(j.need).fits(t.leaving); count-- {
		t.owed = t.owed.plus(j.need)
	}
}

// withinLimit is how many more tasks the team's limit lets a job start.
func (e *engine) withinLimit(j *job, most int) int {
	t := j.team
	left := need{1e12, 1e12, 1e12} // no limit
	held := t.heldFrom(j)
	if t.CPUsMax > 0 {
		left.cpus = t.CPUsMax - t.used.cpus - held.cpus
	}
	if t.GPUsMax > 0 {
		left.gpus = t.GPUsMax - t.used.gpus - held.gpus
	}
	return j.need.count(left, most)
}

// pass is what one placement pass has found out so far, so that a machine isn't
// looked at again for every task that waits.
type pass struct {
	room     map[shape][]*host // machines with room for such a task
	freeing  []*host           // those that stopping tasks are about to leave
	yielding []*host           // those with tasks that some job may have stopped
	yields   bool              // yielding has been made
	booting  []*host
	vain     map[claim]bool // no task that may be stopped makes room for these
	// Nothing of the team may be stopped for its jobs of up to this order.
	vainLimit map[*team]int
}

// shape is what tells tasks apart that ask for the same machines.
type shape struct {
	need        need
	kinds, zone string
	spot        bool
}

// claim is what tells apart jobs that may have other tasks stopped.
type claim struct {
	shape
	order  int
	within bool
	team   *team
}

func (j *job) shape() shape { return shape{j.need, j.kinds, j.Zone, j.Spot} }

func (e *engine) beginPass() {
	p := &e.pass
	p.room, p.vain, p.vainLimit = map[shape][]*host{}, map[claim]bool{}, map[*team]int{}
	p.freeing, p.yielding, p.booting, p.yields = p.freeing[:0], p.yielding[:0], p.booting[:0], false
	for _, t := range e.teams {
		t.owed = need{}
	}
	for _, h := range e.byName {
		e.n.Stats.HostsSeen++
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
			e.n.Stats.HostsSeen++
			if j.need.fits(h.virtual) && e.alive(h) && j.allowed(h.kind, h.zone, h.spot) {
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
		if e.alive(to) && j.allowed(to.kind, to.zone, to.spot) && j.need.fits(to.virtual) && j.zoneOK(to.zone, use) && !j.failedOn[to.name] {
			return to
		}
	}
	list := e.withRoom(j)
	var best, again *host // again: the task has failed there
	bestCost, againCost := math.Inf(1), math.Inf(1)
	for i, looked := 0, 0; i < len(list) && looked < e.opt.Sample; {
		e.n.Stats.HostsSeen++
		r := i + e.n.rng.IntN(len(list)-i)
		h := list[r]
		if !j.need.fits(h.virtual) { // filled up in this pass
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
		case j.failedOn[h.name]:
			if c < againCost {
				again, againCost = h, c
			}
		case c < bestCost || c == bestCost && h.name < best.name: // equals fill up one after the other, not side by side
			best, bestCost = h, c
			looked++
		default:
			looked++
		}
	}
	if best == nil {
		best = again
	}
	if best != nil && e.betterSoon(j, best) {
		return nil
	}
	return best
}

// betterSoon tells whether a task should rather wait for a machine that is about
// to be up than have its image fetched beside another one: both would be late.
func (e *engine) betterSoon(j *job, h *host) bool {
	now := e.n.now.Mono
	mt := e.fleet.kind(h.kind)
	if mt == nil || mt.FetchRate <= 0 {
		return false
	}
	own := j.ImageGB / mt.FetchRate
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
		e.n.Stats.HostsSeen++
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
		} else if left <= 0 && j.Shape == protocol.Service {
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

// placeGang starts a gang if every member has a place, or replaces members of
// an attempt that has not begun to run.
func (e *engine) placeGang(j *job) {
	now := e.n.now.Mono
	if j.gangEnding {
		return
	}
	idle := j.idle()
	if idle < j.Tasks-j.done && j.gangRan {
		return
	}
	if left := e.withinLimit(j, idle); left < idle {
		e.makeWayInLimit(j, idle-left)
		return
	}
	type spot struct {
		h *host
		i int
	}
	try := func(zone string) []spot {
		use := j.zoneUse()
		var got []spot
		saved := map[*host]need{}
		for range idle {
			h := e.choose(j, use)
			if zone != "" {
				h = e.chooseIn(j, use, zone)
			}
			if h == nil {
				break
			}
			if _, ok := saved[h]; !ok {
				saved[h] = h.virtual
			}
			h.virtual = h.virtual.minus(j.need)
			use[h.zone]++
			got = append(got, spot{h: h})
		}
		if len(got) < idle {
			e.giveRoomBack(saved)
			return nil
		}
		return got
	}
	var got []spot
	if j.OneZone && len(j.tasks) == 0 {
		for _, z := range e.n.cfg.Settings.Zones {
			if got = try(z); got != nil {
				break
			}
		}
	} else {
		got = try("")
	}
	if got == nil {
		e.fleet.unplaced = append(e.fleet.unplaced, wait{j, idle})
		e.makeRoom(j, idle, j.zoneUse())
		return
	}
	if len(j.tasks) == 0 {
		j.Try++
		j.gangRan = false
		e.store.Touch(now, j.blocks[0], nil)
	}
	var placed []*task
	w := storage.OnCommit(func() {
		for _, t := range placed {
			e.started(t)
		}
	})
	for _, s := range got {
		placed = append(placed, e.place(j, j.nextIdle(), s.h, w))
	}
}

// chooseIn is choose within one zone.
func (e *engine) chooseIn(j *job, use map[string]int, zone string) *host {
	other := j.Zone
	if other != "" && other != zone {
		return nil
	}
	j.Zone = zone
	h := e.choose(j, use)
	j.Zone = other
	return h
}

// mayPreempt tells whether a task may be stopped for a job.
func mayPreempt(j *job, v *task) bool {
	if v.job == j || v.job.Cancelled || len(j.failedOn) >= 3 {
		return false
	}
	// Whoever is stopped must not come before the job in the queue: it would take
	// the room again, and be stopped again, for ever.
	if order(v.job) >= order(j) {
		return false
	}
	return v.job.priority() < j.priority() || j.within && !v.job.within && v.job.team != j.team
}

// makeRoom frees room for the tasks of a job that found none. Room that is
// about to come free is set aside for it first. Nothing is stopped for a gang
// that could not start even then.
func (e *engine) makeRoom(j *job, count int, use map[string]int) {
	taken := map[*task]bool{}
	extra := map[*host]need{} // what the taken ones leave
	var victims []*task
	saved := map[*host]need{}
	for n := range count {
		h := e.comingRoom(j, use, extra)
		if h == nil {
			var more []*task
			if h, more = e.preemptFor(j, use, taken, extra, n == 0); h == nil {
				if j.Shape == protocol.Gang && n < count {
					e.giveRoomBack(saved)
					return
				}
				break
			}
			for _, t := range more {
				taken[t] = true
				extra[h] = extra[h].plus(t.job.need)
			}
			victims = append(victims, more...)
		}
		if _, ok := saved[h]; !ok {
			saved[h] = h.virtual
		}
		h.virtual = h.virtual.minus(j.need)
		use[h.zone]++
	}
	for _, t := range victims {
		e.n.Stats.Preempted++
		e.preemptTask(t, "preempted for "+j.ID)
		if h := t.host; !slices.Contains(e.pass.freeing, h) {
			e.pass.freeing = append(e.pass.freeing, h)
		}
	}
}

// comingRoom finds a machine whose stopping tasks will leave room for a task.
func (e *engine) comingRoom(j *job, use map[string]int, extra map[*host]need) *host {
	fits := func(h *host) bool {
		e.n.Stats.HostsSeen++
		return j.need.fits(h.virtual.plus(h.leaving).plus(extra[h])) && e.alive(h) && j.allowed(h.kind, h.zone, h.spot) && j.zoneOK(h.zone, use)
	}
	for _, list := range [][]*host{e.withRoom(j), e.pass.freeing} {
		for _, h := range list {
			if fits(h) {
				return h
			}
		}
	}
	var best *host // of those with tasks taken for this very job: the first by name, whatever the map's order
	for h := range extra {
		if (best == nil || h.name < best.name) && fits(h) {
			best = h
		}
	}
	return best
}

// preemptFor finds the tasks whose loss costs least, on one machine, so that a
// task of the job fits there without them.
func (e *engine) preemptFor(j *job, use map[string]int, taken map[*task]bool, extra map[*host]need, first bool) (*host, []*task) {
	c := claim{j.shape(), order(j), j.within, j.team}
	// Within a pass room only shrinks: what was in vain for one job is so for the
	// next that may stop the same. A zone's limit is the job's own affair.
	// So are the places that its other tasks have been promised.
	free := first && !j.Spread && !j.OneZone && len(j.failedOn) < 3
	if free && e.pass.vain[c] {
		return nil, nil
	}
	list := e.yielding()
	var best *host
	var victims []*task
	bestCost := math.Inf(1)
	for i, found := 0, 0; i < len(list) && found < e.opt.Sample; i++ {
		e.n.Stats.HostsSeen++
		r := i + e.n.rng.IntN(len(list)-i)
		list[i], list[r] = list[r], list[i]
		h := list[i]
		if !e.alive(h) || !j.allowed(h.kind, h.zone, h.spot) || !j.zoneOK(h.zone, use) {
			continue
		}
		room := h.virtual.plus(h.leaving).plus(extra[h])
		var may []*task
		for _, t := range h.tasks {
			if !t.stopping && !taken[t] && mayPreempt(j, t) {
				may = append(may, t)
			}
		}
		if len(may) == 0 {
			continue
		}
		slices.SortStableFunc(may, func(a, b *task) int { return cmp.Compare(e.lossOf(a), e.lossOf(b)) })
		var take []*task
		cost := h.fetchTime(e, j)
		for _, t := range may {
			if j.need.fits(room) {
				break
			}
			room = room.plus(t.job.need)
			take = append(take, t)
			cost += e.lossOf(t)
		}
		if !j.need.fits(room) || len(take) == 0 {
			continue
		}
		found++
		if cost < bestCost {
			best, victims, bestCost = h, take, cost
		}
	}
	if bestCost > e.opt.PreemptMostS {
		if free && best == nil {
			e.pass.vain[c] = true
		}
		return nil, nil
	}
	return best, victims
}

// yielding lists the machines with tasks that could be stopped for some job:
// all but those of the highest priority within their team's guarantee.
func (e *engine) yielding() []*host {
	p := &e.pass
	if !p.yields {
		p.yields = true
		for _, h := range e.byName {
			e.n.Stats.HostsSeen++
			if h.up && slices.ContainsFunc(h.tasks, func(t *task) bool {
				return !t.job.Cancelled && !(t.job.priority() == protocol.Production && t.job.within)
			}) {
				p.yielding = append(p.yielding, h)
			}
		}
	}
	return p.yielding
}

// lossOf is what stopping a task costs, in seconds of work.
func (e *engine) lossOf(t *task) float64 {
	j := t.job
	ran := 0.0
	if t.ranSince >= 0 {
		ran = (e.n.now.Mono - t.ranSince).Seconds()
	}
	switch {
	case j.Shape == protocol.Service && t.ranSince >= 0:
		return 240 + 60*float64(j.Priority)
	case j.Shape == protocol.Service:
		return 30 + 60*float64(j.Priority)
	case j.saves():
		return j.SaveTime + 10
	default:
		return ran + 10
	}
}

// endsWithin guesses whether a task is over within so many seconds.
func (e *engine) endsWithin(t *task, s float64) bool {
	if t.job.Shape == protocol.Service || t.ranSince < 0 {
		return false
	}
	ran := (e.n.now.Mono - t.ranSince).Seconds()
	return t.job.Estimate > 0 && ran+s > t.job.Estimate*1.2
}

// class is what is learned of a class of jobs while leading.
type class struct {
	arrivals []time.Duration // lately, oldest first
	need     need
	tasks    float64 // mean
	run      float64 // mean seconds of a task; 0: not known
	sample   *job
}

func (e *engine) classOf(j *job) *class {
	c := e.classes[j.Class]
	if c == nil {
		c = &class{need: j.need, tasks: float64(j.Tasks)}
		e.classes[j.Class] = c
	}
	return c
}

// arrived learns from a submission.
func (e *engine) arrived(j *job) {
	c := e.classOf(j)
	c.arrivals = append(c.arrivals, e.n.now.Mono)
	if len(c.arrivals) > 64 {
		c.arrivals = c.arrivals[1:]
	}
	c.need, c.sample = j.need, j
	c.tasks += (float64(min(j.Tasks, 64)) - c.tasks) / 8
}

// ran learns from a task that completed.
func (e *engine) ran(j *job, d time.Duration, known bool) {
	if !known {
		return
	}
	c := e.classOf(j)
	if c.run == 0 {
		c.run = d.Seconds()
	}
	c.run += (d.Seconds() - c.run) / 8
}
