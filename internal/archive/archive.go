// Package archive is a leader's use of the archive of ended jobs, which it doesn't hold in
// memory: it looks jobs up for users' requests, and moves ended jobs there. Only the leader
// changes the archive, and every change is conditional on its term, so a page once read stays
// as it is until the leader itself writes it.
package archive

import (
	"cmp"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"oakpick/internal/cluster"
	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/step"
	"oakpick/internal/storage"
	"oakpick/internal/timing"
)

// Leadership is what the archive has to know of the term.
type Leadership interface {
	// HoldsLease reports whether no other node can lead.
	HoldsLease() bool
	// Token is the fencing token, TermCondition what every write is conditional on.
	Token() int64
	TermCondition() protocol.Condition
	// AdvancingToken and AwaitsWrites report whether no write may begin for the token's sake.
	AdvancingToken() bool
	AwaitsWrites() bool
}

// LookupResults are the ends of jobs found in the archive; nil: the job isn't there.
type LookupResults map[string]*cluster.EndedJob

// Callbacks are what the archive leaves to others.
type Callbacks struct {
	// Decide answers a request, given the ends of what it is about that are in the archive.
	Decide func(message.UserRequest, LookupResults)
	// SendWrite sends the transaction of a move.
	SendWrite func(*storage.Write)
}

// The archive's share of what there is.
const (
	lookupShare   = 0.25 // of the state service's requests
	minLookups    = 8
	lookupsPerRPS = 0.1 // requests that wait, for each request a second that the service takes
	pollsShare    = 0.5 // of these may be polls
)

// Archive reads and writes the archive for one leader.
type Archive struct {
	context    *step.Context
	state      *cluster.State
	store      *storage.Store
	calls      *step.StateCalls
	timing     timing.Timing
	leadership Leadership
	limits     config.State
	callbacks  Callbacks

	exists  bool // something is in it
	cache   []*cachedPage
	lookups []*lookup
	read    *pageRead // one at a time, so never two of a page
	budget  *rate.Limiter
	retryAt time.Duration // no read before, after one that failed
	moves   moves
}

// New returns the archive of a leader. Nothing is known of it yet.
func New(
	context *step.Context, state *cluster.State, store *storage.Store, calls *step.StateCalls, timing timing.Timing, leadership Leadership,
	limits config.State, peers []string, callbacks Callbacks,
) *Archive {
	share := limits.RPS * lookupShare
	return &Archive{
		context: context, state: state, store: store, calls: calls, timing: timing, leadership: leadership, limits: limits, callbacks: callbacks,
		budget: rate.NewLimiter(rate.Limit(share), max(1, int(share))),
		moves:  moves{moving: map[string]bool{}, peers: peers, readers: map[string]bool{}},
	}
}

// SetNonEmpty notes whether something is in the archive.
func (a *Archive) SetNonEmpty(exists bool) { a.exists = exists }

// Tick reads the next page that somebody waits for, and moves ended jobs if nobody does.
func (a *Archive) Tick() {
	a.refuseLate()
	if !a.leadership.HoldsLease() {
		return
	}
	if a.read == nil && a.context.Monotonic() >= a.retryAt {
		if id := a.nextLookup(); id != "" {
			a.readPage(id)
		}
	}
	a.move()
	a.deleteEmptyPages()
}

// deleteEmptyPages has the pages of records deleted that moves have emptied, now and then and with
// what the write budget leaves.
func (a *Archive) deleteEmptyPages() {
	now := a.context.Monotonic()
	if !a.exists || now < a.moves.deleteEmptyAt || !a.store.Idle(now) {
		return
	}
	a.moves.deleteEmptyAt = now + a.timing.Workers.HeartbeatInterval
	a.store.DeleteEmptyPages(now, a.leadership.Token())
}

// Status is what an operator is told of the archive of ended jobs.
type Status struct {
	NonEmpty         bool `json:"used"`
	MaxEndedJobs         int  `json:"kept"` // how many ended jobs are kept out of it
	PagesHeld    int  `json:"pages_held"`
	PendingLookups      int  `json:"requests_waiting"`
	JobsBeingMoved       int  `json:"jobs_being_moved"`
	PeersReading int  `json:"peers_reading"` // asked only once there is something to be moved
}

// Status sums the archive up.
func (a *Archive) Status() Status {
	return Status{
		NonEmpty: a.exists, MaxEndedJobs: a.timing.Archive.MaxEndedJobs, PagesHeld: len(a.cache), PendingLookups: len(a.lookups),
		JobsBeingMoved: len(a.moves.moving), PeersReading: len(a.moves.readers),
	}
}

// cachedPage is a page that was read, and which jobs it has the ends of: those from low on and
// before its upper bound. What lies before low may be on another page.
type cachedPage struct {
	*storage.ArchivePage
	low    string
	usedAt time.Duration
	// corrupt is whether it can't be read: nothing can be said of its jobs.
	corrupt bool
}

func (p *cachedPage) covers(id string) bool { return p.low <= id && id < p.UpperBound }

// pageRead is a read under way.
type pageRead struct {
	id    string // of the job whose page is read
	moves int    // committed when it was sent
}

// page finds the page in memory that covers a job.
func (a *Archive) page(id string) *cachedPage {
	for _, p := range a.cache {
		if p.covers(id) {
			p.usedAt = a.context.Monotonic()
			return p
		}
	}
	return nil
}

// readPage reads the page of a job, if the budget allows it.
func (a *Archive) readPage(id string) {
	if !a.budget.AllowN(a.context.Now.LimiterTime(), 1) {
		return
	}
	a.read = &pageRead{id: id, moves: a.moves.committed}
	call := storage.StateCall{Op: storage.StateList, Key: storage.ArchivePrefix, StartAfter: storage.ArchivePrefix + id, Limit: 1}
	a.calls.Send(call, a.handlePage)
}

// handlePage takes a page in, and answers whoever waited for it.
func (a *Archive) handlePage(result storage.StateResult) {
	read := a.read
	a.read = nil
	if read == nil || read.moves != a.moves.committed {
		return // it may have been read before a move was carried out
	}
	if result.Outcome != rpc.OK || len(result.List.Entries) == 0 {
		a.retryAt = a.context.Monotonic() + a.timing.StateRetry
		if result.Outcome == rpc.OK {
			a.context.Log(message.Error, "last page of ended jobs is missing", "job", read.id)
		}
		return
	}
	page, err := storage.ReadArchivePage(result.List.Entries[0])
	if err != nil {
		a.context.Log(message.Error, "page of ended jobs is corrupt, its jobs get 503", "error", err.Error())
	}
	a.keep(&cachedPage{ArchivePage: page, low: read.id, corrupt: err != nil, usedAt: a.context.Monotonic()})
	a.answerLookups()
}

// keep puts a page into the cache, in the place of an earlier copy, and drops the one that was
// used longest ago if there are too many.
func (a *Archive) keep(p *cachedPage) {
	for i, earlier := range a.cache {
		if earlier.UpperBound == p.UpperBound {
			p.low = min(p.low, earlier.low)
			a.cache[i] = p
			return
		}
	}
	a.cache = append(a.cache, p)
	if len(a.cache) > a.timing.Archive.MaxCachedPages {
		oldest := slices.MinFunc(a.cache, func(x, y *cachedPage) int { return cmp.Compare(x.usedAt, y.usedAt) })
		a.cache = slices.DeleteFunc(a.cache, func(x *cachedPage) bool { return x == oldest })
	}
}

// replace puts a page that was written into the cache. What an earlier copy of a page covered
// may be divided between several now.
func (a *Archive) replace(p *cachedPage) {
	a.cache = slices.DeleteFunc(a.cache, func(earlier *cachedPage) bool { return earlier.UpperBound == p.UpperBound })
	a.keep(p)
}
