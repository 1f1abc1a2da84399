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
	w     *World
	Name  string
	zone  string
	Disk  afero.Fs
	Up    bool
	Slots int
	// Lies has it claim every chunk of every manifest that it knows.
	Lies bool
	// Damages has it send wrong bytes.
	Damages bool
	// Silent has it neither report nor hear the controllers.
	Silent bool
	// Received counts bytes by chunk, over all lives.
	Received map[digest.Digest]int64
	// Activated has the names of which a version became active, in any life.
	Activated map[string]bool
	// HeardWaits is what it last told the tracker that it waits for.
	HeardWaits []distribution.Wait

	core       *agent.Core
	store      *chunkstore.Store
	life       int
	controller int
	fetches    map[uint64]*transfer
}

const directory = "/weights"

func newAgent(w *World, i int) *Agent {
	zones := w.Options.Settings.Zones
	return &Agent{
		w: w, Name: fmt.Sprintf("agent-%04d", i), zone: zones[i%len(zones)], Disk: afero.NewMemMapFs(), Slots: 4,
		endpoint: endpoint{rate: w.Options.Rate}, controller: i % len(w.Nodes), Received: map[digest.Digest]int64{}, Activated: map[string]bool{},
	}
}

// Zone is where it is.
func (a *Agent) Zone() string { return a.zone }

// SetRate changes its link.
func (a *Agent) SetRate(bytesPerS float64) { a.rate = bytesPerS; reshare(&a.endpoint) }

// Hang stops everything of the machine without a word, or lets it go on.
func (a *Agent) Hang(hangs bool) { a.hangs = hangs; reshare(&a.endpoint) }

// Counts are what its process has counted.
func (a *Agent) Counts() agent.CoreCounts { return a.core.Counts() }

// Used is what it takes on disk, by its own account.
func (a *Agent) Used() int64 { return a.core.DiskUsedBytes() }

// Active is what it serves a name from.
func (a *Agent) Active(name string) digest.Digest { return a.core.Active(name) }

// Start starts the process with what is on disk.
func (a *Agent) Start() {
	store, err := chunkstore.Open(a.Disk, directory)
	if err != nil {
		a.w.fail("%s: %v", a.Name, err)
		return
	}
	stored, err := agent.LoadStored(store, a.w.Options.Names)
	if err != nil {
		a.w.fail("%s: %v", a.Name, err)
		return
	}
	a.life++
	report := a.w.report()
	a.core = agent.NewCore(agent.CoreSettings{
		Agent: a.Name, Zone: a.zone, Address: a.Name + ":7000", Session: int64(a.life), Names: a.w.Options.Names, HasStore: true,
		UploadSlots: a.Slots, MaxDownloads: 8, DiskLimitBytes: a.w.Options.DiskBytes, MinBytesPerSecond: max(1, int64(a.w.Options.Rate/64)), StallTimeout: 2 * report, ReportInterval: report,
		Seed: a.w.Options.Seed + uint64(a.life)<<32 + uint64(len(a.Name)) + uint64(a.Name[len(a.Name)-1])<<8 + uint64(a.Name[len(a.Name)-2])<<16,
	}, stored)
	a.store, a.Up, a.fetches = store, true, map[uint64]*transfer{}
	life := a.life
	var tick func()
	tick = func() {
		if a.Up && a.life == life {
			a.step(agent.Tick{})
			a.w.After(report/time.Duration(a.w.Options.Ticks), tick)
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
	if a.hangs {
		life := a.life
		a.w.After(a.w.report()/4, func() {
			if _, tick := e.(agent.Tick); a.Up && a.life == life && !tick {
				a.step(e)
			}
		})
		return
	}
	for _, effect := range a.core.Step(a.w.Now, e) {
		a.perform(effect)
	}
}

// later brings an event to the process, if it still is the same.
func (a *Agent) later(d time.Duration, what func() agent.Event) {
	life := a.life
	a.w.After(d, func() {
		if a.Up && a.life == life {
			a.step(what())
		}
	})
}

func (a *Agent) perform(effect agent.Effect) {
	switch e := effect.(type) {
	case agent.Report:
		a.HeardWaits = e.Inventory.Waits
		a.report(e.Inventory)
	case agent.GetManifest:
		a.later(2*latency, func() agent.Event { return a.getManifest(e) })
	case agent.GetChunkSet:
		a.ask(e.From, func(p *Agent) agent.Event {
			set, _ := p.chunkSet(e.Manifest)
			return agent.ChunkSetResult{Source: e.From.Name, Manifest: e.Manifest, Chunks: set}
		}, func(f distribution.Fault) agent.Event {
			return agent.ChunkSetResult{Source: e.From.Name, Manifest: e.Manifest, Fault: f}
		})
	case agent.GetChunk:
		a.getChunk(e)
	case agent.CancelChunk:
		if t := a.fetches[e.ID]; t != nil {
			answered := t.answered
			t.answered = func(r agent.ChunkResult) { r.Cancelled = true; answered(r) }
			t.end(distribution.FaultUnreachable)
		}
	case agent.Activate:
		a.later(latency, func() agent.Event {
			err := a.store.Activate(e.Name, distribution.ActiveVersion{Manifest: e.Manifest, Revision: e.Revision})
			if err == nil {
				a.Activated[e.Name] = true
				a.checkServed()
			}
			return agent.ActivateResult{Name: e.Name, Manifest: e.Manifest, Failed: err != nil}
		})
	case agent.Remove:
		a.later(latency, func() agent.Event {
			removed, err := a.store.Remove(e.Chunk)
			return agent.RemoveResult{Chunk: e.Chunk, Removed: removed && err == nil}
		})
	case agent.Verify:
		a.later(latency, func() agent.Event {
			if sound, err := a.store.Verify(e.Chunk); err != nil || sound {
				return agent.Tick{}
			}
			return agent.ChunkLost(e)
		})
	}
}

// report asks one controller after another, as the real agent does.
func (a *Agent) report(i distribution.Inventory) {
	life, answered := a.life, false
	finish := func(e agent.Event) {
		if a.Up && a.life == life && !answered {
			answered = true
			a.step(e)
		}
	}
	if !a.Silent && !a.w.CutZones[a.zone] {
		controller := a.controller
		a.w.After(latency, func() {
			a.w.inventory(controller, i, func(r tracker.Reply) {
				if answer, ok := r.Body.(distribution.Answer); ok && r.Status == http.StatusOK {
					a.w.After(latency, func() { finish(agent.TrackerAnswered{Answer: answer}) })
					return
				}
				a.controller = (controller + 1) % len(a.w.Nodes)
				a.w.After(latency, func() { finish(agent.TrackerFailed{RetryAfter: r.RetryAfter}) })
			})
		})
	}
	a.w.After(a.w.report(), func() {
		if !answered {
			a.controller = (a.controller + 1) % len(a.w.Nodes)
			finish(agent.TrackerFailed{})
		}
	})
}

// peer finds an agent by its name, if it can be reached at all.
func (a *Agent) peer(name string) *Agent {
	for _, p := range a.w.Agents {
		if p.Name == name && p.Up {
			return p
		}
	}
	return nil
}

// ask has a peer answer a small request: at once, not at all until the time is up, or never
// because it is gone.
func (a *Agent) ask(from agent.Peer, answer func(*Agent) agent.Event, failed func(distribution.Fault) agent.Event) {
	p := a.peer(from.Name)
	switch {
	case p == nil:
		a.later(latency, func() agent.Event { return failed(distribution.FaultUnreachable) })
	case p.hangs || a.w.apart(a.zone, p.zone):
		a.later(2*a.w.report(), func() agent.Event { return failed(distribution.FaultSlow) })
	default:
		a.later(2*latency, func() agent.Event {
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
		if a.w.Store.Down || a.w.apart(a.zone, storeZone) {
			r.Fault = distribution.FaultUnreachable
			return r
		}
		r.Manifest = a.w.Store.manifests[e.Digest]
	default:
		p := a.peer(e.From.Name)
		if p == nil || p.hangs || a.w.apart(a.zone, p.zone) {
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
	if a.Lies && known {
		for i := range set {
			set[i] = 0xff
		}
	}
	return set, known
}

// getChunk begins a transfer, unless the source refuses it.
func (a *Agent) getChunk(e agent.GetChunk) {
	refuse := func(d time.Duration, f distribution.Fault) {
		a.later(d, func() agent.Event { return agent.ChunkResult{ID: e.ID, Fault: f, PartialBytes: e.Offset} })
	}
	t := &transfer{w: a.w, to: a, fetch: e}
	var content []byte
	var set distribution.ChunkSet
	if e.From.Name == distribution.StoreSource {
		t.from = &a.w.Store.endpoint
		if a.w.Store.Down {
			refuse(latency, distribution.FaultUnreachable)
			return
		}
		content = a.w.Store.bytes(e.Chunk.Digest)
	} else {
		p := a.peer(e.From.Name)
		if p == nil {
			refuse(latency, distribution.FaultUnreachable)
			return
		}
		t.source, t.from = p, &p.endpoint
		if !p.hangs && len(p.uploads) >= p.Slots {
			p.RefusedSlots++
			refuse(latency, distribution.FaultBusy)
			return
		}
		content = p.bytes(e.Chunk.Digest)
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
	life := a.life
	t.answered = func(r agent.ChunkResult) {
		delete(a.fetches, e.ID)
		if a.life == life {
			r.Chunks = set
			a.step(r)
		}
	}
	a.fetches[e.ID] = t
	t.begin()
}

// bytes is what it would send of a chunk; nil: it doesn't have it.
func (a *Agent) bytes(d digest.Digest) []byte {
	file, err := a.store.OpenChunk(d)
	if err != nil {
		return nil
	}
	defer file.Close()
	content, err := io.ReadAll(file)
	if err != nil {
		return nil
	}
	if a.Damages {
		return inverted(content)
	}
	return content
}

// checkServed reads every byte of what the agent serves: they are those of one version.
func (a *Agent) checkServed() {
	for _, name := range a.w.Options.Names {
		r, err := a.store.OpenActive(name)
		if errors.Is(err, chunkstore.ErrUnknown) && !a.Activated[name] {
			continue
		}
		if err != nil {
			a.w.fail("%s can't serve %s: %v", a.Name, name, err)
			continue
		}
		content, err := io.ReadAll(r)
		if err = errors.Join(err, r.Close()); err != nil || !bytes.Equal(content, a.w.versions[r.Manifest]) {
			a.w.fail("%s serves a mixed or damaged version of %s: %v", a.Name, name, err)
		}
	}
}
