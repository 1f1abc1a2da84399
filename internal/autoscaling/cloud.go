package autoscaling

import (
	"time"

	"golang.org/x/time/rate"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/rpc"
)

// requestRateShare is the share of the cloud's request rate limit that is used.
const requestRateShare = 0.8

// cloudClient limits the rate and the number of concurrent requests to the cloud.
type cloudClient struct {
	limiter      *rate.Limiter
	inFlight     map[uint64]cloudCall
	backoffUntil time.Duration // no request is sent before this time, because one has failed
}

// cloudCall is a request that is in flight.
type cloudCall struct {
	op       message.CloudOp
	request  *provisioningRequest // scale-out only
	machines []string             // scale-in only
}

// send sends a request to the cloud and reports whether the limits and the leader's lease
// permitted it.
func (a *Autoscaler) send(call message.CloudCall, inFlight cloudCall) bool {
	c := &a.cloud
	changesFleet := call.Op == message.CloudScaleOut || call.Op == message.CloudScaleIn
	if changesFleet && a.context.Monotonic() >= a.leadership.LeaseUntil() {
		return false // without a lease, LeaseUntil is 0, and the request would have no deadline
	}
	if a.context.Monotonic() < c.backoffUntil || len(c.inFlight) >= config.CloudConnections || !c.limiter.AllowN(a.context.Now.LimiterTime(), 1) {
		return false
	}
	call.ID = a.context.NextID()
	if changesFleet {
		// The process may be paused before the request is sent. By the time it resumes, another
		// leader may have placed tasks on a machine that looks idle now.
		call.NotAfter = a.leadership.LeaseUntil()
	}
	inFlight.op = call.Op
	c.inFlight[call.ID] = inFlight
	a.context.Emit(call)
	return true
}

// completeCall removes and returns the request in flight that a result belongs to.
func (a *Autoscaler) completeCall(result message.CloudResult) (cloudCall, bool) {
	c := &a.cloud
	call, ok := c.inFlight[result.ID]
	if !ok {
		return cloudCall{}, false
	}
	delete(c.inFlight, result.ID)
	if result.Outcome == rpc.Refused || result.Outcome == rpc.Unknown || result.Outcome == rpc.NotSent {
		c.backoffUntil = a.context.Monotonic() + a.timing.HeartbeatInterval/cloudRetriesPerHeartbeat
	}
	return call, true
}

// CallsInFlight returns the number of requests without a result.
func (a *Autoscaler) CallsInFlight() int { return len(a.cloud.inFlight) }

func (a *Autoscaler) handleTypes(result message.CloudResult) {
	if result.Outcome == rpc.OK && len(result.Types) > 0 {
		a.state.Catalog.Update(result.Types)
		a.state.NeedsScheduling = true
	}
}
