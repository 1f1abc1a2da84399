// Package simulation runs agents, network links and a store of weights in simulated time, together
// with the simulated controllers of package fake. Trackers, agent cores and chunk stores are the
// real ones, and chunks are real bytes in memory. The simulation reads every byte that agents
// serve, to check that no agent serves a mixed version, and records the highest number of
// concurrent uploads of each source.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/config"
	"oakpick/internal/distribution/tracker"
	"oakpick/internal/fake"
)

// Options configure a World.
type Options struct {
	Settings       config.Settings
	Agents         int
	BytesPerSecond float64 // of the link of each agent and of the store, in each direction
	StoreSlots     int     // concurrent uploads of the store that the tracker may grant
	Names          []string
	DiskLimitBytes int64 // limit for the chunks of each agent; 0 means no limit
	Seed           uint64
	TicksPerReport int // ticks of an agent in each report interval
}

// Defaults returns the options of a small test: three controllers, two zones, twelve agents.
func Defaults() Options {
	return Options{
		Settings: fake.Settings(), Agents: 12, BytesPerSecond: 4096, StoreSlots: 4,
		Names: []string{"models/frontdesk"}, Seed: 1, TicksPerReport: 20,
	}
}

// World is a simulated deployment.
type World struct {
	*fake.World
	Options Options
	Store   *Store
	Agents  []*Agent
	// PartitionedZones can't reach other zones, the store or the controllers.
	PartitionedZones map[string]bool
	// Violations lists violated invariants of the distribution of weights. The embedded
	// fake.World lists those of the scheduler.
	Violations []string
	// Traffic counts the JSON bytes of the messages between agents and controllers, and the
	// number of inventories.
	Traffic struct{ UpBytes, DownBytes, Inventories int64 }
	// MeasureStep is called with each step of a tracker and has to run it. If MeasureStep is nil,
	// the step runs directly.
	MeasureStep func(step func())

	rng               *rand.Rand
	trackers          []*trackerHost
	versions          map[digest.Digest][]byte // the bytes of each published version, by manifest digest
	lastSetManifestID uint64                   // of the latest call of SetManifest
}

// New returns a World in which a leader has been elected and no agent has been started. It waits
// for the election for up to 20 s of simulated time.
func New(o Options) *World {
	w := &World{
		World: fake.NewWorld(o.Settings), Options: o, PartitionedZones: map[string]bool{}, rng: rand.New(rand.NewPCG(o.Seed, 1)),
		versions: map[digest.Digest][]byte{},
	}
	w.Store = newStore(w)
	for _, node := range w.Controllers {
		w.trackers = append(w.trackers, &trackerHost{world: w, node: node, pending: map[uint64]pendingRequest{}})
	}
	for i := range o.Agents {
		w.Agents = append(w.Agents, newAgent(w, i))
	}
	w.every(trackerTickInterval, func() {
		for _, host := range w.trackers {
			host.step(tracker.Tick{})
		}
	})
	w.every(time.Second, w.verifyServedContent)
	w.RunUntil(20*time.Second, func() bool { return w.Leader() != nil })
	return w
}

// every runs an action repeatedly, once per interval.
func (w *World) every(interval time.Duration, action func()) {
	w.After(interval, func() {
		action()
		w.every(interval, action)
	})
}

// recordViolation records a violated invariant, with the simulated time.
func (w *World) recordViolation(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%.2f s: ", w.Now.Seconds())+fmt.Sprintf(format, args...))
}

// StartAll starts every agent.
func (w *World) StartAll() {
	for _, a := range w.Agents {
		a.Start()
	}
}

// reportInterval returns the interval at which agents send inventories.
func (w *World) reportInterval() time.Duration {
	return config.Seconds(w.Options.Settings.Workers.HeartbeatIntervalS / 2)
}

// verifyServedContent verifies every byte that running agents serve.
func (w *World) verifyServedContent() {
	for _, a := range w.Agents {
		if a.Up {
			a.verifyServedContent()
		}
	}
}

// Ready reports whether every running agent serves the given version of a name.
func (w *World) Ready(name string, manifest digest.Digest) bool {
	return !slices.ContainsFunc(w.Agents, func(a *Agent) bool { return a.Up && a.core.Active(name) != manifest })
}

// RunUntilReady runs until every running agent serves a version of a name, or until the timeout.
// It returns the elapsed time, and whether all of them serve the version.
func (w *World) RunUntilReady(timeout time.Duration, name string, manifest digest.Digest) (time.Duration, bool) {
	startedAt := w.Now
	ready := w.RunUntil(timeout, func() bool { return w.Ready(name, manifest) })
	return w.Now - startedAt, ready
}

// arePartitioned reports whether a partition separates two zones, or a zone and the store.
func (w *World) arePartitioned(a, b string) bool {
	return a != b && (w.PartitionedZones[a] || w.PartitionedZones[b])
}
