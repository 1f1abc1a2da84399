package agent

import (
	"cmp"
	"slices"

	"github.com/opencontainers/go-digest"
)

// markStored records that a chunk is complete and verified on disk.
func (c *Core) markStored(chunk *chunkState) {
	chunk.stored, chunk.partialBytes, chunk.contributors, chunk.singleSource = true, 0, nil, false
	chunk.lastUsedAt = c.now
	for _, version := range c.versions {
		version.setHeld(version.positions[chunk.Digest], true)
	}
}

// markRemoved records that no bytes of a chunk are on disk any more.
func (c *Core) markRemoved(chunk *chunkState) {
	if chunk.stored {
		c.disk.usedBytes -= chunk.Size
	}
	c.disk.usedBytes -= chunk.partialBytes
	chunk.stored, chunk.partialBytes, chunk.contributors, chunk.removing = false, 0, nil, false
	for _, version := range c.versions {
		version.setHeld(version.positions[chunk.Digest], false)
	}
}

// handleChunkLost records that a stored chunk is damaged or missing.
func (c *Core) handleChunkLost(d digest.Digest) {
	chunk := c.chunks[d]
	if chunk == nil || !chunk.stored {
		return
	}
	c.log("stored chunk is damaged or missing", "chunk", d.String())
	c.markRemoved(chunk)
}

// recordDiskFailure pauses fetches after a failed write and evicts unreferenced chunks.
func (c *Core) recordDiskFailure(chunk *chunkState) {
	c.disk.consecutiveFailures++
	c.disk.pausedUntil = c.now + c.backoff(c.disk.consecutiveFailures)
	c.evict(chunk.Size) // without a disk limit, a failed write is the only sign of a full disk
}

// ensureSpace reports whether the disk limit has room for more bytes. If not, it starts evicting
// unreferenced chunks.
func (c *Core) ensureSpace(bytes int64) bool {
	if c.settings.DiskLimitBytes == 0 || c.disk.usedBytes+bytes <= c.settings.DiskLimitBytes {
		return true
	}
	c.disk.limitReached = !c.evict(c.disk.usedBytes + bytes - c.settings.DiskLimitBytes)
	return false
}

// evict removes unreferenced chunks, the least recently used first, until enough bytes are being
// freed. It reports whether any removal is in progress.
func (c *Core) evict(bytes int64) bool {
	evictable, freed := c.evictableChunks()
	for _, chunk := range evictable {
		if freed >= bytes {
			break
		}
		freed += chunk.storedBytes()
		chunk.removing = true
		c.emit(Remove{chunk.Digest})
	}
	return freed > 0
}

// evictableChunks returns the chunks that may be removed, the least recently used first, and the
// number of bytes that removals in progress will free.
func (c *Core) evictableChunks() (evictable []*chunkState, removingBytes int64) {
	for _, chunk := range c.chunks {
		switch {
		case chunk.removing:
			removingBytes += chunk.storedBytes()
		case chunk.storedBytes() > 0 && chunk.fetch == nil && c.now >= chunk.removeRetryAt && !c.isChunkReferenced(chunk.Digest):
			evictable = append(evictable, chunk)
		}
	}
	slices.SortFunc(evictable, func(a, b *chunkState) int {
		return cmp.Or(cmp.Compare(a.lastUsedAt, b.lastUsedAt), cmp.Compare(a.Digest, b.Digest))
	})
	return evictable, removingBytes
}

// handleRemoveResult records that a chunk was removed, or delays the next attempt.
func (c *Core) handleRemoveResult(result RemoveResult) {
	chunk := c.chunks[result.Chunk]
	if chunk == nil {
		return
	}
	chunk.removing = false
	if !result.Removed {
		chunk.removeRetryAt = c.now + c.backoff(1)
		return
	}
	c.counts.EvictedChunks++
	c.markRemoved(chunk)
	c.removeUnusedVersions()
	if !c.belongsToVersion(chunk) {
		delete(c.chunks, result.Chunk)
	}
}

// removeUnusedVersions deletes versions that have no stored chunk and that no name refers to.
func (c *Core) removeUnusedVersions() {
	for d, version := range c.versions {
		if version.heldCount == 0 && !c.isReferenced(d) {
			delete(c.versions, d)
		}
	}
}

// belongsToVersion reports whether any known version contains a chunk.
func (c *Core) belongsToVersion(chunk *chunkState) bool {
	for _, version := range c.versions {
		if len(version.positions[chunk.Digest]) > 0 {
			return true
		}
	}
	return false
}
