package tracker

import (
	"slices"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// sourceLease allows an agent to fetch a manifest's chunks from a source until it expires.
type sourceLease struct {
	downloader *agentState
	source     *agentState // nil if the source is the store
	manifest   digest.Digest
	stripe     int // used only if the source is the store
	validUntil time.Duration
}

// sourceName returns the source's name on the wire.
func (l *sourceLease) sourceName() string {
	if l.source == nil {
		return distribution.StoreSource
	}
	return l.source.name
}

// isStoreLeaseFor reports whether the lease is on the store and for a manifest.
func (l *sourceLease) isStoreLeaseFor(manifest digest.Digest) bool {
	return l.source == nil && l.manifest == manifest
}

// leaseDuration returns the time after which a lease expires unless it is renewed.
func (t *Tracker) leaseDuration() time.Duration { return leaseIntervals * t.parameters.ReportInterval }

// grantLease grants an agent a lease on an upload slot of a peer.
func (t *Tracker) grantLease(agent *agentState, source *swarmMember) {
	lease := &sourceLease{
		downloader: agent, source: source.agent, manifest: source.swarm.manifest, validUntil: t.now + t.leaseDuration(),
	}
	agent.downloadLeases = append(agent.downloadLeases, lease)
	source.agent.uploadLeases = append(source.agent.uploadLeases, lease)
	t.counts.LeasesGranted++
}

// endLease removes a lease from its downloader and its source.
func (t *Tracker) endLease(lease *sourceLease) {
	lease.downloader.downloadLeases = removeLease(lease.downloader.downloadLeases, lease)
	if lease.source != nil {
		lease.source.uploadLeases = removeLease(lease.source.uploadLeases, lease)
		return
	}
	if swarm := t.swarms[lease.manifest]; swarm != nil && swarm.storeLeases[lease.stripe] == lease {
		swarm.storeLeases[lease.stripe] = nil
	}
}

// endLeasesFor ends the leases in a list that are for a manifest.
func (t *Tracker) endLeasesFor(leases []*sourceLease, manifest digest.Digest) {
	for _, lease := range slices.Clone(leases) {
		if lease.manifest == manifest {
			t.endLease(lease)
		}
	}
}

// removeLease removes a lease from a list in place.
func removeLease(leases []*sourceLease, lease *sourceLease) []*sourceLease {
	if i := slices.Index(leases, lease); i >= 0 {
		return slices.Delete(leases, i, i+1)
	}
	return leases
}

// hasLease reports whether an agent already has a lease on a source for the manifest.
func hasLease(agent *agentState, source *swarmMember) bool {
	return slices.ContainsFunc(agent.downloadLeases, func(lease *sourceLease) bool {
		return lease.source == source.agent && lease.manifest == source.swarm.manifest
	})
}

// hasFreeSlot ends expired leases on a source and reports whether the source has an upload slot
// without a lease.
func (t *Tracker) hasFreeSlot(source *agentState) bool {
	for _, lease := range slices.Clone(source.uploadLeases) {
		if t.now >= lease.validUntil {
			t.endLease(lease)
		}
	}
	return len(source.uploadLeases) < source.uploadSlots
}
