package election

import (
	"fmt"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/timing"
)

// peerStates is what the other controllers have said in the present term.
type peerStates struct {
	names []string
	// steppedDownAt is when a peer confirmed to have ended every earlier term.
	steppedDownAt map[string]time.Duration
	requestAt     time.Duration // when those that haven't are asked next
	// idleAt is when a peer was asked that then said that it had not led since this node's
	// lease expired.
	idleAt      map[string]time.Duration
	idleProbeAt time.Duration // when they are probed next, while this node's lease may have expired
}

// beginTerm forgets what was said in an earlier term.
func (p *peerStates) beginTerm() {
	p.steppedDownAt, p.requestAt = map[string]time.Duration{}, 0
	p.idleAt = map[string]time.Duration{}
}

// allIdleAt is up to when all peers are known not to have led.
func (p *peerStates) allIdleAt(now time.Duration) time.Duration {
	for _, name := range p.names {
		now = min(now, p.idleAt[name])
	}
	return now
}

// probeLeader asks the leader, if that is due, to step down from no term: whether it answers
// tells whether users' requests could be forwarded to it.
func (e *Elector) probeLeader() {
	now := e.context.Monotonic()
	if e.observed.leader == "" || now < e.observed.probeAt {
		return
	}
	e.observed.probeAt = now + e.timing.ProbeInterval
	e.context.Emit(message.PeerCall{Peer: e.observed.leader, SentAt: now})
}

// LeaderUnreachable reports whether a known leader no longer answers probes. Nothing is
// concluded from a pause of this process.
func (e *Elector) LeaderUnreachable() bool {
	return e.context.SilenceDuration(e.observed.reachedAt) > e.timing.ProbeTimeout
}

// probePeersWhileUncertain asks the peers whether any of them has led, while this node's
// lease may have expired.
func (e *Elector) probePeersWhileUncertain() {
	now := e.context.Monotonic()
	if e.HoldsLease() || now < e.peers.idleProbeAt {
		return
	}
	e.peers.idleProbeAt = now + e.timing.ProbeInterval
	for _, peer := range e.peers.names {
		e.context.Emit(message.PeerCall{Peer: peer, SentAt: now})
	}
}

// notePeerIdle notes a peer's word that it has not led since this node's lease expired. Only
// a process that was running by then can give it: its predecessor might have led.
func (e *Elector) notePeerIdle(result message.PeerResult) {
	uptime := time.Duration(float64(result.UptimeMs)*(1-timing.MaxClockDrift)) * time.Millisecond
	if result.LastLoadedTerm < e.held.token && e.context.Monotonic()-uptime <= e.held.leaseUntil {
		e.peers.idleAt[result.Peer] = max(e.peers.idleAt[result.Peer], result.SentAt)
	}
}

// requestStepDown asks every peer that hasn't confirmed it to end older terms.
func (e *Elector) requestStepDown() {
	now := e.context.Monotonic()
	if len(e.peers.steppedDownAt) == len(e.peers.names) || now < e.peers.requestAt || now > e.held.loadedAt+e.timing.HeartbeatGrace {
		return
	}
	e.peers.requestAt = now + e.timing.StepDownInterval
	for _, peer := range e.peers.names {
		if _, ok := e.peers.steppedDownAt[peer]; !ok {
			e.context.Emit(message.PeerCall{Peer: peer, Term: e.held.token, SentAt: now})
		}
	}
}

// HandleStepDownRequest answers a new leader: whatever term below its own this node held, it
// no longer answers workers for it.
func (e *Elector) HandleStepDownRequest(request message.StepDownRequest) {
	isNews := request.Term > e.held.floor // not a late copy of what an earlier leader said
	e.held.floor = max(e.held.floor, request.Term-1)
	if e.held.token != 0 && e.held.token < request.Term {
		e.StepDown(fmt.Sprintf("a peer leads with term %d", request.Term))
	}
	if isNews && e.held.token == 0 && request.Leader != "" {
		// A node that the state service alone refuses learns it only here, and can go on
		// serving its users and redirect its workers.
		e.follow(request.Leader, request.Term)
	}
	e.context.Emit(message.Reply{ID: request.ID, Status: 200, Body: protocol.Encode(protocol.StepDownResponse{
		SteppedDown: true, LastLoadedTerm: e.held.loadedTerm, UptimeMs: e.context.Monotonic().Milliseconds(), ReadsArchive: request.QueriesArchiveSupport,
	})})
}

// HandlePeerResult takes in a peer's answer. It reports whether the peer has confirmed to
// have ended every term before the one that this node holds.
func (e *Elector) HandlePeerResult(result message.PeerResult) (confirmed bool) {
	if result.Term == 0 {
		e.handleProbeResult(result)
		return false
	}
	if e.held.token == 0 || !result.SteppedDown || result.Term > e.held.token || result.Term < e.held.loadedTerm {
		return false
	}
	if _, ok := e.peers.steppedDownAt[result.Peer]; !ok {
		e.peers.steppedDownAt[result.Peer] = e.context.Monotonic()
	}
	return true
}

func (e *Elector) handleProbeResult(result message.PeerResult) {
	switch {
	case !result.SteppedDown: // no answer
	case e.held.leading:
		e.notePeerIdle(result)
	case result.Peer == e.observed.leader:
		e.observed.reachedAt = e.context.Monotonic()
	}
}

// EarlierLeadersSilentAt is when every earlier leader had certainly stopped answering
// workers: when the last peer confirmed it, or else when its grace period must have ended.
// Each earlier leader's lease expired before this node's was granted, and nobody answers
// workers for longer than the grace period beyond that, or beyond this node's last word that
// it had not led.
func (e *Elector) EarlierLeadersSilentAt() time.Duration {
	grace := e.timing.HeartbeatGrace
	silentAt := e.held.loadedAt
	bound := e.held.loadedAt + grace + time.Duration(float64(grace)*timing.MaxClockDrift)
	for _, peer := range e.peers.names {
		at, ok := e.peers.steppedDownAt[peer]
		if !ok {
			return bound
		}
		silentAt = max(silentAt, at)
	}
	return min(silentAt, bound)
}
