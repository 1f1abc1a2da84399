package agent

import (
	"maps"
	"slices"
	"time"

	"oakpick/internal/distribution"
)

// handleTrackerResponse applies the names and sources in a tracker's response and schedules the
// next report.
func (c *Core) handleTrackerResponse(response distribution.InventoryResponse) {
	c.reports.inFlight = false
	requested := time.Duration(response.NextReportMs) * time.Millisecond
	c.reports.interval = min(max(requested, c.settings.ReportInterval/maxReportIntervalFactor), c.settings.ReportInterval*maxReportIntervalFactor)
	c.reports.nextAt = c.now + c.reports.interval
	if response.Term < c.reports.term {
		return // the response comes from a leader that has been replaced
	}
	c.reports.term = response.Term
	for _, record := range response.Names {
		c.applyNameRecord(record)
	}
	c.updateSources(response)
	for _, manifest := range response.Recheck {
		c.verifyManifest(manifest)
	}
}

// handleTrackerFailure schedules the next report and keeps the known names and sources.
func (c *Core) handleTrackerFailure(failure TrackerFailed) {
	c.reports.inFlight = false
	c.reports.nextAt = c.now + c.jitter(max(failure.RetryAfter, c.settings.ReportInterval/2))
}

// reportSoon brings the next report forward, with some jitter.
func (c *Core) reportSoon() {
	c.reports.bringForward(c.now + c.jitter(c.settings.ReportInterval/retryDivisor))
}

// reportIfDue sends an inventory if one is due and none is in flight.
func (c *Core) reportIfDue() {
	if c.reports.inFlight || c.now < c.reports.nextAt {
		return
	}
	c.reports.inFlight = true
	c.reports.sequence++
	c.emit(Report{c.inventory()})
}

// inventory builds a report and clears the pending source faults, so that each is reported at most
// once.
func (c *Core) inventory() distribution.Inventory {
	faults := c.reports.faults[:min(len(c.reports.faults), maxReportedFaults)]
	c.reports.faults = nil
	return distribution.Inventory{
		Agent:       c.settings.Agent,
		Zone:        c.settings.Zone,
		Address:     c.settings.Address,
		Session:     c.settings.Session,
		Sequence:    c.reports.sequence,
		UploadSlots: c.settings.UploadSlots,
		WantedNames: c.settings.Names,
		Holdings:    c.holdings(),
		Faults:      faults,
		Waits:       c.waitReasons(),
	}
}

// holdings lists the manifests that have stored chunks or that a name refers to.
func (c *Core) holdings() (holdings []distribution.Holding) {
	for _, d := range slices.Sorted(maps.Keys(c.versions)) {
		version := c.versions[d]
		if len(holdings) < maxReportedHoldings && (version.heldCount > 0 || c.isReferenced(d)) {
			holdings = append(holdings, distribution.Holding{
				Manifest: d, Chunks: version.heldCount, Total: len(version.Chunks), Active: c.isActive(d),
			})
		}
	}
	return holdings
}

// waitReasons returns a reason for each name that isn't served from its wanted manifest.
func (c *Core) waitReasons() (waits []distribution.WaitReason) {
	for _, target := range c.targets {
		if target.wanted == "" || target.active != target.wanted {
			waits = append(waits, c.waitReason(target))
		}
	}
	return waits
}

// waitReason returns the reason why a name isn't served from its wanted manifest.
func (c *Core) waitReason(target *targetState) distribution.WaitReason {
	reason := distribution.WaitReason{Name: target.name}
	version := c.versions[target.wanted]
	switch {
	case target.wanted == "":
		reason.Description = "no manifest is known for the name"
	case version == nil:
		reason.Description = "nobody has given the manifest yet"
	case version.complete():
		reason.Description = "all chunks are there, activation is under way"
	default:
		c.addChunkReason(&reason, version)
	}
	return reason
}

// addChunkReason sets the reason why chunks of a version are missing, and names a chunk that no
// usable source has, if there is one.
func (c *Core) addChunkReason(reason *distribution.WaitReason, version *versionState) {
	fetching, unavailable := 0, 0
	for i, listed := range version.Chunks {
		switch {
		case version.held.Has(i):
		case c.chunks[listed.Digest].fetch != nil:
			fetching++
		case !c.hasUsableSource(version, i):
			if unavailable == 0 {
				reason.Chunk = listed.Digest
			}
			unavailable++
		}
	}
	switch {
	case c.now < c.disk.pausedUntil:
		reason.Description = "the disk takes no more"
	case c.disk.limitReached:
		reason.Description = "disk_bytes is used up by chunks that are in use"
	case fetching > 0:
		reason.Description = "chunks are being fetched"
	case unavailable > 0:
		reason.Description = "no source has the chunk"
	default:
		reason.Description = "sources are busy or paused"
	}
	reason.MissingChunks = len(version.Chunks) - version.heldCount
	if unavailable > 0 {
		reason.MissingChunks = unavailable
	}
}
