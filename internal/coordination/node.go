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

// Controller is one controller.
type Controller struct {
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
	JobsSubmitted     int64 `json:"submitted"`
	JobsPolled        int64 `json:"polled"`
	JobsCancelled     int64 `json:"cancelled"`
	Heartbeats        int64 `json:"reports"`
	StaleHeartbeats   int64 `json:"stale_reports"`
	TasksStarted      int64 `json:"starts"`
	TasksLost         int64 `json:"tasks_lost"`
	TasksFinished     int64 `json:"tasks_finished"`
	TasksPreempted    int64 `json:"tasks_preempted"`
	ReplicasMoved     int64 `json:"replicas_moved"`
	TasksFailed       int64 `json:"tasks_failed"`
	TokensAdvanced    int64 `json:"tokens_raised"`
	TermsTaken        int64 `json:"terms_taken"`
	MachinesScaledOut int64 `json:"machines_rented"`
	MachinesScaledIn  int64 `json:"machines_returned"`
	Writes            int64 `json:"writes"`
	WritesRetried     int64 `json:"writes_retried"`
	MachinesExamined  int64 `json:"machines_looked_at"`
	JobsExamined      int64 `json:"jobs_looked_at"`
	// Pauses are the times that the process stood still, see pauses.go.
	Pauses         int64 `json:"pauses"`
	PausedMs       int64 `json:"paused_ms"`
	LongestPauseMs int64 `json:"longest_pause_ms"`
	// RequestsDeferred are requests that waited for a leader to be known.
	RequestsDeferred int64 `json:"requests_deferred"`
}

// New makes a node. The seed and the boot name must differ between processes.
func New(cfg *config.Config, boot string, seed uint64) *Controller {
	n := &Controller{cfg: cfg, boot: boot, rng: rand.New(rand.NewPCG(seed, 0x6f616b)), rules: NewRules(cfg)}
	n.pauses.Threshold = n.rules.pause
	return n
}

// Step takes a batch of commands and gives what is to be done about them.
func (n *Controller) Step(now Now, commands []Event) []Effect {
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

func (n *Controller) emit(effect Effect) { n.out = append(n.out, effect) }

func (n *Controller) log(level LogLevel, text string, args ...any) {
	n.emit(Log{Level: level, Message: text, Args: args})
}

func (n *Controller) id() uint64 { n.nextID++; return n.nextID }

func (n *Controller) refuse(id uint64, why string) {
	n.emit(Reply{ID: id, Status: 503, Body: protocol.EncodeError(why), RetryAfterS: 1})
}

func (n *Controller) handle(c Event) {
	switch c := c.(type) {
	case UserRequest:
		n.user(c)
	case HeartbeatRequest:
		n.report(c)
	case StepDownRequest:
		n.askedToStepDown(c)
	case AdminRequest:
		n.admin(c)
	case StateResult:
		n.stateResult(c.StateResult)
	case CloudResult:
		if n.engine != nil {
			n.engine.cloudResult(c)
		}
	case CommandsResult:
		if n.engine != nil {
			n.engine.ordersResult(c)
		}
	case PeerResult:
		n.peerResult(c)
	case Tick:
	}
}

func (n *Controller) user(c UserRequest) {
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

func (n *Controller) report(c HeartbeatRequest) {
	if n.engine != nil {
		n.engine.reportCall(c)
		return
	}
	n.emit(Reply{ID: c.ID, Status: 421, Body: protocol.EncodeRedirect(n.otherLeader())})
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
