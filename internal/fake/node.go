package fake

import (
	"fmt"
	"slices"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/controller"
	"oakpick/internal/election"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// asked is a request that waits for its reply.
type asked struct {
	request  message.Request
	reply    func(message.Reply)
	fromPeer bool
}

// forwarded is a request that is with another node.
type forwarded struct {
	asked
	peer string
	over bool
}

// Controller is a controller and its process.
type Controller struct {
	w      *World
	Name   string
	Index  int
	Up     bool
	node   *controller.Controller
	began  time.Duration
	drift  float64
	life   int
	nextID uint64
	asked  map[uint64]asked
	// Requests that are with other nodes, and who was last known to lead.
	forwarded []*forwarded
	leader    string
	// Paused until then: the process has no processor time.
	PausedUntil time.Duration
	// ClockOffset is how far its time of day is ahead.
	ClockOffset time.Duration
	// RunsProduction makes it run as the version in production would, as far as that shows in
	// what it stores: see World.Production. It counts from the next start.
	RunsProduction bool
	old            bool
	// Unhealthy keeps the load balancer from it.
	Unhealthy bool
	// Stall tells for how long the process stands still before it carries an effect out;
	// nil: never.
	Stall func(effect message.Effect) time.Duration
	// remote carries requests to the process, if it runs outside the world.
	remote RemoteSend
}

// Start starts a node's process.
func (n *Controller) Start() {
	n.w.seeds++
	cfg := *n.w.Cfg
	cfg.Node, cfg.Peers = n.Name, nil
	if n.old = n.RunsProduction; n.old {
		cfg.Settings.State.Next = nil
	}
	for _, p := range n.w.Controllers {
		if p != n {
			cfg.Peers = append(cfg.Peers, config.Peer{Name: p.Name})
		}
	}
	n.Up, n.began, n.asked = true, n.w.Now, map[uint64]asked{}
	n.forwarded, n.leader = nil, ""
	n.life++
	n.node = controller.New(&cfg, fmt.Sprintf("%s-%d", n.Name, n.life), n.w.seeds)
}

// Crash kills a node's process.
func (n *Controller) Crash() { n.Up, n.node = false, nil }

// Leads tells whether the node believes that it leads.
func (n *Controller) Leads() bool { return n.Up && n.node.Role() == "leader" }

// Holds tells whether the node leads, or is in doubt and still answers workers.
func (n *Controller) Holds() bool { return n.Up && n.node.Leads() }

// Healthy is what the node tells the load balancer.
func (n *Controller) Healthy() bool { return n.Up && n.node.Healthy() }

// Stats are the process's counts.
func (n *Controller) Stats() message.Stats { return n.node.Stats() }

func (n *Controller) deliver(request message.Request, reply func(message.Reply)) {
	n.take(asked{request: request, reply: reply})
}

// take has a request decided.
func (n *Controller) take(a asked) {
	if n.remote != nil {
		n.remote(a.request, a.reply)
		return
	}
	if !n.Up {
		return
	}
	if n.w.Now < n.PausedUntil {
		life := n.life
		n.w.After(n.PausedUntil-n.w.Now, func() {
			if n.life == life {
				n.take(a)
			}
		})
		return
	}
	n.nextID++
	n.asked[n.nextID] = a
	n.step(a.request.WithID(n.nextID))
}

func (n *Controller) step(command message.Event) {
	if !n.Up || n.w.Now < n.PausedUntil {
		return
	}
	now := message.Now{Monotonic: n.Steady(), WallMs: (n.w.Now + n.ClockOffset).Milliseconds() + 1_000_000}
	effects := n.node.Step(now, []message.Event{command})
	if n.w.OnEffect != nil {
		for _, e := range effects {
			n.w.OnEffect(n.Name, e)
		}
	}
	n.carryOut(effects)
	n.noteLeader()
}

// carryOut performs effects, unless the process stands still before one of them: then the
// rest is late.
func (n *Controller) carryOut(effects []message.Effect) {
	life := n.life
	for i, e := range effects {
		stall := time.Duration(0)
		if n.Stall != nil {
			stall = n.Stall(e)
		}
		if stall > 0 {
			n.PausedUntil = n.w.Now + stall
			n.w.After(stall, func() {
				if n.Up && n.life == life {
					n.perform(e)
					n.carryOut(effects[i+1:])
				}
			})
			return
		}
		n.perform(e)
	}
}

// tooLate tells whether the time is over within which an effect may be carried out, as the
// daemon does.
func (n *Controller) tooLate(until time.Duration) bool { return until > 0 && n.Steady() >= until }

// noteLeader has requests that are with a former leader put to the one that leads now.
func (n *Controller) noteLeader() {
	if !n.Up {
		return
	}
	leader := n.node.KnownLeader()
	if leader == "" || leader == n.leader {
		return
	}
	n.leader = leader
	former := n.forwarded
	n.forwarded = nil
	for _, f := range former {
		if f.over || f.peer == leader {
			continue
		}
		f.over = true
		n.w.After(0, func() { n.take(f.asked) })
	}
}

// call has a request executed and its result brought back, as the network will.
func (n *Controller) call(kind, to string, wait time.Duration, execute func() (message.Event, bool), lost message.Event) {
	life := n.life
	exchange(n, kind, to, wait, execute, lost, func(r message.Event) { n.back(r, life) })
}

// exchange does the same for any part of the process.
func exchange[R any](n *Controller, kind, to string, wait time.Duration, execute func() (R, bool), lost R, done func(R)) {
	w, life := n.w, n.life
	f := w.fate(kind, n.Name, to)
	over := false
	finish := func(r R) {
		if !over && n.Up && n.life == life {
			over = true
			done(r)
		}
	}
	w.After(wait, func() { finish(lost) })
	if f.Copy > 0 {
		w.After(f.Copy, func() { execute() })
	}
	if f.LoseRequest {
		return
	}
	w.After(f.Request, func() {
		r, answered := execute()
		if answered && !f.LoseAnswer {
			w.After(f.Answer, func() { finish(r) })
		}
	})
}

// AskState carries a request of a part of the process beside coordination to the state
// service; kind tells it apart to the network.
func (n *Controller) AskState(kind string, c storage.StateCall, done func(storage.StateResult)) {
	exchange(n, kind, "state", sec(n.w.Cfg.Settings.Workers.HeartbeatIntervalS)/2,
		func() (storage.StateResult, bool) { return n.w.State.execute(n.Name, n.old, c), true },
		storage.StateResult{ID: c.ID, Outcome: rpc.Unknown}, done)
}

// Life counts the starts of the node's process.
func (n *Controller) Life() int { return n.life }

// Steady is the process's steady clock.
func (n *Controller) Steady() time.Duration {
	return time.Duration(float64(n.w.Now-n.began) * (1 + n.drift))
}

// answer brings a result to the process at once.
func (n *Controller) answer(r message.Event) {
	life := n.life
	n.w.After(0, func() { n.back(r, life) })
}

// back brings a result to the process, once it has processor time.
func (n *Controller) back(r message.Event, life int) {
	if !n.Up || n.life != life {
		return
	}
	if n.w.Now < n.PausedUntil {
		n.w.After(n.PausedUntil-n.w.Now, func() { n.back(r, life) })
		return
	}
	n.step(r)
}

func (n *Controller) perform(effect message.Effect) {
	w := n.w
	report := sec(w.Cfg.Settings.Workers.HeartbeatIntervalS)
	switch e := effect.(type) {
	case message.Reply:
		if a, ok := n.asked[e.ID]; ok {
			delete(n.asked, e.ID)
			a.reply(e)
		}
	case message.Forward:
		n.forward(e)
	case message.StateCall:
		if n.old {
			e.Txn = w.asProduction(e.Txn)
		}
		old := n.old // a late request is still the old process's
		kind := "state"
		if len(e.Txn.Then) > 0 && e.Txn.Then[0].Put != election.LeaderKey && w.SeparateWrites {
			kind = "write"
		}
		n.call(kind, "state", report/2, func() (message.Event, bool) {
			return message.StateResult{StateResult: w.State.execute(n.Name, old, e.StateCall)}, true
		},
			message.StateResult{StateResult: storage.StateResult{ID: e.ID, Outcome: rpc.Unknown}})
	case message.CloudCall:
		if n.tooLate(e.NotAfter) {
			n.answer(message.CloudResult{ID: e.ID, Outcome: rpc.NotSent})
			return
		}
		n.call("cloud", "cloud", report, func() (message.Event, bool) { return w.Cloud.execute(e), true },
			message.CloudResult{ID: e.ID, Outcome: rpc.Unknown})
	case message.CommandsCall:
		if n.tooLate(e.NotAfter) {
			n.answer(message.CommandsResult{ID: e.ID, Machine: e.Machine, Outcome: rpc.NotSent})
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
		n.ask(e)
	case message.Log:
		w.Log = append(w.Log, fmt.Sprintf("%8.2f %s %s %v", w.Now.Seconds(), n.Name, e.Message, e.Args))
	}
}

// forward hands a request to another node, and its reply back.
func (n *Controller) forward(e message.Forward) {
	w := n.w
	a, ok := n.asked[e.ID]
	if !ok {
		w.violation("forward", "%s hands on what is no request", n.Name)
		return
	}
	delete(n.asked, e.ID)
	p := w.node(e.Peer)
	if p == nil {
		return
	}
	if a.fromPeer { // as the daemon does: it could go round in circles
		a.reply(message.Reply{Status: 503, RetryAfterS: 1})
		return
	}
	f := &forwarded{asked: a, peer: p.Name}
	n.forwarded = append(slices.DeleteFunc(n.forwarded, func(x *forwarded) bool { return x.over }), f)
	fate := w.fate("forward", n.Name, p.Name)
	if fate.LoseRequest {
		return
	}
	w.After(fate.Request, func() {
		p.take(asked{request: a.request, fromPeer: true, reply: func(r message.Reply) {
			if fate.LoseAnswer {
				return
			}
			w.After(fate.Answer, func() {
				if !f.over {
					f.over = true
					a.reply(r)
				}
			})
		}})
	})
}

// ask asks a peer, and brings its answer to the process.
func (n *Controller) ask(e message.PeerCall) {
	w, life := n.w, n.life
	p := w.node(e.Peer)
	if p == nil {
		return
	}
	f := w.fate("peer", n.Name, p.Name)
	if f.LoseRequest || !p.Up {
		return
	}
	w.After(f.Request, func() {
		p.deliver(message.StepDownRequest{Term: e.Term, Leader: n.Name, AsksArchive: e.AsksArchive && !p.old}, func(r message.Reply) {
			var a protocol.StepDownResponse
			if f.LoseAnswer || r.Status != 200 || protocol.Decode(r.Body, &a) != nil {
				return
			}
			w.After(f.Answer, func() {
				n.back(message.PeerResult{PeerCall: e, StepDownResponse: a}, life)
			})
		})
	})
}

// Request hands a node a request, and its reply to a function.
func (n *Controller) Request(request message.Request, reply func(message.Reply)) {
	n.deliver(request, reply)
}

// Tick lets the node look at what time calls for.
func (n *Controller) Tick() { n.step(message.Tick{}) }

// Controller is what decides in the node's process; nil while it doesn't run.
func (n *Controller) Controller() *controller.Controller { return n.node }
