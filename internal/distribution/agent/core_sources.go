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

// sourceState is the state of an agent or the store as a source of one manifest's chunks.
type sourceState struct {
	distribution.Source
	chunks distribution.ChunkSet // nil until the source has sent its chunk set
	fetch  *activeFetch          // at most one at a time

	refreshing      bool          // a request for its chunk set is in flight
	refreshAt       time.Duration // when the next request for its chunk set is due
	refreshInterval time.Duration

	pausedUntil         time.Duration
	consecutiveFailures int
	missingChunks       int           // chunks that it claimed but didn't have
	lastUsefulAt        time.Duration // when the last fetch from it started, or when it was added
	released            bool          // released after a fault, or no longer listed by the tracker
}

func (s *sourceState) key() sourceKey { return sourceKey{s.Agent, s.Manifest} }

func (s *sourceState) endpoint() Endpoint { return Endpoint{s.Agent, s.Address} }

func (s *sourceState) isStore() bool { return s.Agent == distribution.StoreSource }

// hasChunk reports whether the source is known to have the chunk at a position.
func (s *sourceState) hasChunk(i int) bool { return s.isStore() || s.chunks.Has(i) }

// inStripe reports whether a position is in the stripe of the store that this agent fetches
// first.
func (s *sourceState) inStripe(i int) bool { return s.Stripes > 0 && i%s.Stripes == s.Stripe }

// isUsable reports whether requests may be sent to a source now.
func (c *Core) isUsable(source *sourceState) bool {
	return !source.released && c.now >= source.pausedUntil
}

// updateSources adds or updates the sources that the tracker lists and releases all others. If the
// response sets KeepSources, it releases none: a new leader doesn't know the earlier sources.
func (c *Core) updateSources(response distribution.InventoryResponse) {
	listed := map[sourceKey]bool{}
	for _, entry := range response.Sources {
		key := sourceKey{entry.Agent, entry.Manifest}
		if !c.acceptsSource(key) {
			continue
		}
		delete(c.excludedUntil, key)
		listed[key] = true
		c.addSource(key, entry)
	}
	for key, source := range c.sources {
		if !listed[key] && !response.KeepSources {
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

// addSource adds a source or updates a known one. A new address ends the pause and resets the
// failure count.
func (c *Core) addSource(key sourceKey, update distribution.Source) {
	source := c.sources[key]
	if source == nil {
		source = &sourceState{lastUsefulAt: c.now, refreshInterval: c.settings.ReportInterval / refreshDivisor}
		c.sources[key] = source
	}
	if source.Address != update.Address {
		source.consecutiveFailures, source.pausedUntil = 0, c.now
	}
	source.Source, source.released = update, false
}

// removeUnusedSources deletes sources that are released or whose manifest no name refers to, and
// exclusions that have expired. A source stays while a fetch from it is in flight. A released
// source also stays while a request for its chunk set is in flight.
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

// sourcesByPreference returns a manifest's sources in order of preference: peers in the agent's
// zone, peers in other zones, the store. The order within each group is random.
func (c *Core) sourcesByPreference(manifest digest.Digest) []*sourceState {
	var sources []*sourceState
	for _, source := range c.sources {
		if source.Manifest == manifest {
			sources = append(sources, source)
		}
	}
	// Sorting before the shuffle makes the order depend on the seed alone.
	slices.SortFunc(sources, func(a, b *sourceState) int { return cmp.Compare(a.Agent, b.Agent) })
	c.rng.Shuffle(len(sources), func(i, j int) { sources[i], sources[j] = sources[j], sources[i] })
	slices.SortStableFunc(sources, func(a, b *sourceState) int { return cmp.Compare(c.distance(a), c.distance(b)) })
	return sources
}

// Distances of sources, from the most to the least preferred.
const (
	distanceSameZone = iota
	distanceOtherZone
	distanceStore
)

// distance returns the rank of a source in the order of preference.
func (c *Core) distance(source *sourceState) int {
	switch {
	case source.isStore():
		return distanceStore
	case source.Zone != c.settings.Zone:
		return distanceOtherZone
	}
	return distanceSameZone
}

// firstUsableSource returns the most preferred source that is usable now, or nil.
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
		if source.Manifest == version.Digest && c.isUsable(source) && source.hasChunk(i) {
			return true
		}
	}
	return false
}

// requestChunkSet asks a peer which chunks it holds, if the next request is due and none is in
// flight.
func (c *Core) requestChunkSet(source *sourceState, target *targetState) {
	if source.isStore() || source.refreshing || source.fetch != nil || !c.isUsable(source) || c.now < source.refreshAt {
		return
	}
	source.refreshing = true
	c.emit(GetChunkSet{source.endpoint(), target.name, source.Manifest})
}

// handleChunkSetResult records which chunks a source holds. The interval until the next request
// doubles each time, up to a limit, and starts again at its minimum when the chunk set changes.
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
	source.refreshInterval = min(source.refreshInterval*2, maxRefreshIntervals*c.settings.ReportInterval)
	if c.updateChunkSet(source, result.Chunks) {
		source.refreshInterval = c.settings.ReportInterval / refreshDivisor
	}
	source.refreshAt = c.now + c.jitter(source.refreshInterval)
}

// updateChunkSet records which chunks a source claims to hold, and reports whether the set has
// changed.
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

// recordFault pauses or releases a source after a failed request. The store is only paused,
// because there is no other store.
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

// releaseSource stops using a source and reports its fault, so that the tracker assigns another
// source.
func (c *Core) releaseSource(source *sourceState, fault distribution.Fault) {
	c.excludedUntil[source.key()] = c.now + exclusionIntervals*c.settings.ReportInterval
	source.released = true
	c.reports.faults = append(c.reports.faults, distribution.SourceFault{Source: source.Agent, Manifest: source.Manifest, Fault: fault})
	c.log("source released", "source", source.Agent, "fault", string(fault))
	c.reportSoon()
}
