package tracker

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"oakpick/internal/distribution"
)

// NamesAnswer is a page of all names.
type NamesPage struct {
	Names []distribution.NameRecord `json:"names"`
	More  bool                      `json:"more,omitempty"` // there are names behind the last
}

// pageBytes is about how long a page is, as JSON. One that a follower hands on has to fit
// into a message between controllers, with whatever its last entry takes.
const maxPageBytes = distribution.MaxMessageBytes / 2

// pager tells whether there is room on a page for one more entry.
type pager struct{ bytes int }

func (p *pager) reserve(entry any) bool {
	text, err := json.Marshal(entry)
	if err != nil || p.bytes > 0 && p.bytes+len(text) > maxPageBytes {
		return false
	}
	p.bytes += len(text) + 1
	return true
}

// namesPage answers with the names behind one.
func (t *Tracker) handleNames(c NamesCall) {
	answer := NamesPage{Names: []distribution.NameRecord{}}
	var page pager
	for _, r := range t.names.sorted() {
		if r.Name <= c.After {
			continue
		}
		if !page.reserve(r) {
			answer.More = true
			break
		}
		answer.Names = append(answer.Names, r)
	}
	t.reply(c.ID, answer)
}

// Status is a page of who holds what of a name.
type Status struct {
	distribution.NameRecord
	Agents   int           `json:"agents"`   // that hold some of it or want it
	Complete int           `json:"complete"` // that hold all of it
	Active   int           `json:"active"`   // that serve it
	Store    []string      `json:"store"`    // agents that may fetch from the store
	Members  []AgentStatus `json:"members"`
	More     bool          `json:"more"` // there are agents behind the last
}

// AgentStatus is what is known of an agent with regard to one manifest.
type AgentStatus struct {
	Agent          string              `json:"agent"`
	Zone           string              `json:"zone"`
	Chunks         int                 `json:"chunks"`
	Total          int                 `json:"total"`
	Active         bool                `json:"active"`
	LastReportAgeS float64             `json:"heard_s_ago"`
	Sources        []string            `json:"sources,omitempty"`
	Downloaders    []string            `json:"takers,omitempty"`
	Accused        int                 `json:"accused_of_damage,omitempty"`
	Waits          []distribution.Wait `json:"waits,omitempty"`
}

func (t *Tracker) handleStatus(c StatusCall) {
	record, known := t.names.record(c.Name)
	if !known {
		t.refuse(c.ID, http.StatusNotFound, "name: no weights of this name are in use")
		return
	}
	status := Status{NameRecord: record, Store: []string{}, Members: []AgentStatus{}}
	s := t.swarms[record.Manifest]
	if s == nil {
		t.reply(c.ID, status)
		return
	}
	for _, l := range s.storeLeases {
		if l != nil && t.now < l.validUntil {
			status.Store = append(status.Store, l.downloader.name)
		}
	}
	var page pager
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[name]
		status.Agents++
		if m.total > 0 && m.chunks == m.total {
			status.Complete++
		}
		if m.active {
			status.Active++
		}
		if name <= c.After || status.More {
			continue
		}
		if member := t.agentStatus(m); page.reserve(member) {
			status.Members = append(status.Members, member)
		} else {
			status.More = true
		}
	}
	t.reply(c.ID, status)
}

func (t *Tracker) agentStatus(m *swarmMember) AgentStatus {
	a := m.agent
	s := AgentStatus{
		Agent: a.name, Zone: a.zone, Chunks: m.chunks, Total: m.total, Active: m.active,
		LastReportAgeS: (t.now - a.lastReportAt).Round(time.Millisecond).Seconds(), Accused: t.accuserCount(m), Waits: a.waits,
	}
	for _, l := range a.downloadLeases {
		if l.manifest == m.swarm.manifest {
			s.Sources = append(s.Sources, l.sourceName())
		}
	}
	for _, l := range a.uploadLeases {
		if l.manifest == m.swarm.manifest && t.now < l.validUntil {
			s.Downloaders = append(s.Downloaders, l.downloader.name)
		}
	}
	return s
}
