package controller

import (
	"time"

	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// engine is a leader's picture of everything, and what it does about it.
type engine struct {
	n       *Controller
	rules   Rules
	opt     Options
	optItem *optionsItem
	token   int64
	firstT  int64
	ledAt   time.Duration
	store   *storage.Store
	jobs    map[string]*job
	order   []*job            // by submission
	finals  map[string]*final // ended jobs that aren't in the archive
	archive *archive
	teams   map[string]*team
	hosts   map[string]*host
	byName  []*host
	gone    map[string]time.Duration // machines returned, by when

	writes      map[uint64]*storage.Write // by the call that carries them, or asks about them
	drain       bool                      // no new writes: the token is to be raised
	asking      map[uint64]bool           // users' requests that wait for a commit
	raising     *protocol.Txn
	raiseSent   bool
	raiseNext   time.Duration
	raiseRev    int64
	raisedAt    time.Duration
	moveAt      time.Duration
	hostsAt     time.Duration // when all machines are looked at next
	commandsDue []*host       // machines that are to be told something
	pass        pass
	passAt      time.Duration // no placement pass before

	schedule     bool // something changed that may let a task start
	fleet        fleet
	dependencies *dependencies
	classes      map[string]*class
	within       map[string]float64 // seconds within which a class's tasks should start
}

// afterBatch does what time and the batch's changes call for.
func (e *engine) afterBatch() {
	if e.n.certain() {
		if e.n.engine != e {
			return
		}
		e.hostsTick()
		if now := e.n.now.Monotonic; e.schedule && now >= e.passAt {
			e.schedule = false
			e.placeAll()
			// The more waits in vain, the more a pass takes, and the less it matters
			// that the next is a little later.
			looks := min(time.Duration(e.pass.looks())*e.rules.lookBackOff, e.rules.looksMost)
			e.passAt = now + time.Duration(len(e.fleet.unplaced))*e.rules.passBackOff + looks
		}
		e.fleetTick()
	}
	if e.n.engine == e {
		if len(e.asking) > 0 && (!e.n.certain() || e.stalled()) {
			e.refuseAsking()
		}
		e.archive.tick()
		e.flush()
		e.sendOrders()
	}
}
