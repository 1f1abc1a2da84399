package storage

import (
	"cmp"
	"slices"
	"time"
)

// A page may be larger than the limits allow, because it was written under larger
// ones. It is split before it is written again.
//
// As a rule one transaction writes the page and the new pages that take items from
// it, so that every record is on exactly one page at any time. If the page has more
// than that transaction can move, it is written with the rest, which is smaller than
// before but still above the announced limits. If those are in force by then, the
// state service refuses that, and the items are copied first: the page is only
// compared, and is written without them as soon as its rest fits. Until then a record
// may be on two pages; the one with the higher version counts (see ReadPages).

// splitQueue holds the loaded pages that are not yet known to fit the limits, the one
// that was written longest ago first.
type splitQueue struct {
	candidates []*page
	filled     bool
}

// fill queues all pages, once.
func (q *splitQueue) fill(pages []*page) {
	if q.filled {
		return
	}
	q.filled = true
	q.candidates = slices.Clone(pages)
	slices.SortFunc(q.candidates, func(a, b *page) int { return cmp.Compare(a.version, b.version) })
}

// next drops candidates that fit, or can't be split, up to the first that has to be split.
// It returns nil if there is none.
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

// scheduleSplit marks one oversized page as dirty when nothing else is to be written:
// oversized pages should be gone before lower limits come.
func (s *Store) scheduleSplit(now time.Duration) {
	s.splits.fill(s.pages)
	if len(s.splits.candidates) == 0 || !s.Idle(now) {
		return
	}
	if p := s.splits.next(s.limits.PageBytes); p != nil {
		s.markPageDirty(now, p, nil)
	}
}

// OversizedPages returns how many pages may still have to be split ahead of lower limits.
func (s *Store) OversizedPages() int {
	n := 0
	for _, p := range s.splits.candidates {
		if p.size() > s.limits.PageBytes {
			n++
		}
	}
	return n
}

// split moves items off an oversized page, and makes w the transaction for it.
func (s *Store) split(p *page, w *Write) {
	maxNewPages := max(1, s.limits.ChangesPerTxn-1) // the page itself takes a change
	var newPages []*page
	for len(newPages) < maxNewPages && p.size() > s.limits.PageBytes && len(p.items) > 1 && !s.unwritable(p) {
		newPages = append(newPages, s.moveItemsToNewPage(p))
	}
	fits := p.size() <= s.limits.PageBytes
	if s.limits.ChangesPerTxn == 1 || !fits && s.limitsLowered {
		// The page stays dirty, and has its turn once the copies are committed.
		w.pages, w.compareOnly = newPages, p
		return
	}
	w.pages = append([]*page{p}, newPages...)
}

// unwritable tells whether a page can't be written for now: what remains on it are items
// that grew under larger limits than are in force, each too large for a page. They have
// to shrink first, as a job's tasks end.
func (s *Store) unwritable(p *page) bool {
	if !s.limitsLowered || p.size() <= s.limits.PageBytes {
		return false
	}
	movable := func(item Item) bool { return item.EncodedSize() <= s.MaxItemSize() }
	return len(p.items) == 1 || !slices.ContainsFunc(p.items, movable)
}

// moveItemsToNewPage fills a new page with items of another, last ones first. The waiters
// stay with the old page: it is written by the same transaction or a later one.
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
