package fake

import (
	"fmt"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/coordination"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// Node is a controller and its process.
type Node struct {
	w       *World
	Name    string
	Index   int
	Up      bool
	node    *coordination.Node
	began   time.Duration
	drift   float64
	life    int
	nextID  uint64
	replies map[uint64]func(coordination.Reply)
	// Paused until then: the process has no processor time.
	PausedUntil time.Duration
	// ClockOff is how far its time of day is ahead.
	ClockOff time.Duration
	// Old makes it run as the version in production would, as far as that shows in
	// what it stores: see World.Production. It counts from the next start.
	Old bool
	old bool
	// Unhealthy keeps the load balancer from it.
	Unhealthy bool
	// remote carries requests to the process, if it runs outside the world.
	remote Send
}

// Start starts a node's process.
func (n *Node) Start() {
	n.w.seeds++
	cfg := *n.w.Cfg
	cfg.Node, cfg.Peers = n.Name, nil
	if n.old = n.Old; n.old {
		cfg.Settings.State.Next = nil
	}
	for _, p := range n.w.Nodes {
		if p != n {
			cfg.Peers = append(cfg.Peers, config.Peer{Name: p.Name})
		}
	}
	n.Up, n.began, n.replies = true, n.w.Now, map[uint64]func(coordination.Reply){}
	n.life++
	n.node = coordination.New(&cfg, fmt.Sprintf("%s-%d", n.Name, n.life), n.w.seeds)
}

// Crash kills a node's process.
func (n *Node) Crash() { n.Up, n.node = false, nil }

// Leads tells whether the node believes that it leads.
func (n *Node) Leads() bool { return n.Up && n.node.Role() == "leader" }

// Holds tells whether the node leads, or is in doubt and still answers workers.
func (n *Node) Holds() bool { return n.Up && n.node.Leads() }

// Healthy is what the node tells the load balancer.
func (n *Node) Healthy() bool { return n.Up && n.node.Healthy() }

// Stats are the process's counts.
func (n *Node) Stats() coordination.Stats { return n.node.Stats }

func (n *Node) deliver(request coordination.Request, reply func(coordination.Reply)) {
	if n.remote != nil {
		n.remote(request, reply)
		return
	}
	if !n.Up {
		return
	}
	if n.w.Now < n.PausedUntil {
		life := n.life
		n.w.After(n.PausedUntil-n.w.Now, func() {
			if n.life == life {
				n.deliver(request, reply)
			}
		})
		return
	}
	n.nextID++
	n.replies[n.nextID] = reply
	n.step(request.WithID(n.nextID))
}

func (n *Node) step(command coordination.Command) {
	if !n.Up || n.w.Now < n.PausedUntil {
		return
	}
	now := coordination.Now{Mono: n.Steady(), WallMs: (n.w.Now + n.ClockOff).Milliseconds() + 1_000_000}
	for _, e := range n.node.Step(now, []coordination.Command{command}) {
		n.perform(e, command)
	}
}

// call has a request executed and its result brought back, as the network will.
func (n *Node) call(kind, to string, wait time.Duration, execute func() (coordination.Command, bool), lost coordination.Command) {
	life := n.life
	exchange(n, kind, to, wait, execute, lost, func(r coordination.Command) { n.back(r, life) })
}

// exchange does the same for any part of the process.
func exchange[R any](n *Node, kind, to string, wait time.Duration, execute func() (R, bool), lost R, done func(R)) {
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
func (n *Node) AskState(kind string, c storage.StateCall, done func(storage.StateResult)) {
	exchange(n, kind, "state", sec(n.w.Cfg.Settings.Workers.Report)/2,
		func() (storage.StateResult, bool) { return n.w.State.execute(n.Name, n.old, c), true },
		storage.StateResult{ID: c.ID, Outcome: storage.Lost}, done)
}

// Life counts the starts of the node's process.
func (n *Node) Life() int { return n.life }

// Steady is the process's steady clock.
func (n *Node) Steady() time.Duration {
	return time.Duration(float64(n.w.Now-n.began) * (1 + n.drift))
}

// back brings a result to the process, once it has processor time.
func (n *Node) back(r coordination.Command, life int) {
	if !n.Up || n.life != life {
		return
	}
	if n.w.Now < n.PausedUntil {
		n.w.After(n.PausedUntil-n.w.Now, func() { n.back(r, life) })
		return
	}
	n.step(r)
}

func (n *Node) perform(effect coordination.Effect, cause coordination.Command) {
	w := n.w
	report := sec(w.Cfg.Settings.Workers.Report)
	switch e := effect.(type) {
	case coordination.Reply:
		if f := n.replies[e.ID]; f != nil {
			delete(n.replies, e.ID)
			f(e)
		}
	case coordination.Forward:
		n.forward(e, cause)
	case coordination.StateCall:
		if n.old {
			e.Txn = w.asProduction(e.Txn)
		}
		old := n.old // a late request is still the old process's
		kind := "state"
		if len(e.Txn.Then) > 0 && e.Txn.Then[0].Put != coordination.LeaderKey && w.HoldsWrites {
			kind = "write"
		}
		n.call(kind, "state", report/2, func() (coordination.Command, bool) {
			return coordination.StateResult{StateResult: w.State.execute(n.Name, old, e.StateCall)}, true
		},
			coordination.StateResult{StateResult: storage.StateResult{ID: e.ID, Outcome: storage.Lost}})
	case coordination.CloudCall:
		n.call("cloud", "cloud", report, func() (coordination.Command, bool) { return w.Cloud.execute(e), true },
			coordination.CloudResult{ID: e.ID, Outcome: coordination.Lost})
	case coordination.OrdersCall:
		for _, c := range e.Commands {
			if j := w.Jobs[c.Attempt.Job]; c.Verb == protocol.Start && j != nil && j.Cancelled {
				w.fail("started_cancelled", "%s sends a start of %s, which its user was told is cancelled", n.Name, c.Attempt.Job)
			}
		}
		n.call("orders", e.Host, report*3/4, func() (coordination.Command, bool) {
			return w.command(e)
		}, coordination.OrdersResult{ID: e.ID, Host: e.Host, Outcome: coordination.Lost})
	case coordination.PeerCall:
		n.ask(e)
	case coordination.Log:
		w.Log = append(w.Log, fmt.Sprintf("%8.2f %s %s %v", w.Now.Seconds(), n.Name, e.Text, e.Args))
	}
}

// forward hands a request to another node, and its reply back.
func (n *Node) forward(e coordination.Forward, cause coordination.Command) {
	w := n.w
	request, ok := cause.(coordination.Request)
	if !ok {
		w.fail("forward", "%s hands on what is no request", n.Name)
		return
	}
	reply := n.replies[e.ID]
	delete(n.replies, e.ID)
	p := w.node(e.Peer)
	if p == nil {
		return
	}
	f := w.fate("forward", n.Name, p.Name)
	if f.LoseRequest {
		return
	}
	w.After(f.Request, func() {
		p.deliver(request, func(r coordination.Reply) {
			if !f.LoseAnswer {
				w.After(f.Answer, func() { reply(r) })
			}
		})
	})
}

// ask asks a peer, and brings its answer to the process.
func (n *Node) ask(e coordination.PeerCall) {
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
		p.deliver(coordination.StepDownCall{Term: e.Term, Leader: n.Name, AsksArchive: e.AsksArchive && !p.old}, func(r coordination.Reply) {
			var a protocol.StepDownAnswer
			if f.LoseAnswer || r.Status != 200 || protocol.Decode(r.Body, &a) != nil {
				return
			}
			w.After(f.Answer, func() {
				n.back(coordination.PeerResult{PeerCall: e, StepDownAnswer: a}, life)
			})
		})
	})
}

// Ask hands a node a request, and its reply to a function.
func (n *Node) Ask(request coordination.Request, reply func(coordination.Reply)) {
	n.deliver(request, reply)
}

// Tick lets the node look at what time calls for.
func (n *Node) Tick() { n.step(coordination.Tick{}) }

// Coordination is what decides in the node's process; nil while it doesn't run.
func (n *Node) Coordination() *coordination.Node { return n.node }
