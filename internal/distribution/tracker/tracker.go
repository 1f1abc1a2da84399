package tracker

import (
	"container/list"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// Tracker is the state machine.
type Tracker struct {
	parameters Parameters
	rng        *rand.Rand
	zones      map[string]bool

	now     time.Duration
	term    Term
	effects []Effect

	stateTerm    int64 // whose state the following is
	electedAt    time.Duration
	names        *nameStore
	agents       map[string]*agentState
	byLastReport *list.List // of agents, the one that was heard longest ago first
	swarms       map[digest.Digest]*swarmState

	lastCallID uint64
	counts     Counts
}

// Counts are of all that the tracker has done in its reign.
type Counts struct {
	Inventories int64 // that were taken in
	Stale       int64 // that were older than one known
	Examined    int64 // at agents, to find sources
	Leases      int64 // that were granted
	Reassigned  int64 // that were taken from one taker for another that had none
}

// agent is what is known of one.
type agentState struct {
	name, zone, address string
	session, sequence   int64
	uploadSlots         int
	lastReportAt        time.Duration
	element             *list.Element // in byHeard
	members             map[digest.Digest]*swarmMember
	uploadLeases        []*sourceLease // of its upload slots
	downloadLeases      []*sourceLease // that it may fetch by
	waits               []distribution.Wait
	avoidUntil          map[sourceKey]time.Duration // sources not to be given to it, until when
}

type sourceKey struct {
	source   string
	manifest digest.Digest
}

// member is an agent's part in the swarm of a manifest.
type swarmMember struct {
	agent          *agentState
	swarm          *swarmState
	chunks, total  int
	active         bool
	lastProgressAt time.Duration // when chunks last grew
	holderIndex    int           // among the zone's holders; -1: it holds nothing
	accusedAt      map[string]time.Duration
}

// swarm is everything about one manifest.
type swarmState struct {
	manifest       digest.Digest
	members        map[string]*swarmMember
	holders        map[string][]*swarmMember // that hold at least a chunk, by zone
	membersPerZone map[string]int            // how many members each zone has
	storeLeases    []*sourceLease            // of the store's slots; nil: free
}

// lease lets a taker fetch a manifest's chunks from a source.
type sourceLease struct {
	downloader *agentState
	source     *agentState // nil: the store
	manifest   digest.Digest
	stripe     int // of the store
	validUntil time.Duration
}

// New makes a tracker of a controller that doesn't lead.
func New(p Parameters) *Tracker {
	t := &Tracker{parameters: p, rng: rand.New(rand.NewPCG(p.Seed, 0)), zones: map[string]bool{}}
	for _, z := range p.Zones {
		t.zones[z] = true
	}
	return t
}

// Step takes commands and gives what is to be done about them.
func (t *Tracker) Step(now time.Duration, term Term, commands []Command) []Effect {
	t.now, t.term, t.effects = now, term, nil
	t.resetOnNewTerm()
	for _, c := range commands {
		t.handleCommand(c)
	}
	if t.stateTerm != 0 {
		t.names.retryIfDue()
		t.expireSilentAgents()
	}
	return t.effects
}

// Counts are of this reign.
func (t *Tracker) Counts() Counts { return t.counts }

// Agents is how many agents are known.
func (t *Tracker) Agents() int { return len(t.agents) }

// followTerm forgets everything when the controller stops or begins to lead.
func (t *Tracker) resetOnNewTerm() {
	if t.term.Reign == t.stateTerm {
		return
	}
	if t.names != nil {
		t.names.refuseQueued()
	}
	t.stateTerm, t.names, t.agents, t.swarms, t.byLastReport = t.term.Reign, nil, nil, nil, nil
	t.counts = Counts{}
	if t.stateTerm == 0 {
		return
	}
	t.electedAt = t.now
	t.names = newNames(t)
	t.agents, t.swarms, t.byLastReport = map[string]*agentState{}, map[digest.Digest]*swarmState{}, list.New()
	t.names.load()
}

// certain tells whether no other controller can lead yet.
func (t *Tracker) holdsLease() bool { return t.stateTerm != 0 && t.now < t.term.Until }

func (t *Tracker) emit(e Effect) { t.effects = append(t.effects, e) }

func (t *Tracker) reply(id uint64, body any) {
	t.emit(Reply{ID: id, Status: http.StatusOK, Body: body})
}

func (t *Tracker) refuse(id uint64, status int, why string) {
	r := Reply{ID: id, Status: status, Body: distribution.ErrorAnswer{Error: why}}
	if status == http.StatusServiceUnavailable {
		r.RetryAfter = t.parameters.ReportInterval
	}
	t.emit(r)
}

func (t *Tracker) handleCommand(c Command) {
	switch c := c.(type) {
	case InventoryCall:
		if t.admit(c.ID) {
			t.handleInventory(c)
		}
	case UseCall:
		if t.admit(c.ID) {
			t.names.change(c)
		}
	case NamesCall:
		if t.admit(c.ID) {
			t.handleNames(c)
		}
	case StatusCall:
		if t.admit(c.ID) {
			t.handleStatus(c)
		}
	case StateResult:
		if t.names != nil {
			t.names.handleStateResult(c)
		}
	case Tick:
	}
}

// serves tells whether a request can be answered here and now; if not it is refused or
// handed on.
func (t *Tracker) admit(id uint64) bool {
	switch {
	case t.holdsLease() && t.names.loaded:
		return true
	case t.holdsLease():
		t.refuse(id, http.StatusServiceUnavailable, "the leader has not read the names yet")
	case t.stateTerm != 0:
		t.refuse(id, http.StatusServiceUnavailable, "the term is in doubt")
	case t.term.Leader != "":
		t.emit(Forward{ID: id, Peer: t.term.Leader})
	default:
		t.refuse(id, http.StatusServiceUnavailable, "no leader")
	}
	return false
}

// expire forgets agents that were not heard for several reports.
func (t *Tracker) expireSilentAgents() {
	silent := leaseReports * t.parameters.IdleReportInterval
	for e := t.byLastReport.Front(); e != nil; e = t.byLastReport.Front() {
		a := e.Value.(*agentState)
		if t.now-a.lastReportAt <= silent {
			return
		}
		t.removeAgent(a)
		t.emit(Log{"agent is silent", []any{"agent", a.name}})
	}
}

// forget removes an agent with its leases and holdings.
func (t *Tracker) removeAgent(a *agentState) {
	for _, manifest := range slices.Sorted(maps.Keys(a.members)) {
		t.leave(a.members[manifest])
	}
	for len(a.uploadLeases) > 0 {
		t.endLease(a.uploadLeases[0])
	}
	for len(a.downloadLeases) > 0 {
		t.endLease(a.downloadLeases[0])
	}
	t.byLastReport.Remove(a.element)
	delete(t.agents, a.name)
}
