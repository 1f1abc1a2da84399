package election

import (
	"time"

	"oakpick/internal/rpc"
	"oakpick/internal/storage"
	"oakpick/internal/timing"
)

// leaseMargin is the part of the lease that is left for the time between a check and what
// relies on it.
const leaseMargin = 20

// HoldsLease reports whether no other node can have taken the leader key yet.
func (e *Elector) HoldsLease() bool {
	return e.held.leading && e.context.Monotonic() < e.held.leaseUntil
}

// LeaseUntil is until when the lease certainly lasts.
func (e *Elector) LeaseUntil() time.Duration { return e.held.leaseUntil }

// HeartbeatGraceExpired reports whether workers may no longer be answered. The grace period
// counts from when another node may first have led: when the lease expired, or later, if
// since then every peer has said that it has not.
func (e *Elector) HeartbeatGraceExpired() bool {
	now := e.context.Monotonic()
	return now > max(e.held.leaseUntil, e.peers.allIdleAt(now))+e.timing.HeartbeatGrace
}

// extendLease notes a grant or renewal. The lease counts from when that was requested, on a
// clock that may be slow.
func (e *Elector) extendLease(sentAt time.Duration) {
	ttl := e.timing.LeaseTTL
	until := sentAt + ttl - time.Duration(float64(ttl)*timing.MaxClockDrift) - ttl/leaseMargin
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

// revokeLease ends a lease. If that fails it expires by itself a little later.
func (e *Elector) revokeLease(lease int64) {
	e.calls.Send(storage.StateCall{Op: storage.StateRevokeLease, Lease: lease}, func(storage.StateResult) {})
}
