package controller

import (
	"cmp"
	"math"
	"slices"

	"oakpick/internal/protocol"
)

// mayPreempt tells whether a task may be stopped for a job.
func mayPreempt(j *job, v *task) bool {
	if v.job == j || v.job.Cancelled || j.failures.jobsFault {
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
	if j.guest() {
		return // guests get what is idle
	}
	taken := map[*task]bool{}
	extra := map[*host]need{} // what the taken ones leave
	var victims []*task
	saved := map[*host]need{}
	for n := range count {
		h := e.comingRoom(j, use, extra)
		if h == nil {
			var more []*task
			if h, more = e.preemptFor(j, use, taken, extra, n == 0); h == nil {
				if j.Kind == protocol.Gang && n < count {
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
		e.n.Stats.TasksPreempted++
		e.preemptTask(t, "preempted for "+j.ID)
		if h := t.host; !slices.Contains(e.pass.freeing, h) {
			e.pass.freeing = append(e.pass.freeing, h)
		}
	}
}

// comingRoom finds a machine whose stopping tasks will leave room for a task.
func (e *engine) comingRoom(j *job, use map[string]int, extra map[*host]need) *host {
	fits := func(h *host) bool {
		e.n.Stats.MachinesExamined++
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
	free := first && !j.Spread && !j.OneZone && !j.failures.jobsFault
	if free && e.pass.noRoomByStopping[c] {
		return nil, nil
	}
	list := e.yielding(c.order)
	var best *host
	var victims []*task
	bestCost := math.Inf(1)
	for i, found := 0, 0; i < len(list) && found < e.opt.Sample; i++ {
		e.n.Stats.MachinesExamined++
		r := i + e.n.rng.IntN(len(list)-i)
		list[i], list[r] = list[r], list[i]
		h := list[i]
		if !e.alive(h) || !j.allowed(h.kind, h.zone, h.spot) || !j.zoneOK(h.zone, use) {
			continue
		}
		room := h.virtual.plus(h.leaving).plus(extra[h])
		e.pass.tasks += int64(len(h.tasks))
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
			e.pass.noRoomByStopping[c] = true
		}
		return nil, nil
	}
	return best, victims
}

// yielding lists the machines with tasks that could be stopped for a job of such an order:
// tasks of jobs of a lower one. What is placed later in a pass is of jobs of at least the
// order of those that are still to come.
func (e *engine) yielding(above int) []*host {
	p := &e.pass
	if p.yieldingAbove == nil {
		p.yieldingAbove = map[int][]*host{}
		for _, h := range e.byName {
			h.leastOrder = e.leastOrder(h)
		}
	}
	list, ok := p.yieldingAbove[above]
	if !ok {
		for _, h := range e.byName {
			if h.up && h.leastOrder < above {
				list = append(list, h)
			}
		}
		p.yieldingAbove[above] = list
	}
	return list
}

// leastOrder is the lowest order of the tasks on a machine that could be stopped.
func (e *engine) leastOrder(h *host) int {
	e.n.Stats.MachinesExamined++
	e.pass.tasks += int64(len(h.tasks))
	least := math.MaxInt
	for _, t := range h.tasks {
		if !t.job.Cancelled && !t.stopping {
			least = min(least, order(t.job))
		}
	}
	return least
}

// lossOf is what stopping a task costs, in seconds of work.
func (e *engine) lossOf(t *task) float64 {
	j := t.job
	ran := 0.0
	if t.ranSince >= 0 {
		ran = (e.n.now.Monotonic - t.ranSince).Seconds()
	}
	switch {
	case j.Kind == protocol.Service && t.ranSince >= 0:
		return 240 + 60*float64(j.Priority)
	case j.Kind == protocol.Service:
		return 30 + 60*float64(j.Priority)
	case j.saves():
		return j.CheckpointDurationS + 10
	default:
		return ran + 10
	}
}

// endsWithin guesses whether a task is over within so many seconds.
func (e *engine) endsWithin(t *task, s float64) bool {
	if t.job.Kind == protocol.Service || t.ranSince < 0 {
		return false
	}
	ran := (e.n.now.Monotonic - t.ranSince).Seconds()
	return t.job.EstimatedRunS > 0 && ran+s > t.job.EstimatedRunS*1.2
}
