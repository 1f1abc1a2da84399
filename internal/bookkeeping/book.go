package bookkeeping

import (
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

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
	number  int
	version int64
	items   []Item
	dirty   bool
	since   time.Duration
	waits   []*Wait
}

func (p *page) key() string { return fmt.Sprintf("%s%06d", Prefix, p.number) }

func (p *page) reserved() int {
	n := pageSize
	for _, it := range p.items {
		n += it.Reserve()
	}
	return n
}

// flight is the one transaction that may be under way.
type flight struct {
	id    string
	txn   protocol.Txn
	pages []*page
	waits [][]*Wait
	sent  bool
	again time.Duration
}

// Book packs facts into pages and decides what is written when. It has one
// transaction in flight at a time and never changes what a retry carries: a
// copy of the first try that lands late is then the same write or a failed one.
type Book struct {
	limit   int
	ops     int
	budget  *rate.Limiter
	pages   []*page
	where   map[Item]*page
	dirty   []*page // oldest first
	flight  *flight
	prefix  string
	counter int64
	retry   time.Duration
}

// NewBook makes an empty one. Writes are named by prefix and a counter.
func NewBook(valueKB float64, ops int, putsPerS float64, prefix string, retry time.Duration) *Book {
	return &Book{
		limit: int(valueKB * 1024), ops: ops, where: map[Item]*page{}, prefix: prefix, retry: retry,
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
		b.pages = append(b.pages, &page{number: len(b.pages)})
	}
	p := b.pages[number]
	p.version = version
	for _, it := range items {
		p.items = append(p.items, it)
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
	b.mark(now, p, w)
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
// space, else a new one.
func (b *Book) room(need int) *page {
	for _, p := range b.dirty {
		if p.reserved()+need <= b.limit {
			return p
		}
	}
	for _, p := range b.pages {
		if p.reserved()+need <= b.limit {
			return p
		}
	}
	p := &page{number: len(b.pages)}
	b.pages = append(b.pages, p)
	return p
}

// Next gives the transaction to send now, if any: conditional on the term's key
// and on every page's version.
func (b *Book) Next(now time.Duration, term protocol.Condition) *protocol.Txn {
	f := b.flight
	if f == nil {
		if len(b.dirty) == 0 {
			return nil
		}
		n := min(len(b.dirty), b.ops, max(1, int(b.budget.TokensAt(at(now)))))
		if !b.budget.AllowN(at(now), n) {
			return nil
		}
		b.counter++
		f = &flight{id: fmt.Sprintf("%s-%d", b.prefix, b.counter), again: now}
		f.txn.If = append(f.txn.If, term)
		for _, p := range b.dirty[:n] {
			v := &PageValue{ID: f.id}
			for _, it := range p.items {
				it.Emit(v)
			}
			f.txn.If = append(f.txn.If, protocol.Condition{Key: p.key(), Version: p.version})
			f.txn.Then = append(f.txn.Then, protocol.Change{Put: p.key(), Value: v})
			f.pages = append(f.pages, p)
			f.waits = append(f.waits, p.waits)
			p.dirty, p.waits = false, nil
		}
		b.dirty = slices.Delete(b.dirty, 0, n)
		b.flight = f
	} else if f.sent || now < f.again || !b.budget.AllowN(at(now), len(f.pages)) {
		return nil
	}
	f.sent = true
	return &f.txn
}

func at(now time.Duration) time.Time { return time.Unix(1, 0).Add(now) }

// Landed notes that the transaction in flight was committed with a version.
func (b *Book) Landed(version int64) {
	f := b.flight
	b.flight = nil
	for _, p := range f.pages {
		p.version = version
	}
	for _, ws := range f.waits {
		for _, w := range ws {
			if w.need--; w.need == 0 {
				w.then()
			}
		}
	}
}

// Again notes that the transaction wasn't executed, or that nobody knows: the
// same one is sent again later.
func (b *Book) Again(now time.Duration) {
	if b.flight != nil {
		b.flight.sent, b.flight.again = false, now+b.retry
	}
}

// FlightID names the write in flight, and a key that tells whether it landed.
func (b *Book) FlightID() (id, key string) {
	if b.flight == nil {
		return "", ""
	}
	return b.flight.id, b.flight.pages[0].key()
}

// InFlight tells whether a transaction is under way.
func (b *Book) InFlight() bool { return b.flight != nil }

// Backlog is how many pages wait to be written, and since when the oldest does.
func (b *Book) Backlog(now time.Duration) (pages int, oldest time.Duration) {
	if len(b.dirty) == 0 {
		return 0, 0
	}
	return len(b.dirty), now - b.dirty[0].since
}

// Pages is how many there are.
func (b *Book) Pages() int { return len(b.pages) }
