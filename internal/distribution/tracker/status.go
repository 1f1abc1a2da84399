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
	More  bool                      `json:"more,omitempty"` // there are names after the last
}

// maxPageBytes bounds the entries of a page, as JSON. A page that a follower forwards has to
// fit into a message between controllers, whatever the size of its last entry.
const maxPageBytes = distribution.MaxMessageBytes / 2

// pageBudget counts the bytes of a page's entries.
type pageBudget struct{ usedBytes int }

// reserve adds an entry and reports whether the page has room for it. The first entry always
// fits.
func (b *pageBudget) reserve(entry any) bool {
	text, err := json.Marshal(entry)
	if err != nil || b.usedBytes > 0 && b.usedBytes+len(text) > maxPageBytes {
		return false // an entry that can't be encoded fits on no page
	}
	b.usedBytes += len(text) + len(",")
	return true
}

// handleNames answers with the names after one.
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

// Status is a page of the agents that hold or want a name's manifest.
type Status struct {
	distribution.NameRecord
	Agents   int           `json:"agents"`   // all that hold some of it or want it
	Complete int           `json:"complete"` // that hold all of it
	Active   int           `json:"active"`   // that serve it
	Store    []string      `json:"store"`    // agents that may fetch from the store
	Members  []AgentStatus `json:"members"`
	More     bool          `json:"more"` // there are agents after the last
}

// AgentStatus is what is known of an agent regarding one manifest.
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

// handleStatus answers with the agents after one. The counts are of all agents.
func (t *Tracker) handleStatus(call StatusCall) {
	record, known := t.names.lookup(call.Name)
	if !known {
		t.refuse(call.ID, http.StatusNotFound, "name: no weights of this name are in use")
		return
	}
	status := Status{NameRecord: record, Store: []string{}, Members: []AgentStatus{}}
	swarm := t.swarms[record.Manifest]
	if swarm == nil {
		t.reply(call.ID, status)
		return
	}
	for _, lease := range swarm.activeStoreLeases(t.now) {
		status.Store = append(status.Store, lease.downloader.name)
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

// agentStatus returns what is known of a member and its leases for the manifest.
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
