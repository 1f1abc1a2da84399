package storage

import (
	"fmt"
	"slices"
	"time"

	"oakpick/internal/protocol"
)

const (
	// RecordsPrefix is the prefix of every key that a new leader reads, its own key apart.
	RecordsPrefix = "oakpick/facts/"
	// PagePrefix is the prefix of the keys of pages.
	PagePrefix = RecordsPrefix + "page/"

	maxPageNumber = 1 << 20
)

// The state service counts a transaction in JSON, and takes no more of it than of
// any request.
const (
	txnOverhead    = 256 // the condition on the leader's key and the braces around it all
	changeOverhead = 192 // a page's condition, and its change without the value
)

// Item is a record, or a few that belong together, kept on one page. Items are compared
// by identity: implementations are pointers.
type Item interface {
	// AppendTo adds the item's records to a page's value.
	AppendTo(*PageValue)
	// EncodedSize is an upper bound of what the records take now, in bytes as the
	// state service counts.
	EncodedSize() int
	// ReservedSize is what the records are expected to grow to, in the same bytes.
	ReservedSize() int
}

// page is one key of the state service and the items stored under it.
type page struct {
	number  int
	version int64 // the revision that last wrote it; 0: it does not exist
	items   []Item
	// reserved is what the items are expected to grow to, with the page's own overhead.
	reserved int

	dirty      bool
	dirtySince time.Duration // if dirty
	dueAt      time.Duration // if dirty; pages are written in this order
	waiters    []*CommitWaiter

	inFlight       bool // part of a transaction in flight
	deleteOnCommit bool // by that transaction
	deleteIfEmpty  bool // when it is written next
	// createdWithToken is the fencing token of this term's last write on condition that the page
	// is absent; 0: there was none.
	createdWithToken int64
}

// deletable reports whether a page is empty, and may be deleted with a token. A write of the same
// token that made it may have a late copy: that is conditional on the page's absence, and would
// bring back what was on it.
func (p *page) deletable(token int64) bool {
	return p.version != 0 && len(p.items) == 0 && p.createdWithToken != token
}

func (p *page) key() string { return fmt.Sprintf("%s%06d", PagePrefix, p.number) }

// condition holds as long as nobody else has written the page.
func (p *page) condition() protocol.Condition {
	return protocol.Condition{Key: p.key(), Version: p.version}
}

// size is an upper bound of the bytes that the page's value takes now.
func (p *page) size() int {
	n := pageOverhead
	for _, item := range p.items {
		n += item.EncodedSize()
	}
	return n
}

func (p *page) value(writeID string) *PageValue {
	v := &PageValue{WriteID: writeID}
	for _, item := range p.items {
		item.AppendTo(v)
	}
	return v
}

func (p *page) remove(item Item) {
	p.items = slices.DeleteFunc(p.items, func(x Item) bool { return x == item })
}

// PageNumber returns the number in a page's key, and false if it is the key of no page.
func PageNumber(key string) (int, bool) {
	var n int
	if _, err := fmt.Sscanf(key, PagePrefix+"%d", &n); err != nil || n < 0 || n > maxPageNumber {
		return 0, false
	}
	return n, true
}

// PageBytes returns how many bytes a page may take, given the state service's limit of a
// value in KiB: one value, as long as that fits a transaction.
func PageBytes(valueKB float64) int {
	return min(int(valueKB*1024), protocol.MaxBody-txnOverhead-changeOverhead)
}
