package storage

import (
	"time"

	"oakpick/internal/protocol"
)

// archivePagesPerTxn is how many pages of the archive fit one transaction, by their size.
const archivePagesPerTxn = 8

// MaxArchivePageSize is the most bytes that a page of the archive may take: several go
// into one transaction.
func (s *Store) MaxArchivePageSize() int {
	return min(s.limits.PageBytes, protocol.MaxBody/archivePagesPerTxn)
}

// MaxArchivePagesPerMove is how many pages of the archive one transaction can write beside
// a page of records.
func (s *Store) MaxArchivePagesPerMove() int {
	return min(s.limits.ChangesPerTxn, s.budget.capacity()) - 1
}

// MaxArchiveBytesPerMove is the most that the pages of the archive that one transaction
// writes may take, as the sum of their TransactionSize.
func (s *Store) MaxArchiveBytesPerMove() int {
	return protocol.MaxBody - txnOverhead - changeOverhead - s.limits.PageBytes
}

// MoveToArchive builds the transaction that removes items, all of one page of records, and writes
// the pages of the archive that have them instead: no reader ever finds them in neither
// place. A page of records that is empty then is deleted, if that is safe; otherwise see
// DeleteEmptyPages. MoveToArchive returns nil, and changes nothing, if the transaction can't be sent now or would be too large.
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
		return nil // the page has to be split first, or fewer pages are to be written
	}
	for _, item := range items {
		s.detach(p, item)
	}
	s.budget.take(now, 1+len(pages)) // CanWrite has checked that there is enough
	waiter.pendingPages++
	p.waiters = append(p.waiters, waiter)
	w := &Write{awaitingResponse: true, pages: []*page{p}, archivePages: pages}
	s.buildTransaction(w, term)
	return w
}

// addArchivePages adds the conditions and changes for pages of the archive.
func (w *Write) addArchivePages() {
	for _, p := range w.archivePages {
		w.Txn.If = append(w.Txn.If, protocol.Condition{Key: p.Key(), Version: p.Version})
		w.Txn.Then = append(w.Txn.Then, protocol.Change{Put: p.Key(), Value: &ArchiveValue{WriteID: w.ID, Terminal: p.Terminal}})
	}
}

// DeleteEmptyPages has pages deleted that are empty and may be deleted with a fencing token: those
// that moves had to leave, and those of earlier terms. It takes no more of them at a time than half
// of the write budget lets through at once, so that new records needn't wait behind them.
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
