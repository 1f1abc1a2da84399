package storage

import (
	"time"

	"oakpick/internal/protocol"
)

// MaxArchivePagesPerMove is how many pages of the archive one transaction can write beside a page of
// records.
func (s *Store) MaxArchivePagesPerMove() int {
	return min(s.limits.ChangesPerTxn, s.budget.Burst()) - 1
}

// MaxArchivePageSize is the most that a page of the archive may take: several go into one
// transaction.
func (s *Store) MaxArchivePageSize() int {
	return min(s.limits.PageBytes, protocol.MaxBody/archivePagesPerTransaction)
}

const archivePagesPerTransaction = 8

// MaxArchiveBytesPerMove is what the pages of the archive that one transaction writes may take.
func (s *Store) MaxArchiveBytesPerMove() int {
	return protocol.MaxBody - txnOverhead - changeOverhead - s.limits.PageBytes
}

// TransactionSize is what the page takes of a transaction.
func (p *ArchivePage) TransactionSize() int { return p.size() + changeOverhead }

// Move makes the transaction that takes items off their page of records and writes pages of
// the archive that have them: at any moment they are in one place or both. A page of records
// that is empty then is dropped. It gives nothing if that can't be done now.
func (s *Store) Move(now time.Duration, term protocol.Condition, items []Item, pages []*ArchivePage, wait *CommitWaiter) *Write {
	p := s.pageOf[items[0]]
	if p == nil || p.inFlight || !s.CanWrite(now, 1+len(pages)) {
		return nil
	}
	rest := p.size()
	for _, item := range items {
		rest -= item.EncodedSize()
	}
	size := txnOverhead + rest + changeOverhead
	for _, page := range pages {
		size += page.TransactionSize()
	}
	if rest > s.limits.PageBytes || size > protocol.MaxBody {
		return nil // the page has to be divided first, or fewer pages are to be written
	}
	for _, item := range items {
		s.detach(p, item)
	}
	s.budget.AllowN(limiterTime(now), 1+len(pages))
	wait.pending++
	w := &Write{sent: true, pages: []*page{p}, archivePages: pages}
	p.waiters = append(p.waiters, wait)
	s.buildTransaction(w, term)
	return w
}

// addArchivePages adds the archive's pages to a transaction.
func (w *Write) addArchivePages() {
	for _, p := range w.archivePages {
		w.Txn.If = append(w.Txn.If, protocol.Condition{Key: p.Key(), Version: p.Version})
		w.Txn.Then = append(w.Txn.Then, protocol.Change{Put: p.Key(), Value: &ArchiveValue{WriteID: w.ID, Terminal: p.Terminal}})
	}
}
