package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// sourceKey identifies a source: an agent or the store, for one manifest.
type sourceKey struct {
	agent    string
	manifest digest.Digest
}

// sourceState is a place where chunks of a manifest may be fetched.
type sourceState struct {
	distribution.Source
	chunks distribution.ChunkSet // nil: not known yet
	fetch  *activeFetch          // at most one at a time

	refreshing      bool // its chunk set is being asked for
	refreshAt       time.Duration
	refreshInterval time.Duration

	pausedUntil         time.Duration
	consecutiveFailures int
	missingChunks       int           // that it claimed to have
	lastUsefulAt        time.Duration // when it last had a chunk that was needed
	released            bool          // given back, or no longer listed by the tracker
}

func (s *sourceState) key() sourceKey { return sourceKey{s.Agent, s.Manifest} }

func (s *sourceState) peer() Peer { return Peer{s.Agent, s.Address} }

func (s *sourceState) isStore() bool { return s.Agent == distribution.StoreSource }

// has reports whether the source is known to have the chunk at a position.
func (s *sourceState) has(i int) bool { return s.isStore() || s.chunks.Has(i) }

// inStripe reports whether a position is in this agent's stripe of the store, which it fetches
// first.
func (s *sourceState) inStripe(i int) bool { return s.Stripes > 0 && i%s.Stripes == s.Stripe }

// isUsable reports whether a source may be asked now.
func (c *Core) isUsable(source *sourceState) bool {
	return !source.released && c.now >= source.pausedUntil
}

// updateSources takes over the sources that the tracker lists. Others are released, unless the
// tracker has just started and can't know them yet.
func (c *Core) updateSources(answer distribution.InventoryResponse) {
	listed := map[sourceKey]bool{}
	for _, given := range answer.Sources {
		key := sourceKey{given.Agent, given.Manifest}
		if !c.acceptsSource(key) {
			continue
		}
		delete(c.excludedUntil, key)
		listed[key] = true
		c.addSource(key, given)
	}
	for key, source := range c.sources {
		if !listed[key] && !answer.KeepSources {
			source.released = true
		}
	}
}

// acceptsSource reports whether a source that the tracker lists may be used.
func (c *Core) acceptsSource(key sourceKey) bool {
	if key.agent == distribution.StoreSource && !c.settings.HasStore {
		return false
	}
	until, excluded := c.excludedUntil[key]
	return !excluded || c.now >= until
}

// addSource adds a source, or updates the one that is known.
func (c *Core) addSource(key sourceKey, given distribution.Source) {
	source := c.sources[key]
	if source == nil {
		source = &sourceState{lastUsefulAt: c.now, refreshInterval: c.settings.ReportInterval / refreshDivisor}
		c.sources[key] = source
	}
	if source.Address != given.Address {
		source.consecutiveFailures, source.pausedUntil = 0, c.now
	}
	source.Source, source.released = given, false
}

// removeUnusedSources drops released sources and those of manifests that no name refers to,
// once nothing of them is under way, and exclusions that have ended.
func (c *Core) removeUnusedSources() {
	for key, source := range c.sources {
		if source.fetch != nil {
			continue
		}
		if source.released && !source.refreshing || !c.isReferenced(source.Manifest) {
			delete(c.sources, key)
		}
	}
	for key, until := range c.excludedUntil {
		if c.now >= until {
			delete(c.excludedUntil, key)
		}
	}
}

// sourcesByPreference returns a manifest's sources: peers of the own zone, then those of other
// zones, then the store, each group in a new random order.
func (c *Core) sourcesByPreference(manifest digest.Digest) []*sourceState {
	var sources []*sourceState
	for _, source := range c.sources {
		if source.Manifest == manifest {
			sources = append(sources, source)
		}
	}
	// Sorted before they are shuffled, so that the order depends on the seed alone.
	slices.SortFunc(sources, func(a, b *sourceState) int { return cmp.Compare(a.Agent, b.Agent) })
	c.rng.Shuffle(len(sources), func(i, j int) { sources[i], sources[j] = sources[j], sources[i] })
	slices.SortStableFunc(sources, func(a, b *sourceState) int { return cmp.Compare(c.distance(a), c.distance(b)) })
	return sources
}

// Distances of sources: the nearest is preferred.
const (
	distanceSameZone = iota
	distanceOtherZone
	distanceStore
)

// distance returns how far a source is from the agent.
func (c *Core) distance(source *sourceState) int {
	switch {
	case source.isStore():
		return distanceStore
	case source.Zone != c.settings.Zone:
		return distanceOtherZone
	}
	return distanceSameZone
}

// firstUsableSource returns the preferred source that may be asked now, or nil.
func (c *Core) firstUsableSource(manifest digest.Digest) *sourceState {
	for _, source := range c.sourcesByPreference(manifest) {
		if c.isUsable(source) {
			return source
		}
	}
	return nil
}

// hasUsableSource reports whether any usable source has the chunk at a position.
func (c *Core) hasUsableSource(version *versionState, i int) bool {
	for _, source := range c.sources {
		if source.Manifest == version.Digest && c.isUsable(source) && source.has(i) {
			return true
		}
	}
	return false
}

// requestChunkSet asks a peer which chunks it holds, if that is due.
func (c *Core) requestChunkSet(source *sourceState, target *targetState) {
	if source.isStore() || source.refreshing || source.fetch != nil || !c.isUsable(source) || c.now < source.refreshAt {
		return
	}
	source.refreshing = true
	c.emit(GetChunkSet{source.peer(), target.name, source.Manifest})
}

// handleChunkSetResult takes over which chunks a source holds. One that has nothing new is
// asked less and less often.
func (c *Core) handleChunkSetResult(result ChunkSetResult) {
	source := c.sources[sourceKey{result.Source, result.Manifest}]
	if source == nil {
		return
	}
	source.refreshing = false
	if result.Fault != "" {
		c.recordFault(source, result.Fault, 0)
		source.refreshAt = max(source.refreshAt, source.pausedUntil)
		return
	}
	source.consecutiveFailures = 0
	source.refreshInterval = min(source.refreshInterval*2, maxRefreshReports*c.settings.ReportInterval)
	if c.updateChunkSet(source, result.Chunks) {
		source.refreshInterval = c.settings.ReportInterval / refreshDivisor
	}
	source.refreshAt = c.now + c.jitter(source.refreshInterval)
}

// updateChunkSet records which chunks a source claims to hold, and reports whether they changed.
func (c *Core) updateChunkSet(source *sourceState, chunks distribution.ChunkSet) (changed bool) {
	version := c.versions[source.Manifest]
	if version == nil || chunks == nil {
		return false
	}
	chunks = chunks.Resized(len(version.Chunks))
	changed = !slices.Equal(source.chunks, chunks)
	source.chunks = chunks
	return changed
}

// recordFault pauses a source after a failed request, or releases it. The store is only
// paused, because there is no other.
func (c *Core) recordFault(source *sourceState, fault distribution.Fault, retryAfter time.Duration) {
	c.counts.Faults[fault]++
	if fault == distribution.FaultBusy {
		source.pausedUntil = c.now + c.jitter(max(retryAfter, c.settings.ReportInterval/retryDivisor))
		return
	}
	source.consecutiveFailures++
	source.pausedUntil = c.now + max(c.backoff(source.consecutiveFailures), retryAfter)
	if source.isStore() {
		return
	}
	switch fault {
	case distribution.FaultDamaged, distribution.FaultSlow, distribution.FaultUseless:
		c.releaseSource(source, fault)
	case distribution.FaultMissing:
		if source.missingChunks++; source.missingChunks >= maxMissingChunks {
			c.releaseSource(source, fault)
		}
	case distribution.FaultUnreachable:
		if source.consecutiveFailures >= maxUnreachableFailures {
			c.releaseSource(source, fault)
		}
	}
}

// releaseSource stops using a source and has the tracker told why, so that it gives another.
func (c *Core) releaseSource(source *sourceState, fault distribution.Fault) {
	c.excludedUntil[source.key()] = c.now + exclusionReports*c.settings.ReportInterval
	source.released = true
	c.reports.faults = append(c.reports.faults, distribution.SourceFault{Source: source.Agent, Manifest: source.Manifest, Fault: fault})
	c.log("source released", "source", source.Agent, "fault", string(fault))
	c.reportSoon()
}
