package agent

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// Core is the agent's decision logic: a deterministic state machine that reads no clock and
// performs no I/O. Step processes events and returns the effects to carry out.
type Core struct {
	settings CoreSettings
	rng      *rand.Rand
	now      time.Duration // time of the current step
	effects  []Effect      // effects of the current step

	targets       []*targetState
	versions      map[digest.Digest]*versionState
	chunks        map[digest.Digest]*chunkState
	sources       map[sourceKey]*sourceState
	excludedUntil map[sourceKey]time.Duration // when a released source may be used again
	fetches       map[uint64]*activeFetch
	lastFetchID   uint64
	verifiedAt    map[digest.Digest]time.Duration // when a manifest's chunks were last verified at the tracker's request

	disk    diskState
	reports reportState
	counts  CoreCounts
}

// NewCore returns a Core that starts with the state found on disk.
func NewCore(settings CoreSettings, stored StoredState) *Core {
	c := &Core{
		settings:      settings,
		rng:           rand.New(rand.NewPCG(settings.Seed, 0)),
		versions:      map[digest.Digest]*versionState{},
		chunks:        map[digest.Digest]*chunkState{},
		sources:       map[sourceKey]*sourceState{},
		excludedUntil: map[sourceKey]time.Duration{},
		fetches:       map[uint64]*activeFetch{},
		verifiedAt:    map[digest.Digest]time.Duration{},
		reports:       reportState{interval: settings.ReportInterval},
		counts:        CoreCounts{Faults: map[distribution.Fault]int64{}},
	}
	c.restore(stored)
	return c
}

// restore sets up chunks, versions and targets from the state found on disk.
func (c *Core) restore(stored StoredState) {
	for d, size := range stored.Chunks {
		c.chunks[d] = &chunkState{Chunk: distribution.Chunk{Digest: d, Size: size}, stored: true}
		c.disk.usedBytes += size
	}
	for d, size := range stored.Partial {
		// The sources of these bytes are unknown after a restart. The empty name stands for
		// them, so that no single source is blamed if the chunk turns out to be damaged.
		c.chunks[d] = &chunkState{Chunk: distribution.Chunk{Digest: d}, partialBytes: size, contributors: map[string]bool{"": true}}
		c.disk.usedBytes += size
	}
	for _, m := range stored.Manifests {
		c.addManifest(m)
	}
	for _, name := range c.settings.Names {
		active := stored.Active[name]
		c.targets = append(c.targets, &targetState{name: name, revision: active.Revision, wanted: active.Manifest, active: active.Manifest})
	}
}

// Step processes events and returns the effects that the caller has to carry out.
func (c *Core) Step(now time.Duration, events ...Event) []Effect {
	c.now, c.effects = now, nil
	for _, e := range events {
		c.handleEvent(e)
	}
	c.advanceTargets()
	c.cancelUnneededFetches()
	c.removeUnusedSources()
	c.startFetches()
	c.reportIfDue()
	return c.effects
}

func (c *Core) handleEvent(event Event) {
	switch e := event.(type) {
	case TrackerResponse:
		c.handleTrackerResponse(e.Response)
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

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) log(text string, args ...any) { c.emit(Log{text, args}) }

// jitter returns a random duration between d and one and a half times d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d + time.Duration(c.rng.Int64N(int64(d)/2+1))
}

// backoff returns the delay before the next attempt, with jitter. It doubles with each consecutive
// failure, up to maxRetryDoublings times.
func (c *Core) backoff(failures int) time.Duration {
	doublings := min(max(failures-1, 0), maxRetryDoublings)
	return c.jitter(c.settings.ReportInterval / retryDivisor << doublings)
}

// Counts returns a copy of the counters since the agent's start.
func (c *Core) Counts() CoreCounts {
	counts := c.counts
	counts.Faults = maps.Clone(counts.Faults)
	return counts
}

// DiskUsedBytes returns how many bytes chunks take on disk, including the space reserved for
// fetches in progress.
func (c *Core) DiskUsedBytes() int64 { return c.disk.usedBytes }

// Active returns the manifest that a name is served from, or "" if none is active yet.
func (c *Core) Active(name string) digest.Digest {
	for _, target := range c.targets {
		if target.name == name {
			return target.active
		}
	}
	return ""
}

// Chunks returns the positions in a manifest whose chunks are stored, and whether the manifest
// is known.
func (c *Core) Chunks(manifest digest.Digest) (distribution.ChunkSet, bool) {
	version := c.versions[manifest]
	if version == nil {
		return nil, false
	}
	return slices.Clone(version.held), true
}
