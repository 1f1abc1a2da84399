// Package election implements leader election among controllers. The leader owns a key in the
// state service that is attached to a lease. The version of that key identifies the term and
// grows with every write to the key, so it also serves as the fencing token for workers. Every
// write by a leader is conditional on it. The elector is a deterministic state machine that
// knows nothing about jobs: it receives request results and the time, and emits effects.
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

// Delegate is notified of changes to the term held by this node.
type Delegate interface {
	// TermAcquired is called after the node acquires the leader key. The delegate reads the
	// stored records behind a write barrier for the term, then calls BeginLeading or StepDown.
	TermAcquired()
	// SteppedDown is called when the node loses or gives up its term. The delegate must
	// discard all state that belongs to the term.
	SteppedDown()
	// TokenAdvanced is called when the fencing token increases within the term.
	TokenAdvanced()
}

// Elector runs leader election for one node. Only the goroutine that owns the controller may use it.
type Elector struct {
	context  *step.Context
	calls    *step.StateCalls
	timing   timing.Election
	delegate Delegate
	node     string
	process  string

	observed    observedLeader
	acquisition *protocol.Txn // in-flight transaction that acquires the leader key; nil if none
	held        heldTerm
	peers       peerStates
	advance     tokenAdvance
}

// observedLeader is a node's view of the leader key and of the node that holds it.
type observedLeader struct {
	leader          string        // name of the leader; empty if unknown
	version         int64         // version of the leader key when last read; 0 if the key was absent
	requestInFlight bool          // a read or write of the leader key is in flight
	nextCheckAt     time.Duration // time of the next read of the leader key
	backoffUntil    time.Duration // the node does not try to acquire the leader key before this time
	lastContactAt   time.Duration // when the leader last answered a probe, or was first observed
	nextProbeAt     time.Duration // time of the next probe of the leader
}

// heldTerm is the state of the term that this node holds.
type heldTerm struct {
	token         int64         // version of the leader key; 0 if no term is held
	lease         int64         // ID of the lease that the leader key is attached to
	leaseUntil    time.Duration // the lease is guaranteed to last until this time on the local clock
	nextRenewalAt time.Duration
	leading       bool          // set once the records are loaded; before that the node must not answer requests or start tasks
	loadedTerm    int64         // first token of the last term whose records were loaded; 0 if none
	loadedAt      time.Duration // when those records were loaded
	termFloor     int64         // this node must not begin a term with this number or a lower one
}

// New returns the elector of a node. The process identifier distinguishes this process from
// earlier processes of the same node.
func New(context *step.Context, calls *step.StateCalls, timing timing.Election, node, process string, peers []string, delegate Delegate) *Elector {
	return &Elector{
		context: context, calls: calls, timing: timing, delegate: delegate, node: node, process: process,
		peers: peerStates{names: peers},
	}
}

// Tick renews the lease, checks the leader key and sends probes when they are due.
func (e *Elector) Tick() {
	if e.held.token == 0 {
		e.probeLeader()
		e.checkLeader()
		return
	}
	if now := e.context.Monotonic(); now >= e.held.nextRenewalAt {
		e.held.nextRenewalAt = now + e.timing.RenewInterval
		e.renewLease()
	}
	switch {
	case e.held.leading:
		e.probePeersWhileUncertain()
		// Peers are asked to step down only after the records are loaded. If loading fails, the
		// previous leader should keep answering its workers.
		e.requestStepDown()
	case e.context.Monotonic() > e.held.leaseUntil:
		e.StepDown("the leader's lease expired during failover")
	}
}

// BeginLeading marks the records of the term as loaded and starts leading.
func (e *Elector) BeginLeading() {
	e.held.leading = true
	e.held.loadedTerm, e.held.loadedAt = e.held.token, e.context.Monotonic()
	e.advance = tokenAdvance{}
}

// StepDown ends the term on this node. It does not revoke the lease, so no other node can lead until the lease expires.
func (e *Elector) StepDown(reason string) {
	e.context.Log(message.Info, "term lost", "term", e.held.token, "reason", reason)
	e.delegate.SteppedDown()
	e.calls.Reset()
	e.held.token, e.held.lease, e.held.leaseUntil, e.held.leading = 0, 0, 0, false
	e.acquisition = nil
	e.observed.leader = ""
	e.scheduleLeaderCheck()
}

// Resign ends the term voluntarily and backs off, so that another node can take over at once.
func (e *Elector) Resign(reason string) {
	e.Restart(reason)
	e.observed.backoffUntil = e.context.Monotonic() + e.timing.ResignBackoff
}

// Restart ends the term and revokes the lease, so that this node or another can begin a new term at once.
func (e *Elector) Restart(reason string) {
	lease := e.held.lease
	e.StepDown(reason)
	e.revokeLease(lease)
}

// BackOffAfterProcessPause delays acquisition of a free leader key after a pause of this process.
// Other nodes may be paused less often, and a frequently paused node would otherwise cause
// frequent changes of term.
func (e *Elector) BackOffAfterProcessPause() {
	if e.held.token != 0 {
		return
	}
	until := e.context.Monotonic() + e.timing.PausedNodeBackoff
	e.observed.backoffUntil = max(e.observed.backoffUntil, until)
}

// View is a snapshot of the election state for components outside the controller.
type View struct {
	Term         int64         // version of the leader key when this node began to lead; 0 if it does not lead
	FencingToken int64         // current version of the leader key
	LeaseUntil   time.Duration // no other node can lead before this time, by the monotonic clock
	Leader       string        // name of the leader if it is another node and known, otherwise empty
}

// Leadership returns the current election state.
func (e *Elector) Leadership() View {
	if !e.held.leading {
		return View{Leader: e.OtherLeader()}
	}
	return View{Term: e.held.loadedTerm, FencingToken: e.held.token, LeaseUntil: e.held.leaseUntil}
}

// Leading reports whether the node leads. It stays true while the lease may have expired.
func (e *Elector) Leading() bool { return e.held.leading }

// Token returns the fencing token of the term that the node holds, or 0 if it holds none.
func (e *Elector) Token() int64 { return e.held.token }

// FirstToken returns the first fencing token of the last term that the node led.
func (e *Elector) FirstToken() int64 { return e.held.loadedTerm }

// LeadingSince returns the time at which the records of the term were loaded.
func (e *Elector) LeadingSince() time.Duration { return e.held.loadedAt }

// TermCondition returns the condition that every write of the term must carry.
func (e *Elector) TermCondition() protocol.Condition {
	return protocol.Condition{Key: LeaderKey, Version: e.held.token}
}

// KnownLeader returns the name of the leader, which may be this node, or an empty string if the leader is unknown.
func (e *Elector) KnownLeader() string { return e.observed.leader }

// OtherLeader returns the name of the peer that leads, or an empty string if no peer is known to lead.
func (e *Elector) OtherLeader() string {
	if e.observed.leader == e.node {
		return ""
	}
	return e.observed.leader
}

// SteppedDownPeers returns the peers that confirmed the end of all earlier terms, sorted by name.
func (e *Elector) SteppedDownPeers() []string {
	return append([]string{}, slices.Sorted(maps.Keys(e.peers.steppedDownAt))...)
}
