package storage

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"oakpick/internal/protocol"
)

// The archive keeps the ends of jobs that a take-over needn't read. Its pages are sorted
// runs of jobs by id, each named by its bound: the page of a job is the first whose bound
// comes behind the job's id. So the state service, which lists keys in order, finds a page
// in one read, and no index of them is kept. The last page's bound comes behind every id;
// it is there as soon as anything is in the archive.

// ArchivePrefix is the prefix of the archive's keys. It lies outside Root, which a take-over
// reads.
const ArchivePrefix = "oakpick/ended/"

// LastUpperBound comes behind every job id.
const LastUpperBound = "~"

// ArchiveValue is what a page of the archive holds, sorted by job id.
type ArchiveValue struct {
	WriteID  string           `msgpack:"id"` // of the write that made it
	Terminal []TerminalRecord `msgpack:"f"`
}

// ArchivePage is a page of the archive as it was read, or is to be written.
type ArchivePage struct {
	UpperBound string // every job on it comes before
	Version    int64  // 0: it isn't there yet
	Terminal   []TerminalRecord
}

// Key is the page's in the state service.
func (p *ArchivePage) Key() string { return ArchivePrefix + p.UpperBound }

// ReadArchivePage decodes a page of the archive and checks it. Its bound is right also if
// the rest is damaged and there is an error.
func ReadArchivePage(entry protocol.Entry) (*ArchivePage, error) {
	p := &ArchivePage{UpperBound: strings.TrimPrefix(entry.Key, ArchivePrefix), Version: entry.Version}
	var v ArchiveValue
	if err := protocol.Decode(entry.Value, &v); err != nil {
		return p, fmt.Errorf("%s: %w", entry.Key, err)
	}
	for i, r := range v.Terminal {
		switch {
		case r.ID == "" || r.Tasks < 0:
			return p, corrupt("the archived end of job "+r.ID, "%d tasks", r.Tasks)
		case r.ID >= p.UpperBound:
			return p, corrupt("the archived end of job "+r.ID, "is on the page before %s", p.UpperBound)
		case i > 0 && v.Terminal[i-1].ID >= r.ID:
			return p, corrupt("the archived end of job "+r.ID, "is out of order")
		}
	}
	p.Terminal = v.Terminal
	return p, nil
}

// Lookup finds the end of a job.
func (p *ArchivePage) Lookup(id string) (TerminalRecord, bool) {
	i, ok := slices.BinarySearchFunc(p.Terminal, id, func(r TerminalRecord, id string) int { return cmp.Compare(r.ID, id) })
	if !ok {
		return TerminalRecord{}, false
	}
	return p.Terminal[i], true
}

// size is at least what the page's value takes.
func (p *ArchivePage) size() int { return terminalRecordsSize(p.Terminal) }

func terminalRecordsSize(finals []TerminalRecord) int {
	n := pageOverhead
	for i := range finals {
		n += finals[i].ReservedSize()
	}
	return n
}

// Merge gives the pages that take this one's place once more ends are on it: itself, divided
// if it would be larger than so many bytes. The last has its bound.
func (p *ArchivePage) Merge(more []TerminalRecord, most int) []*ArchivePage {
	all := slices.Concat(p.Terminal, more)
	slices.SortFunc(all, func(a, b TerminalRecord) int { return cmp.Compare(a.ID, b.ID) })
	all = slices.CompactFunc(all, func(a, b TerminalRecord) bool { return a.ID == b.ID })
	parts := 1
	if total := terminalRecordsSize(all); total > most {
		parts = total/(most/2) + 1
	}
	var pages []*ArchivePage
	for i := range parts {
		part := all[i*len(all)/parts : (i+1)*len(all)/parts]
		page := &ArchivePage{Terminal: part}
		if i == parts-1 {
			page.UpperBound, page.Version = p.UpperBound, p.Version
		} else {
			page.UpperBound = all[(i+1)*len(all)/parts].ID
		}
		pages = append(pages, page)
	}
	return pages
}

// Items are what is on a page of records; none while it is being written.
func (s *Store) Items(page int) []Item {
	if page >= len(s.pages) || s.pages[page].inFlight {
		return nil
	}
	return s.pages[page].items
}

// Idle tells whether the budget is at least half unused and nothing waits to be written.
func (s *Store) Idle(now time.Duration) bool {
	return len(s.dirty) == 0 && len(s.writes) == 0 && s.budget.TokensAt(limiterTime(now)) >= float64(s.budget.Burst())/2
}

// CanWrite tells whether a transaction of so many keys could begin now.
func (s *Store) CanWrite(now time.Duration, keys int) bool {
	return len(s.writes) < maxWrites && now >= s.resumeAt && s.budget.TokensAt(limiterTime(now)) >= float64(keys)
}

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
