package storage

import (
	"slices"
	"time"
)

// Limits are what the state service accepts, now and after any announced change.
type Limits struct {
	PageBytes     int     // of a page's value, as the state service counts
	ChangesPerTxn int     // keys that one transaction may change
	WritesPerS    float64 // keys a second
}

// Store packs items into pages and decides which page is written when. No page is in two
// transactions in flight at a time.
//
// A Store belongs to one leader and one term, and to one goroutine. It does no I/O: the
// caller sends what NextWrite and Move return and reports the outcome with
// MarkCommitted or RetryLater. Times are the leader's monotonic clock.
type Store struct {
	limits Limits
	// limitsLowered tells that values above the announced limits are refused by now.
	limitsLowered bool

	pages     []*page // by number
	pageOf    map[Item]*page
	freeSpace freeSpaceIndex
	dirty     []*page

	budget   writeBudget
	inFlight inFlightWrites
	splits   splitQueue
}

// NewStore returns an empty store. The ids of its transactions begin with idPrefix, which
// no other store may use. A transaction that was not answered is sent again after
// retryInterval.
func NewStore(limits Limits, idPrefix string, retryInterval time.Duration) *Store {
	return &Store{
		limits:   limits,
		pageOf:   map[Item]*page{},
		budget:   newWriteBudget(limits.WritesPerS),
		inFlight: inFlightWrites{idPrefix: idPrefix, retryInterval: retryInterval},
	}
}

// SetWriteRate changes how many keys a second may be written, from the next call on that is given
// the time: a leader asks NextWrite in every step, so that is the time of the step.
func (s *Store) SetWriteRate(keysPerS float64) { s.budget.setRate(keysPerS) }

// SetLimitsLowered notes that the state service refuses values above the announced limits
// by now.
func (s *Store) SetLimitsLowered() { s.limitsLowered = true }

// Load adds items that were read from a page, as a new leader does. A page without items
// is loaded too, for its version.
func (s *Store) Load(number int, version int64, items ...Item) {
	for len(s.pages) <= number {
		s.newPage()
	}
	p := s.pages[number]
	p.version = version
	for _, item := range items {
		s.insert(p, item)
	}
}

// MarkPageStale marks a loaded page as dirty because it holds outdated copies of records:
// it is written without them before long.
func (s *Store) MarkPageStale(now time.Duration, number int) {
	s.markPageDirty(now, s.pages[number], nil)
}

// MaxItemSize is the most bytes that one item may take.
func (s *Store) MaxItemSize() int { return s.limits.PageBytes - pageOverhead }

// Fits tells whether an item can be stored, grown to its reserved size.
func (s *Store) Fits(item Item) bool { return item.ReservedSize() <= s.MaxItemSize() }

// MarkDirty notes that an item is new or has changed. The waiter, if not nil, waits for
// the commit.
func (s *Store) MarkDirty(now time.Duration, item Item, waiter *CommitWaiter) {
	p := s.pageOf[item]
	if p == nil {
		p = s.pageWithSpace(s.reservedSize(item))
		s.insert(p, item)
	}
	s.markPageDirty(now, p, waiter)
}

// Replace puts a new item in the place of a stored one, on the same page, so that no
// reader ever finds both or neither. The waiter, if not nil, waits for the commit.
func (s *Store) Replace(now time.Duration, old, replacement Item, waiter *CommitWaiter) {
	p := s.pageOf[old]
	delete(s.pageOf, old)
	s.pageOf[replacement] = p
	p.items[slices.Index(p.items, old)] = replacement
	p.reserved += s.reservedSize(replacement) - s.reservedSize(old)
	s.updateFreeSpace(p)
	s.markPageDirty(now, p, waiter)
}

// Remove deletes an item. The waiter, if not nil, waits for the commit; it is not used if
// the item is not stored.
func (s *Store) Remove(now time.Duration, item Item, waiter *CommitWaiter) {
	p := s.pageOf[item]
	if p == nil {
		return
	}
	s.detach(p, item)
	s.markPageDirty(now, p, waiter)
}

// Items returns what is on a page of records; nil while it is part of a transaction in
// flight. The slice is the store's own.
func (s *Store) Items(page int) []Item {
	if page >= len(s.pages) || s.pages[page].inFlight {
		return nil
	}
	return s.pages[page].items
}

// Backlog returns how many pages wait to be written, and for how long the oldest has.
func (s *Store) Backlog(now time.Duration) (pages int, oldest time.Duration) {
	since := now
	for _, p := range s.dirty {
		since = min(since, p.dirtySince)
	}
	return len(s.dirty), now - since
}

// PagesDueBefore returns how many pages are written before one that becomes due at the
// given time.
func (s *Store) PagesDueBefore(due time.Duration) int {
	n := 0
	for _, p := range s.dirty {
		if p.dueAt <= due {
			n++
		}
	}
	return n
}

// PageCount returns how many pages there are.
func (s *Store) PageCount() int { return len(s.pages) }

func (s *Store) newPage() *page {
	p := &page{number: len(s.pages), reserved: pageOverhead}
	s.pages = append(s.pages, p)
	s.updateFreeSpace(p)
	return p
}

// pageWithSpace picks the page for a new item: one that will be written anyway, else the
// first with enough space, else a new one; none that would have to wait for a transaction
// in flight.
func (s *Store) pageWithSpace(size int) *page {
	for _, p := range s.dirty {
		if !p.inFlight && p.reserved+size <= s.limits.PageBytes {
			return p
		}
	}
	if n := s.freeSpace.first(size); n >= 0 {
		return s.pages[n]
	}
	return s.newPage()
}

func (s *Store) insert(p *page, item Item) {
	p.items = append(p.items, item)
	p.reserved += s.reservedSize(item)
	s.pageOf[item] = p
	s.updateFreeSpace(p)
}

// detach removes an item from its page without marking the page as dirty.
func (s *Store) detach(p *page, item Item) {
	delete(s.pageOf, item)
	p.remove(item)
	p.reserved -= s.reservedSize(item)
	s.updateFreeSpace(p)
}

// reservedSize is what is set aside for an item: never more than a page holds. An item
// that could outgrow its page has one of its own, and callers keep it from growing
// further (see MaxItemSize).
func (s *Store) reservedSize(item Item) int { return min(item.ReservedSize(), s.MaxItemSize()) }

// updateFreeSpace enters a page's free space in the index; a page in flight takes no items.
func (s *Store) updateFreeSpace(p *page) {
	if p.inFlight {
		s.freeSpace.set(p.number, noFreeSpace)
		return
	}
	s.freeSpace.set(p.number, s.limits.PageBytes-p.reserved)
}

// setInFlight notes that a page is part of a transaction in flight, or no longer.
func (s *Store) setInFlight(p *page, inFlight bool) {
	p.inFlight = inFlight
	s.updateFreeSpace(p)
}

// markPageDirty queues a page to be written, by the priority of the most urgent waiter.
func (s *Store) markPageDirty(now time.Duration, p *page, waiter *CommitWaiter) {
	delayRetries := deferredDelayRetries
	if waiter != nil {
		delayRetries = waiter.maxDelayRetries
	}
	due := now + time.Duration(delayRetries)*s.inFlight.retryInterval
	if !p.dirty {
		p.dirty, p.dirtySince, p.dueAt = true, now, due
		s.dirty = append(s.dirty, p)
	}
	p.dueAt = min(p.dueAt, due)
	if waiter != nil {
		waiter.pendingPages++
		p.waiters = append(p.waiters, waiter)
	}
}
