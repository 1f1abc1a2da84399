package controller

import (
	"time"

	"oakpick/internal/message"
)

// noLeader is why a request is refused that nobody can decide.
const noLeader = "no leader"

// deferredRequest is a request to change something that came while nobody was known to lead,
// or a submission that met a leader so new that it knew no machine types yet. Most failovers
// are over within the leader's lease, and to be told to come back takes longer than that.
type deferredRequest struct {
	request  message.UserRequest
	refuseAt time.Duration
}

// deferredRequests wait for a leader, in the order in which they came.
type deferredRequests []deferredRequest

// mayDefer reports whether a request is worth keeping until there is a leader. Polls aren't:
// their users ask again anyway, and there may be very many of them.
func (c *Controller) mayDefer(request message.UserRequest) bool {
	return request.Kind != message.Poll && len(c.deferred) < c.timing.Requests.MaxDeferred
}

// deferRequest keeps a request.
func (c *Controller) deferRequest(request message.UserRequest) {
	c.context.Stats.RequestsDeferred++
	c.deferred = append(c.deferred, deferredRequest{request, c.context.Monotonic() + c.timing.Requests.DeferTimeout})
}

// resumeDeferred hands the requests on once there is a leader, and refuses those that have
// waited for too long.
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
			c.context.Refuse(d.request.ID, noLeader)
		}
	}
}

// canHandle reports whether a request can be decided here or forwarded.
func (c *Controller) canHandle(request message.UserRequest) bool {
	if c.leader != nil {
		return c.elector.HoldsLease() && (request.Kind != message.Submit || c.leader.autoscaler.KnowsTypes())
	}
	return c.elector.OtherLeader() != ""
}
