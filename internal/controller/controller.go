// Package controller implements one controller of the scheduler. It takes part in leader election
// and, while it leads, places and stops tasks and provisions and releases machines. The controller
// is a deterministic state machine: it receives events and the time, and returns effects. It does
// no input or output, reads no clock and starts no goroutine.
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

// Controller is the state machine of one controller. It is not safe for concurrent use.
type Controller struct {
	config   *config.Config
	timing   timing.Timing
	context  *step.Context
	calls    *step.StateCalls // to the state service
	elector  *election.Elector
	loader   *recordLoader // nil unless records are being loaded
	leader   *leader       // nil unless leading
	deferred deferredRequests
	// machineTypes are the types that this node knew last, as the leader or from the leader. A new leader
	// begins with them, so that it can place tasks while the cloud doesn't answer.
	machineTypes []protocol.MachineType
	// limitsLowered is set once the state service has rejected a value for its size, which means
	// that the upcoming limits are in force.
	limitsLowered bool
}

// New returns a controller. The process identifier and the seed must differ between processes.
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

// Step processes a batch of events and returns the resulting effects.
func (c *Controller) Step(now message.Now, events []message.Event) []message.Effect {
	c.context.Begin(now)
	c.recordPause()
	if c.leader != nil && c.elector.HeartbeatGraceExpired() {
		// The process may have been paused. Events that arrived meanwhile must not be answered,
		// because a new leader may have declared worker leases expired.
		c.elector.StepDown("heartbeat grace period has expired")
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
		c.elector.HandleStepDownRequest(event, c.knownTypes())
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

// handleUserRequest handles a request as the leader, forwards it to the leader, defers it or refuses it.
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
		c.context.Refuse(request.ID, reasonNoLeader)
	}
}

// statusMisdirected is the HTTP status that redirects a worker to another controller.
const statusMisdirected = 421

// handleHeartbeat answers a worker's heartbeat, or redirects the worker to the leader.
func (c *Controller) handleHeartbeat(request message.HeartbeatRequest) {
	if c.leader != nil {
		c.leader.workers.HandleHeartbeat(request)
		return
	}
	c.context.Emit(message.Reply{ID: request.ID, Status: statusMisdirected, Body: protocol.EncodeRedirect(c.elector.OtherLeader())})
}

func (c *Controller) handlePeerResult(result message.PeerResult) {
	confirmed := c.elector.HandlePeerResult(result)
	if c.leader == nil && len(result.MachineTypes) > 0 {
		c.machineTypes = result.MachineTypes
	}
	if confirmed && c.leader != nil && result.ReadsArchive {
		c.leader.archive.AddReader(result.Peer)
	}
}

// TermAcquired starts loading the stored records for the new term.
func (c *Controller) TermAcquired() {
	c.loader = &recordLoader{controller: c}
	c.loader.sendNextRequest()
}

// SteppedDown discards the state of the term that has ended, except for the machine types.
func (c *Controller) SteppedDown() {
	c.machineTypes = c.knownTypes()
	c.loader, c.leader = nil, nil
}

// knownTypes returns the machine types that this node knows.
func (c *Controller) knownTypes() []protocol.MachineType {
	if c.leader != nil && c.leader.autoscaler.KnowsTypes() {
		return c.leader.state.Catalog.Types
	}
	return c.machineTypes
}

// TokenAdvanced queues commands to all workers so that each learns the new fencing token.
func (c *Controller) TokenAdvanced() { c.leader.state.QueueCommandsToAll() }

// startLeading builds the leader from the loaded records and starts leading.
func (c *Controller) startLeading(entries []protocol.Entry, archiveExists bool) {
	c.loader = nil
	l, err := newLeader(c, entries)
	if err != nil {
		c.context.Log(message.Error, "cannot load the stored records", "error", err.Error())
		c.elector.StepDown("stored records could not be loaded")
		return
	}
	l.archive.SetNonEmpty(archiveExists)
	c.leader = l
	c.elector.BeginLeading()
}

// KnownLeader returns the name of the leader, which may be this node, or an empty string if no leader is known.
func (c *Controller) KnownLeader() string {
	if c.Leading() {
		return c.config.Node
	}
	return c.elector.OtherLeader()
}

// Healthy reports whether the node can take requests: it leads, or it has recently been in contact
// with a leader to which it can forward them. Load balancers should send users of an unhealthy
// node to another one.
func (c *Controller) Healthy() bool {
	if c.leader != nil {
		return true
	}
	if c.elector.KnownLeader() != "" {
		return !c.elector.LeaderUnreachable()
	}
	now, limit := c.context.Monotonic(), c.timing.Election.HealthyWithoutLeader
	return now-c.calls.LastResponseAt() < limit || now < limit
}

// Role returns the role of the node as reported by the administration API.
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

// Leadership returns the current election state.
func (c *Controller) Leadership() election.View { return c.elector.Leadership() }

// Leading reports whether the node leads a term. It stays true while the lease may have expired.
func (c *Controller) Leading() bool { return c.leader != nil }

// Stats returns the counts since the start of the process.
func (c *Controller) Stats() message.Stats { return c.context.Stats }

// recordPause records whether the process was paused before the step. Since no message could be
// received during a pause, the silence of machines and peers counts from its end at the earliest,
// and the fleet is left unchanged until live machines have had time to report. Proofs that a task
// has stopped are not affected, because they count from the last answer that a worker can have
// received.
func (c *Controller) recordPause() {
	paused := c.context.Pauses.Step(c.context.Monotonic())
	if paused == 0 {
		return
	}
	totals, stats := c.context.Pauses.Totals(), &c.context.Stats
	stats.Pauses, stats.PausedMs, stats.LongestPauseMs = totals.Count, totals.Sum.Milliseconds(), totals.Longest.Milliseconds()
	c.context.Log(message.Info, "process was paused", "for", paused.Round(time.Millisecond).String(), "role", c.Role(), "calls", c.callsInFlight())
	c.elector.BackOffAfterProcessPause()
}

// callsInFlight returns the number of calls to other components whose results are outstanding.
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
