package storage

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

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

// TransactionSize is an upper bound of the bytes that writing the page takes of a
// transaction.
func (p *ArchivePage) TransactionSize() int { return p.size() + changeOverhead }
