package agent

import (
	"maps"
	"slices"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// activeFetch is a fetch of a chunk that is in progress.
type activeFetch struct {
	id            uint64
	chunk         *chunkState
	source        *sourceState
	reservedBytes int64 // disk space for the bytes not received yet
	cancelled     bool
}

// startFetches starts as many fetches as the sources and MaxDownloads allow. Names are processed
// in their configured order.
func (c *Core) startFetches() {
	c.disk.limitReached = false
	for _, target := range c.targets {
		version := c.versions[target.wanted]
		if version == nil || version.complete() {
			continue
		}
		c.startVersionFetches(target, version)
	}
}

// availability holds, for each chunk position of a version, how many usable peers have the chunk.
type availability struct {
	sameZone []int // peers in the agent's own zone
	total    []int // peers in any zone
}

// countAvailability counts the usable peers that have each chunk of a version.
func (c *Core) countAvailability(version *versionState, sources []*sourceState) availability {
	chunks := len(version.Chunks)
	counts := availability{sameZone: make([]int, chunks), total: make([]int, chunks)}
	for _, source := range sources {
		if source.isStore() || source.chunks == nil || !c.isUsable(source) {
			continue
		}
		for i := range chunks {
			if !source.chunks.Has(i) {
				continue
			}
			counts.total[i]++
			if source.Zone == c.settings.Zone {
				counts.sameZone[i]++
			}
		}
	}
	return counts
}

// startVersionFetches starts a fetch from each idle source of a version, the preferred sources
// first.
func (c *Core) startVersionFetches(target *targetState, version *versionState) {
	if c.now < c.disk.pausedUntil || !c.hasIdleSource(version) {
		return
	}
	sources := c.sourcesByPreference(version.Digest)
	available := c.countAvailability(version, sources)
	for _, source := range sources {
		if source.fetch != nil || !c.isUsable(source) {
			continue
		}
		if source.chunks == nil && !source.isStore() {
			c.requestChunkSet(source, target)
			continue
		}
		if len(c.fetches) >= c.settings.MaxDownloads {
			return
		}
		position, found := c.selectChunk(version, source, available)
		if !found {
			c.handleIdleSource(target, version, source)
			continue
		}
		source.lastUsefulAt = c.now
		if !c.startFetch(target, version, source, position) {
			return // not enough disk space
		}
	}
}

// hasIdleSource reports whether a version has a usable source without a fetch.
func (c *Core) hasIdleSource(version *versionState) bool {
	for _, source := range c.sources {
		if source.Manifest == version.Digest && source.fetch == nil && c.isUsable(source) {
			return true
		}
	}
	return false
}

// handleIdleSource requests the chunk set of a source that has no chunk to fetch now. If the source
// has had no needed chunk for maxUselessIntervals report intervals, it releases the source instead.
func (c *Core) handleIdleSource(target *targetState, version *versionState, source *sourceState) {
	if source.isStore() {
		return
	}
	if c.now-source.lastUsefulAt > maxUselessIntervals*c.settings.ReportInterval && !c.offersMissingChunk(version, source) {
		c.recordFault(source, distribution.FaultUseless, 0)
		return
	}
	c.requestChunkSet(source, target)
}

// offersMissingChunk reports whether a source has a chunk that isn't stored yet.
func (*Core) offersMissingChunk(version *versionState, source *sourceState) bool {
	for i := range version.Chunks {
		if !version.held.Has(i) && source.hasChunk(i) {
			return true
		}
	}
	return false
}

// candidate is a chunk that may be fetched from a source.
type candidate struct {
	position int
	peers    int  // number of peers that have the chunk
	inStripe bool // in the agent's own stripe of the store
}

// betterThan prefers chunks in the agent's own stripe, then chunks that fewer peers have.
func (a candidate) betterThan(b candidate) bool {
	if a.inStripe != b.inStripe {
		return a.inStripe
	}
	return a.peers < b.peers
}

// selectChunk returns the position of the next chunk to fetch from a source. It prefers the chunk
// that the fewest peers have, so that rare chunks spread first.
func (c *Core) selectChunk(version *versionState, source *sourceState, available availability) (position int, found bool) {
	var best candidate
	first := c.rng.IntN(len(version.Chunks)) // a random start breaks ties between equally good chunks
	for offset := range version.Chunks {
		i := (first + offset) % len(version.Chunks)
		if version.held.Has(i) || !source.hasChunk(i) || !c.isFetchable(version.Chunks[i].Digest) || !c.mayFetchFrom(source, version, i, available) {
			continue
		}
		next := candidate{i, available.total[i], source.isStore() && source.inStripe(i)}
		if !found || next.betterThan(best) {
			best, found = next, true
		}
	}
	return best.position, found
}

// isFetchable reports whether a chunk is neither stored nor being fetched or removed.
func (c *Core) isFetchable(d digest.Digest) bool {
	chunk := c.chunks[d]
	return chunk.fetch == nil && !chunk.stored && !chunk.removing
}

// mayFetchFrom reports whether the chunk at a position may be fetched from a source. Peers in
// other zones are used only for chunks that no peer in the agent's zone has, and the store only
// for chunks that no peer has. While other agents use the store too, each agent fetches its own
// stripe first, and other stripes only after stripeWaitIntervals report intervals without a fetch from
// a peer or its own stripe.
func (c *Core) mayFetchFrom(source *sourceState, version *versionState, position int, available availability) bool {
	if !source.isStore() {
		return source.Zone == c.settings.Zone || available.sameZone[position] == 0
	}
	if available.total[position] > 0 {
		return false
	}
	waitsForOthers := source.OtherStoreUsers > 0 && c.now-version.lastFetchAt < stripeWaitIntervals*c.settings.ReportInterval
	return source.inStripe(position) || !waitsForOthers
}

// startFetch starts fetching a chunk. It returns false if there isn't enough disk space.
func (c *Core) startFetch(target *targetState, version *versionState, source *sourceState, position int) bool {
	chunk := c.chunks[version.Chunks[position].Digest]
	if chunk.singleSource && chunk.partialBytes > 0 {
		c.disk.usedBytes -= chunk.partialBytes
		chunk.partialBytes, chunk.contributors = 0, nil
	}
	chunk.partialBytes = min(chunk.partialBytes, chunk.Size)
	remaining := chunk.Size - chunk.partialBytes
	if !c.ensureSpace(remaining) {
		return false
	}
	c.lastFetchID++
	fetch := &activeFetch{id: c.lastFetchID, chunk: chunk, source: source, reservedBytes: remaining}
	c.disk.usedBytes += remaining
	c.fetches[fetch.id], chunk.fetch, source.fetch = fetch, fetch, fetch
	if !source.isStore() || source.inStripe(position) {
		version.lastFetchAt = c.now
	}
	c.emit(GetChunk{
		ID: fetch.id, From: source.endpoint(), Name: target.name, Manifest: version.Digest, Chunk: chunk.Chunk, Offset: chunk.partialBytes,
		StallTimeout: c.settings.StallTimeout, Timeout: c.fetchTimeout(remaining),
	})
	return true
}

// fetchTimeout returns the time limit of a fetch: the time it takes at the minimum rate, plus the
// stall timeout.
func (c *Core) fetchTimeout(bytes int64) time.Duration {
	seconds := float64(bytes) / float64(c.settings.MinBytesPerSecond)
	return c.settings.StallTimeout + time.Duration(seconds*float64(time.Second))
}

// handleChunkResult processes the result of a fetch.
func (c *Core) handleChunkResult(result ChunkResult) {
	fetch := c.fetches[result.ID]
	if fetch == nil {
		return
	}
	chunk, source := fetch.chunk, fetch.source
	delete(c.fetches, result.ID)
	chunk.fetch, source.fetch = nil, nil
	c.updateChunkSet(source, result.Chunks)
	if result.ReceivedBytes > 0 {
		c.recordReceived(chunk, source, result.ReceivedBytes)
	}
	if result.Fault == "" && !result.Cancelled {
		source.consecutiveFailures, source.refreshInterval = 0, c.settings.ReportInterval/refreshDivisor
		c.disk.consecutiveFailures = 0
		c.counts.FetchedChunks++
		c.markStored(chunk)
		return
	}
	c.disk.usedBytes += result.PartialBytes - chunk.partialBytes - fetch.reservedBytes
	chunk.partialBytes = result.PartialBytes
	if !result.Cancelled {
		c.handleFetchFault(chunk, source, result)
	}
}

// handleFetchFault attributes a failed fetch to the source or to the agent's own disk.
func (c *Core) handleFetchFault(chunk *chunkState, source *sourceState, result ChunkResult) {
	switch result.Fault {
	case distribution.FaultDamaged:
		c.handleDamagedChunk(chunk, source)
		return
	case distribution.FaultDisk:
		c.counts.Faults[result.Fault]++
		c.recordDiskFailure(chunk)
		return
	case distribution.FaultMissing:
		c.removeFromChunkSet(source, chunk)
	}
	c.recordFault(source, result.Fault, result.RetryAfter)
}

// removeFromChunkSet removes a chunk from the set of a source that claimed the chunk but doesn't
// have it.
func (c *Core) removeFromChunkSet(source *sourceState, chunk *chunkState) {
	version := c.versions[source.Manifest]
	if version == nil || source.chunks == nil {
		return
	}
	for _, position := range version.positions[chunk.Digest] {
		source.chunks.Remove(position)
	}
}

// recordReceived counts received bytes and records the source as a contributor to the chunk.
func (c *Core) recordReceived(chunk *chunkState, source *sourceState, bytes int64) {
	if chunk.contributors == nil {
		chunk.contributors = map[string]bool{}
	}
	chunk.contributors[source.Agent] = true
	if source.isStore() {
		c.counts.StoreBytes += bytes
	} else {
		c.counts.PeerBytes += bytes
	}
}

// handleDamagedChunk blames the source if it sent the whole chunk. If several sources sent parts of
// the chunk, none is blamed, and the chunk is fetched again from a single source.
func (c *Core) handleDamagedChunk(chunk *chunkState, source *sourceState) {
	if len(chunk.contributors) > 1 {
		chunk.singleSource = true
		c.counts.Faults[distribution.FaultDamaged]++
		c.log("chunk received from several sources is damaged", "chunk", chunk.Digest.String(), "sources", slices.Sorted(maps.Keys(chunk.contributors)))
	} else {
		c.recordFault(source, distribution.FaultDamaged, 0)
	}
	chunk.contributors = nil
}
