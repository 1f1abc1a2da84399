package autoscaling

import (
	"time"

	"golang.org/x/time/rate"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/rpc"
)

// budgetShare is the part of the cloud's request rate that is used.
const budgetShare = 0.8

// cloudClient paces the requests to the cloud.
type cloudClient struct {
	budget       *rate.Limiter
	inFlight     map[uint64]cloudCall
	backoffUntil time.Duration // no requests before, after trouble
}

// cloudCall is a request in flight.
type cloudCall struct {
	op       message.CloudOp
	request  *provisioningRequest // of a scale-out
	machines []string             // of a scale-in
}

// send sends a request to the cloud, if it may take one now.
func (a *Autoscaler) send(call message.CloudCall, inFlight cloudCall) bool {
	c := &a.cloud
	changesFleet := call.Op == message.CloudScaleOut || call.Op == message.CloudScaleIn
	if changesFleet && a.context.Monotonic() >= a.leadership.LeaseUntil() {
		return false // it could only be sent without a bound in time
	}
	if a.context.Monotonic() < c.backoffUntil || len(c.inFlight) >= config.CloudConnections || !c.budget.AllowN(a.context.Now.LimiterTime(), 1) {
		return false
	}
	call.ID = a.context.NextID()
	if changesFleet {
		// The process may be paused between here and the sending. A machine that looks idle
		// now may have another leader's tasks by then.
		call.NotAfter = a.leadership.LeaseUntil()
	}
	inFlight.op = call.Op
	c.inFlight[call.ID] = inFlight
	a.context.Emit(call)
	return true
}

// received finds the request that a result belongs to.
func (a *Autoscaler) received(result message.CloudResult) (cloudCall, bool) {
	c := &a.cloud
	call, ok := c.inFlight[result.ID]
	if !ok {
		return cloudCall{}, false
	}
	delete(c.inFlight, result.ID)
	if result.Outcome == rpc.Refused || result.Outcome == rpc.Unknown || result.Outcome == rpc.NotSent {
		c.backoffUntil = a.context.Monotonic() + a.timing.HeartbeatInterval/cloudRetryShare
	}
	return call, true
}

// CallsInFlight is how many requests have had no result yet.
func (a *Autoscaler) CallsInFlight() int { return len(a.cloud.inFlight) }

func (a *Autoscaler) typesRead(result message.CloudResult) {
	if result.Outcome == rpc.OK && len(result.Types) > 0 {
		a.state.Catalog.Update(result.Types)
		a.state.NeedsScheduling = true
	}
}
