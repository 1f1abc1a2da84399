package storage

import (
	"cmp"
	"slices"
	"time"

	"oakpick/internal/protocol"
)

// Write is a transaction that writes pages. It is not modified once it is built, so every
// retry sends the same request.
type Write struct {
	// ID is unique among the writes of all leaders. It is stored in every page that the
	// transaction puts.
	ID string
	// Txn is the request to send.
	Txn protocol.Txn
	// Rejected reports that the state service rejected the request as malformed. The Store neither
	// sets nor reads it; its caller does.
	Rejected bool
	// Version is the revision of the commit; 0 until MarkCommitted is called.
	Version int64

	pages            []*page
	compareOnly      *page // page that is a condition of the transaction and is not changed by it
	archivePages     []*ArchivePage
	waiters          [][]*CommitWaiter
	awaitingResponse bool          // the transaction was sent and its outcome is not known yet
	retryAt          time.Duration // valid unless awaitingResponse
}

// CommitCheckKey returns the key of a page whose stored write ID shows whether the
// transaction was committed.
func (w *Write) CommitCheckKey() string {
	if len(w.archivePages) > 0 {
		return w.archivePages[0].Key() // the transaction may delete the page of records
	}
	return w.pages[0].key()
}

// keyCount returns the number of keys that the transaction changes.
func (w *Write) keyCount() int { return len(w.pages) + len(w.archivePages) }

// addPage adds the condition and the change for a page of records.
func (w *Write) addPage(p *page, token int64) {
	condition := p.condition()
	w.Txn.If = append(w.Txn.If, condition)
	if p.version == 0 {
		p.createdWithToken = token
	}
	p.deleteOnCommit = (len(w.archivePages) > 0 || p.deleteIfEmpty) && p.deletable(token)
	p.deleteIfEmpty = false
	if p.deleteOnCommit {
		w.Txn.Then = append(w.Txn.Then, protocol.Change{Delete: condition.Key})
	} else {
		w.Txn.Then = append(w.Txn.Then, protocol.Change{Put: condition.Key, Value: p.value(w.ID)})
	}
}

// NextWrite returns a transaction to send now, or nil if there is none. The transaction is
// conditional on the leader's key (term) and on the version of each page. The caller repeats
// the call until it returns nil. If allowNew is false, only retries of transactions in flight
// are returned.
func (s *Store) NextWrite(now time.Duration, term protocol.Condition, allowNew bool) *Write {
	s.budget.applyRate(now)
	if w, due := s.inFlight.nextRetry(now, &s.budget); due {
		return w
	}
	if !allowNew || !s.inFlight.mayBegin(now) {
		return nil
	}
	s.scheduleSplit(now)
	w := s.collectDirtyPages(now)
	if w == nil {
		return nil
	}
	s.buildTransaction(w, term)
	return w
}

// collectDirtyPages builds a write of dirty pages in the order of their due times and takes
// the write budget for it.
func (s *Store) collectDirtyPages(now time.Duration) *Write {
	available := s.budget.available(now)
	if available < 1 { // checked first, to avoid the cost of sorting and measuring pages
		if slices.ContainsFunc(s.dirty, func(p *page) bool { return !p.inFlight }) {
			s.budget.recordRefusal(now)
		}
		return nil
	}
	slices.SortStableFunc(s.dirty, func(a, b *page) int { return cmp.Compare(a.dueAt, b.dueAt) })
	w := &Write{awaitingResponse: true}
	s.addDirtyPages(w, min(s.limits.ChangesPerTxn, max(1, int(available))))
	if len(w.pages) == 0 || !s.budget.take(now, len(w.pages)) {
		return nil
	}
	return w
}

// addDirtyPages adds as many pages as fit in the transaction, or the parts of a single page
// that has to be split.
func (s *Store) addDirtyPages(w *Write, maxPages int) {
	remaining := protocol.MaxBody - txnOverhead
	for _, p := range s.dirty {
		if p.inFlight || s.unwritable(p) {
			continue
		}
		size := p.size()
		if size > s.limits.PageBytes {
			if len(w.pages) > 0 {
				continue // an oversized page needs a transaction of its own, and is the first page of the next one
			}
			if maxPages >= min(s.limits.ChangesPerTxn, s.budget.capacity()) {
				s.split(p, w)
			}
			return // without enough budget for the split, nothing may be sent before it
		}
		// The total size is limited too: the state service would refuse every retry of an
		// oversized transaction, and its pages would never be written.
		needed := max(size, p.reserved) + changeOverhead
		if len(w.pages) < maxPages && (needed <= remaining || len(w.pages) == 0) {
			w.pages = append(w.pages, p)
			remaining -= needed
		}
	}
}

// buildTransaction builds the request, which is not modified afterwards: every attempt to send it
// is the same transaction, and once one attempt is committed, the conditions of the others fail.
func (s *Store) buildTransaction(w *Write, term protocol.Condition) {
	s.inFlight.add(w)
	w.Txn.If = append(w.Txn.If, term)
	if w.compareOnly != nil {
		w.Txn.If = append(w.Txn.If, w.compareOnly.condition())
		s.setInFlight(w.compareOnly, true)
	}
	for _, p := range w.pages {
		w.addPage(p, term.Version)
		w.waiters = append(w.waiters, p.waiters)
		p.dirty, p.waiters = false, nil
		s.setInFlight(p, true)
	}
	w.addArchivePages()
	s.dirty = slices.DeleteFunc(s.dirty, func(p *page) bool { return !p.dirty })
}

// MarkCommitted records that a transaction was committed at a revision, which becomes the
// version of its pages, and runs the waiters that have no other pending pages.
func (s *Store) MarkCommitted(w *Write, version int64) {
	s.inFlight.committed(w)
	if w.compareOnly != nil {
		s.setInFlight(w.compareOnly, false)
	}
	w.Version = version
	for _, p := range w.pages {
		p.version = version
		if p.deleteOnCommit {
			p.version, p.deleteOnCommit = 0, false
		}
		s.setInFlight(p, false)
	}
	for _, waiters := range w.waiters {
		for _, waiter := range waiters {
			waiter.pageCommitted()
		}
	}
}

// RetryLater records that a transaction was not executed or that its outcome is unknown. The
// same transaction is sent again after the retry interval. No new one is sent before that,
// because a state service that refuses requests above its rate must not receive more of them.
func (s *Store) RetryLater(now time.Duration, w *Write) { s.inFlight.retryLater(now, w) }

// StalledFor returns the time since the first failure (a refusal or a missing response) after the
// last commit; 0 if no transaction has failed since then.
func (s *Store) StalledFor(now time.Duration) time.Duration {
	if s.inFlight.stalledSince == nil {
		return 0
	}
	return now - *s.inFlight.stalledSince
}

// HasWritesInFlight reports whether a transaction was built that is not committed yet.
func (s *Store) HasWritesInFlight() bool { return len(s.inFlight.writes) > 0 }

// Idle reports whether no page waits to be written and at least half of the write budget is
// available.
func (s *Store) Idle(now time.Duration) bool {
	return len(s.dirty) == 0 && !s.HasWritesInFlight() && s.budget.halfAvailable(now)
}

// CanWrite reports whether a new transaction that changes the given number of keys could be
// sent now.
func (s *Store) CanWrite(now time.Duration, keys int) bool {
	return s.inFlight.mayBegin(now) && s.budget.available(now) >= float64(keys)
}
