package storage

import (
	"cmp"
	"slices"
	"time"
)

// A page that was written under larger limits may exceed the current ones. It is split
// before it is written again.
//
// Normally one transaction writes the page and the new pages that receive its items, so that
// every record is on exactly one page at any time. If one transaction can't move enough
// items, the page is written with the remaining items; it is then smaller, but still above
// the announced limits. If those limits are already in force, the state service would refuse
// this write, so the items are copied first: the transaction only compares the page's
// version, and the page is written without the copied items once the rest fits. Until then a
// record may be on two pages; the copy on the page with the higher version is used (see
// DecodePages).

// splitQueue holds the loaded pages that are not yet known to fit the limits, in the order of
// their last write.
type splitQueue struct {
	candidates []*page
	filled     bool
}

// fill queues all pages on the first call and does nothing on later calls.
func (q *splitQueue) fill(pages []*page) {
	if q.filled {
		return
	}
	q.filled = true
	q.candidates = slices.Clone(pages)
	slices.SortFunc(q.candidates, func(a, b *page) int { return cmp.Compare(a.version, b.version) })
}

// next returns the first candidate that has to be split, or nil if there is none. It removes
// the candidates before it, which fit or can't be split.
func (q *splitQueue) next(maxBytes int) *page {
	for len(q.candidates) > 0 {
		p := q.candidates[0]
		if p.size() > maxBytes && len(p.items) > 1 {
			return p
		}
		q.candidates = q.candidates[1:]
	}
	return nil
}

// scheduleSplit marks one oversized page as dirty if the store is idle, so that oversized
// pages are split before lower limits come into force.
func (s *Store) scheduleSplit(now time.Duration) {
	s.splits.fill(s.pages)
	if len(s.splits.candidates) == 0 || !s.Idle(now) {
		return
	}
	if p := s.splits.next(s.limits.PageBytes); p != nil {
		s.markPageDirty(now, p, nil)
	}
}

// OversizedPages returns the number of pages that may still have to be split before lower limits apply.
func (s *Store) OversizedPages() int {
	n := 0
	for _, p := range s.splits.candidates {
		if p.size() > s.limits.PageBytes {
			n++
		}
	}
	return n
}

// split moves items from an oversized page to new pages and sets the pages of transaction w.
func (s *Store) split(p *page, w *Write) {
	maxNewPages := max(1, s.limits.ChangesPerTxn-1) // the page itself needs one change
	var newPages []*page
	for len(newPages) < maxNewPages && p.size() > s.limits.PageBytes && len(p.items) > 1 && !s.unwritable(p) {
		newPages = append(newPages, s.moveItemsToNewPage(p))
	}
	fits := p.size() <= s.limits.PageBytes
	if s.limits.ChangesPerTxn == 1 || !fits && s.limitsLowered {
		// The page stays dirty and is written once the copies are committed.
		w.pages, w.compareOnly = newPages, p
		return
	}
	w.pages = append([]*page{p}, newPages...)
}

// unwritable reports whether a page can't be written at the moment because its remaining
// items grew under larger limits and each of them exceeds the size of a page. They have
// to shrink first, as tasks of their jobs end.
func (s *Store) unwritable(p *page) bool {
	if !s.limitsLowered || p.size() <= s.limits.PageBytes {
		return false
	}
	movable := func(item Item) bool { return item.EncodedSize() <= s.MaxItemSize() }
	return len(p.items) == 1 || !slices.ContainsFunc(p.items, movable)
}

// moveItemsToNewPage moves items of a page to a new page, starting with the last one. The
// waiters stay with the old page, which the same or a later transaction writes.
func (s *Store) moveItemsToNewPage(p *page) *page {
	target := s.newPage()
	for i := len(p.items) - 1; i >= 0 && p.size() > s.limits.PageBytes; i-- {
		item := p.items[i]
		full := len(target.items) > 0 && target.reserved+s.reservedSize(item) > s.limits.PageBytes
		if full || s.limitsLowered && item.EncodedSize() > s.MaxItemSize() {
			continue
		}
		p.items = slices.Delete(p.items, i, i+1)
		p.reserved -= s.reservedSize(item)
		s.updateFreeSpace(p)
		s.insert(target, item)
		if len(p.items) == 1 {
			break
		}
	}
	return target
}
