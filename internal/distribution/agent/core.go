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
	effects  []Effect

	targets       []*targetState
	versions      map[digest.Digest]*versionState
	chunks        map[digest.Digest]*chunkState
	sources       map[sourceKey]*sourceState
	excludedUntil map[sourceKey]time.Duration // sources that were given back, until when
	fetches       map[uint64]*activeFetch
	lastFetchID   uint64

	diskUsedBytes   int64 // bytes on disk, with what is still to come of fetches
	diskPausedUntil time.Duration
	diskFailures    int
	overBudget      bool
	verifiedAt      map[digest.Digest]time.Duration
	faults          []distribution.SourceFault
	term            int64
	sequence        int64
	reportInFlight  bool
	nextReportAt    time.Duration
	reportInterval  time.Duration // between reports, by the tracker's last word
	counts          CoreCounts
}

// CoreCounts are of all that an agent has done.
type CoreCounts struct {
	StoredChunks  int64 // that were stored
	PeerBytes     int64 // bytes
	StoreBytes    int64 // bytes
	Faults        map[distribution.Fault]int64
	Activations   int64
	EvictedChunks int64
}

// target is a name whose weights the agent is to hold.
type targetState struct {
	name                  string
	revision              int64
	wanted                digest.Digest // none: the tracker has not told
	active                digest.Digest
	activating            bool
	activateRetryAt       time.Duration
	manifestRetryAt       time.Duration // when the manifest may be asked for again
	fetchingManifest      bool          // for the manifest
	failedManifestFetches int           // times in vain
}

// version is a manifest with what is held of it.
type versionState struct {
	*distribution.Manifest
	positions   map[digest.Digest][]int
	held        distribution.ChunkSet
	heldCount   int
	lastFetchAt time.Duration // when a fetch last began, but for other stripes of the store
}

// whole tells whether every chunk is held.
func (v *versionState) complete() bool { return v.heldCount == len(v.Manifest.Chunks) }

// chunk is a part of one or more versions.
type chunkState struct {
	distribution.Chunk
	stored        bool
	partialBytes  int64
	fetch         *activeFetch
	contributors  map[string]bool // sources of what is kept in part
	singleSource  bool            // to be fetched from one source, so that damage has one culprit
	removing      bool
	removeRetryAt time.Duration // not before
	lastUsedAt    time.Duration
}

// NewCore makes an agent that holds what was found on disk.
func NewCore(settings CoreSettings, stored Stored) *Core {
	c := &Core{
		settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, 0)), reportInterval: settings.ReportInterval,
		versions: map[digest.Digest]*versionState{}, chunks: map[digest.Digest]*chunkState{}, sources: map[sourceKey]*sourceState{},
		excludedUntil: map[sourceKey]time.Duration{}, fetches: map[uint64]*activeFetch{}, verifiedAt: map[digest.Digest]time.Duration{},
		counts: CoreCounts{Faults: map[distribution.Fault]int64{}},
	}
	for d, size := range stored.Chunks {
		c.chunks[d] = &chunkState{Chunk: distribution.Chunk{Digest: d, Size: size}, stored: true}
		c.diskUsedBytes += size
	}
	for d, size := range stored.Partial {
		// Who sent it isn't known any more.
		c.chunks[d] = &chunkState{Chunk: distribution.Chunk{Digest: d}, partialBytes: size, contributors: map[string]bool{"": true}}
		c.diskUsedBytes += size
	}
	for _, m := range stored.Manifests {
		c.addManifest(m)
	}
	for _, n := range settings.Names {
		active := stored.Active[n]
		c.targets = append(c.targets, &targetState{name: n, revision: active.Revision, wanted: active.Manifest, active: active.Manifest})
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
func (c *Core) DiskUsedBytes() int64 { return c.diskUsedBytes }

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
	c.now, c.effects = now, nil
	for _, e := range events {
		c.handleEvent(e)
	}
	c.advanceTargets()
	c.removeUnusedSources()
	c.startFetches()
	c.reportIfDue()
	return c.effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) log(text string, args ...any) { c.emit(Log{text, args}) }

func (c *Core) handleEvent(e Event) {
	switch e := e.(type) {
	case TrackerAnswered:
		c.handleTrackerAnswer(e.Answer)
	case TrackerFailed:
		c.handleTrackerFailure(e)
	case ManifestResult:
		c.handleManifestResult(e)
	case ChunkSetResult:
		c.handleChunkSetResult(e)
	case ChunkResult:
		c.handleChunkResult(e)
	case ActivateResult:
		c.handleActivateResult(e)
	case RemoveResult:
		c.handleRemoveResult(e)
	case ChunkLost:
		c.handleChunkLost(e.Chunk)
	case Tick:
	}
}

// answered takes in the tracker's answer.
func (c *Core) handleTrackerAnswer(a distribution.Answer) {
	c.reportInFlight = false
	c.reportInterval = min(max(time.Duration(a.NextMs)*time.Millisecond, c.settings.ReportInterval/16), c.settings.ReportInterval*16)
	c.nextReportAt = c.now + c.reportInterval
	if a.Term < c.term {
		return // of a leader that has been replaced
	}
	c.term = a.Term
	for _, r := range a.Names {
		c.applyNameRecord(r)
	}
	c.updateSources(a)
	for _, manifest := range a.Recheck {
		c.verifyManifest(manifest)
	}
}

// trackerFailed goes on with what is known, and asks again after a while.
func (c *Core) handleTrackerFailure(e TrackerFailed) {
	c.reportInFlight = false
	c.nextReportAt = c.now + c.jitter(max(e.RetryAfter, c.settings.ReportInterval/2))
}

// jitter gives a time between once and one and a half times as long.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d + time.Duration(c.rng.Int64N(int64(d)/2+1))
}

// backOff is the pause after so many failures in a row.
func (c *Core) backoff(failures int) time.Duration {
	return c.jitter(c.settings.ReportInterval / retryDivisor << min(max(failures-1, 0), maxRetryDoublings))
}

// report sends an inventory when one is due.
func (c *Core) reportIfDue() {
	if c.reportInFlight || c.now < c.nextReportAt {
		return
	}
	c.reportInFlight = true
	c.sequence++
	told := c.faults[:min(len(c.faults), maxReportedFaults)]
	c.faults = nil
	i := distribution.Inventory{
		Agent: c.settings.Agent, Zone: c.settings.Zone, Address: c.settings.Address, Session: c.settings.Session,
		Sequence: c.sequence, UploadSlots: c.settings.UploadSlots, Wants: c.settings.Names, Faults: told, Waits: c.waitReasons(),
	}
	for _, d := range slices.Sorted(maps.Keys(c.versions)) {
		v := c.versions[d]
		if len(i.Holdings) < maxReportedHoldings && (v.heldCount > 0 || c.isReferenced(d)) {
			i.Holdings = append(i.Holdings, distribution.Holding{Manifest: d, Chunks: v.heldCount, Total: len(v.Manifest.Chunks), Active: c.isActive(d)})
		}
	}
	c.emit(Report{i})
}

// serves tells whether a name is served from a manifest.
func (c *Core) isActive(manifest digest.Digest) bool {
	return slices.ContainsFunc(c.targets, func(n *targetState) bool { return n.active == manifest })
}

// needed tells whether a name wants a manifest or is served from it.
func (c *Core) isReferenced(manifest digest.Digest) bool {
	return slices.ContainsFunc(c.targets, func(n *targetState) bool { return n.active == manifest || n.wanted == manifest })
}

// waits says of every name that isn't served from what it should be, why.
func (c *Core) waitReasons() (waits []distribution.Wait) {
	for _, n := range c.targets {
		if n.wanted != "" && n.active == n.wanted {
			continue
		}
		waits = append(waits, c.waitReason(n))
	}
	return waits
}

func (c *Core) waitReason(n *targetState) distribution.Wait {
	w := distribution.Wait{Name: n.name}
	v := c.versions[n.wanted]
	switch {
	case n.wanted == "":
		w.Why = "no manifest is known for the name"
		return w
	case v == nil:
		w.Why = "nobody has given the manifest yet"
		return w
	case v.complete():
		w.Why = "all chunks are there, activation is under way"
		return w
	}
	w.Chunks = len(v.Manifest.Chunks) - v.heldCount
	fetched, nowhere := 0, 0
	for i, x := range v.Manifest.Chunks {
		switch {
		case v.held.Has(i):
		case c.chunks[x.Digest].fetch != nil:
			fetched++
		case !c.hasUsableSource(v, i):
			if nowhere++; w.Chunk == "" {
				w.Chunk = x.Digest
			}
		}
	}
	switch {
	case c.now < c.diskPausedUntil:
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
