package storage

import (
	"fmt"
	"slices"
	"time"

	"oakpick/internal/protocol"
)

// RecordsPrefix is the prefix of every key but the leader's.
const RecordsPrefix = "oakpick/facts/"

// PagePrefix is the prefix of the pages' keys.
const PagePrefix = RecordsPrefix + "page/"

// Item is a record, or a few that belong together, kept on one page.
type Item interface {
	// AppendTo adds the item's records to a page's value.
	AppendTo(*PageValue)
	// EncodedSize is at least what the records take now, as the state service counts.
	EncodedSize() int
	// ReservedSize is what the records are expected to grow to.
	ReservedSize() int
}

// page is one key of the state service and what belongs on it.
type page struct {
	number         int
	version        int64
	items          []Item
	reserved       int // what its items are expected to grow to
	dirty          bool
	inFlight       bool          // part of a transaction under way
	deleteOnCommit bool          // by that transaction
	dirtySince     time.Duration // it is dirty
	dueAt          time.Duration // pages are written in this order
	waiters        []*CommitWaiter
}

func (p *page) key() string { return fmt.Sprintf("%s%06d", PagePrefix, p.number) }

// size is at least what the page's value takes as it is now.
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

// PageNumber reads a page's number from its key.
func PageNumber(key string) (int, bool) {
	var n int
	if _, err := fmt.Sscanf(key, PagePrefix+"%d", &n); err != nil || n < 0 || n > 1<<20 {
		return 0, false
	}
	return n, true
}

// The state service counts a transaction in JSON, and takes no more of it than of
// any request. txnOverhead is for the term's condition and the braces around it all,
// changeOverhead for a page's condition, and its change without the value.
const (
	txnOverhead    = 256
	changeOverhead = 192
)

// PageBytes is what a page may take: one value, as long as that fits a transaction.
func PageBytes(valueKB float64) int {
	return min(int(valueKB*1024), protocol.MaxBody-txnOverhead-changeOverhead)
}
