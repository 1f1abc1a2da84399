package election

import (
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// LeaderKey is the key whose version is the term and the workers' fencing token.
const LeaderKey = "oakpick/leader"

// leaderValue is what the leader key holds.
type leaderValue struct {
	Node    string `msgpack:"node"`
	Process string `msgpack:"boot"` // tells a node's process from its earlier ones
	Lease   int64  `msgpack:"permit"`
	// TokenAdvances counts the advances of the token in this term, so that each writes
	// another value.
	TokenAdvances int64 `msgpack:"raise"`
}

// checkLeader reads the leader key if that is due.
func (e *Elector) checkLeader() {
	if e.observed.checking || e.context.Monotonic() < e.observed.checkAt {
		return
	}
	e.observed.checking = true
	e.calls.Send(storage.StateCall{Op: storage.StateGet, Key: LeaderKey}, e.leaderKeyRead)
}

// scheduleLeaderCheck plans the next read of the leader key.
func (e *Elector) scheduleLeaderCheck() {
	e.observed.checking = false
	jitter := time.Duration(e.context.Random.Int64N(int64(e.timing.CheckInterval)/4 + 1))
	e.observed.checkAt = e.context.Monotonic() + e.timing.CheckInterval + jitter
}

func (e *Elector) leaderKeyRead(result storage.StateResult) {
	if e.held.token != 0 {
		e.observed.checking = false
		return
	}
	switch result.Outcome {
	case rpc.OK:
		e.leaderKeyHeld(result.Entry)
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

// leaderKeyHeld decides what follows from the leader key's value.
func (e *Elector) leaderKeyHeld(entry protocol.Entry) {
	var value leaderValue
	if protocol.Decode(entry.Value, &value) != nil {
		e.context.Log(message.Error, "leader key has an unknown value")
		e.scheduleLeaderCheck()
		return
	}
	e.observed.version = entry.Version
	switch {
	case e.acquisition != nil && value.Process == e.process && value.Lease == e.held.lease:
		// A try to take it whose result was lost.
		e.acquired(entry.Version)
		return
	case value.Node == e.node && value.Process != e.process:
		// This node's earlier process is dead: one process a node. Its lease needn't
		// expire first.
		e.requestLease()
		return
	}
	e.acquisition = nil
	if value.Node != e.node {
		e.follow(value.Node, entry.Version)
	}
	e.scheduleLeaderCheck()
}

// follow notes who leads.
func (e *Elector) follow(leader string, term int64) {
	if e.observed.leader == leader {
		return
	}
	e.context.Log(message.Info, "following leader", "leader", leader, "term", term)
	e.observed.leader, e.observed.reachedAt = leader, e.context.Monotonic()
}

// requestLease asks for the lease that the leader key is to be attached to. A try to take
// the key whose result is not known is sent again as it was.
func (e *Elector) requestLease() {
	if e.acquisition != nil && e.context.Monotonic() < e.held.leaseUntil {
		e.sendAcquisition()
		return
	}
	e.acquisition = nil
	sentAt := e.context.Monotonic()
	e.calls.Send(storage.StateCall{Op: storage.StateGrantLease, TTL: e.timing.LeaseTTL}, func(result storage.StateResult) {
		e.leaseGranted(result, sentAt)
	})
}

func (e *Elector) leaseGranted(result storage.StateResult, sentAt time.Duration) {
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

// leaderKeyChange writes the leader key for this process, attached to its lease.
func (e *Elector) leaderKeyChange(tokenAdvances int64) protocol.Change {
	value := leaderValue{Node: e.node, Process: e.process, Lease: e.held.lease, TokenAdvances: tokenAdvances}
	return protocol.Change{Put: LeaderKey, Value: value, Lease: e.held.lease}
}

func (e *Elector) sendAcquisition() {
	e.observed.checking = true
	e.calls.Send(storage.StateCall{Op: storage.StateTxn, Txn: *e.acquisition}, e.acquisitionResult)
}

func (e *Elector) acquisitionResult(result storage.StateResult) {
	if e.held.token != 0 || e.acquisition == nil {
		return
	}
	if result.Outcome == rpc.OK {
		e.acquired(result.Revision)
		return
	}
	if result.Outcome == rpc.Invalid {
		e.acquisition = nil
	}
	// Refused, lost to another node, or not answered: the next read tells.
	e.scheduleLeaderCheck()
	e.observed.checkAt = e.context.Monotonic() + e.timing.RetryInterval
}

// acquired begins a term, whose number is the version of the leader key.
func (e *Elector) acquired(version int64) {
	e.observed.checking, e.acquisition = false, nil
	if version <= e.held.floor || e.context.Monotonic() >= e.held.leaseUntil {
		e.StepDown("the leader key was taken too late")
		return
	}
	e.held.token, e.observed.leader = version, e.node
	e.held.renewAt = e.context.Monotonic()
	e.peers.beginTerm()
	e.context.Stats.TermsAcquired++
	e.context.Log(message.Info, "term acquired", "term", version)
	e.delegate.TermAcquired()
}
