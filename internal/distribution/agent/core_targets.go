package agent

import (
	"maps"
	"slices"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// applyNameRecord sets the manifest that a name refers to. It ignores a record whose revision
// isn't newer than the known one.
func (c *Core) applyNameRecord(record distribution.NameRecord) {
	for _, target := range c.targets {
		if target.name != record.Name || record.Revision <= target.revision {
			continue
		}
		c.log("wanted version changed", "name", target.name, "from", target.wanted.String(), "to", record.Manifest.String(), "revision", record.Revision)
		target.revision, target.wanted = record.Revision, record.Manifest
		// A request in flight is for the previous manifest and must not block the next request.
		target.manifestRetryAt, target.failedManifestFetches, target.fetchingManifest = c.now, 0, false
	}
}

// advanceTargets requests missing manifests and activates complete versions.
func (c *Core) advanceTargets() {
	for _, target := range c.targets {
		version := c.versions[target.wanted]
		switch {
		case target.wanted == "":
		case version == nil:
			c.requestManifest(target)
		case version.complete() && target.active != target.wanted && !target.activating && c.now >= target.activateRetryAt:
			target.activating = true
			c.emit(Activate{target.name, target.revision, target.wanted})
		}
	}
}

// requestManifest reads the wanted manifest from disk. After a failure it fetches the manifest
// from a usable source instead.
func (c *Core) requestManifest(target *targetState) {
	if target.fetchingManifest || c.now < target.manifestRetryAt {
		return
	}
	from := Endpoint{}
	if target.failedManifestFetches > 0 {
		source := c.firstUsableSource(target.wanted)
		if source == nil {
			return
		}
		from = source.endpoint()
	}
	target.fetchingManifest = true
	c.emit(GetManifest{from, target.name, target.wanted})
}

// handleManifestResult adds the manifest, or records the failure and the source's fault.
func (c *Core) handleManifestResult(result ManifestResult) {
	for _, target := range c.targets {
		if target.wanted != result.Digest || !target.fetchingManifest {
			continue
		}
		target.fetchingManifest = false
		if result.Manifest != nil {
			continue
		}
		target.failedManifestFetches++
		if result.Source != "" {
			target.manifestRetryAt = c.now + c.backoff(target.failedManifestFetches-1)
		}
	}
	if result.Manifest != nil {
		c.addManifest(result.Manifest)
		return
	}
	if source := c.sources[sourceKey{result.Source, result.Digest}]; source != nil {
		c.recordFault(source, result.Fault, 0)
	}
}

// addManifest adds a version for a manifest. Chunks that are already stored are marked as held.
func (c *Core) addManifest(m *distribution.Manifest) {
	if c.versions[m.Digest] != nil {
		return
	}
	version := &versionState{
		Manifest: m, positions: map[digest.Digest][]int{}, held: distribution.NewChunkSet(len(m.Chunks)), lastFetchAt: c.now,
	}
	for i, listed := range m.Chunks {
		version.positions[listed.Digest] = append(version.positions[listed.Digest], i)
		chunk := c.chunks[listed.Digest]
		if chunk == nil {
			chunk = &chunkState{Chunk: listed}
			c.chunks[listed.Digest] = chunk
		}
		chunk.Size = listed.Size // not known yet if a partial chunk was found on disk
		if chunk.stored {
			version.setHeld([]int{i}, true)
		}
	}
	c.versions[m.Digest] = version
}

// handleActivateResult records the manifest that a name is served from and reports it soon. After a
// failure, the next attempt is delayed.
func (c *Core) handleActivateResult(result ActivateResult) {
	for _, target := range c.targets {
		if target.name != result.Name {
			continue
		}
		target.activating = false
		if result.Failed {
			target.activateRetryAt = c.now + c.backoff(1)
			continue
		}
		target.active = result.Manifest
		c.counts.Activations++
		c.reportSoon()
		c.log("version activated", "name", target.name, "manifest", result.Manifest.String())
	}
}

// isActive reports whether any name is served from a manifest.
func (c *Core) isActive(manifest digest.Digest) bool {
	return slices.ContainsFunc(c.targets, func(target *targetState) bool { return target.active == manifest })
}

// isReferenced reports whether a manifest is wanted or active for any name.
func (c *Core) isReferenced(manifest digest.Digest) bool {
	return slices.ContainsFunc(c.targets, func(target *targetState) bool {
		return target.active == manifest || target.wanted == manifest
	})
}

// isChunkReferenced reports whether a chunk belongs to a version that is wanted or active for any
// name.
func (c *Core) isChunkReferenced(d digest.Digest) bool {
	for _, target := range c.targets {
		for _, manifest := range [...]digest.Digest{target.wanted, target.active} {
			if version := c.versions[manifest]; version != nil && len(version.positions[d]) > 0 {
				return true
			}
		}
	}
	return false
}

// verifyManifest starts the verification of all stored chunks of a manifest, unless they were
// verified recently.
func (c *Core) verifyManifest(manifest digest.Digest) {
	version := c.versions[manifest]
	if version == nil {
		return
	}
	if at, verified := c.verifiedAt[manifest]; verified && c.now-at < minVerifyIntervals*c.settings.ReportInterval {
		return
	}
	c.verifiedAt[manifest] = c.now
	for i, listed := range version.Chunks {
		if version.held.Has(i) {
			c.emit(Verify{listed.Digest})
		}
	}
}

// cancelUnneededFetches cancels fetches of chunks that no wanted or active version contains.
func (c *Core) cancelUnneededFetches() {
	for _, id := range slices.Sorted(maps.Keys(c.fetches)) {
		fetch := c.fetches[id]
		if !fetch.cancelled && !c.isChunkReferenced(fetch.chunk.Digest) {
			fetch.cancelled = true
			c.emit(CancelChunk{fetch.id})
		}
	}
}
