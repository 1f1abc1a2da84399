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

// Agent simulates an agent's process and machine. Its disk outlives the process.
type Agent struct {
	endpoint
	world *World
	zone  string

	Name        string
	Disk        afero.Fs
	Up          bool // the process runs
	UploadSlots int
	// ClaimsAllChunks makes it claim every chunk of every manifest that it knows.
	ClaimsAllChunks bool
	// SendsDamagedChunks makes it send wrong bytes.
	SendsDamagedChunks bool
	// CutFromTrackers makes its inventories and their answers get lost.
	CutFromTrackers bool
	// ReceivedBytes counts by chunk, over all incarnations.
	ReceivedBytes map[digest.Digest]int64
	// ActivatedNames are the names of which a version became active, in any incarnation.
	ActivatedNames map[string]bool
	// ReportedWaits are those of its last inventory.
	ReportedWaits []distribution.WaitReason

	// Of the process that runs now.
	incarnation int
	core        *agent.Core
	store       *chunkstore.Store
	controller  int // index of the controller that it reports to
	fetches     map[uint64]*transfer
}

// directory is the root of the chunk store on an agent's disk.
const directory = "/weights"

func newAgent(w *World, i int) *Agent {
	zones := w.Options.Settings.Zones
	return &Agent{
		endpoint:       endpoint{bytesPerSecond: w.Options.BytesPerSecond},
		world:          w,
		zone:           zones[i%len(zones)],
		Name:           fmt.Sprintf("agent-%04d", i),
		Disk:           afero.NewMemMapFs(),
		UploadSlots:    4,
		ReceivedBytes:  map[digest.Digest]int64{},
		ActivatedNames: map[string]bool{},
		controller:     i % len(w.Controllers),
	}
}

// Zone returns the agent's zone.
func (a *Agent) Zone() string { return a.zone }

// SetRate changes the rate of the agent's link.
func (a *Agent) SetRate(bytesPerSecond float64) {
	a.bytesPerSecond = bytesPerSecond
	reshare(&a.endpoint)
}

// SetHanging makes the machine stand still without breaking connections, or go on.
func (a *Agent) SetHanging(hanging bool) {
	a.hanging = hanging
	reshare(&a.endpoint)
}

// Counts returns what the process has counted.
func (a *Agent) Counts() agent.CoreCounts { return a.core.Counts() }

// DiskUsedBytes returns what the agent takes on disk, by its own account.
func (a *Agent) DiskUsedBytes() int64 { return a.core.DiskUsedBytes() }

// Active returns the manifest that the agent serves a name from.
func (a *Agent) Active(name string) digest.Digest { return a.core.Active(name) }

// Start starts the process, which reads what is on disk.
func (a *Agent) Start() {
	store, err := chunkstore.Open(a.Disk, directory)
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

// coreSettings returns the settings of this incarnation. Every incarnation of every agent has a
// seed of its own.
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
		DiskLimitBytes:    o.DiskBytes,
		MinBytesPerSecond: max(1, int64(o.BytesPerSecond/minRateDivisor)),
		StallTimeout:      2 * a.world.reportInterval(),
		ReportInterval:    a.world.reportInterval(),
		Seed:              o.Seed + uint64(a.incarnation)<<32 + uint64(len(a.Name)) + uint64(last)<<8 + uint64(lastButOne)<<16,
	}
}

// minRateDivisor is the share of a link's rate below which a source counts as slow.
const minRateDivisor = 64

// Kill ends the process. Its connections break at once.
func (a *Agent) Kill() {
	a.Up = false
	for _, t := range slices.Concat(a.uploads, a.downloads) {
		t.end(distribution.FaultUnreachable)
	}
}

// step hands an event to the core and carries out its effects. While the machine hangs, events
// other than ticks wait.
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

// schedule hands an event to the process after a time, if the same one still runs then.
func (a *Agent) schedule(delay time.Duration, event func() agent.Event) {
	incarnation := a.incarnation
	a.world.After(delay, func() {
		if a.Up && a.incarnation == incarnation {
			a.step(event())
		}
	})
}

// checkServed reads every byte that the agent serves: they have to be those of one version.
func (a *Agent) checkServed() {
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
