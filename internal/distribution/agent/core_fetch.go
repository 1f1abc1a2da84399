package agent

import (
	"maps"
	"slices"
	"time"

	"oakpick/internal/distribution"
)

// fetch is a chunk on its way.
type activeFetch struct {
	id            uint64
	chunk         *chunkState
	source        *sourceState
	reservedBytes int64 // bytes that are set aside for it
	cancelled     bool
}

// fetchMore begins as many fetches as sources and the limit on downloads allow, for the names
// in their order.
func (c *Core) startFetches() {
	c.overBudget = false
	for _, n := range c.targets {
		v := c.versions[n.wanted]
		if v == nil || v.complete() {
			continue
		}
		c.startVersionFetches(n, v)
	}
}

// availability says, for each position of a version, how many sources have it.
type availability struct {
	nearby []int // sources of the own zone
	all    []int // without the store
}

func (c *Core) availability(v *versionState, sources []*sourceState) availability {
	chunks := len(v.Manifest.Chunks)
	a := availability{make([]int, chunks), make([]int, chunks)}
	for _, s := range sources {
		if s.isStore() || s.chunks == nil || !c.isUsable(s) {
			continue
		}
		nearby := s.Zone == c.settings.Zone
		for i := range chunks {
			if !s.chunks.Has(i) {
				continue
			}
			a.all[i]++
			if nearby {
				a.nearby[i]++
			}
		}
	}
	return a
}

func (c *Core) startVersionFetches(n *targetState, v *versionState) {
	if c.now < c.diskPausedUntil || !c.hasIdleSource(v) {
		return
	}
	sources := c.sourcesByPreference(v.Digest)
	available := c.availability(v, sources)
	for _, s := range sources {
		if s.fetch != nil || !c.isUsable(s) {
			continue
		}
		if s.chunks == nil && !s.isStore() {
			c.requestChunkSet(s, n)
			continue
		}
		if len(c.fetches) >= c.settings.MaxDownloads {
			return
		}
		position := c.selectChunk(v, s, available)
		if position >= 0 {
			s.lastUsefulAt = c.now
			if c.startFetch(n, v, s, position) {
				continue
			}
			return // there is no room
		}
		c.handleIdleSource(n, v, s)
	}
}

// anyIdle tells whether a version has a source that could be asked for something.
func (c *Core) hasIdleSource(v *versionState) bool {
	for _, s := range c.sources {
		if s.Manifest == v.Digest && s.fetch == nil && c.isUsable(s) {
			return true
		}
	}
	return false
}

// idle asks a source that has nothing that is needed for news, or gives it back.
func (c *Core) handleIdleSource(n *targetState, v *versionState, s *sourceState) {
	if s.isStore() {
		return
	}
	if c.now-s.lastUsefulAt > uselessReports*c.settings.ReportInterval && !c.offersMissingChunk(v, s) {
		c.recordFault(s, distribution.FaultUseless, 0)
		return
	}
	c.requestChunkSet(s, n)
}

// hasMissing tells whether a source has a chunk that isn't held.
func (c *Core) offersMissingChunk(v *versionState, s *sourceState) bool {
	for i := range v.Manifest.Chunks {
		if !v.held.Has(i) && s.has(i) {
			return true
		}
	}
	return false
}

// choose gives the position of the chunk to be fetched from a source next; -1: none. It is
// one that the fewest sources have. Sources of other zones are only asked for what none of
// the own zone has, and the store for what no other source has.
func (c *Core) selectChunk(v *versionState, s *sourceState, available availability) int {
	best, fewest, inStripe := -1, 0, false
	chunks := v.Manifest.Chunks
	first := c.rng.IntN(len(chunks)) // ties go to the next behind it
	patient := s.isStore() && s.Others > 0 && c.now-v.lastFetchAt < stripeWaitReports*c.settings.ReportInterval
	for offset := range chunks {
		i := (first + offset) % len(chunks)
		if v.held.Has(i) || !s.has(i) {
			continue
		}
		k := c.chunks[chunks[i].Digest]
		if k.fetch != nil || k.stored || k.removing {
			continue
		}
		own := false
		switch {
		case s.isStore():
			own = s.inStripe(i)
			if available.all[i] > 0 || patient && !own {
				continue
			}
		case s.Zone != c.settings.Zone && available.nearby[i] > 0:
			continue
		}
		better := best < 0 || own && !inStripe || own == inStripe && available.all[i] < fewest
		if better {
			best, fewest, inStripe = i, available.all[i], own
		}
	}
	return best
}

// begin begins a fetch, if the disk has room for it.
func (c *Core) startFetch(n *targetState, v *versionState, s *sourceState, position int) bool {
	k := c.chunks[v.Manifest.Chunks[position].Digest]
	if k.singleSource && k.partialBytes > 0 {
		c.diskUsedBytes -= k.partialBytes
		k.partialBytes, k.contributors = 0, nil
	}
	k.partialBytes = min(k.partialBytes, k.Size)
	rest := k.Size - k.partialBytes
	if !c.ensureSpace(rest) {
		return false
	}
	c.lastFetchID++
	f := &activeFetch{id: c.lastFetchID, chunk: k, source: s, reservedBytes: rest}
	c.diskUsedBytes += rest
	c.fetches[f.id], k.fetch, s.fetch = f, f, f
	if !s.isStore() || s.inStripe(position) {
		v.lastFetchAt = c.now
	}
	c.emit(GetChunk{
		ID: f.id, From: s.peer(), Name: n.name, Manifest: v.Digest, Chunk: k.Chunk, Offset: k.partialBytes,
		StallTimeout: c.settings.StallTimeout, Timeout: c.settings.StallTimeout + time.Duration(float64(rest)/float64(c.settings.MinBytesPerSecond)*float64(time.Second)),
	})
	return true
}

// chunkCame takes in how a fetch ended.
func (c *Core) handleChunkResult(e ChunkResult) {
	f := c.fetches[e.ID]
	if f == nil {
		return
	}
	k, s := f.chunk, f.source
	delete(c.fetches, e.ID)
	k.fetch, s.fetch = nil, nil
	c.updateChunkSet(s, e.Chunks)
	if e.ReceivedBytes > 0 {
		c.recordReceived(k, s, e.ReceivedBytes)
	}
	if e.Fault == "" && !e.Cancelled {
		s.consecutiveFailures, s.refreshInterval = 0, c.settings.ReportInterval/refreshDivisor
		c.diskFailures = 0
		c.counts.StoredChunks++
		c.markStored(k)
		return
	}
	c.diskUsedBytes += e.PartialBytes - k.partialBytes - f.reservedBytes
	k.partialBytes = e.PartialBytes
	switch {
	case e.Cancelled:
	case e.Fault == distribution.FaultDamaged:
		c.handleDamagedChunk(k, s)
	case e.Fault == distribution.FaultDisk:
		c.counts.Faults[e.Fault]++
		c.diskFailures++
		c.diskPausedUntil = c.now + c.backoff(c.diskFailures)
		c.evict(k.Size) // without a budget, this is when there is too much
	default:
		if e.Fault == distribution.FaultMissing && s.chunks != nil {
			for v, i := c.versions[s.Manifest], 0; v != nil && i < len(v.positions[k.Digest]); i++ {
				s.chunks.Remove(v.positions[k.Digest][i])
			}
		}
		c.recordFault(s, e.Fault, e.RetryAfter)
	}
}

// received notes who has sent bytes of a chunk.
func (c *Core) recordReceived(k *chunkState, s *sourceState, bytes int64) {
	if k.contributors == nil {
		k.contributors = map[string]bool{}
	}
	k.contributors[s.Agent] = true
	if s.isStore() {
		c.counts.StoreBytes += bytes
	} else {
		c.counts.PeerBytes += bytes
	}
}

// damaged finds the culprit: the one who sent the whole chunk. If several sent parts of it,
// it is fetched again from one alone.
func (c *Core) handleDamagedChunk(k *chunkState, s *sourceState) {
	if len(k.contributors) > 1 {
		k.singleSource = true
		c.counts.Faults[distribution.FaultDamaged]++
		c.log("a chunk from several sources is damaged", "chunk", k.Digest.String(), "sources", slices.Sorted(maps.Keys(k.contributors)))
	} else {
		c.recordFault(s, distribution.FaultDamaged, 0)
	}
	k.contributors = nil
}
