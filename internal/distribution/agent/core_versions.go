package agent

import (
	"cmp"
	"maps"
	"slices"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// learn notes a manifest, and what is held of it already.
func (c *Core) addManifest(m *distribution.Manifest) *versionState {
	if v := c.versions[m.Digest]; v != nil {
		return v
	}
	v := &versionState{Manifest: m, positions: map[digest.Digest][]int{}, held: distribution.NewChunkSet(len(m.Chunks)), lastFetchAt: c.now}
	for i, x := range m.Chunks {
		v.positions[x.Digest] = append(v.positions[x.Digest], i)
		k := c.chunks[x.Digest]
		if k == nil {
			k = &chunkState{Chunk: x}
			c.chunks[x.Digest] = k
		}
		k.Size = x.Size // one that was kept in part didn't have it
		if k.stored {
			v.held.Add(i)
			v.heldCount++
		}
	}
	c.versions[m.Digest] = v
	return v
}

// named notes which manifest a name has. An answer that is older than one known is ignored.
func (c *Core) applyNameRecord(r distribution.NameRecord) {
	for _, n := range c.targets {
		if n.name != r.Name || r.Revision <= n.revision {
			continue
		}
		c.log("weights change", "name", n.name, "from", n.wanted.String(), "to", r.Manifest.String(), "revision", r.Revision)
		n.revision, n.wanted = r.Revision, r.Manifest
		n.manifestRetryAt, n.failedManifestFetches, n.fetchingManifest = c.now, 0, false // what is under way is for another
	}
}

// followNames gets manifests that are wanted, gives up what isn't wanted any more, and
// activates what is whole.
func (c *Core) advanceTargets() {
	for _, n := range c.targets {
		v := c.versions[n.wanted]
		switch {
		case n.wanted == "":
		case v == nil:
			c.requestManifest(n)
		case v.complete() && n.active != n.wanted && !n.activating && c.now >= n.activateRetryAt:
			n.activating = true
			c.emit(Activate{n.name, n.revision, n.wanted})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.fetches)) {
		f := c.fetches[id]
		if !f.cancelled && !c.isChunkReferenced(f.chunk.Digest) {
			f.cancelled = true
			c.emit(CancelChunk{f.id})
		}
	}
}

// wantsChunk tells whether a version that is wanted or served has a chunk.
func (c *Core) isChunkReferenced(d digest.Digest) bool {
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
func (c *Core) requestManifest(n *targetState) {
	if n.fetchingManifest || c.now < n.manifestRetryAt {
		return
	}
	from := Peer{}
	if n.failedManifestFetches > 0 {
		s := c.firstUsableSource(n.wanted)
		if s == nil {
			return
		}
		from = s.peer()
	}
	n.fetchingManifest = true
	c.emit(GetManifest{from, n.name, n.wanted})
}

func (c *Core) handleManifestResult(e ManifestResult) {
	for _, n := range c.targets {
		if n.wanted != e.Digest || !n.fetchingManifest {
			continue
		}
		n.fetchingManifest = false
		if e.Manifest == nil {
			n.failedManifestFetches++
			if e.Source != "" {
				n.manifestRetryAt = c.now + c.backoff(n.failedManifestFetches-1)
			}
		}
	}
	if e.Manifest != nil {
		c.addManifest(e.Manifest)
		return
	}
	if s := c.sources[sourceKey{e.Source, e.Digest}]; s != nil {
		c.recordFault(s, e.Fault, 0)
	}
}

func (c *Core) handleActivateResult(e ActivateResult) {
	for _, n := range c.targets {
		if n.name != e.Name {
			continue
		}
		n.activating = false
		if e.Failed {
			n.activateRetryAt = c.now + c.backoff(1)
			continue
		}
		n.active = e.Manifest
		c.counts.Activations++
		c.nextReportAt = min(c.nextReportAt, c.now+c.jitter(c.settings.ReportInterval/retryDivisor))
		c.log("weights are active", "name", n.name, "manifest", e.Manifest.String())
	}
}

// holds notes that a chunk is stored.
func (c *Core) markStored(k *chunkState) {
	k.stored, k.partialBytes, k.contributors, k.singleSource, k.lastUsedAt = true, 0, nil, false, c.now
	for _, v := range c.versions {
		for _, i := range v.positions[k.Digest] {
			if !v.held.Has(i) {
				v.held.Add(i)
				v.heldCount++
			}
		}
	}
}

// lost notes that a chunk is not stored any more.
func (c *Core) handleChunkLost(d digest.Digest) {
	k := c.chunks[d]
	if k == nil || !k.stored {
		return
	}
	c.log("a stored chunk is damaged or gone", "chunk", d.String())
	c.markRemoved(k)
}

// drop forgets what is stored of a chunk.
func (c *Core) markRemoved(k *chunkState) {
	if k.stored {
		c.diskUsedBytes -= k.Size
	}
	c.diskUsedBytes -= k.partialBytes
	k.stored, k.partialBytes, k.contributors, k.removing = false, 0, nil, false
	for _, v := range c.versions {
		for _, i := range v.positions[k.Digest] {
			if v.held.Has(i) {
				v.held.Remove(i)
				v.heldCount--
			}
		}
	}
}

// recheck has all chunks of a manifest read again.
func (c *Core) verifyManifest(manifest digest.Digest) {
	v := c.versions[manifest]
	if at, before := c.verifiedAt[manifest]; v == nil || before && c.now-at < verifyReports*c.settings.ReportInterval {
		return
	}
	c.verifiedAt[manifest] = c.now
	for i, x := range v.Manifest.Chunks {
		if v.held.Has(i) {
			c.emit(Verify{x.Digest})
		}
	}
}

// makeRoom tells whether so many more bytes may be stored. If not, chunks that no version in
// use has are removed.
func (c *Core) ensureSpace(bytes int64) bool {
	if c.settings.DiskLimitBytes == 0 || c.diskUsedBytes+bytes <= c.settings.DiskLimitBytes {
		return true
	}
	c.overBudget = !c.evict(c.diskUsedBytes + bytes - c.settings.DiskLimitBytes)
	return false
}

// evict has chunks that no version in use has removed, the one first that was not used for
// longest, until so many bytes are or will be free. It tells whether any is on its way.
func (c *Core) evict(bytes int64) bool {
	var idle []*chunkState
	leaving := int64(0)
	for _, k := range c.chunks {
		switch {
		case k.removing:
			leaving += k.storedBytes()
		case k.storedBytes() > 0 && k.fetch == nil && c.now >= k.removeRetryAt && !c.isChunkReferenced(k.Digest):
			idle = append(idle, k)
		}
	}
	slices.SortFunc(idle, func(a, b *chunkState) int {
		return cmp.Or(cmp.Compare(a.lastUsedAt, b.lastUsedAt), cmp.Compare(a.Digest, b.Digest))
	})
	for _, k := range idle {
		if leaving >= bytes {
			break
		}
		leaving += k.storedBytes()
		k.removing = true
		c.emit(Remove{k.Digest})
	}
	return leaving > 0
}

func (k *chunkState) storedBytes() int64 {
	if k.stored {
		return k.Size
	}
	return k.partialBytes
}

// removed takes in whether a chunk could be removed, and forgets versions of which nothing
// is left.
func (c *Core) handleRemoveResult(e RemoveResult) {
	k := c.chunks[e.Chunk]
	if k == nil {
		return
	}
	k.removing = false
	if !e.Removed {
		k.removeRetryAt = c.now + c.backoff(1)
		return
	}
	c.counts.EvictedChunks++
	c.markRemoved(k)
	for d, v := range c.versions {
		if v.heldCount == 0 && !c.isReferenced(d) {
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
