package tracker

import (
	"slices"

	"github.com/opencontainers/go-digest"
)

// assignSources renews an agent's leases for a manifest, and grants further ones up to the limits.
func (t *Tracker) assignSources(agent *agentState, manifest digest.Digest) {
	member := t.join(agent, manifest)
	swarm := member.swarm
	stalled := t.now-member.lastProgressAt > stalledIntervals*t.parameters.ReportInterval
	if stalled {
		member.lastProgressAt = t.now // restarts the timeout, so that the agent can use its new sources
	}
	sameZone, otherZones := t.renewLeases(agent, swarm, stalled)
	sameZone += t.grantLeases(agent, swarm, []string{agent.zone}, maxSameZoneSources-sameZone)
	otherZones += t.grantLeases(agent, swarm, t.otherZones(agent.zone), maxOtherZoneSources-otherZones)
	for range minSources - sameZone - otherZones {
		t.reassignLease(agent, swarm)
	}
	t.grantStoreLease(agent, swarm, stalled)
}

// renewLeases extends an agent's leases on sources that are still eligible and ends the others. If
// the agent has stalled, it ends all. It returns how many leases on peers remain.
func (t *Tracker) renewLeases(agent *agentState, swarm *swarmState, stalled bool) (sameZone, otherZones int) {
	for _, lease := range slices.Clone(agent.downloadLeases) {
		if lease.manifest != swarm.manifest {
			continue
		}
		if stalled || lease.source != nil && !t.isEligible(agent, swarm.members[lease.source.name]) {
			t.endLease(lease)
			continue
		}
		lease.validUntil = t.now + t.leaseDuration()
		switch {
		case lease.source == nil:
		case lease.source.zone == agent.zone:
			sameZone++
		default:
			otherZones++
		}
	}
	return sameZone, otherZones
}

// isEligible reports whether a source may be assigned to an agent: it holds chunks, reports
// regularly, and isn't excluded because of a fault.
func (t *Tracker) isEligible(agent *agentState, source *swarmMember) bool {
	if source == nil || source.agent == agent || source.chunks == 0 {
		return false
	}
	if t.now-source.agent.lastReportAt > t.leaseDuration()+t.parameters.IdleReportInterval {
		return false
	}
	key := sourceKey{source.agent.name, source.swarm.manifest}
	if until, avoided := agent.excludedUntil[key]; avoided && t.now < until {
		return false
	}
	delete(agent.excludedUntil, key)
	reporters := t.damageReporterCount(source)
	_, reportedByAgent := source.damageReportedAt[agent.name]
	return reporters < minDamageReporters && !reportedByAgent
}

// otherZones returns all zones except the given one, starting at a random zone.
func (t *Tracker) otherZones(zone string) []string {
	all := t.parameters.Zones
	zones := make([]string, 0, len(all))
	first := t.rng.IntN(len(all))
	for i := range all {
		if other := all[(first+i)%len(all)]; other != zone {
			zones = append(zones, other)
		}
	}
	return zones
}

// grantLeases grants an agent up to the wanted number of leases on sources in the given zones, and
// returns the number granted. The number of candidates that it examines depends on the wanted
// number, not on the size of the swarm.
func (t *Tracker) grantLeases(agent *agentState, swarm *swarmState, zones []string, wanted int) (granted int) {
	for _, zone := range zones {
		for range candidatesPerSource * max(0, wanted-granted) {
			if granted == wanted {
				break
			}
			source := t.randomHolder(swarm, zone)
			if source == nil {
				break
			}
			if t.hasFreeSlot(source.agent) && !hasLease(agent, source) && t.isEligible(agent, source) {
				t.grantLease(agent, source)
				granted++
			}
		}
	}
	return granted
}

// randomHolder returns a random member that is in a zone and holds chunks, or nil if there is none.
func (t *Tracker) randomHolder(swarm *swarmState, zone string) *swarmMember {
	holders := swarm.holders[zone]
	if len(holders) == 0 {
		return nil
	}
	t.counts.CandidatesExamined++
	return holders[t.rng.IntN(len(holders))]
}

// reassignLease moves a lease to an agent from another agent that has at least two leases more.
// Until the other agent learns of it from the response to its next inventory, both may request
// chunks from the source, which itself accepts no more uploads than it has slots.
func (t *Tracker) reassignLease(agent *agentState, swarm *swarmState) {
	for _, zone := range append([]string{agent.zone}, t.otherZones(agent.zone)...) {
		for range candidatesPerSource {
			source := t.randomHolder(swarm, zone)
			if source == nil {
				break
			}
			if hasLease(agent, source) || !t.isEligible(agent, source) {
				continue
			}
			lease := leaseToReassign(source.agent, agent)
			if lease == nil {
				continue
			}
			t.endLease(lease)
			t.counts.LeasesReassigned++
			t.grantLease(agent, source)
			return
		}
	}
}

// leaseToReassign returns a lease on the source that is held by an agent with at least two leases
// more than the given one, or nil if there is none.
func leaseToReassign(source, agent *agentState) *sourceLease {
	for _, lease := range source.uploadLeases {
		if len(lease.downloader.downloadLeases) > len(agent.downloadLeases)+1 {
			return lease
		}
	}
	return nil
}

// grantStoreLease grants an agent a lease on the store if it has none and a slot is free. If the
// swarm has more members than the store has slots, an agent that has stalled gets no lease, so that
// the slot that it has just lost goes to another member.
func (t *Tracker) grantStoreLease(agent *agentState, swarm *swarmState, stalled bool) {
	hasStoreLease := slices.ContainsFunc(agent.downloadLeases, func(lease *sourceLease) bool { return lease.isStoreLeaseFor(swarm.manifest) })
	if hasStoreLease || stalled && len(swarm.members) > len(swarm.storeLeases) {
		return
	}
	stripe, usedInZone := t.freeStripe(swarm, agent.zone)
	// Each zone gets only its share of the slots, so that every zone can fetch the chunks that it
	// lacks directly from the store.
	if stripe < 0 || usedInZone >= swarm.storeSlotsPerZone() {
		return
	}
	lease := &sourceLease{downloader: agent, manifest: swarm.manifest, stripe: stripe, validUntil: t.now + t.leaseDuration()}
	swarm.storeLeases[stripe] = lease
	agent.downloadLeases = append(agent.downloadLeases, lease)
	t.counts.LeasesGranted++
}

// freeStripe ends expired leases on the store. It returns the last stripe without a lease, or -1 if
// there is none, and the number of stripes that are leased to agents of a zone.
func (t *Tracker) freeStripe(swarm *swarmState, zone string) (stripe, usedInZone int) {
	stripe = -1
	for i, lease := range swarm.storeLeases {
		if lease != nil && t.now >= lease.validUntil {
			t.endLease(lease)
			lease = nil
		}
		switch {
		case lease == nil:
			stripe = i
		case lease.downloader.zone == zone:
			usedInZone++
		}
	}
	return stripe, usedInZone
}

// storeSlotsPerZone returns how many of the store's slots agents of one zone may lease: an equal
// share for each zone that has members, rounded up.
func (s *swarmState) storeSlotsPerZone() int {
	zones := max(1, len(s.membersPerZone))
	return (len(s.storeLeases) + zones - 1) / zones
}
