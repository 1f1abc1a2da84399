package agent

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// Core decides what an agent does. It reads no clock and does no input or output.
type Core struct {
	settings CoreSettings
	rng      *rand.Rand
	now      time.Duration
	out      []Effect

	targets  []*target
	versions map[digest.Digest]*version
	chunks   map[digest.Digest]*chunk
	sources  map[sourceKey]*source
	dropped  map[sourceKey]time.Duration // sources that were given back, until when
	fetches  map[uint64]*fetch
	nextID   uint64

	used       int64 // bytes on disk, with what is still to come of fetches
	diskUntil  time.Duration
	diskFailed int
	overBudget bool
	rechecked  map[digest.Digest]time.Duration
	faults     []distribution.SourceFault
	term       int64
	sequence   int64
	reporting  bool
	reportAt   time.Duration
	every      time.Duration // between reports, by the tracker's last word
	counts     CoreCounts
}

// CoreCounts are of all that an agent has done.
type CoreCounts struct {
	Chunks    int64 // that were stored
	FromPeers int64 // bytes
	FromStore int64 // bytes
	Faults    map[distribution.Fault]int64
	Activated int64
	Evicted   int64
}

// target is a name whose weights the agent is to hold.
type target struct {
	name       string
	revision   int64
	wanted     digest.Digest // none: the tracker has not told
	active     digest.Digest
	activating bool
	activateAt time.Duration
	manifestAt time.Duration // when the manifest may be asked for again
	asking     bool          // for the manifest
	asked      int           // times in vain
}

// version is a manifest with what is held of it.
type version struct {
	*distribution.Manifest
	positions map[digest.Digest][]int
	held      distribution.ChunkSet
	count     int
	begunAt   time.Duration // when a fetch last began, but for other stripes of the store
}

// whole tells whether every chunk is held.
func (v *version) whole() bool { return v.count == len(v.Manifest.Chunks) }

// chunk is a part of one or more versions.
type chunk struct {
	distribution.Chunk
	held         bool
	partial      int64
	fetch        *fetch
	contributors map[string]bool // sources of what is kept in part
	whole        bool            // to be fetched from one source, so that damage has one culprit
	removing     bool
	removeAt     time.Duration // not before
	usedAt       time.Duration
}

// NewCore makes an agent that holds what was found on disk.
func NewCore(settings CoreSettings, stored Stored) *Core {
	c := &Core{
		settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, 0)), every: settings.Report,
		versions: map[digest.Digest]*version{}, chunks: map[digest.Digest]*chunk{}, sources: map[sourceKey]*source{},
		dropped: map[sourceKey]time.Duration{}, fetches: map[uint64]*fetch{}, rechecked: map[digest.Digest]time.Duration{},
		counts: CoreCounts{Faults: map[distribution.Fault]int64{}},
	}
	for d, size := range stored.Chunks {
		c.chunks[d] = &chunk{Chunk: distribution.Chunk{Digest: d, Size: size}, held: true}
		c.used += size
	}
	for d, size := range stored.Partial {
		// Who sent it isn't known any more.
		c.chunks[d] = &chunk{Chunk: distribution.Chunk{Digest: d}, partial: size, contributors: map[string]bool{"": true}}
		c.used += size
	}
	for _, m := range stored.Manifests {
		c.learn(m)
	}
	for _, n := range settings.Names {
		active := stored.Active[n]
		c.targets = append(c.targets, &target{name: n, revision: active.Revision, wanted: active.Manifest, active: active.Manifest})
	}
	return c
}

// Counts are of all that was done since the start.
func (c *Core) Counts() CoreCounts {
	counts := c.counts
	counts.Faults = maps.Clone(counts.Faults)
	return counts
}

// Used is how many bytes chunks take on disk.
func (c *Core) Used() int64 { return c.used }

// Active is what a name is served from; none: nothing yet.
func (c *Core) Active(of string) digest.Digest {
	for _, n := range c.targets {
		if n.name == of {
			return n.active
		}
	}
	return ""
}

// Chunks tells which chunks of a manifest are held, in positions.
func (c *Core) Chunks(manifest digest.Digest) (distribution.ChunkSet, bool) {
	v := c.versions[manifest]
	if v == nil {
		return nil, false
	}
	return slices.Clone(v.held), true
}

// Step takes events and gives what is to be done about them.
func (c *Core) Step(now time.Duration, events ...Event) []Effect {
	c.now, c.out = now, nil
	for _, e := range events {
		c.handle(e)
	}
	c.followNames()
	c.forgetSources()
	c.fetchMore()
	c.report()
	return c.out
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }

func (c *Core) log(text string, args ...any) { c.emit(Log{text, args}) }

func (c *Core) handle(e Event) {
	switch e := e.(type) {
	case TrackerAnswered:
		c.answered(e.Answer)
	case TrackerFailed:
		c.trackerFailed(e)
	case ManifestResult:
		c.manifestCame(e)
	case ChunksResult:
		c.chunksCame(e)
	case ChunkResult:
		c.chunkCame(e)
	case ActivateResult:
		c.activated(e)
	case RemoveResult:
		c.removed(e)
	case ChunkLost:
		c.lost(e.Chunk)
	case Tick:
	}
}

// answered takes in the tracker's answer.
func (c *Core) answered(a distribution.Answer) {
	c.reporting = false
	c.every = min(max(time.Duration(a.NextMs)*time.Millisecond, c.settings.Report/16), c.settings.Report*16)
	c.reportAt = c.now + c.every
	if a.Term < c.term {
		return // of a leader that has been replaced
	}
	c.term = a.Term
	for _, r := range a.Names {
		c.named(r)
	}
	c.sourcesNamed(a)
	for _, manifest := range a.Recheck {
		c.recheck(manifest)
	}
}

// trackerFailed goes on with what is known, and asks again after a while.
func (c *Core) trackerFailed(e TrackerFailed) {
	c.reporting = false
	c.reportAt = c.now + c.jitter(max(e.RetryAfter, c.settings.Report/2))
}

// jitter gives a time between once and one and a half times as long.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d + time.Duration(c.rng.Int64N(int64(d)/2+1))
}

// backOff is the pause after so many failures in a row.
func (c *Core) backOff(failures int) time.Duration {
	return c.jitter(c.settings.Report / retryShare << min(max(failures-1, 0), retryDoublings))
}

// report sends an inventory when one is due.
func (c *Core) report() {
	if c.reporting || c.now < c.reportAt {
		return
	}
	c.reporting = true
	c.sequence++
	told := c.faults[:min(len(c.faults), faultsMost)]
	c.faults = nil
	i := distribution.Inventory{
		Agent: c.settings.Agent, Zone: c.settings.Zone, Address: c.settings.Address, Session: c.settings.Session,
		Sequence: c.sequence, UploadSlots: c.settings.UploadSlots, Wants: c.settings.Names, Faults: told, Waits: c.waits(),
	}
	for _, d := range slices.Sorted(maps.Keys(c.versions)) {
		v := c.versions[d]
		if len(i.Holdings) < holdingsMost && (v.count > 0 || c.needed(d)) {
			i.Holdings = append(i.Holdings, distribution.Holding{Manifest: d, Chunks: v.count, Total: len(v.Manifest.Chunks), Active: c.serves(d)})
		}
	}
	c.emit(Report{i})
}

// serves tells whether a name is served from a manifest.
func (c *Core) serves(manifest digest.Digest) bool {
	return slices.ContainsFunc(c.targets, func(n *target) bool { return n.active == manifest })
}

// needed tells whether a name wants a manifest or is served from it.
func (c *Core) needed(manifest digest.Digest) bool {
	return slices.ContainsFunc(c.targets, func(n *target) bool { return n.active == manifest || n.wanted == manifest })
}

// waits says of every name that isn't served from what it should be, why.
func (c *Core) waits() (waits []distribution.Wait) {
	for _, n := range c.targets {
		if n.wanted != "" && n.active == n.wanted {
			continue
		}
		waits = append(waits, c.wait(n))
	}
	return waits
}

func (c *Core) wait(n *target) distribution.Wait {
	w := distribution.Wait{Name: n.name}
	v := c.versions[n.wanted]
	switch {
	case n.wanted == "":
		w.Why = "no manifest is known for the name"
		return w
	case v == nil:
		w.Why = "nobody has given the manifest yet"
		return w
	case v.whole():
		w.Why = "all chunks are there, activation is under way"
		return w
	}
	w.Chunks = len(v.Manifest.Chunks) - v.count
	fetched, nowhere := 0, 0
	for i, x := range v.Manifest.Chunks {
		switch {
		case v.held.Has(i):
		case c.chunks[x.Digest].fetch != nil:
			fetched++
		case !c.offered(v, i):
			if nowhere++; w.Chunk == "" {
				w.Chunk = x.Digest
			}
		}
	}
	switch {
	case c.now < c.diskUntil:
		w.Why = "the disk takes no more"
	case c.overBudget:
		w.Why = "disk_bytes is used up by chunks that are in use"
	case fetched > 0:
		w.Why = "chunks are being fetched"
	case nowhere > 0:
		w.Why = "no source has the chunk"
	default:
		w.Why = "sources are busy or paused"
	}
	if w.Chunk != "" && nowhere > 0 {
		w.Chunks = nowhere
	}
	return w
}
