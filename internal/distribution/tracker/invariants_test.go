package tracker

import (
	"slices"

	"oakpick/internal/distribution"
	"oakpick/internal/protocol"
)

// checkReply checks that revisions never decrease and that every record in a reply is durable.
func (m *model) checkReply(reply Reply) {
	var records []distribution.NameRecord
	switch body := reply.Body.(type) {
	case distribution.InventoryResponse:
		records = body.Names
		m.checkSources(body)
	case distribution.NameRecord:
		records = []distribution.NameRecord{body}
	}
	for _, record := range records {
		if record.Revision < m.repliedRevisions[record.Name] {
			m.Fatalf("%s had revision %d and now has %d", record.Name, m.repliedRevisions[record.Name], record.Revision)
		}
		m.repliedRevisions[record.Name] = record.Revision
		m.checkDurable(record)
	}
}

// checkDurable checks that a record, or a later one of the same name, is stored.
func (m *model) checkDurable(record distribution.NameRecord) {
	var value storedName
	stored := m.state.entries[NamesPrefix+record.Name]
	if protocol.Decode(stored.Value, &value) != nil || stored.Version < record.Revision ||
		stored.Version == record.Revision && value.Manifest != record.Manifest.String() {
		m.Fatalf("%s is returned as %s, revision %d, and stored as %s, revision %d",
			record.Name, record.Manifest, record.Revision, value.Manifest, stored.Version)
	}
}

// checkSources checks that a response lists each source once, with a lease that hasn't expired.
func (m *model) checkSources(response distribution.InventoryResponse) {
	listed := map[string]bool{}
	for _, source := range response.Sources {
		key := source.Agent + source.Manifest.String()
		if listed[key] || source.LeaseMs <= 0 {
			m.Fatalf("a source is listed twice or its lease has expired: %+v", response.Sources)
		}
		listed[key] = true
	}
}

// checkInvariants checks that the parts of the tracker's state agree and that no write was applied
// twice.
func (m *model) checkInvariants() {
	for _, agent := range m.tracker.agents {
		m.checkUploadLeases(agent)
		m.checkDownloadLeases(agent)
		m.checkHolderIndexes(agent)
	}
	m.checkStoreLeases()
	m.checkNames()
	for write, times := range m.state.writeCounts {
		if times > 1 {
			m.Fatalf("write %s was applied %d times", write, times)
		}
	}
}

// checkUploadLeases checks that each upload lease of an agent is a download lease of its downloader,
// and that the agent has no more valid upload leases than slots.
func (m *model) checkUploadLeases(agent *agentState) {
	valid := 0
	for _, lease := range agent.uploadLeases {
		downloader := lease.downloader
		if lease.source != agent || downloader == agent ||
			!slices.Contains(downloader.downloadLeases, lease) || m.tracker.agents[downloader.name] != downloader {
			m.Fatalf("%s has an upload lease that its downloader lacks: %+v", agent.name, lease)
		}
		if m.tracker.now < lease.validUntil {
			valid++
		}
	}
	if valid > agent.uploadSlots {
		m.Fatalf("%s has %d valid upload leases and %d slots", agent.name, valid, agent.uploadSlots)
	}
}

// checkDownloadLeases checks that each download lease of an agent on a peer is an upload lease of
// that peer, and that the peer is a member of the manifest's swarm.
func (m *model) checkDownloadLeases(agent *agentState) {
	for _, lease := range agent.downloadLeases {
		if lease.source == nil {
			continue
		}
		if !slices.Contains(lease.source.uploadLeases, lease) || m.tracker.agents[lease.source.name] != lease.source {
			m.Fatalf("%s has a download lease that its source lacks: %+v", agent.name, lease)
		}
		if lease.source.members[lease.manifest] == nil {
			m.Fatalf("%s has a lease for %s on %s, which is no member of the swarm", agent.name, lease.manifest, lease.source.name)
		}
	}
}

// checkHolderIndexes checks that an agent is indexed as a holder of those manifests of which it
// holds chunks, and of no others.
func (m *model) checkHolderIndexes(agent *agentState) {
	for d, member := range agent.members {
		holders := m.tracker.swarms[d].holders[agent.zone]
		if member.chunks > 0 && holders[member.holderIndex] != member || member.chunks == 0 && member.holderIndex != notHolding {
			m.Fatalf("%s has holder index %d with %d chunks", agent.name, member.holderIndex, member.chunks)
		}
	}
}

// checkStoreLeases checks that agents and swarms have the same leases on the store.
func (m *model) checkStoreLeases() {
	unmatched := 0
	for _, agent := range m.tracker.agents {
		for _, lease := range agent.downloadLeases {
			if lease.source == nil {
				unmatched++
			}
		}
	}
	for _, swarm := range m.tracker.swarms {
		for stripe, lease := range swarm.storeLeases {
			if lease == nil {
				continue
			}
			unmatched--
			if lease.stripe != stripe || !slices.Contains(lease.downloader.downloadLeases, lease) {
				m.Fatalf("stripe %d has %+v", stripe, lease)
			}
		}
	}
	if unmatched != 0 {
		m.Fatalf("agents have %d more leases on the store than swarms", unmatched)
	}
}

// checkNames checks that the known records are the stored ones while no write is queued, even if
// calls of earlier terms are still being applied.
func (m *model) checkNames() {
	names := m.tracker.names
	if names == nil || !names.loaded || len(names.queue) > 0 {
		return
	}
	for name, record := range names.records {
		if stored := m.state.entries[NamesPrefix+name]; stored.Version != record.Revision {
			m.Fatalf("no write is queued, and %s is known with revision %d and stored with %d", name, record.Revision, stored.Version)
		}
	}
}
