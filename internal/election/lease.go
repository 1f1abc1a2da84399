package election

import (
	"time"

	"oakpick/internal/rpc"
	"oakpick/internal/storage"
	"oakpick/internal/timing"
)

// leaseMarginDivisor sets the safety margin of the lease, as 1/20 of its duration. The margin
// covers the time between a check of the lease and the action that depends on it.
const leaseMarginDivisor = 20

// HoldsLease reports whether the node leads and its lease is guaranteed not to have expired.
func (e *Elector) HoldsLease() bool {
	return e.held.leading && e.context.Monotonic() < e.held.leaseUntil
}

// LeaseUntil returns the time until which the lease is guaranteed to last.
func (e *Elector) LeaseUntil() time.Duration { return e.held.leaseUntil }

// HeartbeatGraceExpired reports whether the node must stop answering workers. The grace period
// starts at the earliest time at which another node may have led: the expiry of the lease, or a
// later time up to which every peer has confirmed that it had not led.
func (e *Elector) HeartbeatGraceExpired() bool {
	now := e.context.Monotonic()
	return now > max(e.held.leaseUntil, e.peers.allNotLeadingAt(now))+e.timing.HeartbeatGrace
}

// extendLease extends the lease after a grant or renewal. The lease is counted from the time of
// the request and shortened by the clock drift and a safety margin.
func (e *Elector) extendLease(sentAt time.Duration) {
	ttl := e.timing.LeaseTTL
	until := sentAt + ttl - time.Duration(float64(ttl)*timing.MaxClockDrift) - ttl/leaseMarginDivisor
	e.held.leaseUntil = max(e.held.leaseUntil, until)
}

func (e *Elector) renewLease() {
	sentAt := e.context.Monotonic()
	e.calls.Send(storage.StateCall{Op: storage.StateRenewLease, Lease: e.held.lease}, func(result storage.StateResult) {
		if e.held.token == 0 {
			return
		}
		switch result.Outcome {
		case rpc.OK:
			e.extendLease(sentAt)
		case rpc.NotFound:
			e.StepDown("the leader's lease has expired")
		}
	})
}

// revokeLease revokes a lease. If the request fails, the lease expires on its own.
func (e *Elector) revokeLease(lease int64) {
	e.calls.Send(storage.StateCall{Op: storage.StateRevokeLease, Lease: lease}, func(storage.StateResult) {})
}
