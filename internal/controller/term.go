package controller

import (
	"fmt"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// LeaderKey is the key whose version is the term and the workers' token.
const LeaderKey = "oakpick/leader"

// leaderValue is what the leader's key holds.
type leaderValue struct {
	Node  string `msgpack:"node"`
	Boot  string `msgpack:"boot"`
	Lease int64  `msgpack:"permit"`
	Raise int64  `msgpack:"raise"`
}

type purpose uint8

const (
	forLeaderCheck purpose = iota
	forGrant
	forAcquire
	forRenew
	forBarrier
	forPages
	forArchive
	forArchivePage
	forRaise
	forRaiseCheck
	forPageTxn
	forPageCheck
	forRevoke
)

type pending struct {
	why  purpose
	sent time.Duration
}

// term is a node's view of who leads.
type term struct {
	calls  map[uint64]pending
	leader string
	heard  time.Duration // when the state service, or a leader, was last heard

	leaderCheckAt  time.Duration
	checkingLeader bool
	backOff        time.Duration // until when to leave the term to others
	reached        time.Duration // when the leader last answered a greeting, or was first heard of
	greetAt        time.Duration
	lease          int64
	until          time.Duration // while the lease certainly lasts, by our clock
	renewAt        time.Duration
	seen           int64 // version of the leader's key when last read; 0: absent
	own            int64 // the version that we hold; 0: none
	led            int64 // the first version of the latest reign whose records were read; 0: none
	loading        *loader
	acquire        *protocol.Txn
	ledAt          time.Duration // when the records were read; only from then on may anything be told or started

	// letting go, see askedToStepDown
	steppedDown map[string]time.Duration
	askAt       time.Duration
	floor       int64 // never act for a term below

	// while in doubt, see holdOver
	doubtAt time.Duration
	idle    map[string]time.Duration // peers that cannot have led yet, and when they were asked
}

type loader struct {
	entries []protocol.Entry
	barrier bool
	pages   bool // all are read
}

func (n *Controller) state(why purpose, c storage.StateCall) {
	if n.term.calls == nil {
		n.term.calls = map[uint64]pending{}
	}
	c.ID = n.id()
	n.term.calls[c.ID] = pending{why, n.now.Monotonic}
	n.emit(message.StateCall{StateCall: c})
}

// holdOver tells whether workers may no longer be answered. The hold counts from
// when another node may first have led: when our lease ended, or later, if since
// then every peer has said that it has not.
func (n *Controller) holdOver() bool {
	t := &n.term
	from := n.now.Monotonic
	for _, p := range n.cfg.Peers {
		from = min(from, t.idle[p.Name])
	}
	return n.now.Monotonic > max(t.until, from)+n.rules.hold
}

// askIdle asks the peers, while the term is in doubt, whether any of them has led.
func (n *Controller) askIdle() {
	t := &n.term
	if n.engine == nil || n.certain() || n.now.Monotonic < t.doubtAt {
		return
	}
	t.doubtAt = n.now.Monotonic + n.rules.probe
	for _, p := range n.cfg.Peers {
		n.emit(message.PeerCall{Peer: p.Name, SentAt: n.now.Monotonic})
	}
}

// idlePeer notes a peer's word that it has not led since our lease ended. Only a
// process that was running by then can give it: its predecessor might have.
func (n *Controller) idlePeer(r message.PeerResult) {
	t := &n.term
	up := time.Duration(float64(r.UptimeMs)*(1-drift)) * time.Millisecond
	if n.engine != nil && r.LastLoadedTerm < t.own && n.now.Monotonic-up <= t.until {
		t.idle[r.Peer] = max(t.idle[r.Peer], r.SentAt)
	}
}

// certain tells whether no other node can have taken the term yet.
func (n *Controller) certain() bool { return n.engine != nil && n.now.Monotonic < n.term.until }

func (n *Controller) extend(sent time.Duration) {
	ttl := n.rules.ttl
	// The lease counts from when the request was sent, on a clock that may be
	// slow; a twentieth is left for the time between a check and its use.
	if until := sent + ttl - time.Duration(float64(ttl)*drift) - ttl/20; until > n.term.until {
		n.term.until = until
	}
}

func (n *Controller) termTick() {
	t, now := &n.term, n.now.Monotonic
	if t.own != 0 && now >= t.renewAt {
		t.renewAt = now + n.rules.renew
		n.state(forRenew, storage.StateCall{Op: storage.StateRenewLease, Lease: t.lease})
	}
	if t.own != 0 {
		n.askIdle()
		if n.engine != nil {
			// Not before the records are read: if they can't be, the predecessor had
			// better go on answering its workers.
			n.askStepDown()
		}
		if n.engine == nil && now > t.until {
			n.stepDown("the term's lease ended while taking over")
		}
		return
	}
	if t.leader != "" && now >= t.greetAt {
		// To ask a peer to let go of nothing is a greeting: whether it answers
		// tells whether users' requests could be handed to it.
		t.greetAt = now + n.rules.probe
		n.emit(message.PeerCall{Peer: t.leader, SentAt: now})
	}
	if !t.checkingLeader && now >= t.leaderCheckAt {
		t.checkingLeader = true
		n.state(forLeaderCheck, storage.StateCall{Op: storage.StateGet, Key: LeaderKey})
	}
}

// follow notes who leads.
func (n *Controller) follow(leader string, term int64) {
	t := &n.term
	if t.leader != leader {
		n.log(message.Info, "following", "leader", leader, "term", term)
		t.leader, t.reached = leader, n.now.Monotonic
	}
}

// scheduleLeaderCheck plans the next look at the leader's key.
func (n *Controller) scheduleLeaderCheck() {
	n.term.checkingLeader = false
	jitter := time.Duration(n.rng.Int64N(int64(n.rules.poll)/4 + 1))
	n.term.leaderCheckAt = n.now.Monotonic + n.rules.poll + jitter
}

func (n *Controller) stepDown(why string) {
	t := &n.term
	n.log(message.Info, "term lost", "term", t.own, "why", why)
	n.engine = nil
	// An answer that is still to come belongs to this reign: the next engine of
	// this node must not take it for one of its own.
	t.calls = nil
	t.own, t.lease, t.loading, t.acquire = 0, 0, nil, nil
	t.leader, t.until = "", 0
	n.scheduleLeaderCheck()
}

// yieldTerm ends the term by this node's own choice, so that another can take it
// at once.
func (n *Controller) yieldTerm(why string) {
	n.restartTerm(why)
	n.term.backOff = n.now.Monotonic + n.rules.backOff
}

// restartTerm ends the term so that a new one can begin at once, on this node or
// another.
func (n *Controller) restartTerm(why string) {
	lease := n.term.lease
	n.stepDown(why)
	n.state(forRevoke, storage.StateCall{Op: storage.StateRevokeLease, Lease: lease})
}

func (n *Controller) stateResult(r storage.StateResult) {
	p, ok := n.term.calls[r.ID]
	if !ok {
		return
	}
	delete(n.term.calls, r.ID)
	t := &n.term
	if r.Outcome == rpc.OK || r.Outcome == rpc.NotFound || r.Outcome == rpc.Conflict {
		t.heard = n.now.Monotonic
	}
	switch p.why {
	case forLeaderCheck:
		n.leaderKeyRead(r)
	case forGrant:
		n.granted(r, p)
	case forAcquire:
		n.acquiredResult(r)
	case forRenew:
		if t.own == 0 {
			return
		}
		switch r.Outcome {
		case rpc.OK:
			n.extend(p.sent)
		case rpc.NotFound:
			n.stepDown("the term's lease has ended")
		}
	case forBarrier, forPages, forArchive:
		n.loadResult(p.why, r)
	case forRevoke: // without it the lease ends by itself a little later
	default:
		if n.engine != nil {
			n.engine.stateResult(p.why, r)
		}
	}
}

func (n *Controller) leaderKeyRead(r storage.StateResult) {
	t := &n.term
	if t.own != 0 {
		t.checkingLeader = false
		return
	}
	switch r.Outcome {
	case rpc.OK:
		var v leaderValue
		if protocol.Decode(r.Entry.Value, &v) != nil {
			n.log(message.Error, "leader key holds something else")
			n.scheduleLeaderCheck()
			return
		}
		t.seen = r.Entry.Version
		switch {
		case t.acquire != nil && v.Boot == n.boot && v.Lease == t.lease:
			n.tookTerm(r.Entry.Version)
			return
		case v.Node == n.cfg.Node && v.Boot != n.boot:
			// Our own node's earlier process is dead: one process a node. Its
			// term needn't run out first.
			n.askLease()
			return
		}
		t.acquire = nil
		if v.Node != n.cfg.Node {
			n.follow(v.Node, r.Entry.Version)
		}
		n.scheduleLeaderCheck()
	case rpc.NotFound:
		t.seen, t.leader = 0, ""
		if n.now.Monotonic < t.backOff {
			n.scheduleLeaderCheck()
			return
		}
		n.askLease()
	default:
		n.scheduleLeaderCheck()
	}
}

func (n *Controller) askLease() {
	t := &n.term
	if t.acquire != nil && n.now.Monotonic < t.until {
		n.sendAcquire()
		return
	}
	t.acquire = nil
	n.state(forGrant, storage.StateCall{Op: storage.StateGrantLease, TTL: n.rules.ttl})
}

func (n *Controller) granted(r storage.StateResult, p pending) {
	t := &n.term
	if t.own != 0 || r.Outcome != rpc.OK {
		n.scheduleLeaderCheck()
		return
	}
	t.lease, t.until = r.Revision, 0
	n.extend(p.sent)
	t.acquire = &protocol.Txn{
		If:   []protocol.Condition{{Key: LeaderKey, Version: t.seen}},
		Then: []protocol.Change{{Put: LeaderKey, Value: leaderValue{Node: n.cfg.Node, Boot: n.boot, Lease: t.lease}, Lease: t.lease}},
	}
	n.sendAcquire()
}

func (n *Controller) sendAcquire() {
	n.term.checkingLeader = true
	n.state(forAcquire, storage.StateCall{Op: storage.StateTxn, Txn: *n.term.acquire})
}

func (n *Controller) acquiredResult(r storage.StateResult) {
	t := &n.term
	if t.own != 0 || t.acquire == nil {
		return
	}
	if r.Outcome == rpc.OK {
		n.tookTerm(r.Revision)
		return
	}
	if r.Outcome == rpc.Invalid {
		t.acquire = nil
	}
	// Refused, lost to another, or not answered: the next look tells.
	n.scheduleLeaderCheck()
	t.leaderCheckAt = n.now.Monotonic + n.rules.retry
}

func (n *Controller) tookTerm(version int64) {
	t := &n.term
	t.checkingLeader, t.acquire = false, nil
	if version <= t.floor || n.now.Monotonic >= t.until {
		n.stepDown("taken too late")
		return
	}
	t.own, t.leader = version, n.cfg.Node
	t.renewAt = n.now.Monotonic
	t.steppedDown, t.askAt = map[string]time.Duration{}, 0
	t.idle = map[string]time.Duration{}
	t.loading = &loader{}
	n.Stats.TermsTaken++
	n.log(message.Info, "term taken", "term", version)
	n.state(forBarrier, storage.StateCall{Op: storage.StateTxn, Txn: protocol.Txn{If: []protocol.Condition{{Key: LeaderKey, Version: version}}}})
}

func (n *Controller) loadResult(why purpose, r storage.StateResult) {
	t := &n.term
	l := t.loading
	if l == nil {
		return
	}
	readOn := func() {
		after := ""
		if len(l.entries) > 0 {
			after = l.entries[len(l.entries)-1].Key
		}
		if !l.barrier {
			n.state(forBarrier, storage.StateCall{Op: storage.StateTxn, Txn: protocol.Txn{If: []protocol.Condition{{Key: LeaderKey, Version: t.own}}}})
			return
		}
		if l.pages {
			n.state(forArchive, storage.StateCall{Op: storage.StateList, Key: storage.ArchivePrefix, Limit: 1})
			return
		}
		n.state(forPages, storage.StateCall{Op: storage.StateList, Key: storage.RecordsPrefix, StartAfter: after})
	}
	switch {
	case why == forArchive && r.Outcome == rpc.OK:
		n.lead(l.entries, len(r.List.Entries) > 0)
	case r.Outcome == rpc.Conflict:
		n.stepDown("another took the term")
	case r.Outcome != rpc.OK:
		readOn()
	case why == forBarrier:
		l.barrier = true
		readOn()
	default:
		l.entries = append(l.entries, r.List.Entries...)
		l.pages = !r.List.More
		readOn()
	}
}

// lead begins to lead with the records that were read.
func (n *Controller) lead(entries []protocol.Entry, archive bool) {
	t := &n.term
	t.loading = nil
	e, err := newEngine(n, entries)
	if err != nil {
		n.log(message.Error, "cannot read the records", "error", err.Error())
		n.stepDown("the records can't be read")
		return
	}
	e.archive.exists = archive
	n.engine = e
	t.led, t.ledAt = t.own, n.now.Monotonic
}

// askedToStepDown answers a new leader: whatever term below its own this node held, it
// no longer answers workers for it.
func (n *Controller) askedToStepDown(c message.StepDownRequest) {
	t := &n.term
	news := c.Term > t.floor // no late copy of what an earlier leader said
	t.floor = max(t.floor, c.Term-1)
	if t.own != 0 && t.own < c.Term {
		n.stepDown(fmt.Sprintf("a peer leads with term %d", c.Term))
	}
	if news && t.own == 0 && c.Leader != "" {
		// A node that the state service alone refuses learns it only here, and
		// can go on serving its users and send its workers there.
		n.follow(c.Leader, c.Term)
	}
	n.emit(message.Reply{ID: c.ID, Status: 200, Body: protocol.Encode(protocol.StepDownResponse{
		SteppedDown: true, LastLoadedTerm: t.led, UptimeMs: n.now.Monotonic.Milliseconds(), ReadsArchive: c.AsksArchive,
	})})
}

// askStepDown asks every peer that hasn't said so to let go of older terms.
func (n *Controller) askStepDown() {
	t := &n.term
	if len(t.steppedDown) == len(n.cfg.Peers) || n.now.Monotonic < t.askAt || n.now.Monotonic > t.ledAt+n.rules.hold {
		return
	}
	t.askAt = n.now.Monotonic + n.rules.report/3
	for _, p := range n.cfg.Peers {
		if _, ok := t.steppedDown[p.Name]; !ok {
			n.emit(message.PeerCall{Peer: p.Name, Term: t.own, SentAt: n.now.Monotonic})
		}
	}
}

func (n *Controller) peerResult(r message.PeerResult) {
	t := &n.term
	if r.Term == 0 {
		switch {
		case !r.SteppedDown: // no answer
		case n.engine != nil:
			n.idlePeer(r)
		case r.Peer == t.leader:
			t.reached = n.now.Monotonic
		}
		return
	}
	if t.own == 0 || !r.SteppedDown || r.Term > t.own || r.Term < t.led {
		return
	}
	if _, ok := t.steppedDown[r.Peer]; !ok {
		t.steppedDown[r.Peer] = n.now.Monotonic
	}
	if n.engine != nil && r.ReadsArchive {
		n.engine.archive.readers[r.Peer] = true
	}
}

// lapseBase is when every earlier leader had certainly stopped answering
// workers: when the last peer said so, or else when its hold must have ended.
// Each earlier term's lease ended before ours was taken, and nobody answers
// workers for longer than the hold beyond that, or beyond our last word that we
// had not led.
func (n *Controller) lapseBase() time.Duration {
	t := &n.term
	base := t.ledAt
	bound := t.ledAt + n.rules.hold + time.Duration(float64(n.rules.hold)*drift)
	for _, p := range n.cfg.Peers {
		at, ok := t.steppedDown[p.Name]
		if !ok {
			return bound
		}
		base = max(base, at)
	}
	return min(base, bound)
}
