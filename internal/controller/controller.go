// Package controller is one controller: it decides who leads, what runs where, what is
// stopped, provisioned and released. All of it is one deterministic state machine: events and
// the time go in, effects come out. It does no input or output, reads no clock and starts no
// goroutine.
package controller

import (
	"time"

	"oakpick/internal/config"
	"oakpick/internal/election"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/step"
	"oakpick/internal/timing"
)

// Controller is one controller. It has one owner: none of its methods may run beside another.
type Controller struct {
	config   *config.Config
	timing   timing.Timing
	context  *step.Context
	calls    *step.StateCalls // to the state service
	elector  *election.Elector
	loader   *recordLoader // nil while no records are read
	leader   *leader       // nil while not leading
	deferred deferredRequests
	// limitsLowered is whether the state service has refused a value for its size: the limits
	// to come are in force.
	limitsLowered bool
}

// New returns a controller. The process's name and the seed must differ between processes.
func New(cfg *config.Config, process string, seed uint64) *Controller {
	c := &Controller{config: cfg, timing: timing.New(cfg)}
	c.context = step.NewContext(seed, c.timing.PauseThreshold)
	c.calls = step.NewStateCalls(c.context)
	c.elector = election.New(c.context, c.calls, c.timing.Election, cfg.Node, process, peerNames(cfg.Peers), c)
	return c
}

func peerNames(peers []config.Peer) []string {
	names := make([]string, len(peers))
	for i, p := range peers {
		names[i] = p.Name
	}
	return names
}

// Step takes a batch of events and returns what is to be done about them.
func (c *Controller) Step(now message.Now, events []message.Event) []message.Effect {
	c.context.Begin(now)
	c.notePause()
	if c.leader != nil && c.elector.HeartbeatGraceOver() {
		// The process was paused. What has come meanwhile must not be answered as if no time
		// had passed: a successor may have declared worker leases expired.
		c.elector.StepDown("the grace period for heartbeats is over")
	}
	for _, event := range events {
		c.handle(event)
	}
	c.elector.Tick()
	c.resumeDeferred()
	if c.leader != nil {
		c.leader.tick()
	}
	return c.context.Effects()
}

func (c *Controller) handle(event message.Event) {
	switch event := event.(type) {
	case message.UserRequest:
		c.handleUserRequest(event)
	case message.HeartbeatRequest:
		c.handleHeartbeat(event)
	case message.StepDownRequest:
		c.elector.HandleStepDownRequest(event)
	case message.AdminRequest:
		c.handleAdminRequest(event)
	case message.StateResult:
		c.calls.Handle(event.StateResult)
	case message.CloudResult:
		if c.leader != nil {
			c.leader.autoscaler.HandleCloudResult(event)
		}
	case message.CommandsResult:
		if c.leader != nil {
			c.leader.workers.HandleCommandsResult(event)
		}
	case message.PeerResult:
		c.handlePeerResult(event)
	case message.Tick:
	}
}

// handleUserRequest decides a request, or hands it to who can.
func (c *Controller) handleUserRequest(request message.UserRequest) {
	leader := c.elector.OtherLeader()
	switch {
	case c.leader != nil && c.elector.HoldsLease():
		c.leader.requests.handle(request)
	case c.leader == nil && leader != "":
		c.context.Emit(message.Forward{ID: request.ID, Peer: leader})
	case c.leader == nil && c.mayDefer(request):
		c.deferRequest(request)
	default:
		c.context.Refuse(request.ID, noLeader)
	}
}

// statusMisdirected is the status that redirects a worker to another controller.
const statusMisdirected = 421

// handleHeartbeat answers a worker, or redirects it to the leader.
func (c *Controller) handleHeartbeat(request message.HeartbeatRequest) {
	if c.leader != nil {
		c.leader.workers.HandleHeartbeat(request)
		return
	}
	c.context.Emit(message.Reply{ID: request.ID, Status: statusMisdirected, Body: protocol.EncodeRedirect(c.elector.OtherLeader())})
}

func (c *Controller) handlePeerResult(result message.PeerResult) {
	confirmed := c.elector.HandlePeerResult(result)
	if confirmed && c.leader != nil && result.ReadsArchive {
		c.leader.archive.AddReader(result.Peer)
	}
}

// TermAcquired begins to read the records of the term that was acquired.
func (c *Controller) TermAcquired() {
	c.loader = &recordLoader{controller: c}
	c.loader.readOn()
}

// SteppedDown drops what belongs to the term that is over.
func (c *Controller) SteppedDown() { c.loader, c.leader = nil, nil }

// TokenAdvanced has every worker hear of the new fencing token.
func (c *Controller) TokenAdvanced() { c.leader.state.QueueCommandsToAll() }

// lead begins to lead with the records that were read.
func (c *Controller) lead(entries []protocol.Entry, archiveExists bool) {
	c.loader = nil
	l, err := newLeader(c, entries)
	if err != nil {
		c.context.Log(message.Error, "records can't be read", "error", err.Error())
		c.elector.StepDown("the records can't be read")
		return
	}
	l.archive.SetNonEmpty(archiveExists)
	c.leader = l
	c.elector.BeginLeading()
}

// KnownLeader is who leads as far as is known, this node or another; empty: nobody.
func (c *Controller) KnownLeader() string {
	if c.Leads() {
		return c.config.Node
	}
	return c.elector.OtherLeader()
}

// Healthy reports whether the node can take requests: it leads, or has lately heard of a
// leader and can forward them to it. Users of a node that cannot are better off at another.
func (c *Controller) Healthy() bool {
	if c.leader != nil {
		return true
	}
	if c.elector.KnownLeader() != "" {
		return !c.elector.LeaderUnreachable()
	}
	now, limit := c.context.Monotonic(), c.timing.Election.HealthyWithout
	return now-c.calls.HeardAt() < limit || now < limit
}

// Role says what the node is doing, in the words of the administration API.
func (c *Controller) Role() string {
	switch {
	case c.leader != nil && c.elector.HoldsLease():
		return "leader"
	case c.leader != nil:
		return "leader in doubt"
	case c.loader != nil:
		return "taking over"
	}
	return "follower"
}

// Leadership tells who leads.
func (c *Controller) Leadership() election.View { return c.elector.View() }

// Leads reports whether the node holds, or still answers for, a term.
func (c *Controller) Leads() bool { return c.leader != nil }

// Stats are the counts since the process began.
func (c *Controller) Stats() message.Stats { return c.context.Stats }

// notePause finds out, at the beginning of a step, whether the process was paused. What it
// hasn't heard meanwhile says nothing of machines or peers: they count as silent from the end
// of the pause at the earliest, and the fleet is left as it is until whoever is there has had
// the time to report. Proofs that a task is gone don't depend on this: they count from the
// last answer that a worker can have had.
func (c *Controller) notePause() {
	paused := c.context.Pauses.Step(c.context.Monotonic())
	if paused == 0 {
		return
	}
	totals, stats := c.context.Pauses.Totals(), &c.context.Stats
	stats.Pauses, stats.PausedMs, stats.LongestPauseMs = totals.Count, totals.Sum.Milliseconds(), totals.Longest.Milliseconds()
	c.context.Log(message.Info, "process was paused", "for", paused.Round(time.Millisecond).String(), "role", c.Role(), "calls", c.callsInFlight())
	c.elector.BackOffAfterPause()
}

// callsInFlight is how many calls to other components have had no result yet.
func (c *Controller) callsInFlight() int {
	calls := c.calls.InFlight()
	if c.leader == nil {
		return calls
	}
	calls += c.leader.autoscaler.CallsInFlight()
	for _, machine := range c.leader.state.MachinesByName {
		if machine.Commands.CallID != 0 {
			calls++
		}
	}
	return calls
}
