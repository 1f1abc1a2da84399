// Package simulation plays agents, links and a store of weights in simulated time beside the
// controllers of package fake: real trackers, real decisions of agents, real bytes in memory.
// It checks by reading every byte that no agent serves a mixed version, and that no source
// uploads to more takers than it has slots.
package simulation

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/config"
	"oakpick/internal/distribution"
	"oakpick/internal/distribution/tracker"
	"oakpick/internal/fake"
)

// Options are the size of a world.
type Options struct {
	Settings   config.Settings
	Agents     int
	Rate       float64 // bytes a second of each link, up and down, and of the store's
	StoreSlots int
	Names      []string
	DiskBytes  int64
	Seed       uint64
	Ticks      int // of an agent, a report
}

// Defaults are those of a small test: three controllers, two zones.
func Defaults() Options {
	return Options{Settings: fake.Settings(), Agents: 12, Rate: 4096, StoreSlots: 4, Names: []string{"models/frontdesk"}, Seed: 1, Ticks: 20}
}

// World is everything.
type World struct {
	*fake.World
	Options Options
	Store   *Store
	Agents  []*Agent
	// CutZones are cut off from all others, from the store and from the controllers.
	CutZones map[string]bool
	// Broken lists what must not happen and did.
	Broken []string
	// Bytes counts what went between agents and controllers, as JSON.
	Bytes struct{ Up, Down, Inventories int64 }
	// Tracked is told how long each step of a tracker took; nil: nobody.
	Tracked func(step func())

	rng      *rand.Rand
	trackers []*host
	versions map[digest.Digest][]byte
	uses     uint64
}

// host is a controller's tracker, for one life of its process.
type host struct {
	w       *World
	node    *fake.Controller
	life    int
	tracker *tracker.Tracker
	replies map[uint64]pendingReply
	nextID  uint64
}

type pendingReply struct {
	command  func(id uint64) tracker.Command
	reply    func(tracker.Reply)
	fromPeer bool
}

const (
	trackerTick = 50 * time.Millisecond
	latency     = 5 * time.Millisecond
)

// New makes a world in which a controller leads and no agent has started.
func New(o Options) *World {
	w := &World{
		World: fake.NewWorld(o.Settings), Options: o, CutZones: map[string]bool{}, rng: rand.New(rand.NewPCG(o.Seed, 1)),
		versions: map[digest.Digest][]byte{},
	}
	w.Store = newStore(w)
	for _, n := range w.Controllers {
		w.trackers = append(w.trackers, &host{w: w, node: n, replies: map[uint64]pendingReply{}})
	}
	for i := range o.Agents {
		w.Agents = append(w.Agents, newAgent(w, i))
	}
	w.every(trackerTick, func() {
		for _, h := range w.trackers {
			h.step(tracker.Tick{})
		}
	})
	w.every(time.Second, w.checkServed)
	w.RunUntil(20*time.Second, func() bool { return w.Leader() != nil })
	return w
}

// every has something done again and again.
func (w *World) every(d time.Duration, do func()) {
	w.After(d, func() {
		do()
		w.every(d, do)
	})
}

func (w *World) fail(format string, args ...any) {
	w.Broken = append(w.Broken, fmt.Sprintf("%.2f s: ", w.Now.Seconds())+fmt.Sprintf(format, args...))
}

// StartAll starts every agent.
func (w *World) StartAll() {
	for _, a := range w.Agents {
		a.Start()
	}
}

// report is the interval of an agent's inventories.
func (w *World) report() time.Duration {
	return config.Seconds(w.Options.Settings.Workers.HeartbeatIntervalS / 2)
}

// tracker gives the tracker of the process that a node runs now; nil: it runs none.
func (h *host) running() *tracker.Tracker {
	if !h.node.Up || h.w.Now < h.node.PausedUntil {
		return nil
	}
	if h.tracker == nil || h.life != h.node.Incarnation() {
		h.life, h.replies = h.node.Incarnation(), map[uint64]pendingReply{}
		h.tracker = tracker.New(tracker.Parameters{
			Report: h.w.report(), IdleReport: 4 * h.w.report(), Retry: h.w.report() / 8, StoreSlots: h.w.Options.StoreSlots,
			Zones: h.w.Options.Settings.Zones, Boot: fmt.Sprintf("%s-%d", h.node.Name, h.life), Seed: h.w.Options.Seed + uint64(h.life),
		})
	}
	return h.tracker
}

func (h *host) step(c tracker.Command) {
	t := h.running()
	if t == nil {
		return
	}
	var effects []tracker.Effect
	step := func() {
		effects = t.Step(h.node.MonotonicNow(), h.node.Controller().Leadership(), []tracker.Command{c})
	}
	if h.w.Tracked != nil {
		h.w.Tracked(step)
	} else {
		step()
	}
	for _, e := range effects {
		h.perform(e)
	}
}

func (h *host) perform(effect tracker.Effect) {
	switch e := effect.(type) {
	case tracker.Reply:
		if p, ok := h.replies[e.ID]; ok {
			delete(h.replies, e.ID)
			p.reply(e)
		}
	case tracker.Forward:
		p := h.replies[e.ID]
		delete(h.replies, e.ID)
		if p.fromPeer {
			p.reply(tracker.Reply{Status: http.StatusServiceUnavailable, RetryAfter: h.w.report()})
			return
		}
		for _, other := range h.w.trackers {
			if other.node.Name == e.Peer {
				h.w.After(latency, func() { other.ask(p.command, true, p.reply) })
			}
		}
	case tracker.StateCall:
		h.node.CallState("weights", e.StateCall, func(r storageResult) {
			h.step(tracker.StateResult{StateResult: r})
		})
	}
}

// ask hands a command to the tracker. Without an answer nothing is called.
func (h *host) ask(command func(id uint64) tracker.Command, fromPeer bool, reply func(tracker.Reply)) {
	if h.running() == nil {
		return
	}
	h.nextID++
	h.replies[h.nextID] = pendingReply{command, reply, fromPeer}
	h.step(command(h.nextID))
}

// Use has a name refer to a version: an operator who asks one controller after another until
// the answer is 200. Later calls replace earlier ones.
func (w *World) Use(name string, manifest digest.Digest) {
	w.uses++
	use, at := w.uses, 0
	var try func()
	try = func() {
		if use != w.uses {
			return
		}
		done := false
		w.trackers[at%len(w.trackers)].ask(func(id uint64) tracker.Command {
			return tracker.UseCall{ID: id, Name: name, Manifest: manifest}
		}, false, func(r tracker.Reply) { done = done || r.Status == http.StatusOK })
		at++
		w.After(w.report(), func() {
			if !done {
				try()
			}
		})
	}
	try()
}

// inventory brings an agent's report to a controller, through the check that a real one
// makes, and the answer back.
func (w *World) inventory(controller int, i distribution.Inventory, answer func(tracker.Reply)) {
	text, err := json.Marshal(i)
	if err != nil {
		w.fail("inventory: %v", err)
		return
	}
	w.Bytes.Up += int64(len(text))
	w.Bytes.Inventories++
	decoded := &distribution.Inventory{}
	if err := distribution.Decode(text, decoded); err != nil {
		w.fail("an inventory is refused: %v", err)
		return
	}
	w.trackers[controller].ask(func(id uint64) tracker.Command {
		return tracker.InventoryCall{ID: id, Inventory: decoded}
	}, false, func(r tracker.Reply) {
		text, err := json.Marshal(r.Body)
		if err != nil {
			w.fail("answer: %v", err)
		}
		w.Bytes.Down += int64(len(text))
		if len(text) > distribution.MaxMessageBytes {
			w.fail("an answer of %d bytes", len(text))
		}
		answer(r)
	})
}

// checkServed reads every byte that agents serve.
func (w *World) checkServed() {
	for _, a := range w.Agents {
		if a.Up {
			a.checkServed()
		}
	}
}

// Ready tells whether every agent that runs serves a version of a name.
func (w *World) Ready(name string, manifest digest.Digest) bool {
	return !slices.ContainsFunc(w.Agents, func(a *Agent) bool { return a.Up && a.core.Active(name) != manifest })
}

// UntilReady runs until every agent serves a version, and tells how long that took.
func (w *World) UntilReady(most time.Duration, name string, manifest digest.Digest) (time.Duration, bool) {
	began := w.Now
	ok := w.RunUntil(most, func() bool { return w.Ready(name, manifest) })
	return w.Now - began, ok
}

// apart tells whether the network keeps two places from each other.
func (w *World) apart(a, b string) bool {
	return a != b && (w.CutZones[a] || w.CutZones[b])
}
