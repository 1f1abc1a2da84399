package tracker

import (
	"maps"
	"slices"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// inventoryResponse updates an agent's memberships and leases, and returns the response that lists
// the records of its names and its sources.
func (t *Tracker) inventoryResponse(agent *agentState, report *distribution.Inventory) distribution.InventoryResponse {
	response := distribution.InventoryResponse{
		Term:        t.stateTerm,
		Names:       t.nameRecords(report.WantedNames),
		KeepSources: t.now-t.electedAt < warmUpIntervals*t.parameters.IdleReportInterval,
	}
	missing := missingManifests(agent, response.Names)
	t.leaveUnreportedSwarms(agent, report, missing)
	t.endUnneededLeases(agent, missing)
	for _, manifest := range missing {
		t.assignSources(agent, manifest)
	}
	for _, lease := range agent.downloadLeases[:min(len(agent.downloadLeases), maxSourcesPerResponse)] {
		response.Sources = append(response.Sources, t.sourceMessage(lease))
	}
	response.Recheck = t.manifestsToRecheck(agent)
	hasUnknownNames := len(response.Names) < len(report.WantedNames)
	response.NextReportMs = t.nextReportInterval(agent, len(missing) > 0, hasUnknownNames).Milliseconds()
	return response
}

// nameRecords returns the records of the given names, except for names without a manifest.
func (t *Tracker) nameRecords(names []string) (records []distribution.NameRecord) {
	for _, name := range names {
		if record, found := t.names.lookup(name); found {
			records = append(records, record)
		}
	}
	return records
}

// missingManifests returns the manifests of the given records that an agent doesn't hold
// completely, without duplicates and in the order of the records.
func missingManifests(agent *agentState, records []distribution.NameRecord) (missing []digest.Digest) {
	for _, record := range records {
		member := agent.members[record.Manifest]
		if (member == nil || !member.complete()) && !slices.Contains(missing, record.Manifest) {
			missing = append(missing, record.Manifest)
		}
	}
	return missing
}

// leaveUnreportedSwarms ends an agent's memberships in the swarms of manifests that the agent
// neither reports nor needs.
func (t *Tracker) leaveUnreportedSwarms(agent *agentState, report *distribution.Inventory, missing []digest.Digest) {
	reported := map[digest.Digest]bool{}
	for _, holding := range report.Holdings {
		reported[holding.Manifest] = true
	}
	for _, manifest := range slices.Sorted(maps.Keys(agent.members)) {
		if !reported[manifest] && !slices.Contains(missing, manifest) {
			t.leave(agent.members[manifest])
		}
	}
}

// endUnneededLeases ends an agent's leases for manifests that aren't missing.
func (t *Tracker) endUnneededLeases(agent *agentState, missing []digest.Digest) {
	for _, lease := range slices.Clone(agent.downloadLeases) {
		if !slices.Contains(missing, lease.manifest) {
			t.endLease(lease)
		}
	}
}

// manifestsToRecheck returns the manifests of which an agent sent damaged chunks, according to
// other agents. The agent should verify its stored chunks of these manifests.
func (t *Tracker) manifestsToRecheck(agent *agentState) (manifests []digest.Digest) {
	for _, manifest := range slices.Sorted(maps.Keys(agent.members)) {
		if t.damageReporterCount(agent.members[manifest]) > 0 {
			manifests = append(manifests, manifest)
		}
	}
	return manifests
}

// sourceMessage returns the Source that describes a lease to its downloader.
func (t *Tracker) sourceMessage(lease *sourceLease) distribution.Source {
	source := distribution.Source{
		Agent: lease.sourceName(), Manifest: lease.manifest, LeaseMs: (lease.validUntil - t.now).Milliseconds(),
	}
	if lease.source == nil {
		source.Stripe, source.Stripes = lease.stripe, t.parameters.StoreSlots
		source.OtherStoreUsers = len(t.swarms[lease.manifest].activeStoreLeases(t.now)) - 1
		return source
	}
	source.Address, source.Zone = lease.source.address, lease.source.zone
	return source
}

// nextReportInterval returns the time after which an agent should report again. It is shortest for
// an agent that lacks chunks and has no source. A random part keeps agents from reporting all at
// once.
func (t *Tracker) nextReportInterval(agent *agentState, fetching, hasUnknownNames bool) time.Duration {
	interval := t.parameters.IdleReportInterval
	switch {
	case fetching && len(agent.downloadLeases) == 0:
		interval = t.parameters.ReportInterval / 2
	case fetching || hasUnknownNames:
		interval = t.parameters.ReportInterval
	}
	return interval - time.Duration(t.rng.Int64N(int64(interval)/8+1))
}
