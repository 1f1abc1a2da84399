package simulation

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/opencontainers/go-digest"
	"github.com/spf13/afero"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/agent"
	"oakpick/internal/distribution/chunkstore"
)

// Agent simulates an agent's process and its machine. The disk outlives the process.
type Agent struct {
	networkLink
	world *World
	zone  string

	Name        string
	Disk        afero.Fs
	Up          bool // whether the process runs
	UploadSlots int
	// ClaimsAllChunks makes the agent claim to hold every chunk of each manifest that it knows.
	ClaimsAllChunks bool
	// SendsDamagedChunks makes the agent send wrong bytes.
	SendsDamagedChunks bool
	// TrackersUnreachable drops the inventories that the agent sends.
	TrackersUnreachable bool
	// ReceivedBytes counts the received bytes of each chunk, over all incarnations.
	ReceivedBytes map[digest.Digest]int64
	// ActivatedNames contains the names that have had an active version, in any incarnation.
	ActivatedNames map[string]bool
	// ReportedWaits contains the wait reasons in the agent's latest inventory.
	ReportedWaits []distribution.WaitReason

	// State of the current incarnation of the process.
	incarnation     int
	core            *agent.Core
	store           *chunkstore.Store
	controllerIndex int // of the controller to which the agent sends inventories
	fetches         map[uint64]*transfer
}

// storeDirectory is the root of the chunk store on an agent's disk.
const storeDirectory = "/weights"

func newAgent(w *World, i int) *Agent {
	zones := w.Options.Settings.Zones
	return &Agent{
		networkLink:     networkLink{bytesPerSecond: w.Options.BytesPerSecond},
		world:           w,
		zone:            zones[i%len(zones)],
		Name:            fmt.Sprintf("agent-%04d", i),
		Disk:            afero.NewMemMapFs(),
		UploadSlots:     4,
		ReceivedBytes:   map[digest.Digest]int64{},
		ActivatedNames:  map[string]bool{},
		controllerIndex: i % len(w.Controllers),
	}
}

// Zone returns the agent's zone.
func (a *Agent) Zone() string { return a.zone }

// SetRate changes the bandwidth of the agent's link.
func (a *Agent) SetRate(bytesPerSecond float64) {
	a.bytesPerSecond = bytesPerSecond
	reallocateBandwidth(&a.networkLink)
}

// SetHanging makes the machine hang without breaking its connections, or ends the hang.
func (a *Agent) SetHanging(hanging bool) {
	a.hanging = hanging
	reallocateBandwidth(&a.networkLink)
}

// Counts returns the counters of the current incarnation.
func (a *Agent) Counts() agent.CoreCounts { return a.core.Counts() }

// DiskUsedBytes returns the bytes that the agent takes on disk, according to its own accounting.
func (a *Agent) DiskUsedBytes() int64 { return a.core.DiskUsedBytes() }

// Active returns the manifest from which the agent serves a name.
func (a *Agent) Active(name string) digest.Digest { return a.core.Active(name) }

// Start starts the process, which loads the chunks and active versions from disk.
func (a *Agent) Start() {
	store, err := chunkstore.Open(a.Disk, storeDirectory)
	if err != nil {
		a.world.recordViolation("%s: %v", a.Name, err)
		return
	}
	stored, err := agent.LoadStoredState(store, a.world.Options.Names)
	if err != nil {
		a.world.recordViolation("%s: %v", a.Name, err)
		return
	}
	a.incarnation++
	a.core = agent.NewCore(a.coreSettings(), stored)
	a.store, a.Up, a.fetches = store, true, map[uint64]*transfer{}
	interval := a.world.reportInterval() / time.Duration(a.world.Options.TicksPerReport)
	incarnation := a.incarnation
	var tick func()
	tick = func() {
		if a.Up && a.incarnation == incarnation {
			a.step(agent.Tick{})
			a.world.After(interval, tick)
		}
	}
	tick()
}

// coreSettings returns the settings of the current incarnation. The seed depends on the
// incarnation, and on the length and the last two digits of the agent's name.
func (a *Agent) coreSettings() agent.CoreSettings {
	o := a.world.Options
	last, lastButOne := a.Name[len(a.Name)-1], a.Name[len(a.Name)-2]
	return agent.CoreSettings{
		Agent:             a.Name,
		Zone:              a.zone,
		Address:           a.Name + ":7000",
		Session:           int64(a.incarnation),
		Names:             o.Names,
		HasStore:          true,
		UploadSlots:       a.UploadSlots,
		MaxDownloads:      8,
		DiskLimitBytes:    o.DiskLimitBytes,
		MinBytesPerSecond: max(1, int64(o.BytesPerSecond/minRateDivisor)),
		StallTimeout:      2 * a.world.reportInterval(),
		ReportInterval:    a.world.reportInterval(),
		Seed:              o.Seed + uint64(a.incarnation)<<32 + uint64(len(a.Name)) + uint64(last)<<8 + uint64(lastButOne)<<16,
	}
}

// minRateDivisor divides the rate of a link to give the minimum rate of a source. Sources below the
// minimum rate count as slow.
const minRateDivisor = 64

// Kill kills the process. Its connections break at once.
func (a *Agent) Kill() {
	a.Up = false
	for _, t := range slices.Concat(a.uploads, a.downloads) {
		t.end(distribution.FaultUnreachable)
	}
}

// step passes an event to the core and carries out the resulting effects. While the machine hangs,
// ticks are dropped and all other events are delayed.
func (a *Agent) step(event agent.Event) {
	if a.hanging {
		if _, isTick := event.(agent.Tick); !isTick {
			a.schedule(a.world.reportInterval()/4, func() agent.Event { return event })
		}
		return
	}
	for _, effect := range a.core.Step(a.world.Now, event) {
		a.execute(effect)
	}
}

// schedule passes an event to the process after a delay, unless the current incarnation has ended
// by then.
func (a *Agent) schedule(delay time.Duration, event func() agent.Event) {
	incarnation := a.incarnation
	a.world.After(delay, func() {
		if a.Up && a.incarnation == incarnation {
			a.step(event())
		}
	})
}

// verifyServedContent reads every name that the agent serves, and verifies that the bytes are
// exactly those of the active version.
func (a *Agent) verifyServedContent() {
	for _, name := range a.world.Options.Names {
		reader, err := a.store.OpenActive(name)
		if errors.Is(err, chunkstore.ErrNotStored) && !a.ActivatedNames[name] {
			continue
		}
		if err != nil {
			a.world.recordViolation("%s can't serve %s: %v", a.Name, name, err)
			continue
		}
		content, err := io.ReadAll(reader)
		if err = errors.Join(err, reader.Close()); err != nil || !bytes.Equal(content, a.world.versions[reader.Manifest]) {
			a.world.recordViolation("%s serves a mixed or damaged version of %s: %v", a.Name, name, err)
		}
	}
}
