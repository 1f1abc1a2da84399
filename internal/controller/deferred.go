package controller

import (
	"time"

	"oakpick/internal/message"
)

// reasonNoLeader is the reason for refusing a request when no leader can handle it.
const reasonNoLeader = "no leader"

// deferredRequest is a submission or cancellation that arrived while no leader was known, or a
// submission to a new leader that did not yet know the machine types. Most failovers complete
// within the duration of the leader's lease. Since that is shorter than a client's retry delay, a
// deferred request is usually answered sooner than a refused and repeated one.
type deferredRequest struct {
	request  message.UserRequest
	refuseAt time.Duration
}

// deferredRequests are the requests that wait for a leader, in order of arrival.
type deferredRequests []deferredRequest

// mayDefer reports whether a request may be held until a leader is known. Polls are not deferred:
// users repeat them anyway, and there may be a large number of them.
func (c *Controller) mayDefer(request message.UserRequest) bool {
	return request.Kind != message.Poll && len(c.deferred) < c.timing.Requests.MaxDeferred
}

// deferRequest holds a request until a leader is known or the deferral times out.
func (c *Controller) deferRequest(request message.UserRequest) {
	c.context.Stats.RequestsDeferred++
	c.deferred = append(c.deferred, deferredRequest{request, c.context.Monotonic() + c.timing.Requests.DeferTimeout})
}

// resumeDeferred handles the deferred requests that can now be handled or forwarded, and refuses
// those that have reached their deadline.
func (c *Controller) resumeDeferred() {
	if len(c.deferred) == 0 {
		return
	}
	waiting := c.deferred
	c.deferred = nil
	for _, d := range waiting {
		switch {
		case c.canHandle(d.request):
			c.handleUserRequest(d.request)
		case c.context.Monotonic() < d.refuseAt:
			c.deferred = append(c.deferred, d)
		default:
			c.context.Refuse(d.request.ID, reasonNoLeader)
		}
	}
}

// canHandle reports whether a request can be handled here or forwarded to the leader.
func (c *Controller) canHandle(request message.UserRequest) bool {
	if c.leader != nil {
		return c.elector.HoldsLease() && (request.Kind != message.Submit || c.leader.autoscaler.KnowsTypes())
	}
	return c.elector.OtherLeader() != ""
}
