package fake

import (
	"time"

	"oakpick/internal/message"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// Kinds of exchange that World.Network distinguishes.
const (
	KindState     = "state"     // request to the state service
	KindPageWrite = "write"     // page write to the state service, see World.SeparatePageWrites
	KindCloud     = "cloud"     // request to the cloud API
	KindCommands  = "commands"  // commands sent directly to a worker
	KindHeartbeat = "heartbeat" // heartbeat of a worker to a controller
	KindPeer      = "peer"      // step-down request between controllers
	KindForward   = "forward"   // user request forwarded to another controller
)

// Names of the services in calls to World.Network.
const (
	stateService = "state"
	cloudService = "cloud"
)

// Delivery describes how the network delivers one exchange.
type Delivery struct {
	// RequestDelay and ResponseDelay are the latencies of the request and the response.
	RequestDelay, ResponseDelay time.Duration
	// LoseRequest and LoseResponse drop the message.
	LoseRequest, LoseResponse bool
	// DuplicateAfter is the delay after which a duplicate of the request arrives; 0 disables this.
	DuplicateAfter time.Duration
}

// Reliable returns the delivery of a network without faults.
func Reliable() Delivery {
	return Delivery{RequestDelay: 2 * time.Millisecond, ResponseDelay: 2 * time.Millisecond}
}

// deliveryOf returns how the network delivers an exchange.
func (w *World) deliveryOf(kind, from, to string) Delivery {
	if w.Network != nil {
		return w.Network(kind, from, to)
	}
	return Reliable()
}

// call executes a request and delivers its result to the process, subject to network faults.
func (c *Controller) call(kind, to string, timeout time.Duration, execute func() (message.Event, bool), timeoutResult message.Event) {
	incarnation := c.incarnation
	exchange(c, kind, to, timeout, execute, timeoutResult, func(result message.Event) { c.deliverResult(result, incarnation) })
}

// CallState sends a request to the state service on behalf of a component of the process other than
// the controller logic. The kind is passed to World.Network.
func (c *Controller) CallState(kind string, call storage.StateCall, done func(storage.StateResult)) {
	exchange(c, kind, stateService, c.world.heartbeatInterval()/2,
		func() (storage.StateResult, bool) { return c.world.State.execute(c.Name, c.asProduction, call), true },
		storage.StateResult{ID: call.ID, Outcome: rpc.Unknown}, done)
}

// exchange executes a request and calls done with its result, subject to network faults. If there is
// no result within the timeout, done is called with timeoutResult. If the process crashes or
// restarts first, done is not called.
func exchange[R any](c *Controller, kind, to string, timeout time.Duration, execute func() (R, bool), timeoutResult R, done func(R)) {
	w, incarnation := c.world, c.incarnation
	delivery := w.deliveryOf(kind, c.Name, to)
	finished := false
	finish := func(result R) {
		if !finished && c.Up && c.incarnation == incarnation {
			finished = true
			done(result)
		}
	}
	w.After(timeout, func() { finish(timeoutResult) })
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

// returnResult schedules the delivery of a result to the process without network delay.
func (c *Controller) returnResult(result message.Event) {
	incarnation := c.incarnation
	c.world.After(0, func() { c.deliverResult(result, incarnation) })
}

// deliverResult delivers a result to the process that sent the request, after the pause if the
// process is paused.
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
