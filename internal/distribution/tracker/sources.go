package tracker

import (
	"slices"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

func (l *lease) sourceName() string {
	if l.source == nil {
		return distribution.StoreSource
	}
	return l.source.name
}

// end ends a lease.
func (t *Tracker) end(l *lease) {
	l.taker.taken = without(l.taker.taken, l)
	if l.source != nil {
		l.source.given = without(l.source.given, l)
		return
	}
	if s := t.swarms[l.manifest]; s != nil && s.stripes[l.stripe] == l {
		s.stripes[l.stripe] = nil
	}
}

func without(leases []*lease, l *lease) []*lease {
	if i := slices.Index(leases, l); i >= 0 {
		return slices.Delete(leases, i, i+1)
	}
	return leases
}

// leaseTime is how long a lease lasts unless it is renewed.
func (t *Tracker) leaseTime() time.Duration { return leaseReports * t.parameters.Report }

// provide renews a taker's leases for a manifest, and grants more where it has too few.
func (t *Tracker) provide(a *agent, manifest digest.Digest) {
	m := a.members[manifest]
	if m == nil {
		m = t.join(a, manifest)
	}
	s := m.swarm
	stuck := t.now-m.grewAt > stillReports*t.parameters.Report
	if stuck {
		m.grewAt = t.now // the new ones are given time
	}
	same, others := t.renew(a, s, stuck)
	same += t.grant(a, s, []string{a.zone}, sourcesSameZone-same)
	others += t.grant(a, s, t.otherZones(a.zone), sourcesOtherZones-others)
	for range sourcesFair - same - others {
		t.grantRevoked(a, s)
	}
	t.grantStore(a, s, stuck)
}

// renew prolongs the leases that are still good and ends the others; it tells how many are
// left of the taker's own zone and of others.
func (t *Tracker) renew(a *agent, s *swarm, stuck bool) (same, others int) {
	for _, l := range append([]*lease(nil), a.taken...) {
		if l.manifest != s.manifest {
			continue
		}
		if stuck || l.source != nil && !t.sound(a, s.members[l.source.name]) {
			t.end(l)
			continue
		}
		l.until = t.now + t.leaseTime()
		switch {
		case l.source == nil:
		case l.source.zone == a.zone:
			same++
		default:
			others++
		}
	}
	return same, others
}

// sound tells whether a taker may use a source at all.
func (t *Tracker) sound(a *agent, m *member) bool {
	if m == nil || m.agent == a || m.chunks == 0 || t.now-m.agent.heard > t.leaseTime()+t.parameters.IdleReport {
		return false
	}
	key := avoidance{m.agent.name, m.swarm.manifest}
	if until, avoided := a.avoid[key]; avoided {
		if t.now < until {
			return false
		}
		delete(a.avoid, key)
	}
	accused := t.accused(m)
	_, byTaker := m.accusers[a.name]
	return accused < accusersNeeded && !byTaker
}

// otherZones are all zones but one, from a random one on.
func (t *Tracker) otherZones(zone string) []string {
	zones := make([]string, 0, len(t.parameters.Zones))
	first := t.rng.IntN(len(t.parameters.Zones))
	for i := range t.parameters.Zones {
		if z := t.parameters.Zones[(first+i)%len(t.parameters.Zones)]; z != zone {
			zones = append(zones, z)
		}
	}
	return zones
}

// grant gives a taker up to so many leases on sources of some zones, and tells how many. The
// looks at agents are bounded by what is wanted, not by how many there are.
func (t *Tracker) grant(a *agent, s *swarm, zones []string, wanted int) (granted int) {
	for _, zone := range zones {
		for range looksEach * max(0, wanted-granted) {
			holders := s.holders[zone]
			if len(holders) == 0 || granted == wanted {
				break
			}
			t.counts.Looks++
			m := holders[t.rng.IntN(len(holders))]
			if t.free(m.agent) && !has(a, m) && t.sound(a, m) {
				t.give(a, m)
				granted++
			}
		}
	}
	return granted
}

// has tells whether a taker has a lease on a source already.
func has(a *agent, m *member) bool {
	return slices.ContainsFunc(a.taken, func(l *lease) bool { return l.source == m.agent && l.manifest == m.swarm.manifest })
}

// free tells whether a source has an upload slot that nobody has a lease on.
func (t *Tracker) free(source *agent) bool {
	for _, l := range append([]*lease(nil), source.given...) {
		if t.now >= l.until {
			t.end(l)
		}
	}
	return len(source.given) < source.slots
}

func (t *Tracker) give(a *agent, m *member) {
	l := &lease{taker: a, source: m.agent, manifest: m.swarm.manifest, until: t.now + t.leaseTime()}
	a.taken = append(a.taken, l)
	m.agent.given = append(m.agent.given, l)
	t.counts.Leases++
}

// grantRevoked gives a taker with few sources a slot that a taker with at least two more has
// a lease on. Until that one hears of it both may ask; the source's slots decide.
func (t *Tracker) grantRevoked(a *agent, s *swarm) {
	for _, zone := range append([]string{a.zone}, t.otherZones(a.zone)...) {
		for range looksEach {
			holders := s.holders[zone]
			if len(holders) == 0 {
				break
			}
			t.counts.Looks++
			m := holders[t.rng.IntN(len(holders))]
			if has(a, m) || !t.sound(a, m) {
				continue
			}
			rich := slices.IndexFunc(m.agent.given, func(l *lease) bool { return len(l.taker.taken) > len(a.taken)+1 })
			if rich < 0 {
				continue
			}
			t.end(m.agent.given[rich])
			t.counts.Revoked++
			t.give(a, m)
			return
		}
	}
}

// grantStore gives a taker a slot of the store, if one is free and it has none. One that got
// nothing new for a while has just lost its own, and leaves it to others.
func (t *Tracker) grantStore(a *agent, s *swarm, stuck bool) {
	holds := slices.ContainsFunc(a.taken, func(l *lease) bool { return l.source == nil && l.manifest == s.manifest })
	if holds || stuck && len(s.members) > len(s.stripes) {
		return
	}
	stripe := -1
	inZone := 0
	for i, l := range s.stripes {
		if l != nil && t.now >= l.until {
			t.end(l)
		}
		if l := s.stripes[i]; l == nil {
			stripe = max(stripe, i)
		} else if l.taker.zone == a.zone {
			inZone++
		}
	}
	// No zone takes all, so that each fetches the chunks that it lacks by itself.
	if stripe < 0 || inZone >= t.zoneShare(s) {
		return
	}
	l := &lease{taker: a, manifest: s.manifest, stripe: stripe, until: t.now + t.leaseTime()}
	s.stripes[stripe] = l
	a.taken = append(a.taken, l)
	t.counts.Leases++
}

// zoneShare is how many of the store's slots takers of one zone may have: an equal part for
// each zone that has members, rounded up.
func (t *Tracker) zoneShare(s *swarm) int {
	zones := max(1, len(s.byZone))
	return (len(s.stripes) + zones - 1) / zones
}
