package fake

import (
	"fmt"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/controller"
	"oakpick/internal/message"
)

// Controller is a controller and its process.
type Controller struct {
	// Name and Index say which of the world's controllers it is.
	Name  string
	Index int
	// Up tells whether the process runs.
	Up bool
	// PausedUntil is when the process gets processor time again.
	PausedUntil time.Duration
	// ClockOffset is how far its time of day is ahead.
	ClockOffset time.Duration
	// RunsProduction makes it run as the version in production would, as far as that shows in
	// what it stores: see World.RewriteAsProduction. It counts from the next start.
	RunsProduction bool
	// Unhealthy keeps the load balancer from it.
	Unhealthy bool
	// StallBefore tells for how long the process is paused before it performs an effect;
	// nil: never.
	StallBefore func(effect message.Effect) time.Duration

	world        *World
	impl         *controller.Controller
	startedAt    time.Duration
	drift        float64 // of its monotonic clock, as a part of the time that passes
	incarnation  int
	asProduction bool // RunsProduction at the last start

	nextID      uint64
	pending     map[uint64]pendingRequest
	forwarded   []*forwardedRequest // the requests that are with other controllers
	knownLeader string              // as of the last step
	remote      RemoteSend          // carries requests to a process outside the world; nil: it runs inside
}

// pendingRequest is a request that waits for its reply.
type pendingRequest struct {
	request  message.Request
	reply    func(message.Reply)
	fromPeer bool
}

// Start starts the process.
func (c *Controller) Start() {
	c.world.seeds++
	cfg := *c.world.Cfg
	cfg.Node, cfg.Peers = c.Name, nil
	c.asProduction = c.RunsProduction
	if c.asProduction {
		cfg.Settings.State.Next = nil
	}
	for _, peer := range c.world.Controllers {
		if peer != c {
			cfg.Peers = append(cfg.Peers, config.Peer{Name: peer.Name})
		}
	}
	c.Up, c.startedAt, c.pending = true, c.world.Now, map[uint64]pendingRequest{}
	c.forwarded, c.knownLeader = nil, ""
	c.incarnation++
	c.impl = controller.New(&cfg, fmt.Sprintf("%s-%d", c.Name, c.incarnation), c.world.seeds)
}

// Crash kills the process.
func (c *Controller) Crash() { c.Up, c.impl = false, nil }

// Leads tells whether the controller believes that it leads.
func (c *Controller) Leads() bool { return c.Up && c.impl.Role() == "leader" }

// AnswersWorkers tells whether the controller leads, or its lease is uncertain and it still
// answers workers.
func (c *Controller) AnswersWorkers() bool { return c.Up && c.impl.Leading() }

// Healthy is what the controller tells the load balancer.
func (c *Controller) Healthy() bool { return c.Up && c.impl.Healthy() }

// Stats are the process's counts.
func (c *Controller) Stats() message.Stats { return c.impl.Stats() }

// Controller is the logic that the process runs; nil while it doesn't run.
func (c *Controller) Controller() *controller.Controller { return c.impl }

// Incarnation counts the starts of the process.
func (c *Controller) Incarnation() int { return c.incarnation }

// MonotonicNow is the reading of the process's monotonic clock.
func (c *Controller) MonotonicNow() time.Duration {
	return time.Duration(float64(c.world.Now-c.startedAt) * (1 + c.drift))
}

// paused tells whether the process has no processor time.
func (c *Controller) paused() bool { return c.world.Now < c.PausedUntil }

// whenResumed calls a function when the pause is over that the process is in.
func (c *Controller) whenResumed(call func()) { c.world.After(c.PausedUntil-c.world.Now, call) }

// Request gives the controller a request, and its reply to a function.
func (c *Controller) Request(request message.Request, reply func(message.Reply)) {
	c.receive(pendingRequest{request: request, reply: reply})
}

// PendingRequest is a request that waits for its reply; nil: there is none with this ID.
func (c *Controller) PendingRequest(id uint64) message.Request { return c.pending[id].request }

// receive has a request decided, once the process has processor time.
func (c *Controller) receive(pending pendingRequest) {
	if c.remote != nil {
		c.remote(pending.request, pending.reply)
		return
	}
	if !c.Up {
		return
	}
	if c.paused() {
		incarnation := c.incarnation
		c.whenResumed(func() {
			if c.incarnation == incarnation {
				c.receive(pending)
			}
		})
		return
	}
	c.nextID++
	c.pending[c.nextID] = pending
	c.step(pending.request.WithID(c.nextID))
}

// Tick has the controller handle what has become due.
func (c *Controller) Tick() { c.step(message.Tick{}) }

// wallClockStart is what the time of day is at the start of the world, so that it differs
// from the monotonic clocks.
const wallClockStart = 1000 * time.Second

// step has the controller handle an event, and performs the effects.
func (c *Controller) step(event message.Event) {
	if !c.Up || c.paused() {
		return
	}
	now := message.Now{
		Monotonic: c.MonotonicNow(),
		WallMs:    (c.world.Now + c.ClockOffset).Milliseconds() + wallClockStart.Milliseconds(),
	}
	effects := c.impl.Step(now, []message.Event{event})
	if c.world.OnStep != nil {
		c.world.OnStep(c, effects)
	}
	if c.world.OnEffect != nil {
		for _, effect := range effects {
			c.world.OnEffect(c.Name, effect)
		}
	}
	c.performAll(effects)
	c.redirectForwarded()
}
