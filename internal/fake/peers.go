package fake

import (
	"net/http"
	"slices"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// forwardedRequest is a request that was forwarded to another controller.
type forwardedRequest struct {
	pendingRequest
	peer     string
	finished bool
}

// finish replies to the request, unless it was already replied to.
func (f *forwardedRequest) finish(reply message.Reply) {
	if !f.finished {
		f.finished = true
		f.reply(reply)
	}
}

// forward sends a pending request to another controller and passes the reply back.
func (c *Controller) forward(e message.Forward) {
	w := c.world
	pending, ok := c.pending[e.ID]
	if !ok {
		w.RecordViolation(ruleForward, "%s forwards an unknown or finished request", c.Name)
		return
	}
	delete(c.pending, e.ID)
	peer := w.controllerNamed(e.Peer)
	if peer == nil {
		return
	}
	if pending.fromPeer { // rejected as in the daemon: a second hop could start a loop
		pending.reply(message.Reply{Status: http.StatusServiceUnavailable, RetryAfterS: 1})
		return
	}
	forwarded := &forwardedRequest{pendingRequest: pending, peer: peer.Name}
	c.forwarded = slices.DeleteFunc(c.forwarded, func(f *forwardedRequest) bool { return f.finished })
	c.forwarded = append(c.forwarded, forwarded)
	delivery := w.deliveryOf(KindForward, c.Name, peer.Name)
	if delivery.LoseRequest {
		return
	}
	reply := func(r message.Reply) {
		if !delivery.LoseResponse {
			w.After(delivery.ResponseDelay, func() { forwarded.finish(r) })
		}
	}
	w.After(delivery.RequestDelay, func() {
		peer.receive(pendingRequest{request: pending.request, fromPeer: true, reply: reply})
	})
}

// redirectForwarded handles forwarded requests again when the known leader has changed, so that they
// are forwarded to the new leader.
func (c *Controller) redirectForwarded() {
	if !c.Up {
		return
	}
	leader := c.impl.KnownLeader()
	if leader == "" || leader == c.knownLeader {
		return
	}
	c.knownLeader = leader
	forwarded := c.forwarded
	c.forwarded = nil
	for _, f := range forwarded {
		if f.finished || f.peer == leader {
			continue
		}
		f.finished = true
		c.world.After(0, func() { c.receive(f.pendingRequest) })
	}
}

// callPeer asks a peer to step down and delivers its response to the process.
func (c *Controller) callPeer(e message.PeerCall) {
	w, incarnation := c.world, c.incarnation
	peer := w.controllerNamed(e.Peer)
	if peer == nil {
		return
	}
	delivery := w.deliveryOf(KindPeer, c.Name, peer.Name)
	if delivery.LoseRequest || !peer.Up {
		return
	}
	reply := func(r message.Reply) {
		var response protocol.StepDownResponse
		if delivery.LoseResponse || r.Status != http.StatusOK || protocol.Decode(r.Body, &response) != nil {
			return
		}
		w.After(delivery.ResponseDelay, func() {
			c.deliverResult(message.PeerResult{PeerCall: e, StepDownResponse: response}, incarnation)
		})
	}
	w.After(delivery.RequestDelay, func() {
		request := message.StepDownRequest{
			Term: e.Term, Leader: c.Name, QueriesArchiveSupport: e.QueriesArchiveSupport && !peer.asProduction,
			QueriesMachineTypes: e.QueriesMachineTypes && !peer.asProduction,
		}
		peer.Request(request, reply)
	})
}
