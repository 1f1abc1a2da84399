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
func (t *Tracker) inventory(c InventoryCall) {
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
		t.forget(a) // what it was given and accused of was another process's
		a = nil
	}
	if a == nil {
		a = &agent{name: report.Agent, zone: report.Zone, members: map[digest.Digest]*member{}, avoid: map[avoidance]time.Duration{}}
		a.element = t.byHeard.PushBack(a)
		t.agents[a.name] = a
	}
	a.address, a.session, a.sequence, a.slots, a.waits = report.Address, report.Session, report.Sequence, report.UploadSlots, report.Waits
	a.heard = t.now
	t.byHeard.MoveToBack(a.element)
	t.hold(a, report.Holdings)
	for _, f := range report.Faults {
		t.fault(a, f)
	}
	t.reply(c.ID, t.answer(a, report))
}

// hold notes what an agent holds.
func (t *Tracker) hold(a *agent, holdings []distribution.Holding) {
	for _, h := range holdings {
		m := a.members[h.Manifest]
		if m == nil {
			m = t.join(a, h.Manifest)
		}
		if h.Chunks > m.chunks {
			m.grewAt = t.now
		}
		m.chunks, m.total, m.active = h.Chunks, h.Total, h.Active
		m.list()
	}
}

// join makes an agent a member of a swarm.
func (t *Tracker) join(a *agent, manifest digest.Digest) *member {
	s := t.swarms[manifest]
	if s == nil {
		s = &swarm{manifest: manifest, members: map[string]*member{}, holders: map[string][]*member{}, byZone: map[string]int{}, stripes: make([]*lease, t.parameters.StoreSlots)}
		t.swarms[manifest] = s
	}
	m := &member{agent: a, swarm: s, grewAt: t.now, place: -1}
	a.members[manifest], s.members[a.name] = m, m
	s.byZone[a.zone]++
	return m
}

// leave ends a membership and the leases that belong to it.
func (t *Tracker) leave(m *member) {
	a, s := m.agent, m.swarm
	m.chunks = 0
	m.list()
	t.endOf(a.given, s.manifest)
	t.endOf(a.taken, s.manifest)
	delete(a.members, s.manifest)
	delete(s.members, a.name)
	if s.byZone[a.zone]--; s.byZone[a.zone] == 0 {
		delete(s.byZone, a.zone)
	}
	if len(s.members) == 0 {
		delete(t.swarms, s.manifest)
	}
}

// endOf ends those of some leases that are for a manifest.
func (t *Tracker) endOf(leases []*lease, manifest digest.Digest) {
	for _, l := range append([]*lease(nil), leases...) {
		if l.manifest == manifest {
			t.end(l)
		}
	}
}

// list puts a member among its zone's holders, or takes it away.
func (m *member) list() {
	zone := m.agent.zone
	holders := m.swarm.holders[zone]
	switch {
	case m.chunks > 0 && m.place < 0:
		m.place = len(holders)
		m.swarm.holders[zone] = append(holders, m)
	case m.chunks == 0 && m.place >= 0:
		last := holders[len(holders)-1]
		holders[m.place], last.place = last, m.place
		m.swarm.holders[zone] = holders[:len(holders)-1]
		m.place = -1
	}
}

// fault notes what a taker found wrong with a source.
func (t *Tracker) fault(a *agent, f distribution.SourceFault) {
	for _, l := range a.taken {
		if l.manifest == f.Manifest && l.sourceName() == f.Source {
			t.end(l)
			break
		}
	}
	if f.Source == distribution.StoreSource {
		return // there is only one
	}
	t.forgetAvoided(a)
	a.avoid[avoidance{f.Source, f.Manifest}] = t.now + avoidReports*t.parameters.Report
	source := t.agents[f.Source]
	if source == nil || f.Fault != distribution.FaultDamaged {
		return
	}
	if m := source.members[f.Manifest]; m != nil {
		if m.accusers == nil {
			m.accusers = map[string]time.Duration{}
		}
		m.accusers[a.name] = t.now
		t.emit(Log{"source has damaged chunks", []any{"source", source.name, "taker", a.name, "manifest", f.Manifest.String()}})
	}
}

// forgetAvoided drops what a taker may be given again.
func (t *Tracker) forgetAvoided(a *agent) {
	for key, until := range a.avoid {
		if t.now >= until {
			delete(a.avoid, key)
		}
	}
}

// storeTakers is how many takers have a lease on a slot of the store.
func (s *swarm) storeTakers(now time.Duration) (takers int) {
	for _, l := range s.stripes {
		if l != nil && now < l.until {
			takers++
		}
	}
	return takers
}

// accused tells how many takers have lately got damaged chunks from a member.
func (t *Tracker) accused(m *member) int {
	for name, at := range m.accusers {
		if t.now-at > accusedReports*t.parameters.Report {
			delete(m.accusers, name)
		}
	}
	return len(m.accusers)
}

// answer tells an agent which manifests its names have and where to fetch them.
func (t *Tracker) answer(a *agent, report *distribution.Inventory) distribution.Answer {
	answer := distribution.Answer{Term: t.reign, Keep: t.now-t.ledAt < settleReports*t.parameters.IdleReport}
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
	for _, l := range append([]*lease(nil), a.taken...) {
		if !wanted[l.manifest] {
			t.end(l)
		}
	}
	for _, record := range answer.Names { // in the agent's order
		if !wanted[record.Manifest] {
			continue
		}
		delete(wanted, record.Manifest)
		t.provide(a, record.Manifest)
	}
	for _, l := range a.taken[:min(len(a.taken), sourcesAnswered)] {
		answer.Sources = append(answer.Sources, t.source(l))
	}
	for _, manifest := range slices.Sorted(maps.Keys(a.members)) {
		if t.accused(a.members[manifest]) > 0 {
			answer.Recheck = append(answer.Recheck, manifest)
		}
	}
	answer.NextMs = t.nextReport(a, fetches, len(answer.Names) < len(report.Wants)).Milliseconds()
	return answer
}

func (t *Tracker) source(l *lease) distribution.Source {
	s := distribution.Source{Agent: l.sourceName(), Manifest: l.manifest, LeaseMs: (l.until - t.now).Milliseconds()}
	if l.source == nil {
		s.Stripe, s.Stripes = l.stripe, t.parameters.StoreSlots
		s.Others = t.swarms[l.manifest].storeTakers(t.now) - 1
		return s
	}
	s.Address, s.Zone = l.source.address, l.source.zone
	return s
}

// nextReport is when an agent should report again: soon while it has nowhere to fetch from.
func (t *Tracker) nextReport(a *agent, fetches, unknown bool) time.Duration {
	base := t.parameters.IdleReport
	switch {
	case fetches && len(a.taken) == 0:
		base = t.parameters.Report / 2
	case fetches || unknown:
		base = t.parameters.Report
	}
	return base - time.Duration(t.rng.Int64N(int64(base)/8+1)) // so that they don't come all at once
}
