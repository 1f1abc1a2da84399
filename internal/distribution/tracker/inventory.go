package tracker

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// handleInventory records an agent's inventory and replies to it.
func (t *Tracker) handleInventory(call InventoryCall) {
	report := call.Inventory
	if !t.zones[report.Zone] {
		t.refuse(call.ID, http.StatusBadRequest, "zone: no zone of this deployment")
		return
	}
	if t.isStale(report) {
		t.counts.StaleInventories++
		t.refuse(call.ID, http.StatusConflict, "sequence: a later inventory of this agent is known")
		return
	}
	t.counts.Inventories++
	agent := t.updateAgent(report)
	t.updateHoldings(agent, report.Holdings)
	for _, fault := range report.Faults {
		t.recordFault(agent, fault)
	}
	t.reply(call.ID, t.inventoryResponse(agent, report))
}

// isStale reports whether this or a later inventory of the agent has been recorded.
func (t *Tracker) isStale(report *distribution.Inventory) bool {
	agent := t.agents[report.Agent]
	if agent == nil {
		return false
	}
	return report.Session < agent.session || report.Session == agent.session && report.Sequence <= agent.sequence
}

// updateAgent updates the record of the reporting agent. An agent that has restarted or changed its
// zone gets a new record: the leases and the damage reports of the old one concern the previous
// process.
func (t *Tracker) updateAgent(report *distribution.Inventory) *agentState {
	agent := t.agents[report.Agent]
	if agent != nil && (agent.zone != report.Zone || agent.session != report.Session) {
		t.removeAgent(agent)
		agent = nil
	}
	if agent == nil {
		agent = &agentState{
			name: report.Agent, zone: report.Zone, members: map[digest.Digest]*swarmMember{}, excludedUntil: map[sourceKey]time.Duration{},
		}
		agent.lastReportElement = t.byLastReport.PushBack(agent)
		t.agents[agent.name] = agent
	}
	agent.address, agent.uploadSlots, agent.waits = report.Address, report.UploadSlots, report.Waits
	agent.session, agent.sequence = report.Session, report.Sequence
	agent.lastReportAt = t.now
	t.byLastReport.MoveToBack(agent.lastReportElement)
	return agent
}

// removeAgent removes an agent with its leases and memberships.
func (t *Tracker) removeAgent(agent *agentState) {
	for _, manifest := range slices.Sorted(maps.Keys(agent.members)) {
		t.leave(agent.members[manifest])
	}
	for len(agent.uploadLeases) > 0 {
		t.endLease(agent.uploadLeases[0])
	}
	for len(agent.downloadLeases) > 0 {
		t.endLease(agent.downloadLeases[0])
	}
	t.byLastReport.Remove(agent.lastReportElement)
	delete(t.agents, agent.name)
}

// updateHoldings records how many chunks of each manifest an agent holds.
func (t *Tracker) updateHoldings(agent *agentState, holdings []distribution.Holding) {
	for _, holding := range holdings {
		member := t.join(agent, holding.Manifest)
		if holding.Chunks > member.chunks {
			member.lastProgressAt = t.now
		}
		member.chunks, member.total, member.active = holding.Chunks, holding.Total, holding.Active
		member.updateHolderIndex()
	}
}

// recordFault ends an agent's lease on a source that the agent found faulty. The source isn't
// assigned to the agent again for a while, except for the store, because there is no other store.
func (t *Tracker) recordFault(agent *agentState, fault distribution.SourceFault) {
	for _, lease := range agent.downloadLeases {
		if lease.manifest == fault.Manifest && lease.sourceName() == fault.Source {
			t.endLease(lease)
			break
		}
	}
	if fault.Source == distribution.StoreSource {
		return
	}
	maps.DeleteFunc(agent.excludedUntil, func(_ sourceKey, until time.Duration) bool { return t.now >= until })
	agent.excludedUntil[sourceKey{fault.Source, fault.Manifest}] = t.now + exclusionIntervals*t.parameters.ReportInterval
	if fault.Fault == distribution.FaultDamaged {
		t.recordDamageReport(agent, fault)
	}
}

// recordDamageReport records that an agent received damaged chunks from a source.
func (t *Tracker) recordDamageReport(reporter *agentState, fault distribution.SourceFault) {
	source := t.agents[fault.Source]
	if source == nil {
		return
	}
	member := source.members[fault.Manifest]
	if member == nil {
		return
	}
	if member.damageReportedAt == nil {
		member.damageReportedAt = map[string]time.Duration{}
	}
	member.damageReportedAt[reporter.name] = t.now
	t.emit(Log{"source has damaged chunks", []any{"source", source.name, "downloader", reporter.name, "manifest", fault.Manifest.String()}})
}

// damageReporterCount returns how many agents have recently reported damaged chunks from a member.
func (t *Tracker) damageReporterCount(member *swarmMember) int {
	maps.DeleteFunc(member.damageReportedAt, func(_ string, at time.Duration) bool {
		return t.now-at > damageReportIntervals*t.parameters.ReportInterval
	})
	return len(member.damageReportedAt)
}
