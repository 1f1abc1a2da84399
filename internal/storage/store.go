package storage

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

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
	// Oversize tells that a value is larger than the limits to come allow: the rest
	// of a page that is being split.
	Oversize bool
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

func limiterTime(now time.Duration) time.Time { return time.Unix(1, 0).Add(now) }

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
