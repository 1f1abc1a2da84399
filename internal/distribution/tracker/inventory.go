package tracker

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// inventory takes an agent's report in and answers it.
func (t *Tracker) handleInventory(c InventoryCall) {
	report := c.Inventory
	if !t.zones[report.Zone] {
		t.refuse(c.ID, http.StatusBadRequest, "zone: no zone of this deployment")
		return
	}
	a := t.agents[report.Agent]
	if a != nil && (report.Session < a.session || report.Session == a.session && report.Sequence <= a.sequence) {
		t.counts.Stale++
		t.refuse(c.ID, http.StatusConflict, "sequence: a later inventory of this agent is known")
		return
	}
	t.counts.Inventories++
	if a != nil && (a.zone != report.Zone || a.session != report.Session) {
		t.removeAgent(a) // what it was given and accused of was another process's
		a = nil
	}
	if a == nil {
		a = &agentState{name: report.Agent, zone: report.Zone, members: map[digest.Digest]*swarmMember{}, avoidUntil: map[sourceKey]time.Duration{}}
		a.element = t.byLastReport.PushBack(a)
		t.agents[a.name] = a
	}
	a.address, a.session, a.sequence, a.uploadSlots, a.waits = report.Address, report.Session, report.Sequence, report.UploadSlots, report.Waits
	a.lastReportAt = t.now
	t.byLastReport.MoveToBack(a.element)
	t.updateHoldings(a, report.Holdings)
	for _, f := range report.Faults {
		t.recordFault(a, f)
	}
	t.reply(c.ID, t.answer(a, report))
}

// hold notes what an agent holds.
func (t *Tracker) updateHoldings(a *agentState, holdings []distribution.Holding) {
	for _, h := range holdings {
		m := a.members[h.Manifest]
		if m == nil {
			m = t.join(a, h.Manifest)
		}
		if h.Chunks > m.chunks {
			m.lastProgressAt = t.now
		}
		m.chunks, m.total, m.active = h.Chunks, h.Total, h.Active
		m.updateHolderIndex()
	}
}

// join makes an agent a member of a swarm.
func (t *Tracker) join(a *agentState, manifest digest.Digest) *swarmMember {
	s := t.swarms[manifest]
	if s == nil {
		s = &swarmState{manifest: manifest, members: map[string]*swarmMember{}, holders: map[string][]*swarmMember{}, membersPerZone: map[string]int{}, storeLeases: make([]*sourceLease, t.parameters.StoreSlots)}
		t.swarms[manifest] = s
	}
	m := &swarmMember{agent: a, swarm: s, lastProgressAt: t.now, holderIndex: -1}
	a.members[manifest], s.members[a.name] = m, m
	s.membersPerZone[a.zone]++
	return m
}

// leave ends a membership and the leases that belong to it.
func (t *Tracker) leave(m *swarmMember) {
	a, s := m.agent, m.swarm
	m.chunks = 0
	m.updateHolderIndex()
	t.endLeasesFor(a.uploadLeases, s.manifest)
	t.endLeasesFor(a.downloadLeases, s.manifest)
	delete(a.members, s.manifest)
	delete(s.members, a.name)
	if s.membersPerZone[a.zone]--; s.membersPerZone[a.zone] == 0 {
		delete(s.membersPerZone, a.zone)
	}
	if len(s.members) == 0 {
		delete(t.swarms, s.manifest)
	}
}

// endOf ends those of some leases that are for a manifest.
func (t *Tracker) endLeasesFor(leases []*sourceLease, manifest digest.Digest) {
	for _, l := range append([]*sourceLease(nil), leases...) {
		if l.manifest == manifest {
			t.endLease(l)
		}
	}
}

// list puts a member among its zone's holders, or takes it away.
func (m *swarmMember) updateHolderIndex() {
	zone := m.agent.zone
	holders := m.swarm.holders[zone]
	switch {
	case m.chunks > 0 && m.holderIndex < 0:
		m.holderIndex = len(holders)
		m.swarm.holders[zone] = append(holders, m)
	case m.chunks == 0 && m.holderIndex >= 0:
		last := holders[len(holders)-1]
		holders[m.holderIndex], last.holderIndex = last, m.holderIndex
		m.swarm.holders[zone] = holders[:len(holders)-1]
		m.holderIndex = -1
	}
}

// fault notes what a taker found wrong with a source.
func (t *Tracker) recordFault(a *agentState, f distribution.SourceFault) {
	for _, l := range a.downloadLeases {
		if l.manifest == f.Manifest && l.sourceName() == f.Source {
			t.endLease(l)
			break
		}
	}
	if f.Source == distribution.StoreSource {
		return // there is only one
	}
	t.removeExpiredAvoidances(a)
	a.avoidUntil[sourceKey{f.Source, f.Manifest}] = t.now + avoidReports*t.parameters.ReportInterval
	source := t.agents[f.Source]
	if source == nil || f.Fault != distribution.FaultDamaged {
		return
	}
	if m := source.members[f.Manifest]; m != nil {
		if m.accusedAt == nil {
			m.accusedAt = map[string]time.Duration{}
		}
		m.accusedAt[a.name] = t.now
		t.emit(Log{"source has damaged chunks", []any{"source", source.name, "taker", a.name, "manifest", f.Manifest.String()}})
	}
}

// forgetAvoided drops what a taker may be given again.
func (t *Tracker) removeExpiredAvoidances(a *agentState) {
	for key, until := range a.avoidUntil {
		if t.now >= until {
			delete(a.avoidUntil, key)
		}
	}
}

// storeTakers is how many takers have a lease on a slot of the store.
func (s *swarmState) activeStoreLeases(now time.Duration) (takers int) {
	for _, l := range s.storeLeases {
		if l != nil && now < l.validUntil {
			takers++
		}
	}
	return takers
}

// accused tells how many takers have lately got damaged chunks from a member.
func (t *Tracker) accuserCount(m *swarmMember) int {
	for name, at := range m.accusedAt {
		if t.now-at > accusationReports*t.parameters.ReportInterval {
			delete(m.accusedAt, name)
		}
	}
	return len(m.accusedAt)
}

// answer tells an agent which manifests its names have and where to fetch them.
func (t *Tracker) answer(a *agentState, report *distribution.Inventory) distribution.Answer {
	answer := distribution.Answer{Term: t.stateTerm, Keep: t.now-t.electedAt < warmUpReports*t.parameters.IdleReportInterval}
	wanted := map[digest.Digest]bool{} // and not held whole
	part := map[digest.Digest]bool{}   // held, in part or whole, or wanted
	for _, h := range report.Holdings {
		part[h.Manifest] = true
	}
	for _, name := range report.Wants {
		record, known := t.names.record(name)
		if !known {
			continue
		}
		answer.Names = append(answer.Names, record)
		m := a.members[record.Manifest]
		if m == nil || m.chunks < m.total || m.total == 0 {
			wanted[record.Manifest], part[record.Manifest] = true, true
		}
	}
	for _, manifest := range slices.Sorted(maps.Keys(a.members)) {
		if !part[manifest] {
			t.leave(a.members[manifest])
		}
	}
	fetches := len(wanted) > 0
	for _, l := range append([]*sourceLease(nil), a.downloadLeases...) {
		if !wanted[l.manifest] {
			t.endLease(l)
		}
	}
	for _, record := range answer.Names { // in the agent's order
		if !wanted[record.Manifest] {
			continue
		}
		delete(wanted, record.Manifest)
		t.assignSources(a, record.Manifest)
	}
	for _, l := range a.downloadLeases[:min(len(a.downloadLeases), maxAnsweredSources)] {
		answer.Sources = append(answer.Sources, t.describeLease(l))
	}
	for _, manifest := range slices.Sorted(maps.Keys(a.members)) {
		if t.accuserCount(a.members[manifest]) > 0 {
			answer.Recheck = append(answer.Recheck, manifest)
		}
	}
	answer.NextMs = t.nextReportInterval(a, fetches, len(answer.Names) < len(report.Wants)).Milliseconds()
	return answer
}

func (t *Tracker) describeLease(l *sourceLease) distribution.Source {
	s := distribution.Source{Agent: l.sourceName(), Manifest: l.manifest, LeaseMs: (l.validUntil - t.now).Milliseconds()}
	if l.source == nil {
		s.Stripe, s.Stripes = l.stripe, t.parameters.StoreSlots
		s.Others = t.swarms[l.manifest].activeStoreLeases(t.now) - 1
		return s
	}
	s.Address, s.Zone = l.source.address, l.source.zone
	return s
}

// nextReport is when an agent should report again: soon while it has nowhere to fetch from.
func (t *Tracker) nextReportInterval(a *agentState, fetches, unknown bool) time.Duration {
	base := t.parameters.IdleReportInterval
	switch {
	case fetches && len(a.downloadLeases) == 0:
		base = t.parameters.ReportInterval / 2
	case fetches || unknown:
		base = t.parameters.ReportInterval
	}
	return base - time.Duration(t.rng.Int64N(int64(base)/8+1)) // so that they don't come all at once
}
