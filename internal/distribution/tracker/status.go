package tracker

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"oakpick/internal/distribution"
)

// NamesPage is a page of the list of all names.
type NamesPage struct {
	Names []distribution.NameRecord `json:"names"`
	More  bool                      `json:"more,omitempty"` // further names follow
}

// maxPageBytes is the maximum size of a page's entries as JSON. It is half the size of a message, so
// that a page still fits into a message between controllers if its first entry exceeds this limit.
const maxPageBytes = distribution.MaxMessageBytes / 2

// pageBudget tracks the size of a page's entries as JSON.
type pageBudget struct{ usedBytes int }

// reserve reports whether an entry fits on the page, and counts its size if so. The first entry
// always fits.
func (b *pageBudget) reserve(entry any) bool {
	text, err := json.Marshal(entry)
	if err != nil || b.usedBytes > 0 && b.usedBytes+len(text) > maxPageBytes {
		return false // an entry that can't be encoded is on no page
	}
	b.usedBytes += len(text) + len(",")
	return true
}

// handleNames replies with the page of names after call.After.
func (t *Tracker) handleNames(call NamesCall) {
	page := NamesPage{Names: []distribution.NameRecord{}}
	var budget pageBudget
	for _, record := range t.names.sortedRecords() {
		if record.Name <= call.After {
			continue
		}
		if !budget.reserve(record) {
			page.More = true
			break
		}
		page.Names = append(page.Names, record)
	}
	t.reply(call.ID, page)
}

// Status is a page of the agents that hold or want a name's manifest. Its counts are of all agents,
// not only of those on the page.
type Status struct {
	distribution.NameRecord
	Agents     int           `json:"agents"`   // that hold some of the manifest or want it
	Complete   int           `json:"complete"` // that hold all of the manifest
	Active     int           `json:"active"`   // that serve the manifest
	StoreUsers []string      `json:"store"`    // agents with a lease on the store
	Members    []AgentStatus `json:"members"`
	More       bool          `json:"more"` // further agents follow
}

// AgentStatus describes an agent with regard to one manifest. Waits cover all names that the agent
// wants.
type AgentStatus struct {
	Agent           string                    `json:"agent"`
	Zone            string                    `json:"zone"`
	Chunks          int                       `json:"chunks"`
	Total           int                       `json:"total"`
	Active          bool                      `json:"active"`
	LastReportAgeS  float64                   `json:"heard_s_ago"`
	Sources         []string                  `json:"sources,omitempty"`
	Downloaders     []string                  `json:"takers,omitempty"`
	DamageReporters int                       `json:"accused_of_damage,omitempty"`
	Waits           []distribution.WaitReason `json:"waits,omitempty"`
}

// handleStatus replies with the page of agents after call.After.
func (t *Tracker) handleStatus(call StatusCall) {
	record, known := t.names.lookup(call.Name)
	if !known {
		t.refuse(call.ID, http.StatusNotFound, "name: no weights of this name are in use")
		return
	}
	status := Status{NameRecord: record, StoreUsers: []string{}, Members: []AgentStatus{}}
	swarm := t.swarms[record.Manifest]
	if swarm == nil {
		t.reply(call.ID, status)
		return
	}
	for _, lease := range swarm.activeStoreLeases(t.now) {
		status.StoreUsers = append(status.StoreUsers, lease.downloader.name)
	}
	var budget pageBudget
	for _, name := range slices.Sorted(maps.Keys(swarm.members)) {
		member := swarm.members[name]
		status.Agents++
		if member.complete() {
			status.Complete++
		}
		if member.active {
			status.Active++
		}
		if name <= call.After || status.More {
			continue
		}
		entry := t.agentStatus(member)
		if !budget.reserve(entry) {
			status.More = true
			continue
		}
		status.Members = append(status.Members, entry)
	}
	t.reply(call.ID, status)
}

// agentStatus describes a member and its leases for the manifest.
func (t *Tracker) agentStatus(member *swarmMember) AgentStatus {
	agent := member.agent
	status := AgentStatus{
		Agent:           agent.name,
		Zone:            agent.zone,
		Chunks:          member.chunks,
		Total:           member.total,
		Active:          member.active,
		LastReportAgeS:  (t.now - agent.lastReportAt).Round(time.Millisecond).Seconds(),
		DamageReporters: t.damageReporterCount(member),
		Waits:           agent.waits,
	}
	for _, lease := range agent.downloadLeases {
		if lease.manifest == member.swarm.manifest {
			status.Sources = append(status.Sources, lease.sourceName())
		}
	}
	for _, lease := range agent.uploadLeases {
		if lease.manifest == member.swarm.manifest && t.now < lease.validUntil {
			status.Downloaders = append(status.Downloaders, lease.downloader.name)
		}
	}
	return status
}
