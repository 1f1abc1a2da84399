package tracker

import (
	"container/list"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// agentState is the tracker's record of an agent.
type agentState struct {
	name, zone, address string
	session, sequence   int64 // of its last inventory
	uploadSlots         int
	lastReportAt        time.Duration
	lastReportElement   *list.Element // in Tracker.byLastReport
	members             map[digest.Digest]*swarmMember
	uploadLeases        []*sourceLease // of other agents, on this agent's upload slots
	downloadLeases      []*sourceLease // of this agent, on peers and the store
	waits               []distribution.WaitReason
	excludedUntil       map[sourceKey]time.Duration // when a faulty source may be assigned to this agent again
}

// sourceKey identifies an agent as a source of a manifest.
type sourceKey struct {
	agent    string
	manifest digest.Digest
}

// notHolding is the holder index of a member that holds no chunk.
const notHolding = -1

// swarmMember is the membership of an agent in the swarm of a manifest.
type swarmMember struct {
	agent            *agentState
	swarm            *swarmState
	chunks, total    int
	active           bool                     // the agent serves the manifest
	lastProgressAt   time.Duration            // when the number of chunks last increased
	holderIndex      int                      // in the zone's holders, or notHolding
	damageReportedAt map[string]time.Duration // when damaged chunks were last reported, by reporting agent
}

// complete reports whether the agent holds every chunk, according to its last inventory.
func (m *swarmMember) complete() bool { return m.total > 0 && m.chunks >= m.total }

// updateHolderIndex adds the member to its zone's holders if it holds a chunk, and removes it
// otherwise.
func (m *swarmMember) updateHolderIndex() {
	zone := m.agent.zone
	holders := m.swarm.holders[zone]
	switch {
	case m.chunks > 0 && m.holderIndex == notHolding:
		m.holderIndex = len(holders)
		m.swarm.holders[zone] = append(holders, m)
	case m.chunks == 0 && m.holderIndex != notHolding:
		last := holders[len(holders)-1]
		holders[m.holderIndex], last.holderIndex = last, m.holderIndex
		m.swarm.holders[zone] = holders[:len(holders)-1]
		m.holderIndex = notHolding
	}
}

// swarmState records the agents that hold or want chunks of one manifest.
type swarmState struct {
	manifest       digest.Digest
	members        map[string]*swarmMember   // by agent name
	holders        map[string][]*swarmMember // members with at least one chunk, by zone
	membersPerZone map[string]int
	storeLeases    []*sourceLease // on the store's slots; the index is the lease's stripe, nil is a free slot
}

func newSwarm(manifest digest.Digest, storeSlots int) *swarmState {
	return &swarmState{
		manifest:       manifest,
		members:        map[string]*swarmMember{},
		holders:        map[string][]*swarmMember{},
		membersPerZone: map[string]int{},
		storeLeases:    make([]*sourceLease, storeSlots),
	}
}

// activeStoreLeases returns the leases on the store that haven't expired.
func (s *swarmState) activeStoreLeases(now time.Duration) (active []*sourceLease) {
	for _, lease := range s.storeLeases {
		if lease != nil && now < lease.validUntil {
			active = append(active, lease)
		}
	}
	return active
}

// join returns an agent's membership in the swarm of a manifest, and creates it if needed.
func (t *Tracker) join(agent *agentState, manifest digest.Digest) *swarmMember {
	if member := agent.members[manifest]; member != nil {
		return member
	}
	swarm := t.swarms[manifest]
	if swarm == nil {
		swarm = newSwarm(manifest, t.parameters.StoreSlots)
		t.swarms[manifest] = swarm
	}
	member := &swarmMember{agent: agent, swarm: swarm, lastProgressAt: t.now, holderIndex: notHolding}
	agent.members[manifest], swarm.members[agent.name] = member, member
	swarm.membersPerZone[agent.zone]++
	return member
}

// leave ends a membership. It also ends the leases for the manifest that the agent has on sources
// and that other agents have on the agent.
func (t *Tracker) leave(member *swarmMember) {
	agent, swarm := member.agent, member.swarm
	member.chunks = 0
	member.updateHolderIndex()
	t.endLeasesFor(agent.uploadLeases, swarm.manifest)
	t.endLeasesFor(agent.downloadLeases, swarm.manifest)
	delete(agent.members, swarm.manifest)
	delete(swarm.members, agent.name)
	if swarm.membersPerZone[agent.zone]--; swarm.membersPerZone[agent.zone] == 0 {
		delete(swarm.membersPerZone, agent.zone)
	}
	if len(swarm.members) == 0 {
		delete(t.swarms, swarm.manifest)
	}
}

// expireSilentAgents removes agents without an inventory for leaseIntervals idle report intervals.
func (t *Tracker) expireSilentAgents() {
	maxSilence := leaseIntervals * t.parameters.IdleReportInterval
	for element := t.byLastReport.Front(); element != nil; element = t.byLastReport.Front() {
		agent := element.Value.(*agentState)
		if t.now-agent.lastReportAt <= maxSilence {
			return
		}
		t.removeAgent(agent)
		t.emit(Log{"agent is silent", []any{"agent", agent.name}})
	}
}
