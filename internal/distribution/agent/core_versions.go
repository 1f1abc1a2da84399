package agent

import (
	"cmp"
	"maps"
	"slices"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// learn notes a manifest, and what is held of it already.
func (c *Core) learn(m *distribution.Manifest) *version {
	if v := c.versions[m.Digest]; v != nil {
		return v
	}
	v := &version{Manifest: m, positions: map[digest.Digest][]int{}, held: distribution.NewChunkSet(len(m.Chunks)), begunAt: c.now}
	for i, x := range m.Chunks {
		v.positions[x.Digest] = append(v.positions[x.Digest], i)
		k := c.chunks[x.Digest]
		if k == nil {
			k = &chunk{Chunk: x}
			c.chunks[x.Digest] = k
		}
		k.Size = x.Size // one that was kept in part didn't have it
		if k.held {
			v.held.Add(i)
			v.count++
		}
	}
	c.versions[m.Digest] = v
	return v
}

// named notes which manifest a name has. An answer that is older than one known is ignored.
func (c *Core) named(r distribution.NameRecord) {
	for _, n := range c.targets {
		if n.name != r.Name || r.Revision <= n.revision {
			continue
		}
		c.log("weights change", "name", n.name, "from", n.wanted.String(), "to", r.Manifest.String(), "revision", r.Revision)
		n.revision, n.wanted = r.Revision, r.Manifest
		n.manifestAt, n.asked, n.asking = c.now, 0, false // what is under way is for another
	}
}

// followNames gets manifests that are wanted, gives up what isn't wanted any more, and
// activates what is whole.
func (c *Core) followNames() {
	for _, n := range c.targets {
		v := c.versions[n.wanted]
		switch {
		case n.wanted == "":
		case v == nil:
			c.askManifest(n)
		case v.whole() && n.active != n.wanted && !n.activating && c.now >= n.activateAt:
			n.activating = true
			c.emit(Activate{n.name, n.revision, n.wanted})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.fetches)) {
		f := c.fetches[id]
		if !f.cancelled && !c.wantsChunk(f.chunk.Digest) {
			f.cancelled = true
			c.emit(CancelChunk{f.id})
		}
	}
}

// wantsChunk tells whether a version that is wanted or served has a chunk.
func (c *Core) wantsChunk(d digest.Digest) bool {
	for _, n := range c.targets {
		for _, manifest := range [...]digest.Digest{n.wanted, n.active} {
			if v := c.versions[manifest]; v != nil && len(v.positions[d]) > 0 {
				return true
			}
		}
	}
	return false
}

// askManifest asks the own disk first, then any source that may be used.
func (c *Core) askManifest(n *target) {
	if n.asking || c.now < n.manifestAt {
		return
	}
	from := Peer{}
	if n.asked > 0 {
		s := c.anySource(n.wanted)
		if s == nil {
			return
		}
		from = s.peer()
	}
	n.asking = true
	c.emit(GetManifest{from, n.name, n.wanted})
}

func (c *Core) manifestCame(e ManifestResult) {
	for _, n := range c.targets {
		if n.wanted != e.Digest || !n.asking {
			continue
		}
		n.asking = false
		if e.Manifest == nil {
			n.asked++
			if e.Source != "" {
				n.manifestAt = c.now + c.backOff(n.asked-1)
			}
		}
	}
	if e.Manifest != nil {
		c.learn(e.Manifest)
		return
	}
	if s := c.sources[sourceKey{e.Source, e.Digest}]; s != nil {
		c.fault(s, e.Fault, 0)
	}
}

func (c *Core) activated(e ActivateResult) {
	for _, n := range c.targets {
		if n.name != e.Name {
			continue
		}
		n.activating = false
		if e.Failed {
			n.activateAt = c.now + c.backOff(1)
			continue
		}
		n.active = e.Manifest
		c.counts.Activated++
		c.reportAt = min(c.reportAt, c.now+c.jitter(c.settings.Report/retryShare))
		c.log("weights are active", "name", n.name, "manifest", e.Manifest.String())
	}
}

// holds notes that a chunk is stored.
func (c *Core) holds(k *chunk) {
	k.held, k.partial, k.contributors, k.whole, k.usedAt = true, 0, nil, false, c.now
	for _, v := range c.versions {
		for _, i := range v.positions[k.Digest] {
			if !v.held.Has(i) {
				v.held.Add(i)
				v.count++
			}
		}
	}
}

// lost notes that a chunk is not stored any more.
func (c *Core) lost(d digest.Digest) {
	k := c.chunks[d]
	if k == nil || !k.held {
		return
	}
	c.log("a stored chunk is damaged or gone", "chunk", d.String())
	c.drop(k)
}

// drop forgets what is stored of a chunk.
func (c *Core) drop(k *chunk) {
	if k.held {
		c.used -= k.Size
	}
	c.used -= k.partial
	k.held, k.partial, k.contributors, k.removing = false, 0, nil, false
	for _, v := range c.versions {
		for _, i := range v.positions[k.Digest] {
			if v.held.Has(i) {
				v.held.Remove(i)
				v.count--
			}
		}
	}
}

// recheck has all chunks of a manifest read again.
func (c *Core) recheck(manifest digest.Digest) {
	v := c.versions[manifest]
	if at, before := c.rechecked[manifest]; v == nil || before && c.now-at < recheckReports*c.settings.Report {
		return
	}
	c.rechecked[manifest] = c.now
	for i, x := range v.Manifest.Chunks {
		if v.held.Has(i) {
			c.emit(Verify{x.Digest})
		}
	}
}

// makeRoom tells whether so many more bytes may be stored. If not, chunks that no version in
// use has are removed.
func (c *Core) makeRoom(bytes int64) bool {
	if c.settings.DiskBytes == 0 || c.used+bytes <= c.settings.DiskBytes {
		return true
	}
	c.overBudget = !c.evict(c.used + bytes - c.settings.DiskBytes)
	return false
}

// evict has chunks that no version in use has removed, the one first that was not used for
// longest, until so many bytes are or will be free. It tells whether any is on its way.
func (c *Core) evict(bytes int64) bool {
	var idle []*chunk
	leaving := int64(0)
	for _, k := range c.chunks {
		switch {
		case k.removing:
			leaving += k.stored()
		case k.stored() > 0 && k.fetch == nil && c.now >= k.removeAt && !c.wantsChunk(k.Digest):
			idle = append(idle, k)
		}
	}
	slices.SortFunc(idle, func(a, b *chunk) int {
		return cmp.Or(cmp.Compare(a.usedAt, b.usedAt), cmp.Compare(a.Digest, b.Digest))
	})
	for _, k := range idle {
		if leaving >= bytes {
			break
		}
		leaving += k.stored()
		k.removing = true
		c.emit(Remove{k.Digest})
	}
	return leaving > 0
}

func (k *chunk) stored() int64 {
	if k.held {
		return k.Size
	}
	return k.partial
}

// removed takes in whether a chunk could be removed, and forgets versions of which nothing
// is left.
func (c *Core) removed(e RemoveResult) {
	k := c.chunks[e.Chunk]
	if k == nil {
		return
	}
	k.removing = false
	if !e.Removed {
		k.removeAt = c.now + c.backOff(1)
		return
	}
	c.counts.Evicted++
	c.drop(k)
	for d, v := range c.versions {
		if v.count == 0 && !c.needed(d) {
			delete(c.versions, d)
		}
	}
	for _, v := range c.versions {
		if len(v.positions[k.Digest]) > 0 {
			return
		}
	}
	delete(c.chunks, e.Chunk)
}
