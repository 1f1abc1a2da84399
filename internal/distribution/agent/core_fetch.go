package agent

import (
	"maps"
	"slices"
	"time"

	"oakpick/internal/distribution"
)

// fetch is a chunk on its way.
type fetch struct {
	id        uint64
	chunk     *chunk
	source    *source
	rest      int64 // bytes that are set aside for it
	cancelled bool
}

// fetchMore begins as many fetches as sources and the limit on downloads allow, for the names
// in their order.
func (c *Core) fetchMore() {
	c.overBudget = false
	for _, n := range c.targets {
		v := c.versions[n.wanted]
		if v == nil || v.whole() {
			continue
		}
		c.fetchVersion(n, v)
	}
}

// availability says, for each position of a version, how many sources have it.
type availability struct {
	nearby []int // sources of the own zone
	all    []int // without the store
}

func (c *Core) availability(v *version, sources []*source) availability {
	chunks := len(v.Manifest.Chunks)
	a := availability{make([]int, chunks), make([]int, chunks)}
	for _, s := range sources {
		if s.isStore() || s.chunks == nil || !c.usable(s) {
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

func (c *Core) fetchVersion(n *target, v *version) {
	if c.now < c.diskUntil || !c.anyIdle(v) {
		return
	}
	sources := c.ordered(v.Digest)
	available := c.availability(v, sources)
	for _, s := range sources {
		if s.fetch != nil || !c.usable(s) {
			continue
		}
		if s.chunks == nil && !s.isStore() {
			c.askChunks(s, n)
			continue
		}
		if len(c.fetches) >= c.settings.Downloads {
			return
		}
		position := c.choose(v, s, available)
		if position >= 0 {
			s.usefulAt = c.now
			if c.begin(n, v, s, position) {
				continue
			}
			return // there is no room
		}
		c.idle(n, v, s)
	}
}

// anyIdle tells whether a version has a source that could be asked for something.
func (c *Core) anyIdle(v *version) bool {
	for _, s := range c.sources {
		if s.Manifest == v.Digest && s.fetch == nil && c.usable(s) {
			return true
		}
	}
	return false
}

// idle asks a source that has nothing that is needed for news, or gives it back.
func (c *Core) idle(n *target, v *version, s *source) {
	if s.isStore() {
		return
	}
	if c.now-s.usefulAt > uselessReports*c.settings.Report && !c.hasMissing(v, s) {
		c.fault(s, distribution.FaultUseless, 0)
		return
	}
	c.askChunks(s, n)
}

// hasMissing tells whether a source has a chunk that isn't held.
func (c *Core) hasMissing(v *version, s *source) bool {
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
func (c *Core) choose(v *version, s *source, available availability) int {
	best, fewest, inStripe := -1, 0, false
	chunks := v.Manifest.Chunks
	first := c.rng.IntN(len(chunks)) // ties go to the next behind it
	patient := s.isStore() && s.Others > 0 && c.now-v.begunAt < patienceShare*c.settings.Report
	for offset := range chunks {
		i := (first + offset) % len(chunks)
		if v.held.Has(i) || !s.has(i) {
			continue
		}
		k := c.chunks[chunks[i].Digest]
		if k.fetch != nil || k.held || k.removing {
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
func (c *Core) begin(n *target, v *version, s *source, position int) bool {
	k := c.chunks[v.Manifest.Chunks[position].Digest]
	if k.whole && k.partial > 0 {
		c.used -= k.partial
		k.partial, k.contributors = 0, nil
	}
	k.partial = min(k.partial, k.Size)
	rest := k.Size - k.partial
	if !c.makeRoom(rest) {
		return false
	}
	c.nextID++
	f := &fetch{id: c.nextID, chunk: k, source: s, rest: rest}
	c.used += rest
	c.fetches[f.id], k.fetch, s.fetch = f, f, f
	if !s.isStore() || s.inStripe(position) {
		v.begunAt = c.now
	}
	c.emit(GetChunk{
		ID: f.id, From: s.peer(), Name: n.name, Manifest: v.Digest, Chunk: k.Chunk, Offset: k.partial,
		Stall: c.settings.Stall, Within: c.settings.Stall + time.Duration(float64(rest)/float64(c.settings.MinimumRate)*float64(time.Second)),
	})
	return true
}

// chunkCame takes in how a fetch ended.
func (c *Core) chunkCame(e ChunkResult) {
	f := c.fetches[e.ID]
	if f == nil {
		return
	}
	k, s := f.chunk, f.source
	delete(c.fetches, e.ID)
	k.fetch, s.fetch = nil, nil
	c.saysHolds(s, e.Chunks)
	if e.Received > 0 {
		c.received(k, s, e.Received)
	}
	if e.Fault == "" && !e.Cancelled {
		s.failures, s.askEvery = 0, c.settings.Report/refreshShare
		c.diskFailed = 0
		c.counts.Chunks++
		c.holds(k)
		return
	}
	c.used += e.Partial - k.partial - f.rest
	k.partial = e.Partial
	switch {
	case e.Cancelled:
	case e.Fault == distribution.FaultDamaged:
		c.damaged(k, s)
	case e.Fault == distribution.FaultDisk:
		c.counts.Faults[e.Fault]++
		c.diskFailed++
		c.diskUntil = c.now + c.backOff(c.diskFailed)
		c.evict(k.Size) // without a budget, this is when there is too much
	default:
		if e.Fault == distribution.FaultMissing && s.chunks != nil {
			for v, i := c.versions[s.Manifest], 0; v != nil && i < len(v.positions[k.Digest]); i++ {
				s.chunks.Remove(v.positions[k.Digest][i])
			}
		}
		c.fault(s, e.Fault, e.RetryAfter)
	}
}

// received notes who has sent bytes of a chunk.
func (c *Core) received(k *chunk, s *source, bytes int64) {
	if k.contributors == nil {
		k.contributors = map[string]bool{}
	}
	k.contributors[s.Agent] = true
	if s.isStore() {
		c.counts.FromStore += bytes
	} else {
		c.counts.FromPeers += bytes
	}
}

// damaged finds the culprit: the one who sent the whole chunk. If several sent parts of it,
// it is fetched again from one alone.
func (c *Core) damaged(k *chunk, s *source) {
	if len(k.contributors) > 1 {
		k.whole = true
		c.counts.Faults[distribution.FaultDamaged]++
		c.log("a chunk from several sources is damaged", "chunk", k.Digest.String(), "sources", slices.Sorted(maps.Keys(k.contributors)))
	} else {
		c.fault(s, distribution.FaultDamaged, 0)
	}
	k.contributors = nil
}
