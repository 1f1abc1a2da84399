package storage

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

// maxWrites is how many transactions may be in flight at a time, each for pages of
// its own. The state service's other calls keep two connections.
const maxWrites = config.StateConnections - 2

// Write is a transaction in flight.
type Write struct {
	ID  string // in the value of every page that it writes
	Txn protocol.Txn
	// Rejected tells that the state service called it malformed.
	Rejected bool
	// Version is the revision that it was committed with.
	Version int64

	pages        []*page
	compareOnly  *page          // compared, but not written
	archivePages []*ArchivePage // written, too
	waiters      [][]*CommitWaiter
	sent         bool
	retryAt      time.Duration
}

// Key names a page that tells, by the write's id, whether the write was committed.
func (w *Write) Key() string {
	if len(w.archivePages) > 0 {
		return w.archivePages[0].Key() // the other may be dropped
	}
	return w.pages[0].key()
}

// keyCount is how many the write changes.
func (w *Write) keyCount() int { return len(w.pages) + len(w.archivePages) }

// NextWrite gives a transaction to send now, if any: conditional on the term's key and
// on every page's version. Ask again until there is none. Unless more may begin,
// only those already in flight are sent again.
func (s *Store) NextWrite(now time.Duration, term protocol.Condition, more bool) *Write {
	w, due := s.nextRetry(now)
	if due {
		return w
	}
	if !more || len(s.writes) >= maxWrites || now < s.resumeAt {
		return nil
	}
	s.scheduleSplit(now)
	w = s.collectDirtyPages(now)
	if w == nil {
		return nil
	}
	s.buildTransaction(w, term)
	return w
}

// nextRetry gives the write to be sent again now. If it is due but the budget is
// used up, it gives none, and nothing else may be sent either: newer writes must not
// take the budget that this one waits for. Small ones would leave a large one waiting
// for ever, and its pages with it. Nor may a budget that was lowered meanwhile be
// less than it can ever have.
func (s *Store) nextRetry(now time.Duration) (w *Write, due bool) {
	for _, w := range s.writes {
		if w.sent || now < w.retryAt {
			continue
		}
		if !s.budget.AllowN(limiterTime(now), min(w.keyCount(), s.budget.Burst())) {
			return nil, true
		}
		w.sent = true
		return w, true
	}
	return nil, false
}

// collectDirtyPages picks dirty pages for one transaction, by when they are due, and takes its
// budget.
func (s *Store) collectDirtyPages(now time.Duration) *Write {
	if s.budget.TokensAt(limiterTime(now)) < 1 {
		return nil // before anything is sorted or measured for it
	}
	slices.SortStableFunc(s.dirty, func(a, b *page) int { return cmp.Compare(a.dueAt, b.dueAt) })
	w := &Write{sent: true}
	most := min(s.limits.ChangesPerTxn, max(1, int(s.budget.TokensAt(limiterTime(now)))))
	left := protocol.MaxBody - txnOverhead
	for _, p := range s.dirty {
		if p.inFlight || s.unwritable(p) {
			continue
		}
		size := p.size()
		if size > s.limits.PageBytes {
			if len(w.pages) > 0 {
				continue // it needs a transaction of its own, and is the first of the next
			}
			if most < min(s.limits.ChangesPerTxn, s.budget.Burst()) {
				return nil
			}
			s.split(p, w)
			break
		}
		// The sum counts too: a transaction that is too large is refused each time
		// it is sent again, and its pages would never be written.
		need := max(size, p.reserved) + changeOverhead
		if len(w.pages) < most && (need <= left || len(w.pages) == 0) {
			w.pages = append(w.pages, p)
			left -= need
		}
	}
	if len(w.pages) == 0 || !s.budget.AllowN(limiterTime(now), min(len(w.pages), s.budget.Burst())) {
		return nil
	}
	return w
}

// buildTransaction writes the transaction down; from here on it never changes.
func (s *Store) buildTransaction(w *Write, term protocol.Condition) {
	s.counter++
	w.ID = fmt.Sprintf("%s-%d", s.prefix, s.counter)
	w.Txn.If = append(w.Txn.If, term)
	if w.compareOnly != nil {
		w.Txn.If = append(w.Txn.If, protocol.Condition{Key: w.compareOnly.key(), Version: w.compareOnly.version})
		s.setInFlight(w.compareOnly, true)
	}
	for _, p := range w.pages {
		w.Txn.If = append(w.Txn.If, protocol.Condition{Key: p.key(), Version: p.version})
		if p.deleteOnCommit = len(w.archivePages) > 0 && len(p.items) == 0; p.deleteOnCommit {
			w.Txn.Then = append(w.Txn.Then, protocol.Change{Delete: p.key()})
		} else {
			w.Txn.Then = append(w.Txn.Then, protocol.Change{Put: p.key(), Value: p.value(w.ID)})
		}
		w.waiters = append(w.waiters, p.waiters)
		p.dirty, p.waiters = false, nil
		s.setInFlight(p, true)
	}
	w.addArchivePages()
	s.dirty = slices.DeleteFunc(s.dirty, func(p *page) bool { return !p.dirty })
	s.writes = append(s.writes, w)
}

// MarkCommitted notes that a transaction was committed with a version.
func (s *Store) MarkCommitted(w *Write, version int64) {
	s.stalledSince = nil
	s.writes = slices.DeleteFunc(s.writes, func(x *Write) bool { return x == w })
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
	for _, waits := range w.waiters {
		for _, wait := range waits {
			if wait.pending--; wait.pending == 0 {
				wait.onCommit()
			}
		}
	}
}

// RetryLater notes that a transaction wasn't executed, or that nobody knows: the same
// one is sent again later. Nothing new is begun before that: a state service that
// refuses writes beyond its rate must not be asked for more.
func (s *Store) RetryLater(now time.Duration, w *Write) {
	if s.stalledSince == nil {
		s.stalledSince = &now
	}
	w.sent, w.retryAt = false, now+s.retryInterval
	s.resumeAt = max(s.resumeAt, w.retryAt)
}

// StalledFor is for how long transactions have come to nothing, refused or not answered,
// with none committed in between.
func (s *Store) StalledFor(now time.Duration) time.Duration {
	if s.stalledSince == nil {
		return 0
	}
	return now - *s.stalledSince
}

// HasWritesInFlight tells whether a transaction is under way.
func (s *Store) HasWritesInFlight() bool { return len(s.writes) > 0 }

func limiterTime(now time.Duration) time.Time { return time.Unix(1, 0).Add(now) }

// Idle tells whether the budget is at least half unused and nothing waits to be written.
func (s *Store) Idle(now time.Duration) bool {
	return len(s.dirty) == 0 && len(s.writes) == 0 && s.budget.TokensAt(limiterTime(now)) >= float64(s.budget.Burst())/2
}

// CanWrite tells whether a transaction of so many keys could begin now.
func (s *Store) CanWrite(now time.Duration, keys int) bool {
	return len(s.writes) < maxWrites && now >= s.resumeAt && s.budget.TokensAt(limiterTime(now)) >= float64(keys)
}
