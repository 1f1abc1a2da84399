package fake

import (
	"time"

	"oakpick/internal/message"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// Kinds of exchange that World.Network tells apart.
const (
	KindState     = "state"     // with the state service
	KindWrite     = "write"     // a write of pages, see World.SeparateWrites
	KindCloud     = "cloud"     // with the cloud
	KindCommands  = "commands"  // direct commands to a worker
	KindHeartbeat = "heartbeat" // a worker's heartbeat to a controller
	KindPeer      = "peer"      // between controllers
	KindForward   = "forward"   // a user's request that a controller hands to another
)

// The names under which World.Network hears of the services.
const (
	stateService = "state"
	cloudService = "cloud"
)

// Delivery is what the network does to one exchange.
type Delivery struct {
	// RequestDelay and ResponseDelay are the latencies there and back.
	RequestDelay, ResponseDelay time.Duration
	// LoseRequest and LoseResponse drop a message.
	LoseRequest, LoseResponse bool
	// DuplicateAfter is when a second copy of the request arrives; 0: none does.
	DuplicateAfter time.Duration
}

// Reliable is a network without faults.
func Reliable() Delivery {
	return Delivery{RequestDelay: 2 * time.Millisecond, ResponseDelay: 2 * time.Millisecond}
}

// deliveryOf is what the network does to an exchange.
func (w *World) deliveryOf(kind, from, to string) Delivery {
	if w.Network != nil {
		return w.Network(kind, from, to)
	}
	return Reliable()
}

// call has a request executed and its result delivered to the process, as the network will.
func (c *Controller) call(kind, to string, timeout time.Duration, execute func() (message.Event, bool), lost message.Event) {
	incarnation := c.incarnation
	exchange(c, kind, to, timeout, execute, lost, func(result message.Event) { c.deliverResult(result, incarnation) })
}

// CallState carries a request to the state service of a part of the process that isn't the
// Controller itself; kind tells it apart to the network.
func (c *Controller) CallState(kind string, call storage.StateCall, done func(storage.StateResult)) {
	exchange(c, kind, stateService, c.world.heartbeatInterval()/2,
		func() (storage.StateResult, bool) { return c.world.State.execute(c.Name, c.asProduction, call), true },
		storage.StateResult{ID: call.ID, Outcome: rpc.Unknown}, done)
}

// exchange has a request executed and hands its result to done, as the network will; after
// the timeout done gets lost. The result of an earlier process is dropped.
func exchange[R any](c *Controller, kind, to string, timeout time.Duration, execute func() (R, bool), lost R, done func(R)) {
	w, incarnation := c.world, c.incarnation
	delivery := w.deliveryOf(kind, c.Name, to)
	finished := false
	finish := func(result R) {
		if !finished && c.Up && c.incarnation == incarnation {
			finished = true
			done(result)
		}
	}
	w.After(timeout, func() { finish(lost) })
	if delivery.DuplicateAfter > 0 {
		w.After(delivery.DuplicateAfter, func() { execute() })
	}
	if delivery.LoseRequest {
		return
	}
	w.After(delivery.RequestDelay, func() {
		result, answered := execute()
		if answered && !delivery.LoseResponse {
			w.After(delivery.ResponseDelay, func() { finish(result) })
		}
	})
}

// returnResult delivers a result to the process at once.
func (c *Controller) returnResult(result message.Event) {
	incarnation := c.incarnation
	c.world.After(0, func() { c.deliverResult(result, incarnation) })
}

// deliverResult delivers a result to the process that asked for it, once it has processor
// time.
func (c *Controller) deliverResult(result message.Event, incarnation int) {
	if !c.Up || c.incarnation != incarnation {
		return
	}
	if c.paused() {
		c.whenResumed(func() { c.deliverResult(result, incarnation) })
		return
	}
	c.step(result)
}
