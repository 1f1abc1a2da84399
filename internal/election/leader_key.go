package election

import (
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// LeaderKey is the key whose version serves as the term number and as the fencing token of workers.
const LeaderKey = "oakpick/leader"

// leaderValue is the value of the leader key.
type leaderValue struct {
	Node    string `msgpack:"node"`
	Process string `msgpack:"boot"` // distinguishes this process from earlier processes of the node
	Lease   int64  `msgpack:"permit"`
	// TokenAdvances counts the token advances within this term, so that each advance writes a
	// distinct value.
	TokenAdvances int64 `msgpack:"raise"`
}

// checkLeader reads the leader key if a check is due.
func (e *Elector) checkLeader() {
	if e.observed.requestInFlight || e.context.Monotonic() < e.observed.nextCheckAt {
		return
	}
	e.observed.requestInFlight = true
	e.calls.Send(storage.StateCall{Op: storage.StateGet, Key: LeaderKey}, e.handleLeaderKeyRead)
}

// scheduleLeaderCheck schedules the next read of the leader key, with jitter.
func (e *Elector) scheduleLeaderCheck() {
	e.observed.requestInFlight = false
	jitter := time.Duration(e.context.Random.Int64N(int64(e.timing.CheckInterval)/4 + 1))
	e.observed.nextCheckAt = e.context.Monotonic() + e.timing.CheckInterval + jitter
}

func (e *Elector) handleLeaderKeyRead(result storage.StateResult) {
	if e.held.token != 0 {
		e.observed.requestInFlight = false
		return
	}
	switch result.Outcome {
	case rpc.OK:
		e.handleLeaderKeyValue(result.Entry)
	case rpc.NotFound:
		e.observed.version, e.observed.leader = 0, ""
		if e.context.Monotonic() < e.observed.backoffUntil {
			e.scheduleLeaderCheck()
			return
		}
		e.requestLease()
	default:
		e.scheduleLeaderCheck()
	}
}

// handleLeaderKeyValue processes a leader key that exists: it completes an acquisition, replaces an
// earlier process of this node, or follows the leader.
func (e *Elector) handleLeaderKeyValue(entry protocol.Entry) {
	var value leaderValue
	if protocol.Decode(entry.Value, &value) != nil {
		e.context.Log(message.Error, "cannot decode the value of the leader key")
		e.scheduleLeaderCheck()
		return
	}
	e.observed.version = entry.Version
	switch {
	case e.acquisition != nil && value.Process == e.process && value.Lease == e.held.lease:
		// The response to the acquisition was lost, but the transaction was committed.
		e.beginTerm(entry.Version)
		return
	case value.Node == e.node && value.Process != e.process:
		// A node runs only one process at a time, so its earlier process has exited and there is
		// no need to wait for that process's lease to expire.
		e.requestLease()
		return
	}
	e.acquisition = nil
	if value.Node != e.node {
		e.follow(value.Node, entry.Version)
	}
	e.scheduleLeaderCheck()
}

// follow records which node leads.
func (e *Elector) follow(leader string, term int64) {
	if e.observed.leader == leader {
		return
	}
	e.context.Log(message.Info, "following leader", "leader", leader, "term", term)
	e.observed.leader, e.observed.lastContactAt = leader, e.context.Monotonic()
}

// requestLease requests the lease for the leader key. If an earlier acquisition has an unknown
// result, that transaction is retried unchanged instead.
func (e *Elector) requestLease() {
	if e.acquisition != nil && e.context.Monotonic() < e.held.leaseUntil {
		e.sendAcquisition()
		return
	}
	e.acquisition = nil
	sentAt := e.context.Monotonic()
	e.calls.Send(storage.StateCall{Op: storage.StateGrantLease, TTL: e.timing.LeaseTTL}, func(result storage.StateResult) {
		e.handleLeaseGranted(result, sentAt)
	})
}

func (e *Elector) handleLeaseGranted(result storage.StateResult, sentAt time.Duration) {
	if e.held.token != 0 || result.Outcome != rpc.OK {
		e.scheduleLeaderCheck()
		return
	}
	e.held.lease, e.held.leaseUntil = result.Revision, 0
	e.extendLease(sentAt)
	e.acquisition = &protocol.Txn{
		If:   []protocol.Condition{{Key: LeaderKey, Version: e.observed.version}},
		Then: []protocol.Change{e.leaderKeyChange(0)},
	}
	e.sendAcquisition()
}

// leaderKeyChange returns the change that writes the leader key for this process, attached to its lease.
func (e *Elector) leaderKeyChange(tokenAdvances int64) protocol.Change {
	value := leaderValue{Node: e.node, Process: e.process, Lease: e.held.lease, TokenAdvances: tokenAdvances}
	return protocol.Change{Put: LeaderKey, Value: value, Lease: e.held.lease}
}

func (e *Elector) sendAcquisition() {
	e.observed.requestInFlight = true
	e.calls.Send(storage.StateCall{Op: storage.StateTxn, Txn: *e.acquisition}, e.handleAcquisitionResult)
}

func (e *Elector) handleAcquisitionResult(result storage.StateResult) {
	if e.held.token != 0 || e.acquisition == nil {
		return
	}
	if result.Outcome == rpc.OK {
		e.beginTerm(result.Revision)
		return
	}
	if result.Outcome == rpc.Invalid {
		e.acquisition = nil
	}
	// The transaction was refused or not answered, or another node acquired the key first. The next
	// read of the key shows which.
	e.scheduleLeaderCheck()
	e.observed.nextCheckAt = e.context.Monotonic() + e.timing.RetryInterval
}

// beginTerm starts a term after the leader key was acquired; the version of the key is the term number.
func (e *Elector) beginTerm(version int64) {
	e.observed.requestInFlight, e.acquisition = false, nil
	if version <= e.held.termFloor || e.context.Monotonic() >= e.held.leaseUntil {
		e.StepDown("leader key acquired too late")
		return
	}
	e.held.token, e.observed.leader = version, e.node
	e.held.nextRenewalAt = e.context.Monotonic()
	e.peers.beginTerm()
	e.context.Stats.TermsAcquired++
	e.context.Log(message.Info, "term acquired", "term", version)
	e.delegate.TermAcquired()
}
