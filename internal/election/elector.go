// Package election decides which controller may act. The leader holds a key of the state
// service that is attached to a lease. The key's version is the term and, as it grows with
// every write of the key, the fencing token of workers; every write of a leader is conditional
// on it. The elector is a deterministic state machine that knows no job: results of requests
// and the time go in, effects come out.
package election

import (
	"maps"
	"slices"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/step"
	"oakpick/internal/timing"
)

// Delegate is what follows from the election.
type Delegate interface {
	// TermAcquired is called when the node has taken the leader key. It reads the stored
	// records behind a barrier of the term and calls BeginLeading, or StepDown.
	TermAcquired()
	// SteppedDown is called when the node no longer holds its term: what belongs to the term
	// must be dropped.
	SteppedDown()
	// TokenAdvanced is called when the term goes on with a higher fencing token.
	TokenAdvanced()
}

// Elector is a node's part in the election. It belongs to the controller's owner.
type Elector struct {
	context  *step.Context
	calls    *step.StateCalls
	timing   timing.Election
	delegate Delegate
	node     string
	process  string

	observed    observedLeader
	acquisition *protocol.Txn // the try to take the leader key whose result isn't known yet
	held        heldTerm
	peers       peerStates
	advance     tokenAdvance
}

// observedLeader is what a node knows of the leader key.
type observedLeader struct {
	leader       string        // its name; empty: nobody is known to lead
	version      int64         // of the key when last read; 0: absent
	checking     bool          // the key is being read or written
	checkAt      time.Duration // when it is read next
	backoffUntil time.Duration // until when to leave the key to others
	reachedAt    time.Duration // when the leader last answered a probe, or was first heard of
	probeAt      time.Duration // when it is probed next
}

// heldTerm is the term that a node holds.
type heldTerm struct {
	token      int64         // version of the leader key; 0: none is held
	lease      int64         // that the key is attached to
	leaseUntil time.Duration // until when the lease certainly lasts, by this node's clock
	renewAt    time.Duration
	leading    bool          // the records were read: only from then on may anything be told or started
	loadedTerm int64         // the first version of the last term whose records were read; 0: none
	loadedAt   time.Duration // when they were read
	floor      int64         // never act for a term that is not above
}

// New returns the elector of a node's process, which tells itself from earlier ones of the
// node by its name.
func New(context *step.Context, calls *step.StateCalls, timing timing.Election, node, process string, peers []string, delegate Delegate) *Elector {
	return &Elector{
		context: context, calls: calls, timing: timing, delegate: delegate, node: node, process: process,
		peers: peerStates{names: peers},
	}
}

// Tick does what time calls for.
func (e *Elector) Tick() {
	if e.held.token == 0 {
		e.probeLeader()
		e.checkLeader()
		return
	}
	if now := e.context.Monotonic(); now >= e.held.renewAt {
		e.held.renewAt = now + e.timing.RenewInterval
		e.renewLease()
	}
	switch {
	case e.held.leading:
		e.probePeersWhileUncertain()
		// Not before the records are read: if they can't be, the predecessor had better go
		// on answering its workers.
		e.requestStepDown()
	case e.context.Monotonic() > e.held.leaseUntil:
		e.StepDown("the leader's lease expired during failover")
	}
}

// BeginLeading notes that the records of the term were read.
func (e *Elector) BeginLeading() {
	e.held.leading = true
	e.held.loadedTerm, e.held.loadedAt = e.held.token, e.context.Monotonic()
	e.advance = tokenAdvance{}
}

// StepDown ends the term at this node. The lease stays: until it expires nobody else leads.
func (e *Elector) StepDown(reason string) {
	e.context.Log(message.Info, "term lost", "term", e.held.token, "reason", reason)
	e.delegate.SteppedDown()
	e.calls.Reset()
	e.held.token, e.held.lease, e.held.leaseUntil, e.held.leading = 0, 0, 0, false
	e.acquisition = nil
	e.observed.leader = ""
	e.scheduleLeaderCheck()
}

// Resign ends the term by this node's own choice, so that another can begin one at once.
func (e *Elector) Resign(reason string) {
	e.Restart(reason)
	e.observed.backoffUntil = e.context.Monotonic() + e.timing.ResignBackoff
}

// Restart ends the term so that a new one can begin at once, on this node or another.
func (e *Elector) Restart(reason string) {
	lease := e.held.lease
	e.StepDown(reason)
	e.revokeLease(lease)
}

// BackOffAfterProcessPause leaves a free leader key to others for a while: they may be paused less
// often, and terms shouldn't follow one another at the pace of this node's pauses.
func (e *Elector) BackOffAfterProcessPause() {
	if e.held.token != 0 {
		return
	}
	until := e.context.Monotonic() + e.timing.PausedNodeBackoff
	e.observed.backoffUntil = max(e.observed.backoffUntil, until)
}

// Leadership is what parts beside the controller have to know of the election.
type Leadership struct {
	Term         int64         // the version that the leader key had when this node began to lead; 0: it doesn't
	FencingToken int64         // the version now
	LeaseUntil   time.Duration // until when no other node can lead, by the steady clock
	Leader       string        // who leads, as far as is known; empty while this node does
}

// Leadership tells who leads.
func (e *Elector) Leadership() Leadership {
	if !e.held.leading {
		return Leadership{Leader: e.OtherLeader()}
	}
	return Leadership{Term: e.held.loadedTerm, FencingToken: e.held.token, LeaseUntil: e.held.leaseUntil}
}

// Leading reports whether the node leads, also while its lease may have expired.
func (e *Elector) Leading() bool { return e.held.leading }

// Token is the fencing token of the term that the node holds; 0: none.
func (e *Elector) Token() int64 { return e.held.token }

// FirstToken is the token with which the node's last term began.
func (e *Elector) FirstToken() int64 { return e.held.loadedTerm }

// LeadingSince is when the records of the term were read.
func (e *Elector) LeadingSince() time.Duration { return e.held.loadedAt }

// TermCondition is what every write of the term is conditional on.
func (e *Elector) TermCondition() protocol.Condition {
	return protocol.Condition{Key: LeaderKey, Version: e.held.token}
}

// KnownLeader is who leads as far as the node knows, itself or another; empty: nobody.
func (e *Elector) KnownLeader() string { return e.observed.leader }

// OtherLeader is the peer that is known to lead; empty: none is.
func (e *Elector) OtherLeader() string {
	if e.observed.leader == e.node {
		return ""
	}
	return e.observed.leader
}

// SteppedDownPeers are the peers that confirmed to have ended earlier terms, sorted.
func (e *Elector) SteppedDownPeers() []string {
	return append([]string{}, slices.Sorted(maps.Keys(e.peers.steppedDownAt))...)
}
