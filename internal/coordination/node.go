// Package coordination decides: who holds the term, what runs where, what is
// stopped, rented and returned. All of it is one deterministic state machine:
// commands and the time go in, effects come out. It does no input or output,
// reads no clock and starts no goroutine.
package coordination

import (
	"math/rand/v2"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/pause"
	"oakpick/internal/protocol"
)

// Node is one controller.
type Node struct {
	cfg    *config.Config
	rules  Rules
	now    Now
	out    []Effect
	nextID uint64
	rng    *rand.Rand
	boot   string // tells this process from earlier ones of the same node

	term     term
	engine   *engine // nil while not leading
	pauses   pause.Detector
	deferred []deferred // requests that wait for a leader
	// The state service has refused a value for its size: the limits to come are in force.
	limitsLowered bool
	Stats         Stats
}

// Stats are counts since the process began.
type Stats struct {
	Submitted    int64 `json:"submitted"`
	Polled       int64 `json:"polled"`
	Cancelled    int64 `json:"cancelled"`
	Reports      int64 `json:"reports"`
	StaleReports int64 `json:"stale_reports"`
	Starts       int64 `json:"starts"`
	Lost         int64 `json:"tasks_lost"`
	Finished     int64 `json:"tasks_finished"`
	Preempted    int64 `json:"tasks_preempted"`
	Moved        int64 `json:"replicas_moved"`
	Failed       int64 `json:"tasks_failed"`
	Raised       int64 `json:"tokens_raised"`
	Terms        int64 `json:"terms_taken"`
	Rented       int64 `json:"machines_rented"`
	Returned     int64 `json:"machines_returned"`
	Txns         int64 `json:"writes"`
	Retries      int64 `json:"writes_retried"`
	HostsSeen    int64 `json:"machines_looked_at"`
	JobsSeen     int64 `json:"jobs_looked_at"`
	// Pauses are the times that the process stood still, see pauses.go.
	Pauses         int64 `json:"pauses"`
	PausedMs       int64 `json:"paused_ms"`
	LongestPauseMs int64 `json:"longest_pause_ms"`
	// Deferred are requests that waited for a leader to be known.
	Deferred int64 `json:"requests_deferred"`
}

// New makes a node. The seed and the boot name must differ between processes.
func New(cfg *config.Config, boot string, seed uint64) *Node {
	n := &Node{cfg: cfg, boot: boot, rng: rand.New(rand.NewPCG(seed, 0x6f616b)), rules: NewRules(cfg)}
	n.pauses.Threshold = n.rules.pause
	return n
}

// Step takes a batch of commands and gives what is to be done about them.
func (n *Node) Step(now Now, commands []Command) []Effect {
	n.now, n.out = now, nil
	n.notePause()
	if n.engine != nil && n.holdOver() {
		// The process stood still. What has come meanwhile must not be answered as
		// if no time had passed: a successor may have declared sessions lapsed.
		n.stepDown("the hold is over")
	}
	for _, c := range commands {
		n.handle(c)
	}
	n.termTick()
	n.resumeDeferred()
	if n.engine != nil {
		n.engine.afterBatch()
	}
	return n.out
}

func (n *Node) emit(effect Effect) { n.out = append(n.out, effect) }

func (n *Node) log(level LogLevel, text string, args ...any) {
	n.emit(Log{Level: level, Text: text, Args: args})
}

func (n *Node) id() uint64 { n.nextID++; return n.nextID }

func (n *Node) refuse(id uint64, why string) {
	n.emit(Reply{ID: id, Status: 503, Body: protocol.EncodeError(why), RetryAfter: 1})
}

func (n *Node) handle(c Command) {
	switch c := c.(type) {
	case UserCall:
		n.user(c)
	case ReportCall:
		n.report(c)
	case StepDownCall:
		n.askedToStepDown(c)
	case AdminCall:
		n.admin(c)
	case StateResult:
		n.stateResult(c.StateResult)
	case CloudResult:
		if n.engine != nil {
			n.engine.cloudResult(c)
		}
	case OrdersResult:
		if n.engine != nil {
			n.engine.ordersResult(c)
		}
	case PeerResult:
		n.peerResult(c)
	case Tick:
	}
}

func (n *Node) user(c UserCall) {
	switch {
	case n.engine != nil && n.certain():
		n.engine.user(c)
	case n.engine == nil && n.otherLeader() != "":
		n.emit(Forward{ID: c.ID, Peer: n.otherLeader()})
	case n.engine == nil && n.mayDefer(c):
		n.deferCall(c)
	default:
		n.refuse(c.ID, "no leader")
	}
}

func (n *Node) report(c ReportCall) {
	if n.engine != nil {
		n.engine.reportCall(c)
		return
	}
	n.emit(Reply{ID: c.ID, Status: 421, Body: protocol.EncodeReportTo(n.otherLeader())})
}

// otherLeader is the peer that is known to lead; empty: none is.
func (n *Node) otherLeader() string {
	if n.term.leader == n.cfg.Node {
		return ""
	}
	return n.term.leader
}

// KnownLeader is who leads as far as is known, this node or another; empty: nobody.
func (n *Node) KnownLeader() string {
	if n.Leads() {
		return n.cfg.Node
	}
	return n.otherLeader()
}

// Healthy tells whether the node can take requests: it leads with a certain
// term, or has lately heard of a leader and can hand them to it. Users of a node
// that cannot are better off at another.
func (n *Node) Healthy() bool {
	if n.engine != nil {
		return true
	}
	if n.term.leader != "" {
		return n.now.Mono-n.pauses.Since(n.term.reached) <= n.rules.probeTimeout
	}
	return n.now.Mono-n.term.heard < n.rules.healthFor || n.now.Mono < n.rules.healthFor
}

// Role says what the node is doing.
func (n *Node) Role() string {
	switch {
	case n.engine != nil && n.certain():
		return "leader"
	case n.engine != nil:
		return "leader in doubt"
	case n.term.loading != nil:
		return "taking over"
	}
	return "follower"
}

// TermView is what parts beside the node have to know of its term.
type TermView struct {
	Reign  int64         // the version that the leader's key had when this node began to lead; 0: it doesn't
	Token  int64         // the version now
	Until  time.Duration // until when no other node can lead, by the steady clock
	Leader string        // who leads, as far as is known; empty while this node does
}

// Term tells who leads.
func (n *Node) Term() TermView {
	if n.engine == nil {
		return TermView{Leader: n.otherLeader()}
	}
	return TermView{Reign: n.term.led, Token: n.term.own, Until: n.term.until}
}

// Leads tells whether the node holds, or still answers for, a term.
func (n *Node) Leads() bool { return n.engine != nil }
