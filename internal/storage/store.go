package storage

import (
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// Limits are what the state service bears, now and after any change to come.
type Limits struct {
	PageBytes     int
	ChangesPerTxn int
	WritesPerS    float64
}

// Store packs items into pages and decides what is written when. It never has a
// page in two transactions at a time and never changes what a retry carries: a
// copy of the first try that arrives late is then the same write or a failed one.
type Store struct {
	limits        Limits
	budget        *rate.Limiter
	pages         []*page
	freeSpace     freeSpaceIndex
	pageOf        map[Item]*page
	dirty         []*page
	writes        []*Write
	prefix        string
	counter       int64
	retryInterval time.Duration
	resumeAt      time.Duration  // no new transaction before, after a refusal
	stalledSince  *time.Duration // when a transaction came to nothing and none was committed since
	limitsLowered bool           // the state service has lowered its limits for certain

	splitCandidates  []*page // read at the take-over, not yet known to fit the limits
	candidatesSorted bool
}

// NewStore makes an empty store. Writes are named by prefix and a counter.
func NewStore(limits Limits, prefix string, retry time.Duration) *Store {
	return &Store{
		limits: limits, pageOf: map[Item]*page{}, prefix: prefix, retryInterval: retry,
		budget: rate.NewLimiter(rate.Limit(limits.WritesPerS), burst(limits.WritesPerS)),
	}
}

// SetWriteRate changes how many keys a second may be written.
func (s *Store) SetWriteRate(writesPerS float64) {
	s.budget.SetLimit(rate.Limit(writesPerS))
	s.budget.SetBurst(burst(writesPerS))
}

// burst is how many keys may be written at once: a second's worth.
func burst(writesPerS float64) int { return max(1, int(writesPerS)) }

// SetLimitsLowered notes that values above the limits to come are refused by now.
func (s *Store) SetLimitsLowered() { s.limitsLowered = true }

// Load notes items read from a page.
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

// LoadStalePage notes that a page holds records that are read from another one: it is
// written without them before long.
func (s *Store) LoadStalePage(now time.Duration, number int) {
	s.markPageDirty(now, s.pages[number], nil)
}

func (s *Store) insert(p *page, item Item) {
	p.items = append(p.items, item)
	p.reserved += s.reservedSize(item)
	s.pageOf[item] = p
	s.updateFreeSpace(p)
}

// reservedSize is what is set aside for an item: never more than a page holds. An item
// that could outgrow its page has one of its own and is kept from growing further
// by whoever asks MaxItemSize.
func (s *Store) reservedSize(item Item) int { return min(item.ReservedSize(), s.MaxItemSize()) }

// MaxItemSize is the most that one item may take.
func (s *Store) MaxItemSize() int { return s.limits.PageBytes - pageOverhead }

// Fits tells whether an item can be kept, whatever it grows to.
func (s *Store) Fits(item Item) bool { return item.ReservedSize() <= s.MaxItemSize() }

// MarkDirty notes that an item is new or has changed; w, if any, waits for the commit.
func (s *Store) MarkDirty(now time.Duration, item Item, w *CommitWaiter) {
	p := s.pageOf[item]
	if p == nil {
		p = s.pageWithRoom(s.reservedSize(item))
		s.insert(p, item)
	}
	s.markPageDirty(now, p, w)
}

// Replace puts one item in another's place, on the same page, so that no reader
// ever finds both or neither.
func (s *Store) Replace(now time.Duration, old, fresh Item, w *CommitWaiter) {
	p := s.pageOf[old]
	delete(s.pageOf, old)
	s.pageOf[fresh] = p
	p.items[slices.Index(p.items, old)] = fresh
	p.reserved += s.reservedSize(fresh) - s.reservedSize(old)
	s.updateFreeSpace(p)
	s.markPageDirty(now, p, w)
}

// Remove drops an item.
func (s *Store) Remove(now time.Duration, item Item, w *CommitWaiter) {
	p := s.pageOf[item]
	if p == nil {
		return
	}
	s.detach(p, item)
	s.markPageDirty(now, p, w)
}

// detach takes an item off its page.
func (s *Store) detach(p *page, item Item) {
	delete(s.pageOf, item)
	p.remove(item)
	p.reserved -= s.reservedSize(item)
	s.updateFreeSpace(p)
}

func (s *Store) newPage() *page {
	p := &page{number: len(s.pages), reserved: pageOverhead}
	s.pages = append(s.pages, p)
	s.updateFreeSpace(p)
	return p
}

// updateFreeSpace notes how much room a page has, or that it takes nothing while it is written.
func (s *Store) updateFreeSpace(p *page) {
	if p.inFlight {
		s.freeSpace.set(p.number, noFreeSpace)
		return
	}
	s.freeSpace.set(p.number, s.limits.PageBytes-p.reserved)
}

// setInFlight notes that a page is part of a transaction under way, or no longer.
func (s *Store) setInFlight(p *page, inFlight bool) {
	p.inFlight = inFlight
	s.updateFreeSpace(p)
}

func (s *Store) markPageDirty(now time.Duration, p *page, w *CommitWaiter) {
	patience := deferredDelayRetries
	if w != nil {
		patience = w.maxDelayRetries
	}
	due := now + time.Duration(patience)*s.retryInterval
	if !p.dirty {
		p.dirty, p.dirtySince, p.dueAt = true, now, due
		s.dirty = append(s.dirty, p)
	}
	p.dueAt = min(p.dueAt, due)
	if w != nil {
		w.pending++
		p.waiters = append(p.waiters, w)
	}
}

// pageWithRoom picks a page: one that will be written anyway, else the first with
// space, else a new one; none that would have to wait for a write in flight.
func (s *Store) pageWithRoom(size int) *page {
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

// Backlog is how many pages wait to be written, and since when the oldest does.
func (s *Store) Backlog(now time.Duration) (pages int, oldest time.Duration) {
	since := now
	for _, p := range s.dirty {
		since = min(since, p.dirtySince)
	}
	return len(s.dirty), now - since
}

// PagesDueBefore is how many pages have to be written before one that becomes due at a time.
func (s *Store) PagesDueBefore(due time.Duration) int {
	n := 0
	for _, p := range s.dirty {
		if p.dueAt <= due {
			n++
		}
	}
	return n
}

// PageCount is how many there are.
func (s *Store) PageCount() int { return len(s.pages) }

// Items are what is on a page of records; none while it is being written.
func (s *Store) Items(page int) []Item {
	if page >= len(s.pages) || s.pages[page].inFlight {
		return nil
	}
	return s.pages[page].items
}
