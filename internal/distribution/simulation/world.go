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
	Settings       config.Settings
	Agents         int
	BytesPerSecond float64 // bytes a second of each link, up and down, and of the store's
	StoreSlots     int
	Names          []string
	DiskBytes      int64
	Seed           uint64
	TicksPerReport int // of an agent, a report
}

// Defaults are those of a small test: three controllers, two zones.
func Defaults() Options {
	return Options{Settings: fake.Settings(), Agents: 12, BytesPerSecond: 4096, StoreSlots: 4, Names: []string{"models/frontdesk"}, Seed: 1, TicksPerReport: 20}
}

// World is everything.
type World struct {
	*fake.World
	Options Options
	Store   *Store
	Agents  []*Agent
	// CutZones are cut off from all others, from the store and from the controllers.
	PartitionedZones map[string]bool
	// Broken lists what must not happen and did.
	Violations []string
	// Bytes counts what went between agents and controllers, as JSON.
	Bytes struct{ Up, Down, Inventories int64 }
	// Tracked is told how long each step of a tracker took; nil: nobody.
	MeasureStep func(step func())

	rng      *rand.Rand
	trackers []*trackerHost
	versions map[digest.Digest][]byte
	lastUse  uint64
}

// host is a controller's tracker, for one life of its process.
type trackerHost struct {
	world       *World
	node        *fake.Node
	incarnation int
	tracker     *tracker.Tracker
	pending     map[uint64]pendingRequest
	nextID      uint64
}

type pendingRequest struct {
	command  func(id uint64) tracker.Command
	reply    func(tracker.Reply)
	fromPeer bool
}

const (
	trackerTickInterval = 50 * time.Millisecond
	latency             = 5 * time.Millisecond
)

// New makes a world in which a controller leads and no agent has started.
func New(o Options) *World {
	w := &World{
		World: fake.NewWorld(o.Settings), Options: o, PartitionedZones: map[string]bool{}, rng: rand.New(rand.NewPCG(o.Seed, 1)),
		versions: map[digest.Digest][]byte{},
	}
	w.Store = newStore(w)
	for _, n := range w.Nodes {
		w.trackers = append(w.trackers, &trackerHost{world: w, node: n, pending: map[uint64]pendingRequest{}})
	}
	for i := range o.Agents {
		w.Agents = append(w.Agents, newAgent(w, i))
	}
	w.every(trackerTickInterval, func() {
		for _, h := range w.trackers {
			h.step(tracker.Tick{})
		}
	})
	w.every(time.Second, w.checkServed)
	w.Until(20*time.Second, func() bool { return w.Leader() != nil })
	return w
}

// every has something done again and again.
func (w *World) every(d time.Duration, do func()) {
	w.After(d, func() {
		do()
		w.every(d, do)
	})
}

func (w *World) recordViolation(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%.2f s: ", w.Now.Seconds())+fmt.Sprintf(format, args...))
}

// StartAll starts every agent.
func (w *World) StartAll() {
	for _, a := range w.Agents {
		a.Start()
	}
}

// report is the interval of an agent's inventories.
func (w *World) reportInterval() time.Duration {
	return config.Seconds(w.Options.Settings.Workers.Report / 2)
}

// tracker gives the tracker of the process that a node runs now; nil: it runs none.
func (h *trackerHost) runningTracker() *tracker.Tracker {
	if !h.node.Up || h.world.Now < h.node.PausedUntil {
		return nil
	}
	if h.tracker == nil || h.incarnation != h.node.Life() {
		h.incarnation, h.pending = h.node.Life(), map[uint64]pendingRequest{}
		h.tracker = tracker.New(tracker.Parameters{
			ReportInterval: h.world.reportInterval(), IdleReportInterval: 4 * h.world.reportInterval(), RetryInterval: h.world.reportInterval() / 8, StoreSlots: h.world.Options.StoreSlots,
			Zones: h.world.Options.Settings.Zones, ProcessID: fmt.Sprintf("%s-%d", h.node.Name, h.incarnation), Seed: h.world.Options.Seed + uint64(h.incarnation),
		})
	}
	return h.tracker
}

func (h *trackerHost) step(c tracker.Command) {
	t := h.runningTracker()
	if t == nil {
		return
	}
	var effects []tracker.Effect
	step := func() {
		effects = t.Step(h.node.Steady(), h.node.Coordination().Term(), []tracker.Command{c})
	}
	if h.world.MeasureStep != nil {
		h.world.MeasureStep(step)
	} else {
		step()
	}
	for _, e := range effects {
		h.execute(e)
	}
}

func (h *trackerHost) execute(effect tracker.Effect) {
	switch e := effect.(type) {
	case tracker.Reply:
		if p, ok := h.pending[e.ID]; ok {
			delete(h.pending, e.ID)
			p.reply(e)
		}
	case tracker.Forward:
		p := h.pending[e.ID]
		delete(h.pending, e.ID)
		if p.fromPeer {
			p.reply(tracker.Reply{Status: http.StatusServiceUnavailable, RetryAfter: h.world.reportInterval()})
			return
		}
		for _, other := range h.world.trackers {
			if other.node.Name == e.Peer {
				h.world.After(latency, func() { other.send(p.command, true, p.reply) })
			}
		}
	case tracker.StateCall:
		h.node.AskState("weights", e.StateCall, func(r storageResult) {
			h.step(tracker.StateResult{StateResult: r})
		})
	}
}

// ask hands a command to the tracker. Without an answer nothing is called.
func (h *trackerHost) send(command func(id uint64) tracker.Command, fromPeer bool, reply func(tracker.Reply)) {
	if h.runningTracker() == nil {
		return
	}
	h.nextID++
	h.pending[h.nextID] = pendingRequest{command, reply, fromPeer}
	h.step(command(h.nextID))
}

// Use has a name refer to a version: an operator who asks one controller after another until
// the answer is 200. Later calls replace earlier ones.
func (w *World) Use(name string, manifest digest.Digest) {
	w.lastUse++
	use, at := w.lastUse, 0
	var try func()
	try = func() {
		if use != w.lastUse {
			return
		}
		done := false
		w.trackers[at%len(w.trackers)].send(func(id uint64) tracker.Command {
			return tracker.UseCall{ID: id, Name: name, Manifest: manifest}
		}, false, func(r tracker.Reply) { done = done || r.Status == http.StatusOK })
		at++
		w.After(w.reportInterval(), func() {
			if !done {
				try()
			}
		})
	}
	try()
}

// inventory brings an agent's report to a controller, through the check that a real one
// makes, and the answer back.
func (w *World) sendInventory(controller int, i distribution.Inventory, answer func(tracker.Reply)) {
	text, err := json.Marshal(i)
	if err != nil {
		w.recordViolation("inventory: %v", err)
		return
	}
	w.Bytes.Up += int64(len(text))
	w.Bytes.Inventories++
	decoded := &distribution.Inventory{}
	if err := distribution.Decode(text, decoded); err != nil {
		w.recordViolation("an inventory is refused: %v", err)
		return
	}
	w.trackers[controller].send(func(id uint64) tracker.Command {
		return tracker.InventoryCall{ID: id, Inventory: decoded}
	}, false, func(r tracker.Reply) {
		text, err := json.Marshal(r.Body)
		if err != nil {
			w.recordViolation("answer: %v", err)
		}
		w.Bytes.Down += int64(len(text))
		if len(text) > distribution.MaxMessageBytes {
			w.recordViolation("an answer of %d bytes", len(text))
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
	ok := w.Until(most, func() bool { return w.Ready(name, manifest) })
	return w.Now - began, ok
}

// apart tells whether the network keeps two places from each other.
func (w *World) arePartitioned(a, b string) bool {
	return a != b && (w.PartitionedZones[a] || w.PartitionedZones[b])
}
