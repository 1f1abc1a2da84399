package bookkeeping

import (
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

// Prefix is where the pages are.
const Prefix = Root + "page/"

// Root is what every key but the leader's begins with.
const Root = "oakpick/facts/"

// Item is a fact, or a few that belong together, kept on one page.
type Item interface {
	Emit(*PageValue)
	Reserve() int
}

// Wait runs a function once so many pages have been committed.
type Wait struct {
	need int
	then func()
}

// NewWait makes one; it is handed to Touch for every page it waits for.
func NewWait(then func()) *Wait { return &Wait{then: then} }

type page struct {
	number   int
	version  int64
	items    []Item
	reserved int // what its items may grow to
	dirty    bool
	flying   bool // in a transaction under way
	since    time.Duration
	waits    []*Wait
}

func (p *page) key() string { return fmt.Sprintf("%s%06d", Prefix, p.number) }

// Flight is a transaction under way.
type Flight struct {
	ID    string // in the value of every page that it writes
	Txn   protocol.Txn
	pages []*page
	waits [][]*Wait
	sent  bool
	again time.Duration
}

// Key names a page that tells, by the write's id, whether the flight landed.
func (f *Flight) Key() string { return f.pages[0].key() }

// Flights is how many transactions may be under way at a time, each for pages of
// its own. The state service's other calls keep two connections.
const Flights = config.StateCalls - 2

// Book packs facts into pages and decides what is written when. It never has a
// page in two transactions at a time and never changes what a retry carries: a
// copy of the first try that lands late is then the same write or a failed one.
type Book struct {
	limit   int
	ops     int
	budget  *rate.Limiter
	pages   []*page
	where   map[Item]*page
	dirty   []*page // oldest first
	flights []*Flight
	prefix  string
	counter int64
	retry   time.Duration
}

// What a transaction may take in JSON: as much as any request. Around the pages'
// values go the term's condition, and for each page a condition and a change with
// its key.
const (
	txnSize  = 256
	eachSize = 192
)

// PageBytes is what a page may take: one value, as long as that fits a transaction.
func PageBytes(valueKB float64) int {
	return min(int(valueKB*1024), protocol.MaxBody-txnSize-eachSize)
}

// NewBook makes an empty one. Writes are named by prefix and a counter.
func NewBook(valueKB float64, ops int, putsPerS float64, prefix string, retry time.Duration) *Book {
	return &Book{
		limit: PageBytes(valueKB), ops: ops, where: map[Item]*page{}, prefix: prefix, retry: retry,
		budget: rate.NewLimiter(rate.Limit(putsPerS), max(1, int(putsPerS))),
	}
}

// SetBudget changes how many keys a second may be written.
func (b *Book) SetBudget(putsPerS float64) {
	b.budget.SetLimit(rate.Limit(putsPerS))
	b.budget.SetBurst(max(1, int(putsPerS)))
}

// Load notes an item read from a page.
func (b *Book) Load(number int, version int64, items ...Item) {
	for len(b.pages) <= number {
		b.newPage()
	}
	p := b.pages[number]
	p.version = version
	for _, it := range items {
		p.items = append(p.items, it)
		p.reserved += it.Reserve()
		b.where[it] = p
	}
}

// PageNumber reads a page's number from its key.
func PageNumber(key string) (int, bool) {
	var n int
	if _, err := fmt.Sscanf(key, Prefix+"%d", &n); err != nil || n < 0 || n > 1<<20 {
		return 0, false
	}
	return n, true
}

// Fits tells whether an item fits a page at all.
func (b *Book) Fits(it Item) bool { return pageSize+it.Reserve() <= b.limit }

// Touch notes that an item is new or has changed; w, if any, waits for the commit.
func (b *Book) Touch(now time.Duration, it Item, w *Wait) {
	p := b.where[it]
	if p == nil {
		p = b.room(it.Reserve())
		p.items = append(p.items, it)
		p.reserved += it.Reserve()
		b.where[it] = p
	}
	b.mark(now, p, w)
}

// Swap puts one item in another's place, on the same page, so that no reader
// ever finds both or neither.
func (b *Book) Swap(now time.Duration, old, fresh Item, w *Wait) {
	p := b.where[old]
	delete(b.where, old)
	b.where[fresh] = p
	p.items[slices.Index(p.items, old)] = fresh
	p.reserved += fresh.Reserve() - old.Reserve()
	b.mark(now, p, w)
}

// Remove drops an item.
func (b *Book) Remove(now time.Duration, it Item, w *Wait) {
	p := b.where[it]
	if p == nil {
		return
	}
	delete(b.where, it)
	p.items = slices.DeleteFunc(p.items, func(x Item) bool { return x == it })
	p.reserved -= it.Reserve()
	b.mark(now, p, w)
}

func (b *Book) newPage() *page {
	p := &page{number: len(b.pages), reserved: pageSize}
	b.pages = append(b.pages, p)
	return p
}

func (b *Book) mark(now time.Duration, p *page, w *Wait) {
	if !p.dirty {
		p.dirty, p.since = true, now
		b.dirty = append(b.dirty, p)
	}
	if w != nil {
		w.need++
		p.waits = append(p.waits, w)
	}
}

// room picks a page: one that will be written anyway, else the first with
// space, else a new one; none that would have to wait for a write under way.
func (b *Book) room(need int) *page {
	for _, pages := range [][]*page{b.dirty, b.pages} {
		for _, p := range pages {
			if !p.flying && p.reserved+need <= b.limit {
				return p
			}
		}
	}
	return b.newPage()
}

// Next gives a transaction to send now, if any: conditional on the term's key and
// on every page's version. Ask again until there is none. Unless more may begin,
// only those already under way are sent again.
func (b *Book) Next(now time.Duration, term protocol.Condition, more bool) *Flight {
	for _, f := range b.flights {
		if f.sent || now < f.again {
			continue
		}
		// Newer writes must not take the budget that this one waits for: small ones
		// would leave a large one waiting for ever, and its pages' facts with it.
		// Nor may a budget that was lowered meanwhile be less than it can ever have.
		if !b.budget.AllowN(at(now), min(len(f.pages), b.budget.Burst())) {
			return nil
		}
		f.sent = true
		return f
	}
	if !more || len(b.flights) >= Flights {
		return nil
	}
	var pages []*page
	most, left := min(b.ops, max(1, int(b.budget.TokensAt(at(now))))), protocol.MaxBody-txnSize
	for _, p := range b.dirty {
		// Their sum counts too: a transaction that is too large is refused each time
		// it is sent again, and its pages would never be written.
		if need := p.reserved + eachSize; !p.flying && len(pages) < most && (need <= left || len(pages) == 0) {
			pages, left = append(pages, p), left-need
		}
	}
	if len(pages) == 0 || !b.budget.AllowN(at(now), len(pages)) {
		return nil
	}
	b.counter++
	f := &Flight{ID: fmt.Sprintf("%s-%d", b.prefix, b.counter), pages: pages, sent: true}
	f.Txn.If = append(f.Txn.If, term)
	for _, p := range pages {
		v := &PageValue{ID: f.ID}
		for _, it := range p.items {
			it.Emit(v)
		}
		f.Txn.If = append(f.Txn.If, protocol.Condition{Key: p.key(), Version: p.version})
		f.Txn.Then = append(f.Txn.Then, protocol.Change{Put: p.key(), Value: v})
		f.waits = append(f.waits, p.waits)
		p.dirty, p.flying, p.waits = false, true, nil
	}
	b.dirty = slices.DeleteFunc(b.dirty, func(p *page) bool { return !p.dirty })
	b.flights = append(b.flights, f)
	return f
}

func at(now time.Duration) time.Time { return time.Unix(1, 0).Add(now) }

// Landed notes that a transaction was committed with a version.
func (b *Book) Landed(f *Flight, version int64) {
	b.flights = slices.DeleteFunc(b.flights, func(x *Flight) bool { return x == f })
	for _, p := range f.pages {
		p.version, p.flying = version, false
	}
	for _, ws := range f.waits {
		for _, w := range ws {
			if w.need--; w.need == 0 {
				w.then()
			}
		}
	}
}

// Again notes that a transaction wasn't executed, or that nobody knows: the same
// one is sent again later.
func (b *Book) Again(now time.Duration, f *Flight) { f.sent, f.again = false, now+b.retry }

// InFlight tells whether a transaction is under way.
func (b *Book) InFlight() bool { return len(b.flights) > 0 }

// Backlog is how many pages wait to be written, and since when the oldest does.
func (b *Book) Backlog(now time.Duration) (pages int, oldest time.Duration) {
	if len(b.dirty) == 0 {
		return 0, 0
	}
	return len(b.dirty), now - b.dirty[0].since
}

// Pages is how many there are.
func (b *Book) Pages() int { return len(b.pages) }
