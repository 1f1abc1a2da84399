package storage

import (
	"cmp"
	"slices"
	"time"

	"oakpick/internal/protocol"
)

// Write is a transaction that writes pages. It is built once and never changes after
// that, however often it is sent.
type Write struct {
	// ID is unique among the writes of all leaders. It is stored in every page that the
	// transaction puts.
	ID string
	// Txn is the request to send.
	Txn protocol.Txn
	// Rejected is for the caller: the state service called the request malformed.
	Rejected bool
	// Version is the revision of the commit; 0 until MarkCommitted.
	Version int64

	pages            []*page
	compareOnly      *page // a condition of the transaction, but not changed by it
	archivePages     []*ArchivePage
	waiters          [][]*CommitWaiter
	awaitingResponse bool          // and not answered yet
	retryAt          time.Duration // if not sent
}

// CommitCheckKey returns the key of a page whose write id tells whether the transaction was
// committed.
func (w *Write) CommitCheckKey() string {
	if len(w.archivePages) > 0 {
		return w.archivePages[0].Key() // the page of records may be deleted
	}
	return w.pages[0].key()
}

// keyCount is how many keys the transaction changes.
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

// NextWrite returns a transaction to send now, conditional on the leader's key (term) and
// on every page's version, or nil. The caller asks again until it is nil. If
// allowNew is false, only transactions in flight are returned, for their retry.
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

// collectDirtyPages picks dirty pages for one transaction, by when they are due, and
// takes its budget.
func (s *Store) collectDirtyPages(now time.Duration) *Write {
	available := s.budget.available(now)
	if available < 1 { // before anything is sorted or measured for it
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

// addDirtyPages adds as many pages as fit the transaction, or the parts of one page that
// has to be split.
func (s *Store) addDirtyPages(w *Write, maxPages int) {
	remaining := protocol.MaxBody - txnOverhead
	for _, p := range s.dirty {
		if p.inFlight || s.unwritable(p) {
			continue
		}
		size := p.size()
		if size > s.limits.PageBytes {
			if len(w.pages) > 0 {
				continue // it needs a transaction of its own, and is the first of the next
			}
			if maxPages >= min(s.limits.ChangesPerTxn, s.budget.capacity()) {
				s.split(p, w)
			}
			return // without enough budget nothing may be sent before it
		}
		// The sum counts too: a transaction that is too large is refused each time
		// it is sent again, and its pages would never be written.
		needed := max(size, p.reserved) + changeOverhead
		if len(w.pages) < maxPages && (needed <= remaining || len(w.pages) == 0) {
			w.pages = append(w.pages, p)
			remaining -= needed
		}
	}
}

// buildTransaction makes the request. From here on it never changes: a first try that
// arrives after its retry is then the same transaction or one whose conditions fail.
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

// MarkCommitted notes that a transaction was committed, with the revision that its pages
// have now, and runs the waiters of which it was the last.
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

// RetryLater notes that a transaction was not executed, or that nobody knows: the same
// one is sent again after the retry interval. No new one is begun before that: a state
// service that refuses requests beyond its rate must not be asked for more.
func (s *Store) RetryLater(now time.Duration, w *Write) { s.inFlight.retryLater(now, w) }

// StalledFor returns for how long transactions have failed, refused or not answered, with
// none committed in between; 0 if the last one was committed.
func (s *Store) StalledFor(now time.Duration) time.Duration {
	if s.inFlight.stalledSince == nil {
		return 0
	}
	return now - *s.inFlight.stalledSince
}

// HasWritesInFlight tells whether a transaction was built and is not yet committed.
func (s *Store) HasWritesInFlight() bool { return len(s.inFlight.writes) > 0 }

// Idle tells whether nothing waits to be written and at least half of the write budget
// is unused.
func (s *Store) Idle(now time.Duration) bool {
	return len(s.dirty) == 0 && !s.HasWritesInFlight() && s.budget.halfAvailable(now)
}

// CanWrite tells whether a new transaction that changes the given number of keys could
// be sent now.
func (s *Store) CanWrite(now time.Duration, keys int) bool {
	return s.inFlight.mayBegin(now) && s.budget.available(now) >= float64(keys)
}
