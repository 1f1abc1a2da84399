package controller

import (
	"time"

	"oakpick/internal/message"
)

// deferred is a request to change something that came while nobody was known to lead, or a
// submission that met a leader so new that it knew no machine types yet. Most changes of
// leader are over within the term's lease, and to be told to come back takes longer than that.
type deferred struct {
	call  message.UserRequest
	until time.Duration
}

// mayDefer tells whether a request is worth keeping until there is a leader. Questions
// aren't: their users ask again anyway, and there may be very many of them.
func (n *Controller) mayDefer(c message.UserRequest) bool {
	return c.Kind != message.Poll && len(n.deferred) < n.rules.deferMost
}

// deferCall keeps a request.
func (n *Controller) deferCall(c message.UserRequest) {
	n.Stats.RequestsDeferred++
	n.deferred = append(n.deferred, deferred{c, n.now.Monotonic + n.rules.deferFor})
}

// resumeDeferred hands the requests on once there is a leader, and refuses those that have
// waited for too long.
func (n *Controller) resumeDeferred() {
	if len(n.deferred) == 0 {
		return
	}
	waiting := n.deferred
	n.deferred = nil
	for _, d := range waiting {
		switch {
		case n.canDecide(d.call):
			n.user(d.call)
		case n.now.Monotonic < d.until:
			n.deferred = append(n.deferred, d)
		default:
			n.refuse(d.call.ID, "no leader")
		}
	}
}

// canDecide tells whether a request can be decided here or handed on.
func (n *Controller) canDecide(c message.UserRequest) bool {
	if n.engine != nil {
		return n.certain() && (c.Kind != message.Submit || len(n.engine.fleet.types) > 0)
	}
	return n.otherLeader() != ""
}
