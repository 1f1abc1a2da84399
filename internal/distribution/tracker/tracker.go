package tracker

import (
	"container/list"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// Tracker is the state machine.
type Tracker struct {
	parameters Parameters
	rng        *rand.Rand
	zones      map[string]bool
	lastCallID uint64 // to the state service; never reused, also not in a later term

	// Of the step under way.
	now     time.Duration
	term    Term
	effects []Effect

	// Of the term in which this controller leads; nil and zero while it doesn't.
	stateTerm    int64
	electedAt    time.Duration
	names        *nameStore
	agents       map[string]*agentState
	byLastReport *list.List // of *agentState, the one with the oldest report first
	swarms       map[digest.Digest]*swarmState
	counts       Counts
}

// Counts counts what the tracker has done in the current term.
type Counts struct {
	Inventories        int64 // accepted
	StaleInventories   int64 // inventories refused because a later one was known
	CandidatesExamined int64 // candidates for sources
	LeasesGranted      int64 // granted
	LeasesReassigned   int64 // leases that were moved to an agent with fewer
}

// New returns the tracker of a controller that doesn't lead yet.
func New(p Parameters) *Tracker {
	t := &Tracker{parameters: p, rng: rand.New(rand.NewPCG(p.Seed, 0)), zones: map[string]bool{}}
	for _, zone := range p.Zones {
		t.zones[zone] = true
	}
	return t
}

// Step processes commands and returns the effects that the caller has to carry out.
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

// Counts returns what was done in the current term.
func (t *Tracker) Counts() Counts { return t.counts }

// AgentCount returns how many agents are known.
func (t *Tracker) AgentCount() int { return len(t.agents) }

// resetOnNewTerm drops all state when the controller stops or starts to lead.
func (t *Tracker) resetOnNewTerm() {
	if t.term.Term == t.stateTerm {
		return
	}
	if t.names != nil {
		t.names.refuseQueued()
	}
	t.stateTerm, t.names, t.agents, t.swarms, t.byLastReport = t.term.Term, nil, nil, nil, nil
	t.counts = Counts{}
	if t.stateTerm == 0 {
		return
	}
	t.electedAt = t.now
	t.names = newNameStore(t)
	t.agents, t.swarms, t.byLastReport = map[string]*agentState{}, map[digest.Digest]*swarmState{}, list.New()
	t.names.load()
}

// holdsLease reports whether no other controller can lead yet.
func (t *Tracker) holdsLease() bool { return t.stateTerm != 0 && t.now < t.term.LeaseUntil }

func (t *Tracker) emit(e Effect) { t.effects = append(t.effects, e) }

// reply answers a request.
func (t *Tracker) reply(id uint64, body any) {
	t.emit(Reply{ID: id, Status: http.StatusOK, Body: body})
}

// refuse answers with an error. One that may pass names a time to ask again.
func (t *Tracker) refuse(id uint64, status int, message string) {
	reply := Reply{ID: id, Status: status, Body: distribution.ErrorResponse{Error: message}}
	if status == http.StatusServiceUnavailable {
		reply.RetryAfter = t.parameters.ReportInterval
	}
	t.emit(reply)
}

func (t *Tracker) handleCommand(command Command) {
	switch c := command.(type) {
	case InventoryCall:
		if t.admit(c.ID) {
			t.handleInventory(c)
		}
	case SetManifestCall:
		if t.admit(c.ID) {
			t.names.enqueueChange(c)
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

// admit reports whether a request can be answered here and now. If not, it is refused, or
// forwarded to the leader.
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
