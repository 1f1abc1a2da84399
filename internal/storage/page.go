package storage

import (
	"fmt"
	"slices"
	"time"

	"oakpick/internal/protocol"
)

const (
	// RecordsPrefix is the prefix of every key that a new leader reads, except the leader's key.
	RecordsPrefix = "oakpick/facts/"
	// PagePrefix is the prefix of the keys of pages.
	PagePrefix = RecordsPrefix + "page/"

	maxPageNumber = 1 << 20
)

// The state service measures a transaction by its size in JSON and applies the same size
// limit to it as to any request.
const (
	txnOverhead    = 256 // condition on the leader's key and the enclosing braces
	changeOverhead = 192 // condition on a page and its change, without the value
)

// Item is a record, or a few related records, stored on one page. Items are compared by
// identity, so implementations are pointers.
type Item interface {
	// AppendTo appends the item's records to a page's value.
	AppendTo(*PageValue)
	// EncodedSize returns an upper bound of the current size of the records, in bytes of
	// JSON as the state service counts them.
	EncodedSize() int
	// ReservedSize returns the size that the records are expected to grow to, in the same unit.
	ReservedSize() int
}

// page is one key of the state service and the items stored under it.
type page struct {
	number  int
	version int64 // revision of the last write; 0 if the page doesn't exist
	items   []Item
	// reserved is the sum of the items' reserved sizes and the page's own overhead.
	reserved int

	dirty      bool
	dirtySince time.Duration // valid if dirty
	dueAt      time.Duration // valid if dirty; pages are written in the order of this time
	waiters    []*CommitWaiter

	inFlight       bool // the page is part of a transaction in flight
	deleteOnCommit bool // the transaction in flight deletes the page
	deleteIfEmpty  bool // the next write deletes the page if it is empty
	// createdWithToken is the fencing token of the last write in this term that was conditional
	// on the page's absence; 0 if there was none.
	createdWithToken int64
}

// deletable reports whether a page is empty and may be deleted with a fencing token. If a
// write with the same token created the page, a delayed duplicate of that write may still
// arrive. It is conditional on the page's absence, so after a deletion it would succeed and
// restore outdated records.
func (p *page) deletable(token int64) bool {
	return p.version != 0 && len(p.items) == 0 && p.createdWithToken != token
}

func (p *page) key() string { return fmt.Sprintf("%s%06d", PagePrefix, p.number) }

// condition returns the condition that the page still has the version known to the store.
func (p *page) condition() protocol.Condition {
	return protocol.Condition{Key: p.key(), Version: p.version}
}

// size returns an upper bound of the current encoded size of the page's value in bytes.
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

// PageNumber returns the number in a page's key, or false if key is not a page's key.
func PageNumber(key string) (int, bool) {
	var n int
	if _, err := fmt.Sscanf(key, PagePrefix+"%d", &n); err != nil || n < 0 || n > maxPageNumber {
		return 0, false
	}
	return n, true
}

// PageBytes returns the maximum size of a page in bytes, given the state service's limit for
// a value in KiB. A page is one value and has to fit in a transaction.
func PageBytes(valueKB float64) int {
	return min(int(valueKB*1024), protocol.MaxBody-txnOverhead-changeOverhead)
}
