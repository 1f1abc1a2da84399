package storage

import (
	"slices"
	"time"
)

// Limits are limits of the state service that hold both before and after any announced change.
type Limits struct {
	PageBytes     int     // maximum size of a page's value, in bytes of JSON
	ChangesPerTxn int     // maximum number of keys that one transaction changes
	KeysPerS      float64 // maximum number of keys that are written per second
}

// Store packs items into pages and decides when each page is written. A page is part of at
// most one transaction in flight.
//
// A Store belongs to one leader, one term and one goroutine. It does no I/O: the caller
// sends the transactions that NextWrite and MoveToArchive return and reports the outcome
// with MarkCommitted or RetryLater. Times are readings of the leader's monotonic clock.
type Store struct {
	limits Limits
	// limitsLowered is set once the state service refuses values above the announced limits.
	limitsLowered bool

	pages     []*page // by number
	pageOf    map[Item]*page
	freeSpace freeSpaceIndex
	dirty     []*page

	budget   writeBudget
	inFlight inFlightWrites
	splits   splitQueue
}

// NewStore returns an empty store. The IDs of its transactions begin with idPrefix, which
// must be unique among all stores. A transaction without a response is sent again after
// retryInterval.
func NewStore(limits Limits, idPrefix string, retryInterval time.Duration) *Store {
	return &Store{
		limits:   limits,
		pageOf:   map[Item]*page{},
		budget:   newWriteBudget(limits.KeysPerS),
		inFlight: inFlightWrites{idPrefix: idPrefix, retryInterval: retryInterval},
	}
}

// SetWriteRate changes how many keys per second may be written. The change takes effect at the
// next call that passes the time; a leader calls NextWrite in every step, so this is the
// time of the current step.
func (s *Store) SetWriteRate(keysPerS float64) { s.budget.setRate(keysPerS) }

// SetLimitsLowered records that the state service now refuses values above the announced
// limits.
func (s *Store) SetLimitsLowered() { s.limitsLowered = true }

// LimitsLowered reports whether the state service refuses values above the announced limits.
func (s *Store) LimitsLowered() bool { return s.limitsLowered }

// Load adds a page with the items that a new leader read from it. Pages without items have
// to be loaded too, so that their version is known.
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

// MarkPageStale marks a loaded page as dirty because its stored value contains outdated
// copies of records. The next write of the page removes them.
func (s *Store) MarkPageStale(now time.Duration, number int) {
	s.markPageDirty(now, s.pages[number], nil)
}

// MaxItemSize returns the maximum size of an item in bytes.
func (s *Store) MaxItemSize() int { return s.limits.PageBytes - pageOverhead }

// Fits reports whether an item still fits on a page after growing to its reserved size.
func (s *Store) Fits(item Item) bool { return item.ReservedSize() <= s.MaxItemSize() }

// MarkDirty schedules the write of an item that is new or has changed. The waiter is
// notified of the commit; it may be nil.
func (s *Store) MarkDirty(now time.Duration, item Item, waiter *CommitWaiter) {
	p := s.pageOf[item]
	if p == nil {
		p = s.pageWithSpace(s.reservedSize(item))
		s.insert(p, item)
	}
	s.markPageDirty(now, p, waiter)
}

// Replace replaces a stored item with a new one on the same page, so that a reader always
// finds exactly one of them. The waiter is notified of the commit; it may be nil.
func (s *Store) Replace(now time.Duration, old, replacement Item, waiter *CommitWaiter) {
	p := s.pageOf[old]
	delete(s.pageOf, old)
	s.pageOf[replacement] = p
	p.items[slices.Index(p.items, old)] = replacement
	p.reserved += s.reservedSize(replacement) - s.reservedSize(old)
	s.updateFreeSpace(p)
	s.markPageDirty(now, p, waiter)
}

// Remove deletes an item. The waiter is notified of the commit; it may be nil. If the item
// is not stored, Remove does nothing and ignores the waiter.
func (s *Store) Remove(now time.Duration, item Item, waiter *CommitWaiter) {
	p := s.pageOf[item]
	if p == nil {
		return
	}
	s.detach(p, item)
	s.markPageDirty(now, p, waiter)
}

// Items returns the items on a page of records, or nil if the page doesn't exist or is part
// of a transaction in flight. The caller must not modify the slice.
func (s *Store) Items(page int) []Item {
	if page >= len(s.pages) || s.pages[page].inFlight {
		return nil
	}
	return s.pages[page].items
}

// Backlog returns the number of dirty pages and how long the oldest one has been dirty.
func (s *Store) Backlog(now time.Duration) (pages int, oldest time.Duration) {
	since := now
	for _, p := range s.dirty {
		since = min(since, p.dirtySince)
	}
	return len(s.dirty), now - since
}

// PagesDueBy returns the number of dirty pages that are due at the given time or earlier.
func (s *Store) PagesDueBy(due time.Duration) int {
	n := 0
	for _, p := range s.dirty {
		if p.dueAt <= due {
			n++
		}
	}
	return n
}

// PageCount returns the number of pages.
func (s *Store) PageCount() int { return len(s.pages) }

func (s *Store) newPage() *page {
	p := &page{number: len(s.pages), reserved: pageOverhead}
	s.pages = append(s.pages, p)
	s.updateFreeSpace(p)
	return p
}

// pageWithSpace returns the page for a new item: a dirty page with enough space, otherwise
// the first page with enough space, otherwise a new page. It skips pages in flight, because
// the item would have to wait for their transaction.
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

// reservedSize returns the space to reserve for an item, which is at most the capacity of a
// page. An item that could exceed this has a page of its own, and callers prevent it from
// growing further (see MaxItemSize).
func (s *Store) reservedSize(item Item) int { return min(item.ReservedSize(), s.MaxItemSize()) }

// updateFreeSpace updates the free space index for a page. A page in flight accepts no items.
func (s *Store) updateFreeSpace(p *page) {
	if p.inFlight {
		s.freeSpace.set(p.number, noFreeSpace)
		return
	}
	s.freeSpace.set(p.number, s.limits.PageBytes-p.reserved)
}

// setInFlight sets whether a page is part of a transaction in flight.
func (s *Store) setInFlight(p *page, inFlight bool) {
	p.inFlight = inFlight
	s.updateFreeSpace(p)
}

// markPageDirty queues a page to be written, with the priority of its most urgent waiter.
func (s *Store) markPageDirty(now time.Duration, p *page, waiter *CommitWaiter) {
	delayIntervals := deferredDelayIntervals
	if waiter != nil {
		delayIntervals = waiter.maxDelayIntervals
	}
	due := now + time.Duration(delayIntervals)*s.inFlight.retryInterval
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
