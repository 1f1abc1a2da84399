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

	now  time.Duration
	term Term
	out  []Effect

	reign   int64 // whose state the following is
	ledAt   time.Duration
	names   *names
	agents  map[string]*agent
	byHeard *list.List // of agents, the one that was heard longest ago first
	swarms  map[digest.Digest]*swarm

	nextCall uint64
	counts   Counts
}

// Counts are of all that the tracker has done in its reign.
type Counts struct {
	Inventories int64 // that were taken in
	Stale       int64 // that were older than one known
	Looks       int64 // at agents, to find sources
	Leases      int64 // that were granted
	Revoked     int64 // that were taken from one taker for another that had none
}

// agent is what is known of one.
type agent struct {
	name, zone, address string
	session, sequence   int64
	slots               int
	heard               time.Duration
	element             *list.Element // in byHeard
	members             map[digest.Digest]*member
	given               []*lease // of its upload slots
	taken               []*lease // that it may fetch by
	waits               []distribution.Wait
	avoid               map[avoidance]time.Duration // sources not to be given to it, until when
}

type avoidance struct {
	source   string
	manifest digest.Digest
}

// member is an agent's part in the swarm of a manifest.
type member struct {
	agent         *agent
	swarm         *swarm
	chunks, total int
	active        bool
	grewAt        time.Duration // when chunks last grew
	place         int           // among the zone's holders; -1: it holds nothing
	accusers      map[string]time.Duration
}

// swarm is everything about one manifest.
type swarm struct {
	manifest digest.Digest
	members  map[string]*member
	holders  map[string][]*member // that hold at least a chunk, by zone
	byZone   map[string]int       // how many members each zone has
	stripes  []*lease             // of the store's slots; nil: free
}

// lease lets a taker fetch a manifest's chunks from a source.
type lease struct {
	taker    *agent
	source   *agent // nil: the store
	manifest digest.Digest
	stripe   int // of the store
	until    time.Duration
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
	t.now, t.term, t.out = now, term, nil
	t.followTerm()
	for _, c := range commands {
		t.handle(c)
	}
	if t.reign != 0 {
		t.names.tick()
		t.expire()
	}
	return t.out
}

// Counts are of this reign.
func (t *Tracker) Counts() Counts { return t.counts }

// Agents is how many agents are known.
func (t *Tracker) Agents() int { return len(t.agents) }

// followTerm forgets everything when the controller stops or begins to lead.
func (t *Tracker) followTerm() {
	if t.term.Term == t.reign {
		return
	}
	if t.names != nil {
		t.names.abandon()
	}
	t.reign, t.names, t.agents, t.swarms, t.byHeard = t.term.Term, nil, nil, nil, nil
	t.counts = Counts{}
	if t.reign == 0 {
		return
	}
	t.ledAt = t.now
	t.names = newNames(t)
	t.agents, t.swarms, t.byHeard = map[string]*agent{}, map[digest.Digest]*swarm{}, list.New()
	t.names.load()
}

// certain tells whether no other controller can lead yet.
func (t *Tracker) certain() bool { return t.reign != 0 && t.now < t.term.LeaseUntil }

func (t *Tracker) emit(e Effect) { t.out = append(t.out, e) }

func (t *Tracker) reply(id uint64, body any) {
	t.emit(Reply{ID: id, Status: http.StatusOK, Body: body})
}

func (t *Tracker) refuse(id uint64, status int, why string) {
	r := Reply{ID: id, Status: status, Body: distribution.ErrorAnswer{Error: why}}
	if status == http.StatusServiceUnavailable {
		r.RetryAfter = t.parameters.Report
	}
	t.emit(r)
}

func (t *Tracker) handle(c Command) {
	switch c := c.(type) {
	case InventoryCall:
		if t.serves(c.ID) {
			t.inventory(c)
		}
	case UseCall:
		if t.serves(c.ID) {
			t.names.use(c)
		}
	case NamesCall:
		if t.serves(c.ID) {
			t.namesPage(c)
		}
	case StatusCall:
		if t.serves(c.ID) {
			t.status(c)
		}
	case StateResult:
		if t.names != nil {
			t.names.stateResult(c)
		}
	case Tick:
	}
}

// serves tells whether a request can be answered here and now; if not it is refused or
// handed on.
func (t *Tracker) serves(id uint64) bool {
	switch {
	case t.certain() && t.names.loaded:
		return true
	case t.certain():
		t.refuse(id, http.StatusServiceUnavailable, "the leader has not read the names yet")
	case t.reign != 0:
		t.refuse(id, http.StatusServiceUnavailable, "the term is in doubt")
	case t.term.Leader != "":
		t.emit(Forward{ID: id, Peer: t.term.Leader})
	default:
		t.refuse(id, http.StatusServiceUnavailable, "no leader")
	}
	return false
}

// expire forgets agents that were not heard for several reports.
func (t *Tracker) expire() {
	silent := leaseReports * t.parameters.IdleReport
	for e := t.byHeard.Front(); e != nil; e = t.byHeard.Front() {
		a := e.Value.(*agent)
		if t.now-a.heard <= silent {
			return
		}
		t.forget(a)
		t.emit(Log{"agent is silent", []any{"agent", a.name}})
	}
}

// forget removes an agent with its leases and holdings.
func (t *Tracker) forget(a *agent) {
	for _, manifest := range slices.Sorted(maps.Keys(a.members)) {
		t.leave(a.members[manifest])
	}
	for len(a.given) > 0 {
		t.end(a.given[0])
	}
	for len(a.taken) > 0 {
		t.end(a.taken[0])
	}
	t.byHeard.Remove(a.element)
	delete(t.agents, a.name)
}
