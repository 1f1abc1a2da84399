package tracker

import (
	"slices"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

func (l *sourceLease) sourceName() string {
	if l.source == nil {
		return distribution.StoreSource
	}
	return l.source.name
}

// end ends a lease.
func (t *Tracker) endLease(l *sourceLease) {
	l.downloader.downloadLeases = removeLease(l.downloader.downloadLeases, l)
	if l.source != nil {
		l.source.uploadLeases = removeLease(l.source.uploadLeases, l)
		return
	}
	if s := t.swarms[l.manifest]; s != nil && s.storeLeases[l.stripe] == l {
		s.storeLeases[l.stripe] = nil
	}
}

func removeLease(leases []*sourceLease, l *sourceLease) []*sourceLease {
	if i := slices.Index(leases, l); i >= 0 {
		return slices.Delete(leases, i, i+1)
	}
	return leases
}

// leaseTime is how long a lease lasts unless it is renewed.
func (t *Tracker) leaseDuration() time.Duration { return leaseReports * t.parameters.ReportInterval }

// provide renews a taker's leases for a manifest, and grants more where it has too few.
func (t *Tracker) assignSources(a *agentState, manifest digest.Digest) {
	m := a.members[manifest]
	if m == nil {
		m = t.join(a, manifest)
	}
	s := m.swarm
	stuck := t.now-m.lastProgressAt > stalledReports*t.parameters.ReportInterval
	if stuck {
		m.lastProgressAt = t.now // the new ones are given time
	}
	same, others := t.renewLeases(a, s, stuck)
	same += t.grantLeases(a, s, []string{a.zone}, maxSameZoneSources-same)
	others += t.grantLeases(a, s, t.otherZones(a.zone), maxOtherZoneSources-others)
	for range fairSources - same - others {
		t.reassignLease(a, s)
	}
	t.grantStoreLease(a, s, stuck)
}

// renew prolongs the leases that are still good and ends the others; it tells how many are
// left of the taker's own zone and of others.
func (t *Tracker) renewLeases(a *agentState, s *swarmState, stuck bool) (same, others int) {
	for _, l := range append([]*sourceLease(nil), a.downloadLeases...) {
		if l.manifest != s.manifest {
			continue
		}
		if stuck || l.source != nil && !t.isEligible(a, s.members[l.source.name]) {
			t.endLease(l)
			continue
		}
		l.validUntil = t.now + t.leaseDuration()
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
func (t *Tracker) isEligible(a *agentState, m *swarmMember) bool {
	if m == nil || m.agent == a || m.chunks == 0 || t.now-m.agent.lastReportAt > t.leaseDuration()+t.parameters.IdleReportInterval {
		return false
	}
	key := sourceKey{m.agent.name, m.swarm.manifest}
	if until, avoided := a.avoidUntil[key]; avoided {
		if t.now < until {
			return false
		}
		delete(a.avoidUntil, key)
	}
	accused := t.accuserCount(m)
	_, byTaker := m.accusedAt[a.name]
	return accused < minAccusers && !byTaker
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
func (t *Tracker) grantLeases(a *agentState, s *swarmState, zones []string, wanted int) (granted int) {
	for _, zone := range zones {
		for range candidatesPerSource * max(0, wanted-granted) {
			holders := s.holders[zone]
			if len(holders) == 0 || granted == wanted {
				break
			}
			t.counts.Examined++
			m := holders[t.rng.IntN(len(holders))]
			if t.hasFreeSlot(m.agent) && !hasLease(a, m) && t.isEligible(a, m) {
				t.grantLease(a, m)
				granted++
			}
		}
	}
	return granted
}

// has tells whether a taker has a lease on a source already.
func hasLease(a *agentState, m *swarmMember) bool {
	return slices.ContainsFunc(a.downloadLeases, func(l *sourceLease) bool { return l.source == m.agent && l.manifest == m.swarm.manifest })
}

// free tells whether a source has an upload slot that nobody has a lease on.
func (t *Tracker) hasFreeSlot(source *agentState) bool {
	for _, l := range append([]*sourceLease(nil), source.uploadLeases...) {
		if t.now >= l.validUntil {
			t.endLease(l)
		}
	}
	return len(source.uploadLeases) < source.uploadSlots
}

func (t *Tracker) grantLease(a *agentState, m *swarmMember) {
	l := &sourceLease{downloader: a, source: m.agent, manifest: m.swarm.manifest, validUntil: t.now + t.leaseDuration()}
	a.downloadLeases = append(a.downloadLeases, l)
	m.agent.uploadLeases = append(m.agent.uploadLeases, l)
	t.counts.Leases++
}

// grantRevoked gives a taker with few sources a slot that a taker with at least two more has
// a lease on. Until that one hears of it both may ask; the source's slots decide.
func (t *Tracker) reassignLease(a *agentState, s *swarmState) {
	for _, zone := range append([]string{a.zone}, t.otherZones(a.zone)...) {
		for range candidatesPerSource {
			holders := s.holders[zone]
			if len(holders) == 0 {
				break
			}
			t.counts.Examined++
			m := holders[t.rng.IntN(len(holders))]
			if hasLease(a, m) || !t.isEligible(a, m) {
				continue
			}
			rich := slices.IndexFunc(m.agent.uploadLeases, func(l *sourceLease) bool { return len(l.downloader.downloadLeases) > len(a.downloadLeases)+1 })
			if rich < 0 {
				continue
			}
			t.endLease(m.agent.uploadLeases[rich])
			t.counts.Reassigned++
			t.grantLease(a, m)
			return
		}
	}
}

// grantStore gives a taker a slot of the store, if one is free and it has none. One that got
// nothing new for a while has just lost its own, and leaves it to others.
func (t *Tracker) grantStoreLease(a *agentState, s *swarmState, stuck bool) {
	holds := slices.ContainsFunc(a.downloadLeases, func(l *sourceLease) bool { return l.source == nil && l.manifest == s.manifest })
	if holds || stuck && len(s.members) > len(s.storeLeases) {
		return
	}
	stripe := -1
	inZone := 0
	for i, l := range s.storeLeases {
		if l != nil && t.now >= l.validUntil {
			t.endLease(l)
		}
		if l := s.storeLeases[i]; l == nil {
			stripe = max(stripe, i)
		} else if l.downloader.zone == a.zone {
			inZone++
		}
	}
	// No zone takes all, so that each fetches the chunks that it lacks by itself.
	if stripe < 0 || inZone >= t.storeSlotsPerZone(s) {
		return
	}
	l := &sourceLease{downloader: a, manifest: s.manifest, stripe: stripe, validUntil: t.now + t.leaseDuration()}
	s.storeLeases[stripe] = l
	a.downloadLeases = append(a.downloadLeases, l)
	t.counts.Leases++
}

// zoneShare is how many of the store's slots takers of one zone may have: an equal part for
// each zone that has members, rounded up.
func (t *Tracker) storeSlotsPerZone(s *swarmState) int {
	zones := max(1, len(s.membersPerZone))
	return (len(s.storeLeases) + zones - 1) / zones
}
