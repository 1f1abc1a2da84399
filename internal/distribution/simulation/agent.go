package simulation

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/opencontainers/go-digest"
	"github.com/spf13/afero"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/agent"
	"oakpick/internal/distribution/chunkstore"
	"oakpick/internal/distribution/tracker"
)

// Agent is the stand-in for an agent's process and machine: its disk outlives the process.
type Agent struct {
	endpoint
	world       *World
	Name        string
	zone        string
	Disk        afero.Fs
	Up          bool
	UploadSlots int
	// Lies has it claim every chunk of every manifest that it knows.
	ClaimsAllChunks bool
	// Damages has it send wrong bytes.
	SendsDamagedChunks bool
	// Silent has it neither report nor hear the controllers.
	CutFromTrackers bool
	// Received counts bytes by chunk, over all lives.
	ReceivedBytes map[digest.Digest]int64
	// Activated has the names of which a version became active, in any life.
	ActivatedNames map[string]bool
	// HeardWaits is what it last told the tracker that it waits for.
	ReportedWaits []distribution.Wait

	core        *agent.Core
	store       *chunkstore.Store
	incarnation int
	controller  int
	fetches     map[uint64]*transfer
}

const directory = "/weights"

func newAgent(w *World, i int) *Agent {
	zones := w.Options.Settings.Zones
	return &Agent{
		world: w, Name: fmt.Sprintf("agent-%04d", i), zone: zones[i%len(zones)], Disk: afero.NewMemMapFs(), UploadSlots: 4,
		endpoint: endpoint{bytesPerSecond: w.Options.BytesPerSecond}, controller: i % len(w.Nodes), ReceivedBytes: map[digest.Digest]int64{}, ActivatedNames: map[string]bool{},
	}
}

// Zone is where it is.
func (a *Agent) Zone() string { return a.zone }

// SetRate changes its link.
func (a *Agent) SetRate(bytesPerS float64) { a.bytesPerSecond = bytesPerS; reshare(&a.endpoint) }

// Hang stops everything of the machine without a word, or lets it go on.
func (a *Agent) SetHanging(hangs bool) { a.hanging = hangs; reshare(&a.endpoint) }

// Counts are what its process has counted.
func (a *Agent) Counts() agent.CoreCounts { return a.core.Counts() }

// Used is what it takes on disk, by its own account.
func (a *Agent) DiskUsedBytes() int64 { return a.core.DiskUsedBytes() }

// Active is what it serves a name from.
func (a *Agent) Active(name string) digest.Digest { return a.core.Active(name) }

// Start starts the process with what is on disk.
func (a *Agent) Start() {
	store, err := chunkstore.Open(a.Disk, directory)
	if err != nil {
		a.world.recordViolation("%s: %v", a.Name, err)
		return
	}
	stored, err := agent.LoadStored(store, a.world.Options.Names)
	if err != nil {
		a.world.recordViolation("%s: %v", a.Name, err)
		return
	}
	a.incarnation++
	report := a.world.reportInterval()
	a.core = agent.NewCore(agent.CoreSettings{
		Agent: a.Name, Zone: a.zone, Address: a.Name + ":7000", Session: int64(a.incarnation), Names: a.world.Options.Names, HasStore: true,
		UploadSlots: a.UploadSlots, MaxDownloads: 8, DiskLimitBytes: a.world.Options.DiskBytes, MinBytesPerSecond: max(1, int64(a.world.Options.BytesPerSecond/64)), StallTimeout: 2 * report, ReportInterval: report,
		Seed: a.world.Options.Seed + uint64(a.incarnation)<<32 + uint64(len(a.Name)) + uint64(a.Name[len(a.Name)-1])<<8 + uint64(a.Name[len(a.Name)-2])<<16,
	}, stored)
	a.store, a.Up, a.fetches = store, true, map[uint64]*transfer{}
	life := a.incarnation
	var tick func()
	tick = func() {
		if a.Up && a.incarnation == life {
			a.step(agent.Tick{})
			a.world.After(report/time.Duration(a.world.Options.TicksPerReport), tick)
		}
	}
	tick()
}

// Kill ends the process: every connection breaks at once.
func (a *Agent) Kill() {
	a.Up = false
	for _, t := range append(append([]*transfer(nil), a.uploads...), a.downloads...) {
		t.end(distribution.FaultUnreachable)
	}
}

func (a *Agent) step(e agent.Event) {
	if a.hanging {
		life := a.incarnation
		a.world.After(a.world.reportInterval()/4, func() {
			if _, tick := e.(agent.Tick); a.Up && a.incarnation == life && !tick {
				a.step(e)
			}
		})
		return
	}
	for _, effect := range a.core.Step(a.world.Now, e) {
		a.execute(effect)
	}
}

// later brings an event to the process, if it still is the same.
func (a *Agent) schedule(d time.Duration, what func() agent.Event) {
	life := a.incarnation
	a.world.After(d, func() {
		if a.Up && a.incarnation == life {
			a.step(what())
		}
	})
}

func (a *Agent) execute(effect agent.Effect) {
	switch e := effect.(type) {
	case agent.Report:
		a.ReportedWaits = e.Inventory.Waits
		a.report(e.Inventory)
	case agent.GetManifest:
		a.schedule(2*latency, func() agent.Event { return a.getManifest(e) })
	case agent.GetChunkSet:
		a.askPeer(e.From, func(p *Agent) agent.Event {
			set, _ := p.chunkSet(e.Manifest)
			return agent.ChunkSetResult{Source: e.From.Name, Manifest: e.Manifest, Chunks: set}
		}, func(f distribution.Fault) agent.Event {
			return agent.ChunkSetResult{Source: e.From.Name, Manifest: e.Manifest, Fault: f}
		})
	case agent.GetChunk:
		a.getChunk(e)
	case agent.CancelChunk:
		if t := a.fetches[e.ID]; t != nil {
			answered := t.onEnd
			t.onEnd = func(r agent.ChunkResult) { r.Cancelled = true; answered(r) }
			t.end(distribution.FaultUnreachable)
		}
	case agent.Activate:
		a.schedule(latency, func() agent.Event {
			err := a.store.Activate(e.Name, distribution.ActiveVersion{Manifest: e.Manifest, Revision: e.Revision})
			if err == nil {
				a.ActivatedNames[e.Name] = true
				a.checkServed()
			}
			return agent.ActivateResult{Name: e.Name, Manifest: e.Manifest, Failed: err != nil}
		})
	case agent.Remove:
		a.schedule(latency, func() agent.Event {
			removed, err := a.store.Remove(e.Chunk)
			return agent.RemoveResult{Chunk: e.Chunk, Removed: removed && err == nil}
		})
	case agent.Verify:
		a.schedule(latency, func() agent.Event {
			if sound, err := a.store.Verify(e.Chunk); err != nil || sound {
				return agent.Tick{}
			}
			return agent.ChunkLost(e)
		})
	}
}

// report asks one controller after another, as the real agent does.
func (a *Agent) report(i distribution.Inventory) {
	life, answered := a.incarnation, false
	finish := func(e agent.Event) {
		if a.Up && a.incarnation == life && !answered {
			answered = true
			a.step(e)
		}
	}
	if !a.CutFromTrackers && !a.world.PartitionedZones[a.zone] {
		controller := a.controller
		a.world.After(latency, func() {
			a.world.sendInventory(controller, i, func(r tracker.Reply) {
				if answer, ok := r.Body.(distribution.Answer); ok && r.Status == http.StatusOK {
					a.world.After(latency, func() { finish(agent.TrackerAnswered{Answer: answer}) })
					return
				}
				a.controller = (controller + 1) % len(a.world.Nodes)
				a.world.After(latency, func() { finish(agent.TrackerFailed{RetryAfter: r.RetryAfter}) })
			})
		})
	}
	a.world.After(a.world.reportInterval(), func() {
		if !answered {
			a.controller = (a.controller + 1) % len(a.world.Nodes)
			finish(agent.TrackerFailed{})
		}
	})
}

// peer finds an agent by its name, if it can be reached at all.
func (a *Agent) findPeer(name string) *Agent {
	for _, p := range a.world.Agents {
		if p.Name == name && p.Up {
			return p
		}
	}
	return nil
}

// ask has a peer answer a small request: at once, not at all until the time is up, or never
// because it is gone.
func (a *Agent) askPeer(from agent.Peer, answer func(*Agent) agent.Event, failed func(distribution.Fault) agent.Event) {
	p := a.findPeer(from.Name)
	switch {
	case p == nil:
		a.schedule(latency, func() agent.Event { return failed(distribution.FaultUnreachable) })
	case p.hanging || a.world.arePartitioned(a.zone, p.zone):
		a.schedule(2*a.world.reportInterval(), func() agent.Event { return failed(distribution.FaultSlow) })
	default:
		a.schedule(2*latency, func() agent.Event {
			if !p.Up {
				return failed(distribution.FaultUnreachable)
			}
			return answer(p)
		})
	}
}

func (a *Agent) getManifest(e agent.GetManifest) agent.Event {
	r := agent.ManifestResult{Source: e.From.Name, Digest: e.Digest, Fault: distribution.FaultMissing}
	switch {
	case e.From.Name == "":
		if m, err := a.store.Manifest(e.Digest); err == nil {
			r.Manifest = m
		}
		return r
	case e.From.Name == distribution.StoreSource:
		if a.world.Store.Down || a.world.arePartitioned(a.zone, storeZone) {
			r.Fault = distribution.FaultUnreachable
			return r
		}
		r.Manifest = a.world.Store.manifests[e.Digest]
	default:
		p := a.findPeer(e.From.Name)
		if p == nil || p.hanging || a.world.arePartitioned(a.zone, p.zone) {
			r.Fault = distribution.FaultUnreachable
			return r
		}
		if m, err := p.store.Manifest(e.Digest); err == nil {
			r.Manifest = m
		}
	}
	if r.Manifest != nil {
		if err := a.store.PutManifest(r.Manifest); err != nil {
			r.Manifest, r.Fault = nil, distribution.FaultDisk
		}
	}
	return r
}

// chunkSet is what the agent says that it holds.
func (a *Agent) chunkSet(manifest digest.Digest) (distribution.ChunkSet, bool) {
	set, known := a.core.Chunks(manifest)
	if a.ClaimsAllChunks && known {
		for i := range set {
			set[i] = 0xff
		}
	}
	return set, known
}

// getChunk begins a transfer, unless the source refuses it.
func (a *Agent) getChunk(e agent.GetChunk) {
	refuse := func(d time.Duration, f distribution.Fault) {
		a.schedule(d, func() agent.Event { return agent.ChunkResult{ID: e.ID, Fault: f, PartialBytes: e.Offset} })
	}
	t := &transfer{world: a.world, to: a, request: e}
	var content []byte
	var set distribution.ChunkSet
	if e.From.Name == distribution.StoreSource {
		t.from = &a.world.Store.endpoint
		if a.world.Store.Down {
			refuse(latency, distribution.FaultUnreachable)
			return
		}
		content = a.world.Store.uploadContent(e.Chunk.Digest)
	} else {
		p := a.findPeer(e.From.Name)
		if p == nil {
			refuse(latency, distribution.FaultUnreachable)
			return
		}
		t.source, t.from = p, &p.endpoint
		if !p.hanging && len(p.uploads) >= p.UploadSlots {
			p.RefusedUploads++
			refuse(latency, distribution.FaultBusy)
			return
		}
		content = p.uploadContent(e.Chunk.Digest)
		set, _ = p.chunkSet(e.Manifest)
	}
	if content == nil {
		refuse(latency, distribution.FaultMissing)
		return
	}
	if int64(len(content)) != e.Chunk.Size {
		refuse(latency, distribution.FaultDamaged) // its head says so
		return
	}
	t.content = content[e.Offset:]
	life := a.incarnation
	t.onEnd = func(r agent.ChunkResult) {
		delete(a.fetches, e.ID)
		if a.incarnation == life {
			r.Chunks = set
			a.step(r)
		}
	}
	a.fetches[e.ID] = t
	t.start()
}

// bytes is what it would send of a chunk; nil: it doesn't have it.
func (a *Agent) uploadContent(d digest.Digest) []byte {
	file, err := a.store.OpenChunk(d)
	if err != nil {
		return nil
	}
	defer file.Close()
	content, err := io.ReadAll(file)
	if err != nil {
		return nil
	}
	if a.SendsDamagedChunks {
		return corrupted(content)
	}
	return content
}

// checkServed reads every byte of what the agent serves: they are those of one version.
func (a *Agent) checkServed() {
	for _, name := range a.world.Options.Names {
		r, err := a.store.OpenActive(name)
		if errors.Is(err, chunkstore.ErrUnknown) && !a.ActivatedNames[name] {
			continue
		}
		if err != nil {
			a.world.recordViolation("%s can't serve %s: %v", a.Name, name, err)
			continue
		}
		content, err := io.ReadAll(r)
		if err = errors.Join(err, r.Close()); err != nil || !bytes.Equal(content, a.world.versions[r.Manifest]) {
			a.world.recordViolation("%s serves a mixed or damaged version of %s: %v", a.Name, name, err)
		}
	}
}
