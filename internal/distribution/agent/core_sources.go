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
type source struct {
	distribution.Source
	chunks   distribution.ChunkSet // nil: not known yet
	fetch    *fetch                // one at a time
	asking   bool
	askAt    time.Duration
	askEvery time.Duration
	paused   time.Duration // until when
	failures int           // in a row
	missing  int           // chunks that it said it had
	usefulAt time.Duration // when it last had something that was needed
	unlisted bool          // the tracker doesn't name it any more
}

func (s *source) key() sourceKey { return sourceKey{s.Agent, s.Manifest} }

func (s *source) peer() Peer { return Peer{s.Agent, s.Address} }

func (s *source) isStore() bool { return s.Agent == distribution.StoreSource }

// has tells whether a source is known to have a position.
func (s *source) has(i int) bool { return s.isStore() || s.chunks.Has(i) }

// inStripe tells whether a position is in the part of the store's chunks that comes first.
func (s *source) inStripe(i int) bool { return s.Stripes > 0 && i%s.Stripes == s.Stripe }

// usable tells whether a source may be asked now.
func (c *Core) usable(s *source) bool { return !s.unlisted && c.now >= s.paused }

// sourcesNamed takes in the sources that the tracker gives.
func (c *Core) sourcesNamed(a distribution.Answer) {
	listed := map[sourceKey]bool{}
	for _, given := range a.Sources {
		key := sourceKey{given.Agent, given.Manifest}
		if until, dropped := c.dropped[key]; dropped && c.now < until || given.Agent == distribution.StoreSource && !c.settings.Store {
			continue
		}
		delete(c.dropped, key)
		listed[key] = true
		s := c.sources[key]
		if s == nil {
			s = &source{usefulAt: c.now, askEvery: c.settings.Report / refreshShare}
			c.sources[key] = s
		}
		if s.Address != given.Address {
			s.failures, s.paused = 0, c.now
		}
		s.Source, s.unlisted = given, false
	}
	for key, s := range c.sources {
		if !listed[key] && !a.Keep {
			s.unlisted = true
		}
	}
}

// forgetSources drops the sources that aren't used any more.
func (c *Core) forgetSources() {
	for key, s := range c.sources {
		if s.unlisted && s.fetch == nil && !s.asking || !c.needed(s.Manifest) && s.fetch == nil {
			delete(c.sources, key)
		}
	}
	for key, until := range c.dropped {
		if c.now >= until {
			delete(c.dropped, key)
		}
	}
}

// ordered gives a manifest's sources: those of the own zone first, then others, then the
// store, each kind in an order that is drawn anew.
func (c *Core) ordered(manifest digest.Digest) []*source {
	var out []*source
	for _, s := range c.sources {
		if s.Manifest == manifest {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *source) int { return cmp.Compare(a.Agent, b.Agent) })
	c.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b *source) int { return cmp.Compare(c.distance(a), c.distance(b)) })
	return out
}

// distance orders sources.
func (c *Core) distance(s *source) int {
	switch {
	case s.isStore():
		return 2
	case s.Zone != c.settings.Zone:
		return 1
	}
	return 0
}

// anySource gives one that may be asked for a manifest: peers first.
func (c *Core) anySource(manifest digest.Digest) *source {
	for _, s := range c.ordered(manifest) {
		if c.usable(s) {
			return s
		}
	}
	return nil
}

// offered tells whether any source that may be used has a position.
func (c *Core) offered(v *version, i int) bool {
	for _, s := range c.sources {
		if s.Manifest == v.Digest && c.usable(s) && s.has(i) {
			return true
		}
	}
	return false
}

// askChunks asks a source what it holds, if that is due.
func (c *Core) askChunks(s *source, n *target) {
	if s.isStore() || s.asking || s.fetch != nil || !c.usable(s) || c.now < s.askAt {
		return
	}
	s.asking = true
	c.emit(GetChunks{s.peer(), n.name, s.Manifest})
}

func (c *Core) chunksCame(e ChunksResult) {
	s := c.sources[sourceKey{e.Source, e.Manifest}]
	if s == nil {
		return
	}
	s.asking = false
	if e.Fault != "" {
		c.fault(s, e.Fault, 0)
		s.askAt = max(s.askAt, s.paused)
		return
	}
	s.failures = 0
	s.askEvery = min(s.askEvery*2, refreshMost*c.settings.Report)
	if c.saysHolds(s, e.Chunks) {
		s.askEvery = c.settings.Report / refreshShare
	}
	s.askAt = c.now + c.jitter(s.askEvery)
}

// saysHolds notes what a source says that it holds, and tells whether that is news.
func (c *Core) saysHolds(s *source, chunks distribution.ChunkSet) (news bool) {
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
func (c *Core) fault(s *source, f distribution.Fault, retryAfter time.Duration) {
	c.counts.Faults[f]++
	if f == distribution.FaultBusy {
		s.paused = c.now + c.jitter(max(retryAfter, c.settings.Report/retryShare))
		return
	}
	s.failures++
	s.paused = c.now + max(c.backOff(s.failures), retryAfter)
	if s.isStore() {
		return
	}
	switch f {
	case distribution.FaultDamaged, distribution.FaultSlow, distribution.FaultUseless:
		c.giveBack(s, f)
	case distribution.FaultMissing:
		if s.missing++; s.missing >= missingMost {
			c.giveBack(s, f)
		}
	case distribution.FaultUnreachable:
		if s.failures >= failuresMost {
			c.giveBack(s, f)
		}
	}
}

// giveBack stops using a source and tells the tracker why.
func (c *Core) giveBack(s *source, f distribution.Fault) {
	c.dropped[s.key()] = c.now + droppedReports*c.settings.Report
	s.unlisted = true
	c.faults = append(c.faults, distribution.SourceFault{Source: s.Agent, Manifest: s.Manifest, Fault: f})
	c.log("source given back", "source", s.Agent, "fault", string(f))
	// The tracker gives another.
	c.reportAt = min(c.reportAt, c.now+c.jitter(c.settings.Report/retryShare))
}
