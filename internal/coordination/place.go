package coordination

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oakpick/internal/bookkeeping"
	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

// free is the room that the books leave on a machine.
func (e *engine) free(h *host) need {
	mt := e.fleet.kind(h.kind)
	if mt == nil {
		return need{}
	}
	n := need{mt.CPUs, mt.GPUs, mt.MemoryGB}
	for _, t := range h.tasks {
		n = n.minus(t.job.need)
	}
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

// queue sorts the jobs that wait: by priority, then those within their team's
// guarantee, then by age.
func (e *engine) queue() []*job {
	sum := map[*team]need{}
	var out []*job
	for _, j := range e.order {
		if j.Cancelled || j.over {
			j.within = false
			continue
		}
		s := sum[j.team].plus(j.need.times(float64(j.Tasks - j.done)))
		sum[j.team] = s
		t := j.team
		j.within = (t.CPUs > 0 || t.GPUs > 0) && (t.CPUs == 0 || s.cpus <= t.CPUs+slack) && (t.GPUs == 0 || s.gpus <= t.GPUs+slack)
		if j.idle() > 0 {
			out = append(out, j)
		}
	}
	slices.SortStableFunc(out, func(a, b *job) int {
		return cmp.Or(cmp.Compare(order(b), order(a)), cmp.Compare(a.SubmittedMs, b.SubmittedMs))
	})
	return out
}

func order(j *job) int {
	n := 2 * int(j.Priority)
	if j.within {
		n++
	}
	return n
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
	for _, h := range e.byName {
		h.virtual = e.free(h)
	}
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
		for idle > 0 && j.team.allows(j.need) {
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
		if left := min(idle, e.withinLimit(j, idle)); left > 0 {
			e.fleet.unplaced = append(e.fleet.unplaced, wait{j, left})
			e.makeRoom(j, left, use)
		}
	}
}

// withinLimit is how many more tasks the team's limit lets a job start.
func (e *engine) withinLimit(j *job, most int) int {
	t := j.team
	left := need{1e12, 1e12, 1e12} // no limit
	if t.CPUsMax > 0 {
		left.cpus = t.CPUsMax - t.used.cpus
	}
	if t.GPUsMax > 0 {
		left.gpus = t.GPUsMax - t.used.gpus
	}
	return j.need.count(left, most)
}

// choose picks a machine for one task: the best of a few sampled from those
// with room that have lately reported.
func (e *engine) choose(j *job, use map[string]int) *host {
	var fit []*host
	for _, h := range e.byName {
		if e.alive(h) && j.allowed(h.kind, h.zone, h.spot) && j.need.fits(h.virtual) && j.zoneOK(h.zone, use) && !j.failedOn[h.name] {
			fit = append(fit, h)
		}
	}
	if to := j.prefer; to != nil {
		j.prefer = nil
		if slices.Contains(fit, to) {
			return to
		}
	}
	if len(fit) == 0 && len(j.failedOn) > 0 {
		for _, h := range e.byName {
			if e.alive(h) && j.allowed(h.kind, h.zone, h.spot) && j.need.fits(h.virtual) && j.zoneOK(h.zone, use) {
				fit = append(fit, h)
			}
		}
	}
	if k := e.opt.Sample; len(fit) > k {
		e.n.rng.Shuffle(len(fit), func(a, b int) { fit[a], fit[b] = fit[b], fit[a] })
		fit = fit[:k]
	}
	var best *host
	bestCost := math.Inf(1)
	for _, h := range fit {
		if c := e.cost(j, h); c < bestCost {
			best, bestCost = h, c
		}
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
	for _, x := range e.byName {
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
		waited := float64(e.n.now.WallMs-j.SubmittedMs) / 1000
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
	if e.withinLimit(j, idle) < idle {
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
			for h, v := range saved {
				h.virtual = v
			}
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
		e.book.Touch(now, j.blocks[0], nil)
	}
	var placed []*task
	w := bookkeeping.NewWait(func() {
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
	return v.job.Priority < j.Priority || j.within && !v.job.within && v.job.team != j.team
}

// makeRoom frees room for the tasks of a job that found none. Room that is
// about to come free is set aside for it first. Nothing is stopped for a gang
// that could not start even then.
func (e *engine) makeRoom(j *job, count int, use map[string]int) {
	taken := map[*task]bool{}
	var victims []*task
	saved := map[*host]need{}
	for n := range count {
		h := e.comingRoom(j, use, taken)
		if h == nil {
			var more []*task
			if h, more = e.preemptFor(j, use, taken); h == nil {
				if j.Shape == protocol.Gang && n < count {
					for x, v := range saved {
						x.virtual = v
					}
					return
				}
				break
			}
			for _, t := range more {
				taken[t] = true
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
	}
}

// comingRoom finds a machine whose stopping tasks will leave room for a task.
func (e *engine) comingRoom(j *job, use map[string]int, taken map[*task]bool) *host {
	for _, h := range e.byName {
		if !e.alive(h) || !j.allowed(h.kind, h.zone, h.spot) || !j.zoneOK(h.zone, use) {
			continue
		}
		room := h.virtual
		for _, t := range h.tasks {
			if t.stopping || taken[t] {
				room = room.plus(t.job.need)
			}
		}
		if j.need.fits(room) {
			return h
		}
	}
	return nil
}

// preemptFor finds the tasks whose loss costs least, on one machine, so that a
// task of the job fits there without them.
func (e *engine) preemptFor(j *job, use map[string]int, taken map[*task]bool) (*host, []*task) {
	var best *host
	var victims []*task
	bestCost := math.Inf(1)
	for _, h := range e.byName {
		if !e.alive(h) || !j.allowed(h.kind, h.zone, h.spot) || !j.zoneOK(h.zone, use) {
			continue
		}
		room := h.virtual
		var may []*task
		for _, t := range h.tasks {
			if t.stopping || taken[t] {
				room = room.plus(t.job.need)
			} else if mayPreempt(j, t) {
				may = append(may, t)
			}
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
		if j.need.fits(room) && len(take) > 0 && cost < bestCost {
			best, victims, bestCost = h, take, cost
		}
	}
	if bestCost > e.opt.PreemptMostS {
		return nil, nil
	}
	return best, victims
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
