package controller

import (
	"math"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/storage"
)

// Teams without a guarantee are guests beside those that have one: their work runs on
// what the others leave idle. Machines are rented for it only where a place costs little
// more than the cheapest that its job may have, and machines that cost more are not kept
// for it.

// guestPriceRatio is how many times the cheapest place a place for a guest's task may
// cost for a machine to be rented for it. Overdue work is bought elsewhere at twice its
// cost (see "How aims are counted" in the protocol), so nothing above that is worth it.
const guestPriceRatio = 2

// hasGuarantee tells whether a team is guaranteed anything.
func hasGuarantee(t config.Team) bool { return t.GuaranteedCPUs > 0 || t.GuaranteedGPUs > 0 }

// markGuests notes which teams are guests: those without a guarantee, if any has one.
func (e *engine) markGuests(teams []config.Team) {
	some := false
	for _, t := range teams {
		some = some || hasGuarantee(t)
	}
	for _, t := range teams {
		e.teams[t.Name].guest = some && !hasGuarantee(t)
	}
}

// guest tells whether a job is of a team without a guarantee, while others have one.
func (j *job) guest() bool { return j.team != nil && j.team.guest }

// worth is which offers are worth renting for a job's tasks, at prices as of one list of
// machine types.
type worth struct {
	prices int
	offers map[offer]bool
}

// worthRenting tells whether a machine may be rented, or kept, for a job's tasks alone.
func (e *engine) worthRenting(j *job, o offer) bool {
	if !j.guest() {
		return true
	}
	if j.worth.offers == nil || j.worth.prices != e.fleet.prices {
		j.worth = worth{e.fleet.prices, e.offersWorthRenting(j)}
	}
	return j.worth.offers[o]
}

// offersWorthRenting compares every place that a task of the job may have with the
// cheapest of them, whether there is one just now or not.
func (e *engine) offersWorthRenting(j *job) map[offer]bool {
	prices := map[offer]float64{}
	least := math.Inf(1)
	for i := range e.fleet.types {
		mt := &e.fleet.types[i]
		if !j.need.fits(size(mt)) {
			continue
		}
		for _, zone := range mt.Zones {
			for _, spot := range []bool{true, false} {
				if o := (offer{mt.Name, zone, spot}); j.allowed(mt.Name, zone, spot) {
					prices[o] = e.perTask(j, o)
					least = min(least, prices[o])
				}
			}
		}
	}
	worth := map[offer]bool{}
	for o, price := range prices {
		worth[o] = price <= guestPriceRatio*least
	}
	return worth
}

// takesAnyRoom tells whether a job has waited for so long without any task that it is
// given whatever room there is.
func (e *engine) takesAnyRoom(j *job) bool {
	if len(j.tasks) > 0 {
		return false
	}
	waited := min(e.n.now.Monotonic-j.idleSince, time.Duration(e.n.now.WallMs-j.readyMs)*time.Millisecond)
	return waited > e.rules.patience
}

// roomFor is what of the room on a machine a job's tasks may take. Guests, on a machine
// that isn't worth renting for them, take room only beside others' tasks, and only
// processors that no unused accelerator needs: work that comes for these starts at once.
func (e *engine) roomFor(j *job, h *host, room need) need {
	if !j.guest() || e.worthRenting(j, offer{h.kind, h.zone, h.spot}) || e.takesAnyRoom(j) {
		return room
	}
	mt := e.fleet.kind(h.kind)
	if mt == nil || h.guaranteedTasks == 0 {
		return need{}
	}
	if j.need.gpus == 0 && mt.GPUs > 0 {
		room.cpus = max(0, room.cpus-room.gpus*mt.CPUs/mt.GPUs)
	}
	return room
}

// releaseFromGuests empties machines that are kept for guests' tasks alone and aren't
// worth it. Tasks that save are stopped and go on elsewhere; the others end by themselves.
func (e *engine) releaseFromGuests(needed map[*host]bool) {
	for _, w := range e.fleet.unplaced {
		if w.tasks > 0 && w.job.guest() && e.takesAnyRoom(w.job) {
			return // it waits for any room, also of such a machine
		}
	}
	for _, h := range e.byName {
		if !e.onlyForGuests(h) || needed[h] || h.noticeAt != 0 || h.returning {
			continue
		}
		if !h.draining {
			h.draining = true
			e.n.log(message.Info, "machine is emptied", "host", h.name, "type", h.kind, "tasks", len(h.tasks), "why", "only guests use it")
		}
		for _, t := range h.tasks {
			if t.job.saves() && !t.stopping {
				e.preemptTask(t, "its machine costs more than the work is worth")
				break // one a plan: what it leaves is seen before the next
			}
		}
	}
}

// onlyForGuests tells whether a machine has tasks, all of guests for which it isn't
// worth renting.
func (e *engine) onlyForGuests(h *host) bool {
	if !h.up || len(h.tasks) == 0 || h.guaranteedTasks > 0 || e.fleet.kind(h.kind) == nil {
		return false
	}
	for _, t := range h.tasks {
		if t.job.Cancelled || e.worthRenting(t.job, offer{h.kind, h.zone, h.spot}) {
			return false
		}
	}
	return true
}

// countTask notes that a machine has one more task, or one less.
func (h *host) countTask(j *job, by int) {
	if !j.guest() {
		h.guaranteedTasks += by
	}
}

// waitMaker makes a wait that goes before or after others.
type waitMaker func(then func()) *storage.CommitWaiter

// unlessGuests gives how a change is waited for: guests' are written once others' have been.
func (ordinary waitMaker) unlessGuests(guests bool) waitMaker {
	if guests {
		return storage.OnLowestPriorityCommit
	}
	return ordinary
}

// onCommitStart makes a wait that a task's start depends on.
func (j *job) onCommitStart(then func()) *storage.CommitWaiter {
	return waitMaker(storage.OnStartCommit).unlessGuests(j.guest())(then)
}

// onCommitLater makes a wait that nobody outside depends on.
func (j *job) onCommitLater(then func()) *storage.CommitWaiter {
	return waitMaker(storage.OnDeferredCommit).unlessGuests(j.guest())(then)
}

// touchLater has a block of the job written with a change that nobody outside waits for.
func (e *engine) touchLater(b *block) {
	if b.job.guest() {
		e.store.MarkDirty(e.n.now.Monotonic, b, b.job.onCommitLater(func() {}))
		return
	}
	e.store.MarkDirty(e.n.now.Monotonic, b, nil)
}
