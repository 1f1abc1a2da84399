package archive

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oakpick/internal/cluster"
	"oakpick/internal/message"
	"oakpick/internal/storage"
)

const (
	// minChangesPerMove is the minimum number of changes per transaction (txn_ops) that allows a
	// move: one page of the record store and two archive pages, because adding records to a page
	// may split it.
	minChangesPerMove = 3
	// urgentBacklogFactor is the multiple of MaxEndedJobs above which ended jobs are moved even if
	// the store isn't idle.
	urgentBacklogFactor = 2
)

// moveState is the state of moving ended jobs into the archive. At most one move is in flight.
// Moves use the spare write budget, and begin only after all peers have confirmed that they read
// the archive.
type moveState struct {
	moving         map[string]bool // IDs of the jobs whose move is in flight
	committedMoves int
	retryAt        time.Duration // earliest time of the next move; reads for lookups don't wait for it
	sourcePage     int           // page of the record store to examine next
	deleteEmptyAt  time.Duration // earliest time of the next deletion of empty pages
	peers          []string
	archiveReaders map[string]bool // peers that have confirmed that they read the archive
	nextProbeAt    time.Duration   // time at which the remaining peers are asked next
}

// IsMoving reports whether a move of the ended job is in flight.
func (a *Archive) IsMoving(id string) bool { return a.moves.moving[id] }

// AddReader records that a peer reads the archive.
func (a *Archive) AddReader(peer string) { a.moves.archiveReaders[peer] = true }

// moveBatch holds the jobs of one move, by the archive page that they are moved to.
type moveBatch struct {
	records  map[*cachedPage][]storage.TerminalRecord
	jobs     []*cluster.EndedJob
	maxPages int
}

// move moves ended jobs from the pages of the record store, all of which a new leader has to load,
// to the archive. If an archive page that it needs isn't cached, it only reads that page.
func (a *Archive) move() {
	if !a.shouldMove() || !a.allPeersReadArchive() || a.readInFlight != nil {
		return
	}
	ended := a.nextMovableJobs()
	if len(ended) == 0 {
		a.moves.retryAt = a.context.Monotonic() + a.timing.Workers.HeartbeatInterval
		return
	}
	batch := moveBatch{records: map[*cachedPage][]storage.TerminalRecord{}, maxPages: a.store.MaxArchivePagesPerMove()}
	for _, e := range ended {
		p := a.targetPage(e.ID)
		if p == nil {
			// A move uses at most half of the cache, so that reading one of its pages doesn't
			// evict another one.
			if len(batch.records) < batch.maxPages && len(batch.records) < a.timing.Archive.MaxCachedPages/2 {
				a.readPage(e.ID)
				return
			}
			continue
		}
		if p.corrupt || len(batch.records) == batch.maxPages && batch.records[p] == nil {
			continue
		}
		batch.records[p] = append(batch.records[p], e.TerminalRecord)
		batch.jobs = append(batch.jobs, e)
	}
	a.sendMove(batch)
}

// shouldMove reports whether there are ended jobs to move and a move may be sent now.
func (a *Archive) shouldMove() bool {
	now, ended, kept := a.context.Monotonic(), len(a.state.EndedJobs), a.timing.Archive.MaxEndedJobs
	if ended <= kept || len(a.moves.moving) > 0 || a.leadership.AdvancingToken() || a.leadership.AwaitsWrites() {
		return false
	}
	if a.limits.TxnOps < minChangesPerMove || now < max(a.readRetryAt, a.moves.retryAt) {
		return false
	}
	if ended > urgentBacklogFactor*kept {
		return a.store.CanWrite(now, 1+a.store.MaxArchivePagesPerMove())
	}
	return a.store.Idle(now)
}

// allPeersReadArchive reports whether every peer has confirmed that it reads the archive. It asks
// the others, once per probe interval.
func (a *Archive) allPeersReadArchive() bool {
	now := a.context.Monotonic()
	all, asks := true, now >= a.moves.nextProbeAt
	for _, peer := range a.moves.peers {
		if a.moves.archiveReaders[peer] {
			continue
		}
		all = false
		if asks {
			a.moves.nextProbeAt = now + a.timing.Election.ProbeInterval
			a.context.Emit(message.PeerCall{Peer: peer, Term: a.leadership.Token(), SentAt: now, QueriesArchiveSupport: true})
		}
	}
	return all
}

// nextMovableJobs goes through the pages of the record store in turn and returns the movable jobs
// of the next page that has any, sorted by ID as in the archive. An ended job is movable if it
// has no other records and isn't a prerequisite of an unfinished job.
func (a *Archive) nextMovableJobs() []*cluster.EndedJob {
	prerequisites := map[string]bool{}
	for _, j := range a.state.Jobs {
		for _, id := range j.Prerequisites.IDs {
			prerequisites[id] = true
		}
	}
	for range a.store.PageCount() {
		page := a.moves.sourcePage
		a.skipSourcePage()
		var movable []*cluster.EndedJob
		for _, item := range a.store.Items(page) {
			if e, ok := item.(*cluster.EndedJob); ok && a.state.EndedJobs[e.ID] == e && !e.HasOtherRecords && !prerequisites[e.ID] {
				movable = append(movable, e)
			}
		}
		if len(movable) > 0 {
			slices.SortFunc(movable, func(x, y *cluster.EndedJob) int { return cmp.Compare(x.ID, y.ID) })
			a.moves.sourcePage = page // stay on this page until it has no movable jobs left
			return movable
		}
	}
	return nil
}

func (a *Archive) skipSourcePage() {
	a.moves.sourcePage = (a.moves.sourcePage + 1) % max(1, a.store.PageCount())
}

// targetPage returns the archive page that a job belongs to, or nil if it isn't cached.
func (a *Archive) targetPage(id string) *cachedPage {
	if !a.nonEmpty && len(a.cache) == 0 {
		a.cache = []*cachedPage{{ArchivePage: &storage.ArchivePage{UpperBound: storage.LastUpperBound}}}
	}
	return a.cachedPageFor(id)
}

// plannedMove is the part of a batch that fits into one transaction.
type plannedMove struct {
	pages       []*storage.ArchivePage
	lowerBounds map[string]string // lower bounds of the pages, by their upper bounds
	moved       map[string]bool   // IDs of the jobs
}

// planMove merges the jobs of a batch into their archive pages and splits pages that become too
// large. A page is left out if its parts don't fit into the transaction.
func (a *Archive) planMove(batch moveBatch) plannedMove {
	planned := plannedMove{lowerBounds: map[string]string{}, moved: map[string]bool{}}
	bytesLeft := a.store.MaxArchiveBytesPerMove()
	byBound := func(x, y *cachedPage) int { return cmp.Compare(x.UpperBound, y.UpperBound) }
	for _, p := range slices.SortedFunc(maps.Keys(batch.records), byBound) {
		parts := p.Merge(batch.records[p], a.store.MaxArchivePageSize())
		size := 0
		for _, part := range parts {
			size += part.TransactionSize()
		}
		if len(planned.pages)+len(parts) > batch.maxPages || size > bytesLeft {
			continue
		}
		bytesLeft -= size
		low := p.lowerBound
		for _, part := range parts {
			planned.lowerBounds[part.UpperBound] = low
			low = part.UpperBound
		}
		planned.pages = append(planned.pages, parts...)
		for _, record := range batch.records[p] {
			planned.moved[record.ID] = true
		}
	}
	return planned
}

// sendMove sends the transaction that moves a batch.
func (a *Archive) sendMove(batch moveBatch) {
	planned := a.planMove(batch)
	var items []storage.Item
	for _, e := range batch.jobs {
		if planned.moved[e.ID] {
			items = append(items, e)
		}
	}
	if len(items) == 0 {
		a.postpone()
		return
	}
	var w *storage.Write
	w = a.store.MoveToArchive(a.context.Monotonic(), a.leadership.TermCondition(), items, planned.pages, storage.OnBackgroundCommit(func() {
		a.moveCommitted(planned, w.Version)
	}))
	if w == nil {
		a.postpone()
		return
	}
	a.moves.moving = planned.moved
	a.callbacks.SendWrite(w)
}

// postpone delays the next move and continues with the next page of the record store, because the
// jobs of the current page can't be moved now.
func (a *Archive) postpone() {
	a.moves.retryAt = a.context.Monotonic() + a.timing.StateRetryInterval
	a.skipSourcePage()
}

// moveCommitted handles a committed move: from now on the jobs are looked up in the archive.
func (a *Archive) moveCommitted(planned plannedMove, version int64) {
	a.nonEmpty = true
	a.moves.committedMoves++
	a.moves.moving = map[string]bool{}
	for id := range planned.moved {
		e := a.state.EndedJobs[id]
		delete(a.state.EndedJobs, id)
		for _, x := range a.pendingLookups {
			if _, asked := x.results[id]; asked {
				x.results[id] = e // the earlier result was recorded before the job was in the archive
			}
		}
	}
	for _, p := range planned.pages {
		p.Version = version
		a.replaceCached(&cachedPage{ArchivePage: p, lowerBound: planned.lowerBounds[p.UpperBound], usedAt: a.context.Monotonic()})
	}
}
