package fake

import (
	"fmt"
	"slices"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/controller"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// pendingRequest is a request that waits for its reply.
type pendingRequest struct {
	request  message.Request
	reply    func(message.Reply)
	fromPeer bool
}

// forwardedRequest is a request that is with another node.
type forwardedRequest struct {
	pendingRequest
	peer     string
	finished bool
}

// Controller is a controller and its process.
type Controller struct {
	world       *World
	Name        string
	Index       int
	Up          bool
	impl        *controller.Controller
	startedAt   time.Duration
	drift       float64
	incarnation int
	nextID      uint64
	pending     map[uint64]pendingRequest
	// Requests that are with other nodes, and who was last known to lead.
	forwarded   []*forwardedRequest
	knownLeader string
	// Paused until then: the process has no processor time.
	PausedUntil time.Duration
	// ClockOffset is how far its time of day is ahead.
	ClockOffset time.Duration
	// RunsProduction makes it run as the version in production would, as far as that shows in
	// what it stores: see World.Production. It counts from the next start.
	RunsProduction bool
	asProduction   bool
	// Unhealthy keeps the load balancer from it.
	Unhealthy bool
	// StallBefore tells for how long the process stands still before it carries an effect out;
	// nil: never.
	StallBefore func(effect message.Effect) time.Duration
	// remote carries requests to the process, if it runs outside the world.
	remote RemoteSend
}

// Start starts a node's process.
func (n *Controller) Start() {
	n.world.seeds++
	cfg := *n.world.Cfg
	cfg.Node, cfg.Peers = n.Name, nil
	if n.asProduction = n.RunsProduction; n.asProduction {
		cfg.Settings.State.Next = nil
	}
	for _, p := range n.world.Controllers {
		if p != n {
			cfg.Peers = append(cfg.Peers, config.Peer{Name: p.Name})
		}
	}
	n.Up, n.startedAt, n.pending = true, n.world.Now, map[uint64]pendingRequest{}
	n.forwarded, n.knownLeader = nil, ""
	n.incarnation++
	n.impl = controller.New(&cfg, fmt.Sprintf("%s-%d", n.Name, n.incarnation), n.world.seeds)
}

// Crash kills a node's process.
func (n *Controller) Crash() { n.Up, n.impl = false, nil }

// Leads tells whether the node believes that it leads.
func (n *Controller) Leads() bool { return n.Up && n.impl.Role() == "leader" }

// AnswersWorkers tells whether the node leads, or is in doubt and still answers workers.
func (n *Controller) AnswersWorkers() bool { return n.Up && n.impl.Leads() }

// Healthy is what the node tells the load balancer.
func (n *Controller) Healthy() bool { return n.Up && n.impl.Healthy() }

// Stats are the process's counts.
func (n *Controller) Stats() message.Stats { return n.impl.Stats }

func (n *Controller) receive(request message.Request, reply func(message.Reply)) {
	n.decide(pendingRequest{request: request, reply: reply})
}

// decide has a request decided.
func (n *Controller) decide(a pendingRequest) {
	if n.remote != nil {
		n.remote(a.request, a.reply)
		return
	}
	if !n.Up {
		return
	}
	if n.world.Now < n.PausedUntil {
		life := n.incarnation
		n.world.After(n.PausedUntil-n.world.Now, func() {
			if n.incarnation == life {
				n.decide(a)
			}
		})
		return
	}
	n.nextID++
	n.pending[n.nextID] = a
	n.step(a.request.WithID(n.nextID))
}

func (n *Controller) step(command message.Event) {
	if !n.Up || n.world.Now < n.PausedUntil {
		return
	}
	now := message.Now{Monotonic: n.MonotonicNow(), WallMs: (n.world.Now + n.ClockOffset).Milliseconds() + 1_000_000}
	effects := n.impl.Step(now, []message.Event{command})
	if n.world.OnEffect != nil {
		for _, e := range effects {
			n.world.OnEffect(n.Name, e)
		}
	}
	n.performAll(effects)
	n.redirectForwarded()
}

// performAll performs effects, unless the process stands still before one of them: then the
// rest is late.
func (n *Controller) performAll(effects []message.Effect) {
	life := n.incarnation
	for i, e := range effects {
		stall := time.Duration(0)
		if n.StallBefore != nil {
			stall = n.StallBefore(e)
		}
		if stall > 0 {
			n.PausedUntil = n.world.Now + stall
			n.world.After(stall, func() {
				if n.Up && n.incarnation == life {
					n.perform(e)
					n.performAll(effects[i+1:])
				}
			})
			return
		}
		n.perform(e)
	}
}

// expired tells whether the time is over within which an effect may be carried out, as the
// daemon does.
func (n *Controller) expired(until time.Duration) bool { return until > 0 && n.MonotonicNow() >= until }

// redirectForwarded has requests that are with a former leader put to the one that leads now.
func (n *Controller) redirectForwarded() {
	if !n.Up {
		return
	}
	leader := n.impl.KnownLeader()
	if leader == "" || leader == n.knownLeader {
		return
	}
	n.knownLeader = leader
	former := n.forwarded
	n.forwarded = nil
	for _, f := range former {
		if f.finished || f.peer == leader {
			continue
		}
		f.finished = true
		n.world.After(0, func() { n.decide(f.pendingRequest) })
	}
}

// call has a request executed and its result brought back, as the network will.
func (n *Controller) call(kind, to string, wait time.Duration, execute func() (message.Event, bool), lost message.Event) {
	life := n.incarnation
	exchange(n, kind, to, wait, execute, lost, func(r message.Event) { n.deliverResult(r, life) })
}

// exchange does the same for any part of the process.
func exchange[R any](n *Controller, kind, to string, wait time.Duration, execute func() (R, bool), lost R, done func(R)) {
	w, life := n.world, n.incarnation
	f := w.deliveryOf(kind, n.Name, to)
	over := false
	finish := func(r R) {
		if !over && n.Up && n.incarnation == life {
			over = true
			done(r)
		}
	}
	w.After(wait, func() { finish(lost) })
	if f.DuplicateAfter > 0 {
		w.After(f.DuplicateAfter, func() { execute() })
	}
	if f.LoseRequest {
		return
	}
	w.After(f.RequestDelay, func() {
		r, answered := execute()
		if answered && !f.LoseResponse {
			w.After(f.ResponseDelay, func() { finish(r) })
		}
	})
}

// CallState carries a request of a part of the process beside coordination to the state
// service; kind tells it apart to the network.
func (n *Controller) CallState(kind string, c storage.StateCall, done func(storage.StateResult)) {
	exchange(n, kind, "state", sec(n.world.Cfg.Settings.Workers.HeartbeatIntervalS)/2,
		func() (storage.StateResult, bool) { return n.world.State.execute(n.Name, n.asProduction, c), true },
		storage.StateResult{ID: c.ID, Outcome: rpc.Unknown}, done)
}

// Incarnation counts the starts of the node's process.
func (n *Controller) Incarnation() int { return n.incarnation }

// MonotonicNow is the process's steady clock.
func (n *Controller) MonotonicNow() time.Duration {
	return time.Duration(float64(n.world.Now-n.startedAt) * (1 + n.drift))
}

// returnResult brings a result to the process at once.
func (n *Controller) returnResult(r message.Event) {
	life := n.incarnation
	n.world.After(0, func() { n.deliverResult(r, life) })
}

// deliverResult brings a result to the process, once it has processor time.
func (n *Controller) deliverResult(r message.Event, life int) {
	if !n.Up || n.incarnation != life {
		return
	}
	if n.world.Now < n.PausedUntil {
		n.world.After(n.PausedUntil-n.world.Now, func() { n.deliverResult(r, life) })
		return
	}
	n.step(r)
}

func (n *Controller) perform(effect message.Effect) {
	w := n.world
	report := sec(w.Cfg.Settings.Workers.HeartbeatIntervalS)
	switch e := effect.(type) {
	case message.Reply:
		if a, ok := n.pending[e.ID]; ok {
			delete(n.pending, e.ID)
			a.reply(e)
		}
	case message.Forward:
		n.forward(e)
	case message.StateCall:
		if n.asProduction {
			e.Txn = w.rewriteAsProduction(e.Txn)
		}
		old := n.asProduction // a late request is still the old process's
		kind := "state"
		if len(e.Txn.Then) > 0 && e.Txn.Then[0].Put != controller.LeaderKey && w.SeparateWrites {
			kind = "write"
		}
		n.call(kind, "state", report/2, func() (message.Event, bool) {
			return message.StateResult{StateResult: w.State.execute(n.Name, old, e.StateCall)}, true
		},
			message.StateResult{StateResult: storage.StateResult{ID: e.ID, Outcome: rpc.Unknown}})
	case message.CloudCall:
		if n.expired(e.NotAfter) {
			n.returnResult(message.CloudResult{ID: e.ID, Outcome: rpc.NotSent})
			return
		}
		n.call("cloud", "cloud", report, func() (message.Event, bool) { return w.Cloud.execute(e), true },
			message.CloudResult{ID: e.ID, Outcome: rpc.Unknown})
	case message.CommandsCall:
		if n.expired(e.NotAfter) {
			n.returnResult(message.CommandsResult{ID: e.ID, Machine: e.Machine, Outcome: rpc.NotSent})
			return
		}
		for _, c := range e.Commands {
			if j := w.Jobs[c.Attempt.Job]; c.Verb == protocol.Start && j != nil && j.Cancelled {
				w.violation("started_cancelled", "%s sends a start of %s, which its user was told is cancelled", n.Name, c.Attempt.Job)
			}
		}
		n.call("orders", e.Machine, report*3/4, func() (message.Event, bool) {
			return w.command(e)
		}, message.CommandsResult{ID: e.ID, Machine: e.Machine, Outcome: rpc.Unknown})
	case message.PeerCall:
		n.callPeer(e)
	case message.Log:
		w.Log = append(w.Log, fmt.Sprintf("%8.2f %s %s %v", w.Now.Seconds(), n.Name, e.Message, e.Args))
	}
}

// forward hands a request to another node, and its reply back.
func (n *Controller) forward(e message.Forward) {
	w := n.world
	a, ok := n.pending[e.ID]
	if !ok {
		w.violation("forward", "%s hands on what is no request", n.Name)
		return
	}
	delete(n.pending, e.ID)
	p := w.controllerNamed(e.Peer)
	if p == nil {
		return
	}
	if a.fromPeer { // as the daemon does: it could go round in circles
		a.reply(message.Reply{Status: 503, RetryAfterS: 1})
		return
	}
	f := &forwardedRequest{pendingRequest: a, peer: p.Name}
	n.forwarded = append(slices.DeleteFunc(n.forwarded, func(x *forwardedRequest) bool { return x.finished }), f)
	fate := w.deliveryOf("forward", n.Name, p.Name)
	if fate.LoseRequest {
		return
	}
	w.After(fate.RequestDelay, func() {
		p.decide(pendingRequest{request: a.request, fromPeer: true, reply: func(r message.Reply) {
			if fate.LoseResponse {
				return
			}
			w.After(fate.ResponseDelay, func() {
				if !f.finished {
					f.finished = true
					a.reply(r)
				}
			})
		}})
	})
}

// callPeer asks a peer, and brings its answer to the process.
func (n *Controller) callPeer(e message.PeerCall) {
	w, life := n.world, n.incarnation
	p := w.controllerNamed(e.Peer)
	if p == nil {
		return
	}
	f := w.deliveryOf("peer", n.Name, p.Name)
	if f.LoseRequest || !p.Up {
		return
	}
	w.After(f.RequestDelay, func() {
		p.receive(message.StepDownRequest{Term: e.Term, Leader: n.Name, AsksArchive: e.AsksArchive && !p.asProduction}, func(r message.Reply) {
			var a protocol.StepDownResponse
			if f.LoseResponse || r.Status != 200 || protocol.Decode(r.Body, &a) != nil {
				return
			}
			w.After(f.ResponseDelay, func() {
				n.deliverResult(message.PeerResult{PeerCall: e, StepDownResponse: a}, life)
			})
		})
	})
}

// Request hands a node a request, and its reply to a function.
func (n *Controller) Request(request message.Request, reply func(message.Reply)) {
	n.receive(request, reply)
}

// Tick lets the node look at what time calls for.
func (n *Controller) Tick() { n.step(message.Tick{}) }

// Controller is what decides in the node's process; nil while it doesn't run.
func (n *Controller) Controller() *controller.Controller { return n.impl }
