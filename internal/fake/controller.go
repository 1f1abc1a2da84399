package fake

import (
	"fmt"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/controller"
	"oakpick/internal/message"
)

// Controller is a controller process of the simulated world.
type Controller struct {
	// Name and Index identify the controller among the world's controllers.
	Name  string
	Index int
	// Up reports whether the process is running.
	Up bool
	// PausedUntil is the time until which the process gets no CPU time.
	PausedUntil time.Duration
	// ClockOffset is added to the readings of the process's wall clock.
	ClockOffset time.Duration
	// RunsProductionVersion makes the process write stored values as the version in production
	// does (see World.RewriteAsProduction) and ignore announced limits. It takes effect at the
	// next start.
	RunsProductionVersion bool
	// Unhealthy makes the load balancer avoid the controller.
	Unhealthy bool
	// StallBefore returns how long the process pauses before it performs an effect; nil means no
	// pauses.
	StallBefore func(effect message.Effect) time.Duration

	world        *World
	impl         *controller.Controller
	startedAt    time.Duration
	drift        float64 // error of the rate of the monotonic clock, as a fraction
	incarnation  int
	asProduction bool // value of RunsProductionVersion at the last start

	lastRequestID uint64
	pending       map[uint64]pendingRequest
	forwarded     []*forwardedRequest // requests forwarded to other controllers
	knownLeader   string              // leader known after the last step
	remote        RemoteSend          // sends requests to a process outside the world; nil if the process is simulated
}

// pendingRequest is a request that has no reply yet.
type pendingRequest struct {
	request  message.Request
	reply    func(message.Reply)
	fromPeer bool // forwarded by another controller
}

// Start starts the process.
func (c *Controller) Start() {
	c.world.lastSeed++
	cfg := *c.world.Cfg
	cfg.Node, cfg.Peers = c.Name, nil
	c.asProduction = c.RunsProductionVersion
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
	c.impl = controller.New(&cfg, fmt.Sprintf("%s-%d", c.Name, c.incarnation), c.world.lastSeed)
}

// Crash kills the process.
func (c *Controller) Crash() { c.Up, c.impl = false, nil }

// Leads reports whether the controller is in the leader role.
func (c *Controller) Leads() bool { return c.Up && c.impl.Role() == "leader" }

// AnswersWorkers reports whether the controller answers workers: it leads, or its lease is
// uncertain.
func (c *Controller) AnswersWorkers() bool { return c.Up && c.impl.Leading() }

// Healthy reports whether the controller's health check succeeds.
func (c *Controller) Healthy() bool { return c.Up && c.impl.Healthy() }

// Stats returns the controller's counters.
func (c *Controller) Stats() message.Stats { return c.impl.Stats() }

// Controller returns the controller logic that the process runs, or nil if the process is down.
func (c *Controller) Controller() *controller.Controller { return c.impl }

// Incarnation returns the number of times the process has started.
func (c *Controller) Incarnation() int { return c.incarnation }

// MonotonicNow returns the reading of the process's monotonic clock.
func (c *Controller) MonotonicNow() time.Duration {
	return time.Duration(float64(c.world.Now-c.startedAt) * (1 + c.drift))
}

// paused reports whether the process gets no CPU time.
func (c *Controller) paused() bool { return c.world.Now < c.PausedUntil }

// whenResumed schedules a call for the end of the current pause.
func (c *Controller) whenResumed(call func()) { c.world.After(c.PausedUntil-c.world.Now, call) }

// Request sends a request to the controller. The reply function is called with the reply.
func (c *Controller) Request(request message.Request, reply func(message.Reply)) {
	c.receive(pendingRequest{request: request, reply: reply})
}

// PendingRequest returns the request with the given ID that has no reply yet, or nil.
func (c *Controller) PendingRequest(id uint64) message.Request { return c.pending[id].request }

// receive lets the controller handle a request, after the pause if the process is paused. A process
// that is down drops the request.
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
	c.lastRequestID++
	c.pending[c.lastRequestID] = pending
	c.step(pending.request.WithID(c.lastRequestID))
}

// Tick lets the controller handle everything that is due.
func (c *Controller) Tick() { c.step(message.Tick{}) }

// wallClockStart is the wall clock time at the start of the world. It is not zero, so that wall
// clock and monotonic times differ.
const wallClockStart = 1000 * time.Second

// step lets the controller handle an event, and performs the resulting effects. A process that is
// down or paused ignores the event.
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
