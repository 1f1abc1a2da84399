package storage

import (
	"time"

	"oakpick/internal/protocol"
)

// archivePagesPerTxn is the number of archive pages of the maximum size that one request body holds.
const archivePagesPerTxn = 8

// MaxArchivePageSize returns the maximum size of an archive page in bytes. Several pages of
// this size fit in one transaction.
func (s *Store) MaxArchivePageSize() int {
	return min(s.limits.PageBytes, protocol.MaxBody/archivePagesPerTxn)
}

// MaxArchivePagesPerMove returns how many archive pages one transaction can write in
// addition to a page of records.
func (s *Store) MaxArchivePagesPerMove() int {
	return min(s.limits.ChangesPerTxn, s.budget.capacity()) - 1
}

// MaxArchiveBytesPerMove returns the maximum sum of TransactionSize over the archive pages
// that one transaction writes.
func (s *Store) MaxArchiveBytesPerMove() int {
	return protocol.MaxBody - txnOverhead - changeOverhead - s.limits.PageBytes
}

// MoveToArchive builds the transaction that removes items, all from one page of records, and
// writes the archive pages that contain them, so that a reader always finds each record in
// one of the two places. The transaction deletes the page of records if it becomes empty and
// can be deleted safely; otherwise DeleteEmptyPages deletes it later. MoveToArchive returns
// nil and changes nothing if the transaction can't be sent now or would be too large.
func (s *Store) MoveToArchive(now time.Duration, term protocol.Condition, items []Item, pages []*ArchivePage, waiter *CommitWaiter) *Write {
	p := s.pageOf[items[0]]
	if p == nil || p.inFlight || !s.CanWrite(now, 1+len(pages)) {
		return nil
	}
	remaining := p.size()
	for _, item := range items {
		remaining -= item.EncodedSize()
	}
	size := txnOverhead + remaining + changeOverhead
	for _, page := range pages {
		size += page.TransactionSize()
	}
	if remaining > s.limits.PageBytes || size > protocol.MaxBody {
		return nil // the page of records has to be split first, or the caller has to pass fewer archive pages
	}
	for _, item := range items {
		s.detach(p, item)
	}
	s.budget.take(now, 1+len(pages)) // can't fail: CanWrite has checked the budget
	waiter.pendingPages++
	p.waiters = append(p.waiters, waiter)
	w := &Write{awaitingResponse: true, pages: []*page{p}, archivePages: pages}
	s.buildTransaction(w, term)
	return w
}

// addArchivePages adds the conditions and changes for the archive pages.
func (w *Write) addArchivePages() {
	for _, p := range w.archivePages {
		w.Txn.If = append(w.Txn.If, protocol.Condition{Key: p.Key(), Version: p.Version})
		w.Txn.Then = append(w.Txn.Then, protocol.Change{Put: p.Key(), Value: &ArchiveValue{WriteID: w.ID, Terminal: p.Terminal}})
	}
}

// DeleteEmptyPages schedules the deletion of empty pages that may be deleted with the given
// fencing token: pages that MoveToArchive emptied but could not delete, and empty pages left
// from earlier terms. The deletions that one call schedules use at most half the capacity of the
// write budget, so that they don't delay new records.
func (s *Store) DeleteEmptyPages(now time.Duration, token int64) {
	left := max(1, s.budget.capacity()/2)
	for _, p := range s.pages {
		if left == 0 {
			return
		}
		if !p.dirty && !p.inFlight && p.deletable(token) {
			p.deleteIfEmpty = true
			s.markPageDirty(now, p, nil)
			left--
		}
	}
}
