// Package coordination decides: who holds the term, what runs where, what is
// stopped, rented and returned. All of it is one deterministic state machine:
// commands and the time go in, effects come out. It does no input or output,
// reads no clock and starts no goroutine.
package controller

import (
	"math/rand/v2"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/pause"
	"oakpick/internal/protocol"
)

// Controller is one controller.
type Controller struct {
	cfg    *config.Config
	rules  Rules
	now    message.Now
	out    []message.Effect
	nextID uint64
	rng    *rand.Rand
	boot   string // tells this process from earlier ones of the same node

	term     term
	engine   *engine // nil while not leading
	pauses   pause.Detector
	deferred []deferred // requests that wait for a leader
	// The state service has refused a value for its size: the limits to come are in force.
	limitsLowered bool
	Stats         message.Stats
}

// New makes a node. The seed and the boot name must differ between processes.
func New(cfg *config.Config, boot string, seed uint64) *Controller {
	n := &Controller{cfg: cfg, boot: boot, rng: rand.New(rand.NewPCG(seed, 0x6f616b)), rules: NewRules(cfg)}
	n.pauses.Threshold = n.rules.pause
	return n
}

// Step takes a batch of commands and gives what is to be done about them.
func (n *Controller) Step(now message.Now, commands []message.Event) []message.Effect {
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

func (n *Controller) emit(effect message.Effect) { n.out = append(n.out, effect) }

func (n *Controller) log(level message.LogLevel, text string, args ...any) {
	n.emit(message.Log{Level: level, Message: text, Args: args})
}

func (n *Controller) id() uint64 { n.nextID++; return n.nextID }

func (n *Controller) refuse(id uint64, why string) {
	n.emit(message.Reply{ID: id, Status: 503, Body: protocol.EncodeError(why), RetryAfterS: 1})
}

func (n *Controller) handle(c message.Event) {
	switch c := c.(type) {
	case message.UserRequest:
		n.user(c)
	case message.HeartbeatRequest:
		n.report(c)
	case message.StepDownRequest:
		n.askedToStepDown(c)
	case message.AdminRequest:
		n.admin(c)
	case message.StateResult:
		n.stateResult(c.StateResult)
	case message.CloudResult:
		if n.engine != nil {
			n.engine.cloudResult(c)
		}
	case message.CommandsResult:
		if n.engine != nil {
			n.engine.ordersResult(c)
		}
	case message.PeerResult:
		n.peerResult(c)
	case message.Tick:
	}
}

func (n *Controller) user(c message.UserRequest) {
	switch {
	case n.engine != nil && n.certain():
		n.engine.user(c)
	case n.engine == nil && n.otherLeader() != "":
		n.emit(message.Forward{ID: c.ID, Peer: n.otherLeader()})
	case n.engine == nil && n.mayDefer(c):
		n.deferCall(c)
	default:
		n.refuse(c.ID, "no leader")
	}
}

func (n *Controller) report(c message.HeartbeatRequest) {
	if n.engine != nil {
		n.engine.reportCall(c)
		return
	}
	n.emit(message.Reply{ID: c.ID, Status: 421, Body: protocol.EncodeRedirect(n.otherLeader())})
}

// otherLeader is the peer that is known to lead; empty: none is.
func (n *Controller) otherLeader() string {
	if n.term.leader == n.cfg.Node {
		return ""
	}
	return n.term.leader
}

// KnownLeader is who leads as far as is known, this node or another; empty: nobody.
func (n *Controller) KnownLeader() string {
	if n.Leads() {
		return n.cfg.Node
	}
	return n.otherLeader()
}

// Healthy tells whether the node can take requests: it leads with a certain
// term, or has lately heard of a leader and can hand them to it. Users of a node
// that cannot are better off at another.
func (n *Controller) Healthy() bool {
	if n.engine != nil {
		return true
	}
	if n.term.leader != "" {
		return n.now.Monotonic-n.pauses.Since(n.term.reached) <= n.rules.probeTimeout
	}
	return n.now.Monotonic-n.term.heard < n.rules.healthFor || n.now.Monotonic < n.rules.healthFor
}

// Role says what the node is doing.
func (n *Controller) Role() string {
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

// LeadershipView is what parts beside the node have to know of its term.
type LeadershipView struct {
	Term         int64         // the version that the leader's key had when this node began to lead; 0: it doesn't
	FencingToken int64         // the version now
	LeaseUntil   time.Duration // until when no other node can lead, by the steady clock
	Leader       string        // who leads, as far as is known; empty while this node does
}

// Leadership tells who leads.
func (n *Controller) Leadership() LeadershipView {
	if n.engine == nil {
		return LeadershipView{Leader: n.otherLeader()}
	}
	return LeadershipView{Term: n.term.led, FencingToken: n.term.own, LeaseUntil: n.term.until}
}

// Leads tells whether the node holds, or still answers for, a term.
func (n *Controller) Leads() bool { return n.engine != nil }
