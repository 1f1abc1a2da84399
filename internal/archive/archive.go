// Package archive gives a leader access to the archive of ended jobs, which the leader doesn't
// keep in memory: it looks up archived jobs for user requests and moves ended jobs into the
// archive. Only the leader writes the archive, and every write is conditional on its term, so a
// cached page stays valid until the leader itself rewrites it.
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

// Leadership gives access to the leader's term.
type Leadership interface {
	// HoldsLease reports whether no other node can lead.
	HoldsLease() bool
	// Token returns the fencing token.
	Token() int64
	// TermCondition returns the condition that every write must include.
	TermCondition() protocol.Condition
	// AdvancingToken reports whether an advance of the fencing token is in progress. No write may
	// be sent during it.
	AdvancingToken() bool
	// AwaitsWrites reports whether an advance of the fencing token is waiting for the writes in
	// flight. No new write may be sent during the wait.
	AwaitsWrites() bool
}

// LookupResults maps the IDs of jobs that were looked up to their archived records. The record is
// nil if the archive has none.
type LookupResults map[string]*cluster.EndedJob

// Callbacks are the functions of the leader that the archive calls.
type Callbacks struct {
	// HandleRequest answers a user request, given the archived records of the jobs it refers to.
	HandleRequest func(message.UserRequest, LookupResults)
	// SendWrite sends the transaction that moves jobs into the archive.
	SendWrite func(*storage.Write)
}

// Limits of lookups, relative to the limits of the state service.
const (
	lookupRequestShare    = 0.25 // share of the state service's request rate that page reads may use
	minPendingLookupLimit = 8    // lower bound of the limit on pending lookups
	pendingLookupsPerRPS  = 0.1  // limit on pending lookups, per request/s that the state service allows
	pollShare             = 0.5  // share of the limit on pending lookups that polls may use
)

// Archive reads and writes the archive on behalf of one leader.
type Archive struct {
	context    *step.Context
	state      *cluster.State
	store      *storage.Store
	calls      *step.StateCalls
	timing     timing.Timing
	leadership Leadership
	limits     config.State
	callbacks  Callbacks

	nonEmpty       bool // the archive holds at least one page
	cache          []*cachedPage
	pendingLookups []*lookup
	readInFlight   *readRequest // at most one, so a page is never read twice concurrently
	readLimiter    *rate.Limiter
	readRetryAt    time.Duration // earliest time of the next read, after a failure
	moves          moveState
}

// New returns the archive of a leader, with an empty cache.
func New(
	context *step.Context, state *cluster.State, store *storage.Store, calls *step.StateCalls, timing timing.Timing, leadership Leadership,
	limits config.State, peers []string, callbacks Callbacks,
) *Archive {
	share := limits.RPS * lookupRequestShare
	return &Archive{
		context: context, state: state, store: store, calls: calls, timing: timing, leadership: leadership, limits: limits, callbacks: callbacks,
		readLimiter: rate.NewLimiter(rate.Limit(share), max(1, int(share))),
		moves:       moveState{moving: map[string]bool{}, peers: peers, archiveReaders: map[string]bool{}},
	}
}

// SetNonEmpty sets whether the archive holds at least one page.
func (a *Archive) SetNonEmpty(nonEmpty bool) { a.nonEmpty = nonEmpty }

// Tick refuses lookups that timed out, reads the next page that a lookup waits for, and moves
// ended jobs while no page is being read.
func (a *Archive) Tick() {
	a.refuseTimedOut()
	if !a.leadership.HoldsLease() {
		return
	}
	if a.readInFlight == nil && a.context.Monotonic() >= a.readRetryAt {
		if id := a.nextJobToRead(); id != "" {
			a.readPage(id)
		}
	}
	a.move()
	a.deleteEmptyPages()
}

// deleteEmptyPages deletes pages of the record store that moves have emptied. It runs once per
// heartbeat interval at most, and only when the write budget is idle.
func (a *Archive) deleteEmptyPages() {
	now := a.context.Monotonic()
	if !a.nonEmpty || now < a.moves.deleteEmptyAt || !a.store.Idle(now) {
		return
	}
	a.moves.deleteEmptyAt = now + a.timing.Workers.HeartbeatInterval
	a.store.DeleteEmptyPages(now, a.leadership.Token())
}

// Status is the state of the archive in the operator API.
type Status struct {
	NonEmpty       bool `json:"used"`
	MaxEndedJobs   int  `json:"kept"` // ended jobs that may stay outside the archive
	CachedPages    int  `json:"pages_held"`
	PendingLookups int  `json:"requests_waiting"`
	JobsBeingMoved int  `json:"jobs_being_moved"`
	PeersReading   int  `json:"peers_reading"` // 0 until there are jobs to move: peers aren't asked before
}

// Status returns the state of the archive.
func (a *Archive) Status() Status {
	return Status{
		NonEmpty: a.nonEmpty, MaxEndedJobs: a.timing.Archive.MaxEndedJobs, CachedPages: len(a.cache), PendingLookups: len(a.pendingLookups),
		JobsBeingMoved: len(a.moves.moving), PeersReading: len(a.moves.archiveReaders),
	}
}

// cachedPage is a page of the archive in memory. It covers the jobs with IDs from lowerBound,
// inclusive, to UpperBound, exclusive. Jobs below lowerBound may be on another page.
type cachedPage struct {
	*storage.ArchivePage
	lowerBound string
	usedAt     time.Duration
	// corrupt is true if the page can't be decoded, so that the state of its jobs is unknown.
	corrupt bool
}

func (p *cachedPage) covers(id string) bool { return p.lowerBound <= id && id < p.UpperBound }

// readRequest is a page read in flight.
type readRequest struct {
	jobID          string // job whose page is being read
	committedMoves int    // number of committed moves when the read was sent
}

// cachedPageFor returns the cached page that covers a job, or nil.
func (a *Archive) cachedPageFor(id string) *cachedPage {
	for _, p := range a.cache {
		if p.covers(id) {
			p.usedAt = a.context.Monotonic()
			return p
		}
	}
	return nil
}

// readPage sends a read of the page that covers a job, if the rate limiter allows it.
func (a *Archive) readPage(id string) {
	if !a.readLimiter.AllowN(a.context.Now.LimiterTime(), 1) {
		return
	}
	a.readInFlight = &readRequest{jobID: id, committedMoves: a.moves.committedMoves}
	call := storage.StateCall{Op: storage.StateList, Key: storage.ArchivePrefix, StartAfter: storage.ArchivePrefix + id, Limit: 1}
	a.calls.Send(call, a.handlePage)
}

// handlePage caches a page that was read and answers the lookups that waited for it.
func (a *Archive) handlePage(result storage.StateResult) {
	read := a.readInFlight
	a.readInFlight = nil
	if read == nil || read.committedMoves != a.moves.committedMoves {
		return // a move that was committed after the read was sent may have changed the page
	}
	if result.Outcome != rpc.OK || len(result.List.Entries) == 0 {
		a.readRetryAt = a.context.Monotonic() + a.timing.StateRetryInterval
		if result.Outcome == rpc.OK {
			a.context.Log(message.Error, "last archive page is missing", "job", read.jobID)
		}
		return
	}
	page, err := storage.DecodeArchivePage(result.List.Entries[0])
	if err != nil {
		a.context.Log(message.Error, "archive page is corrupt, requests for its jobs are refused with 503", "error", err.Error())
	}
	a.cachePage(&cachedPage{ArchivePage: page, lowerBound: read.jobID, corrupt: err != nil, usedAt: a.context.Monotonic()})
	a.answerLookups()
}

// cachePage adds a page to the cache, replacing an earlier copy. If the cache exceeds its limit,
// the least recently used page is evicted.
func (a *Archive) cachePage(p *cachedPage) {
	for i, earlier := range a.cache {
		if earlier.UpperBound == p.UpperBound {
			p.lowerBound = min(p.lowerBound, earlier.lowerBound)
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

// replaceCached caches a page that was written. It removes the earlier copy first, because
// cachePage would extend the new page's range to that of the copy, and the write may have split
// the page.
func (a *Archive) replaceCached(p *cachedPage) {
	a.cache = slices.DeleteFunc(a.cache, func(earlier *cachedPage) bool { return earlier.UpperBound == p.UpperBound })
	a.cachePage(p)
}
