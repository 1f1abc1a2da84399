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
	// minChangesPerMove is how many changes a transaction has to take for a move: a page of
	// records and two of the archive.
	minChangesPerMove = 3
	// urgentFactor is from how many times as many ended jobs as may be kept their move no
	// longer waits for a budget that nobody uses.
	urgentFactor = 2
)

// moves is the moving of ended jobs to the archive: one transaction at a time, with what the
// write budget leaves, and not before every peer has said that it looks jobs up there.
type moves struct {
	moving        map[string]bool // ids of ended jobs whose move is under way
	committed     int
	retryAt       time.Duration // no move before; reads for users don't wait for that
	sourcePage    int           // the page of records to be examined next
	deleteEmptyAt time.Duration // when emptied pages are looked for next
	peers         []string
	readers       map[string]bool // peers that have said that they read the archive
	askAt         time.Duration   // when the others are asked next
}

// IsMoving reports whether the move of an ended job is under way.
func (a *Archive) IsMoving(id string) bool { return a.moves.moving[id] }

// AddReader notes that a peer reads the archive.
func (a *Archive) AddReader(peer string) { a.moves.readers[peer] = true }

// moveBatch is what one move takes to each page of the archive.
type moveBatch struct {
	records  map[*cachedPage][]storage.TerminalRecord
	items    []*cluster.EndedJob
	maxPages int
}

// move takes ended jobs off the pages that a new leader reads, into the archive.
func (a *Archive) move() {
	if !a.moveIsDue() || !a.allPeersRead() || a.read != nil {
		return
	}
	ended := a.nextSource()
	if len(ended) == 0 {
		a.moves.retryAt = a.context.Monotonic() + a.timing.Workers.HeartbeatInterval
		return
	}
	batch := moveBatch{records: map[*cachedPage][]storage.TerminalRecord{}, maxPages: a.store.MaxArchivePagesPerMove()}
	for _, e := range ended {
		p := a.targetPage(e.ID)
		if p == nil {
			// The pages of one move stay in the cache while the others are read.
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
		batch.items = append(batch.items, e)
	}
	a.write(batch)
}

// moveIsDue reports whether there are ended jobs to be moved, and nothing speaks against it
// now.
func (a *Archive) moveIsDue() bool {
	now, ended, kept := a.context.Monotonic(), len(a.state.EndedJobs), a.timing.Archive.MaxEndedJobs
	if ended <= kept || len(a.moves.moving) > 0 || a.leadership.AdvancingToken() || a.leadership.AwaitsWrites() {
		return false
	}
	if a.limits.TxnOps < minChangesPerMove || now < max(a.retryAt, a.moves.retryAt) {
		return false
	}
	if ended > urgentFactor*kept {
		return a.store.CanWrite(now, 1+a.store.MaxArchivePagesPerMove())
	}
	return a.store.Idle(now)
}

// allPeersRead reports whether every peer has said that it reads the archive, and asks those
// that haven't.
func (a *Archive) allPeersRead() bool {
	now := a.context.Monotonic()
	all, asks := true, now >= a.moves.askAt
	for _, peer := range a.moves.peers {
		if a.moves.readers[peer] {
			continue
		}
		all = false
		if asks {
			a.moves.askAt = now + a.timing.Election.ProbeInterval
			a.context.Emit(message.PeerCall{Peer: peer, Term: a.leadership.Token(), SentAt: now, QueriesArchiveSupport: true})
		}
	}
	return all
}

// nextSource picks a page of records in turns, and returns what of it may be moved, in the
// order of the archive: ended jobs of which nothing else is recorded, and which no job names
// that isn't over.
func (a *Archive) nextSource() []*cluster.EndedJob {
	named := map[string]bool{}
	for _, j := range a.state.Jobs {
		for _, id := range j.Prerequisites.IDs {
			named[id] = true
		}
	}
	for range a.store.PageCount() {
		page := a.moves.sourcePage
		a.skipSourcePage()
		var movable []*cluster.EndedJob
		for _, item := range a.store.Items(page) {
			if e, ok := item.(*cluster.EndedJob); ok && a.state.EndedJobs[e.ID] == e && !e.HasOtherRecords && !named[e.ID] {
				movable = append(movable, e)
			}
		}
		if len(movable) > 0 {
			slices.SortFunc(movable, func(x, y *cluster.EndedJob) int { return cmp.Compare(x.ID, y.ID) })
			a.moves.sourcePage = page // until it has no more
			return movable
		}
	}
	return nil
}

func (a *Archive) skipSourcePage() {
	a.moves.sourcePage = (a.moves.sourcePage + 1) % max(1, a.store.PageCount())
}

// targetPage is the page of the archive that a job goes to, if it is in memory.
func (a *Archive) targetPage(id string) *cachedPage {
	if !a.exists && len(a.cache) == 0 {
		a.cache = []*cachedPage{{ArchivePage: &storage.ArchivePage{UpperBound: storage.LastUpperBound}}}
	}
	return a.page(id)
}

// plannedWrite is what of a batch goes into one transaction.
type plannedWrite struct {
	pages []*storage.ArchivePage
	lows  map[string]string // the first job that a page covers, by its upper bound
	moved map[string]bool
}

// plan divides the pages of a batch. Pages that would have to be divided into more than one
// transaction takes are left out.
func (a *Archive) plan(batch moveBatch) plannedWrite {
	planned := plannedWrite{lows: map[string]string{}, moved: map[string]bool{}}
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
		low := p.low
		for _, part := range parts {
			planned.lows[part.UpperBound] = low
			low = part.UpperBound
		}
		planned.pages = append(planned.pages, parts...)
		for _, record := range batch.records[p] {
			planned.moved[record.ID] = true
		}
	}
	return planned
}

// write sends the move of some ended jobs.
func (a *Archive) write(batch moveBatch) {
	planned := a.plan(batch)
	var items []storage.Item
	for _, e := range batch.items {
		if planned.moved[e.ID] {
			items = append(items, e)
		}
	}
	if len(items) == 0 {
		a.postpone()
		return
	}
	var w *storage.Write
	w = a.store.Move(a.context.Monotonic(), a.leadership.TermCondition(), items, planned.pages, storage.OnBackgroundCommit(func() {
		a.moveCommitted(planned, w.Version)
	}))
	if w == nil {
		a.postpone()
		return
	}
	a.moves.moving = planned.moved
	a.callbacks.SendWrite(w)
}

// postpone leaves the page of records that is being examined to a later turn: what is on it
// can't be moved now, and needn't be examined again in the next step.
func (a *Archive) postpone() {
	a.moves.retryAt = a.context.Monotonic() + a.timing.StateRetry
	a.skipSourcePage()
}

// moveCommitted notes that a move is durable: from now on the jobs are looked up.
func (a *Archive) moveCommitted(planned plannedWrite, version int64) {
	a.exists = true
	a.moves.committed++
	a.moves.moving = map[string]bool{}
	for id := range planned.moved {
		e := a.state.EndedJobs[id]
		delete(a.state.EndedJobs, id)
		for _, x := range a.lookups {
			if _, asked := x.found[id]; asked {
				x.found[id] = e // it wasn't there before
			}
		}
	}
	for _, p := range planned.pages {
		p.Version = version
		a.replace(&cachedPage{ArchivePage: p, low: planned.lows[p.UpperBound], usedAt: a.context.Monotonic()})
	}
}
