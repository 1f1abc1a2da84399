package election

import (
	"fmt"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/timing"
)

// peerStates holds the answers of the other controllers in the current term.
type peerStates struct {
	names []string
	// steppedDownAt maps each peer to the time at which it confirmed the end of every earlier term.
	steppedDownAt map[string]time.Duration
	nextRequestAt time.Duration // time of the next step-down requests to the peers that have not confirmed
	// notLeadingAt maps each peer to the send time of the latest probe to which it answered that
	// it had not led since this node's lease expired.
	notLeadingAt           map[string]time.Duration
	nextUncertaintyProbeAt time.Duration // time of the next probes while this node's lease may have expired
}

// beginTerm discards the answers from earlier terms.
func (p *peerStates) beginTerm() {
	p.steppedDownAt, p.nextRequestAt = map[string]time.Duration{}, 0
	p.notLeadingAt = map[string]time.Duration{}
}

// allNotLeadingAt returns the time up to which all peers are known not to have led.
func (p *peerStates) allNotLeadingAt(now time.Duration) time.Duration {
	for _, name := range p.names {
		now = min(now, p.notLeadingAt[name])
	}
	return now
}

// probeLeader sends a step-down request with term 0 to the leader if a probe is due. The request
// ends no term; an answer shows that user requests can be forwarded to the leader.
func (e *Elector) probeLeader() {
	now := e.context.Monotonic()
	if e.observed.leader == "" || now < e.observed.nextProbeAt {
		return
	}
	e.observed.nextProbeAt = now + e.timing.ProbeInterval
	e.context.Emit(message.PeerCall{Peer: e.observed.leader, SentAt: now, QueriesMachineTypes: true})
}

// LeaderUnreachable reports whether the known leader has stopped answering probes. Time during
// which this process was paused does not count.
func (e *Elector) LeaderUnreachable() bool {
	return e.context.SilenceDuration(e.observed.lastContactAt) > e.timing.ProbeTimeout
}

// probePeersWhileUncertain asks the peers whether any of them has led. It does so only while this
// node's lease may have expired.
func (e *Elector) probePeersWhileUncertain() {
	now := e.context.Monotonic()
	if e.HoldsLease() || now < e.peers.nextUncertaintyProbeAt {
		return
	}
	e.peers.nextUncertaintyProbeAt = now + e.timing.ProbeInterval
	for _, peer := range e.peers.names {
		e.context.Emit(message.PeerCall{Peer: peer, SentAt: now})
	}
}

// recordPeerNotLeading records a peer's answer that it has not led since this node's lease
// expired. The answer counts only if the peer's process was already running when the lease
// expired, because an earlier process of the peer might have led.
func (e *Elector) recordPeerNotLeading(result message.PeerResult) {
	uptime := time.Duration(float64(result.UptimeMs)*(1-timing.MaxClockDrift)) * time.Millisecond
	if result.LastLoadedTerm < e.held.token && e.context.Monotonic()-uptime <= e.held.leaseUntil {
		e.peers.notLeadingAt[result.Peer] = max(e.peers.notLeadingAt[result.Peer], result.SentAt)
	}
}

// requestStepDown asks each peer without a recorded confirmation to end all older terms.
func (e *Elector) requestStepDown() {
	now := e.context.Monotonic()
	if len(e.peers.steppedDownAt) == len(e.peers.names) || now < e.peers.nextRequestAt || now > e.held.loadedAt+e.timing.HeartbeatGrace {
		return
	}
	e.peers.nextRequestAt = now + e.timing.StepDownInterval
	for _, peer := range e.peers.names {
		if _, ok := e.peers.steppedDownAt[peer]; !ok {
			e.context.Emit(message.PeerCall{Peer: peer, Term: e.held.token, SentAt: now})
		}
	}
}

// HandleStepDownRequest ends any older term that this node holds and confirms to the new leader
// that this node no longer answers workers for older terms. types are the machine types to return if
// the request asks for them.
func (e *Elector) HandleStepDownRequest(request message.StepDownRequest, types []protocol.MachineType) {
	isNewerTerm := request.Term > e.held.termFloor // false for a delayed request of an earlier leader
	e.held.termFloor = max(e.held.termFloor, request.Term-1)
	if e.held.token != 0 && e.held.token < request.Term {
		e.StepDown(fmt.Sprintf("a peer leads with term %d", request.Term))
	}
	if isNewerTerm && e.held.token == 0 && request.Leader != "" {
		// A node that cannot reach the state service learns of the new leader only through this
		// request. It can then keep forwarding user requests and redirecting workers.
		e.follow(request.Leader, request.Term)
	}
	response := protocol.StepDownResponse{
		SteppedDown: true, LastLoadedTerm: e.held.loadedTerm, UptimeMs: e.context.Monotonic().Milliseconds(), ReadsArchive: request.QueriesArchiveSupport,
	}
	if request.QueriesMachineTypes {
		response.MachineTypes = types
	}
	e.context.Emit(message.Reply{ID: request.ID, Status: 200, Body: protocol.Encode(response)})
}

// HandlePeerResult processes a peer's answer. It reports whether the peer confirmed the end of
// every term before the one that this node holds.
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
		e.recordPeerNotLeading(result)
	case result.Peer == e.observed.leader:
		e.observed.lastContactAt = e.context.Monotonic()
	}
}

// EarlierLeadersSilentAt returns the time by which every earlier leader has certainly stopped
// answering workers: the time of the last peer's confirmation, or else the latest possible end of
// the grace period. Each earlier leader's lease expired before this node's lease was granted. An
// earlier leader answers workers for at most the grace period after that expiry, or after the last
// probe to which this node answered that it had not led.
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
