package storage

import (
	"cmp"
	"slices"
	"time"
)

// A page may be larger than the limits allow, because it was written under larger
// ones. It is divided before it is written again.
//
// As a rule one transaction writes the page and the new pages that take items from
// it, so that every record is on exactly one page at any time. If the page has more
// than that transaction can move, it is written with the rest, which is smaller than
// before but still too large for the limits to come. If those are in force by then,
// the state service refuses that, and the items are copied first: the page is only
// compared, and is written without them as soon as its rest fits. Until then a record
// may be on two pages; the one with the higher version counts (see Latest).

// split moves items off a page that is too large, and makes w the transaction for it.
func (s *Store) split(p *page, w *Write) {
	most := max(1, s.limits.ChangesPerTxn-1) // the page itself takes a change
	var fresh []*page
	for len(fresh) < most && p.size() > s.limits.PageBytes && len(p.items) > 1 && !s.unwritable(p) {
		fresh = append(fresh, s.moveItemsToNewPage(p))
	}
	fits := p.size() <= s.limits.PageBytes
	if alone := s.limits.ChangesPerTxn == 1; alone || !fits && s.limitsLowered {
		// The page stays dirty, and has its turn once the copies are committed.
		w.pages, w.compareOnly = fresh, p
		return
	}
	w.pages = append([]*page{p}, fresh...)
}

// unwritable tells whether a page can't be written for now: what is left on it are items
// that grew under larger limits than are in force, each too large for a page. They have
// to shrink first, as a job's tasks end.
func (s *Store) unwritable(p *page) bool {
	if !s.limitsLowered || p.size() <= s.limits.PageBytes {
		return false
	}
	movable := func(item Item) bool { return item.EncodedSize() <= s.MaxItemSize() }
	return len(p.items) == 1 || !slices.ContainsFunc(p.items, movable)
}

// moveItemsToNewPage fills a new page with items of another, last ones first. The waits stay
// with the old page: it is written by the same transaction or a later one.
func (s *Store) moveItemsToNewPage(p *page) *page {
	fresh := s.newPage()
	for i := len(p.items) - 1; i >= 0 && p.size() > s.limits.PageBytes; i-- {
		item := p.items[i]
		full := len(fresh.items) > 0 && fresh.reserved+s.reservedSize(item) > s.limits.PageBytes
		if full || s.limitsLowered && item.EncodedSize() > s.MaxItemSize() {
			continue
		}
		p.items = slices.Delete(p.items, i, i+1)
		p.reserved -= s.reservedSize(item)
		s.updateFreeSpace(p)
		s.insert(fresh, item)
		if len(p.items) == 1 {
			break
		}
	}
	return fresh
}

// scheduleSplit marks one page that is too large to be written again, the one that
// was written longest ago first, when nothing else waits: large pages should be
// gone before lower limits come.
func (s *Store) scheduleSplit(now time.Duration) {
	if !s.candidatesSorted {
		s.candidatesSorted = true
		s.splitCandidates = slices.Clone(s.pages)
		slices.SortFunc(s.splitCandidates, func(a, b *page) int { return cmp.Compare(a.version, b.version) })
	}
	if len(s.splitCandidates) == 0 || len(s.dirty) > 0 || len(s.writes) > 0 || s.budget.TokensAt(limiterTime(now)) < float64(s.budget.Burst())/2 {
		return
	}
	for len(s.splitCandidates) > 0 {
		p := s.splitCandidates[0]
		if p.size() > s.limits.PageBytes && len(p.items) > 1 {
			s.markPageDirty(now, p, nil)
			return
		}
		s.splitCandidates = s.splitCandidates[1:]
	}
}

// OversizedPages is how many pages may still have to be split ahead of lower limits.
func (s *Store) OversizedPages() int {
	n := 0
	for _, p := range s.splitCandidates {
		if p.size() > s.limits.PageBytes {
			n++
		}
	}
	return n
}
