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
// does no input or output. Events go into Step, effects come out of it.
type Core struct {
	settings CoreSettings
	rng      *rand.Rand
	now      time.Duration // of the step under way
	effects  []Effect      // of the step under way

	targets       []*targetState
	versions      map[digest.Digest]*versionState
	chunks        map[digest.Digest]*chunkState
	sources       map[sourceKey]*sourceState
	excludedUntil map[sourceKey]time.Duration // released sources that aren't used again before
	fetches       map[uint64]*activeFetch
	lastFetchID   uint64
	verifiedAt    map[digest.Digest]time.Duration // when a manifest's chunks were last verified on request

	disk    diskState
	reports reportState
	counts  CoreCounts
}

// NewCore returns the core of an agent that holds what was found on disk.
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

// restore takes over what was found on disk.
func (c *Core) restore(stored StoredState) {
	for d, size := range stored.Chunks {
		c.chunks[d] = &chunkState{Chunk: distribution.Chunk{Digest: d, Size: size}, stored: true}
		c.disk.usedBytes += size
	}
	for d, size := range stored.Partial {
		// Who sent these bytes isn't known any more.
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

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) log(text string, args ...any) { c.emit(Log{text, args}) }

// jitter returns a random duration between d and one and a half times d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d + time.Duration(c.rng.Int64N(int64(d)/2+1))
}

// backoff returns the pause after a number of consecutive failures.
func (c *Core) backoff(failures int) time.Duration {
	doublings := min(max(failures-1, 0), maxRetryDoublings)
	return c.jitter(c.settings.ReportInterval / retryDivisor << doublings)
}

// Counts returns what the agent has done since its start.
func (c *Core) Counts() CoreCounts {
	counts := c.counts
	counts.Faults = maps.Clone(counts.Faults)
	return counts
}

// DiskUsedBytes returns how many bytes chunks take on disk, including those reserved for
// fetches under way.
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

// Chunks returns the positions of a manifest whose chunks are stored, and whether the
// manifest is known.
func (c *Core) Chunks(manifest digest.Digest) (distribution.ChunkSet, bool) {
	version := c.versions[manifest]
	if version == nil {
		return nil, false
	}
	return slices.Clone(version.held), true
}
