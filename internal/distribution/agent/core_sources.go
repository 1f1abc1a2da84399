package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

type sourceKey struct {
	agent    string
	manifest digest.Digest
}

// source is where chunks of a manifest may be fetched.
type sourceState struct {
	distribution.Source
	chunks              distribution.ChunkSet // nil: not known yet
	fetch               *activeFetch          // one at a time
	refreshing          bool
	refreshAt           time.Duration
	refreshInterval     time.Duration
	pausedUntil         time.Duration // until when
	consecutiveFailures int           // in a row
	missingChunks       int           // chunks that it said it had
	lastUsefulAt        time.Duration // when it last had something that was needed
	released            bool          // the tracker doesn't name it any more
}

func (s *sourceState) key() sourceKey { return sourceKey{s.Agent, s.Manifest} }

func (s *sourceState) peer() Peer { return Peer{s.Agent, s.Address} }

func (s *sourceState) isStore() bool { return s.Agent == distribution.StoreSource }

// has tells whether a source is known to have a position.
func (s *sourceState) has(i int) bool { return s.isStore() || s.chunks.Has(i) }

// inStripe tells whether a position is in the part of the store's chunks that comes first.
func (s *sourceState) inStripe(i int) bool { return s.Stripes > 0 && i%s.Stripes == s.Stripe }

// usable tells whether a source may be asked now.
func (c *Core) isUsable(s *sourceState) bool { return !s.released && c.now >= s.pausedUntil }

// sourcesNamed takes in the sources that the tracker gives.
func (c *Core) updateSources(a distribution.Answer) {
	listed := map[sourceKey]bool{}
	for _, given := range a.Sources {
		key := sourceKey{given.Agent, given.Manifest}
		if until, dropped := c.excludedUntil[key]; dropped && c.now < until || given.Agent == distribution.StoreSource && !c.settings.HasStore {
			continue
		}
		delete(c.excludedUntil, key)
		listed[key] = true
		s := c.sources[key]
		if s == nil {
			s = &sourceState{lastUsefulAt: c.now, refreshInterval: c.settings.ReportInterval / refreshDivisor}
			c.sources[key] = s
		}
		if s.Address != given.Address {
			s.consecutiveFailures, s.pausedUntil = 0, c.now
		}
		s.Source, s.released = given, false
	}
	for key, s := range c.sources {
		if !listed[key] && !a.Keep {
			s.released = true
		}
	}
}

// forgetSources drops the sources that aren't used any more.
func (c *Core) removeUnusedSources() {
	for key, s := range c.sources {
		if s.released && s.fetch == nil && !s.refreshing || !c.isReferenced(s.Manifest) && s.fetch == nil {
			delete(c.sources, key)
		}
	}
	for key, until := range c.excludedUntil {
		if c.now >= until {
			delete(c.excludedUntil, key)
		}
	}
}

// ordered gives a manifest's sources: those of the own zone first, then others, then the
// store, each kind in an order that is drawn anew.
func (c *Core) sourcesByPreference(manifest digest.Digest) []*sourceState {
	var out []*sourceState
	for _, s := range c.sources {
		if s.Manifest == manifest {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *sourceState) int { return cmp.Compare(a.Agent, b.Agent) })
	c.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b *sourceState) int { return cmp.Compare(c.distance(a), c.distance(b)) })
	return out
}

// distance orders sources.
func (c *Core) distance(s *sourceState) int {
	switch {
	case s.isStore():
		return 2
	case s.Zone != c.settings.Zone:
		return 1
	}
	return 0
}

// anySource gives one that may be asked for a manifest: peers first.
func (c *Core) firstUsableSource(manifest digest.Digest) *sourceState {
	for _, s := range c.sourcesByPreference(manifest) {
		if c.isUsable(s) {
			return s
		}
	}
	return nil
}

// offered tells whether any source that may be used has a position.
func (c *Core) hasUsableSource(v *versionState, i int) bool {
	for _, s := range c.sources {
		if s.Manifest == v.Digest && c.isUsable(s) && s.has(i) {
			return true
		}
	}
	return false
}

// askChunks asks a source what it holds, if that is due.
func (c *Core) requestChunkSet(s *sourceState, n *targetState) {
	if s.isStore() || s.refreshing || s.fetch != nil || !c.isUsable(s) || c.now < s.refreshAt {
		return
	}
	s.refreshing = true
	c.emit(GetChunkSet{s.peer(), n.name, s.Manifest})
}

func (c *Core) handleChunkSetResult(e ChunkSetResult) {
	s := c.sources[sourceKey{e.Source, e.Manifest}]
	if s == nil {
		return
	}
	s.refreshing = false
	if e.Fault != "" {
		c.recordFault(s, e.Fault, 0)
		s.refreshAt = max(s.refreshAt, s.pausedUntil)
		return
	}
	s.consecutiveFailures = 0
	s.refreshInterval = min(s.refreshInterval*2, maxRefreshReports*c.settings.ReportInterval)
	if c.updateChunkSet(s, e.Chunks) {
		s.refreshInterval = c.settings.ReportInterval / refreshDivisor
	}
	s.refreshAt = c.now + c.jitter(s.refreshInterval)
}

// saysHolds notes what a source says that it holds, and tells whether that is news.
func (c *Core) updateChunkSet(s *sourceState, chunks distribution.ChunkSet) (news bool) {
	v := c.versions[s.Manifest]
	if v == nil || chunks == nil {
		return false
	}
	chunks = chunks.ForChunks(len(v.Manifest.Chunks))
	news = !slices.Equal(s.chunks, chunks)
	s.chunks = chunks
	return news
}

// fault notes what is wrong with a source: it is paused, or given back to the tracker. The
// store is only paused, because there is no other.
func (c *Core) recordFault(s *sourceState, f distribution.Fault, retryAfter time.Duration) {
	c.counts.Faults[f]++
	if f == distribution.FaultBusy {
		s.pausedUntil = c.now + c.jitter(max(retryAfter, c.settings.ReportInterval/retryDivisor))
		return
	}
	s.consecutiveFailures++
	s.pausedUntil = c.now + max(c.backoff(s.consecutiveFailures), retryAfter)
	if s.isStore() {
		return
	}
	switch f {
	case distribution.FaultDamaged, distribution.FaultSlow, distribution.FaultUseless:
		c.releaseSource(s, f)
	case distribution.FaultMissing:
		if s.missingChunks++; s.missingChunks >= maxMissingChunks {
			c.releaseSource(s, f)
		}
	case distribution.FaultUnreachable:
		if s.consecutiveFailures >= maxUnreachableFailures {
			c.releaseSource(s, f)
		}
	}
}

// giveBack stops using a source and tells the tracker why.
func (c *Core) releaseSource(s *sourceState, f distribution.Fault) {
	c.excludedUntil[s.key()] = c.now + exclusionReports*c.settings.ReportInterval
	s.released = true
	c.faults = append(c.faults, distribution.SourceFault{Source: s.Agent, Manifest: s.Manifest, Fault: f})
	c.log("source given back", "source", s.Agent, "fault", string(f))
	// The tracker gives another.
	c.nextReportAt = min(c.nextReportAt, c.now+c.jitter(c.settings.ReportInterval/retryDivisor))
}
