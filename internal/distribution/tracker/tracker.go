package tracker

import (
	"container/list"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// Tracker is the state machine. It answers calls only while its controller leads.
type Tracker struct {
	parameters Parameters
	rng        *rand.Rand
	zones      map[string]bool
	lastCallID uint64 // of the calls to the state service; never reused, not even in a later term

	// State of the current step.
	now        time.Duration
	leadership Leadership
	effects    []Effect

	// State of the term in which this controller leads; nil or zero while it doesn't lead.
	stateTerm    int64
	electedAt    time.Duration
	names        *nameStore
	agents       map[string]*agentState
	byLastReport *list.List // of *agentState, in the order of their last reports, the oldest first
	swarms       map[digest.Digest]*swarmState
	counts       Counts
}

// Counts holds the tracker's counters for the current term.
type Counts struct {
	Inventories        int64 // accepted
	StaleInventories   int64 // refused because a later inventory of the agent was known
	CandidatesExamined int64 // holders that were considered as a source for an agent
	LeasesGranted      int64 // on peers and on the store
	LeasesReassigned   int64 // moved to an agent with fewer leases
}

// New returns a tracker for a controller that doesn't lead yet.
func New(p Parameters) *Tracker {
	t := &Tracker{parameters: p, rng: rand.New(rand.NewPCG(p.Seed, 0)), zones: map[string]bool{}}
	for _, zone := range p.Zones {
		t.zones[zone] = true
	}
	return t
}

// Step processes commands and returns the effects that the caller has to carry out.
func (t *Tracker) Step(now time.Duration, term Leadership, commands []Command) []Effect {
	t.now, t.leadership, t.effects = now, term, nil
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

// Counts returns the counters of the current term.
func (t *Tracker) Counts() Counts { return t.counts }

// AgentCount returns the number of known agents.
func (t *Tracker) AgentCount() int { return len(t.agents) }

// resetOnNewTerm discards the state of the previous term when the controller starts or stops
// leading. In a new term, it starts to load the names.
func (t *Tracker) resetOnNewTerm() {
	if t.leadership.Term == t.stateTerm {
		return
	}
	if t.names != nil {
		t.names.refuseQueued()
	}
	t.stateTerm, t.names, t.agents, t.swarms, t.byLastReport = t.leadership.Term, nil, nil, nil, nil
	t.counts = Counts{}
	if t.stateTerm == 0 {
		return
	}
	t.electedAt = t.now
	t.names = newNameStore(t)
	t.agents, t.swarms, t.byLastReport = map[string]*agentState{}, map[digest.Digest]*swarmState{}, list.New()
	t.names.load()
}

// holdsLease reports whether this controller leads and no other can lead yet.
func (t *Tracker) holdsLease() bool { return t.stateTerm != 0 && t.now < t.leadership.LeaseUntil }

func (t *Tracker) emit(e Effect) { t.effects = append(t.effects, e) }

// reply answers a call successfully.
func (t *Tracker) reply(id uint64, body any) {
	t.emit(Reply{ID: id, Status: http.StatusOK, Body: body})
}

// refuse answers a call with an error. Callers that get the status 503 (Service Unavailable) are
// asked to retry after the report interval.
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

// admit reports whether this controller can answer a call now. If it can't, admit refuses the call
// or forwards it to the leader.
func (t *Tracker) admit(id uint64) bool {
	switch {
	case t.holdsLease() && t.names.loaded:
		return true
	case t.holdsLease():
		t.refuse(id, http.StatusServiceUnavailable, "the leader has not read the names yet")
	case t.stateTerm != 0:
		t.refuse(id, http.StatusServiceUnavailable, "the term is in doubt")
	case t.leadership.Leader != "":
		t.emit(Forward{ID: id, Peer: t.leadership.Leader})
	default:
		t.refuse(id, http.StatusServiceUnavailable, "no leader")
	}
	return false
}
