package storage

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"oakpick/internal/protocol"
)

// The archive keeps the terminal records of jobs that a new leader needn't read. Its pages
// are sorted by job id, and each is named by its exclusive upper bound: the page of a job
// is the first whose bound comes after the job's id. So the state service, which lists
// keys in order, finds a page in one read, and no index of the pages is kept. The bound of
// the last page comes after every id; it exists as soon as anything is in the archive.

const (
	// ArchivePrefix is the prefix of the archive's keys. It lies outside RecordsPrefix,
	// which a new leader reads.
	ArchivePrefix = "oakpick/ended/"

	// LastUpperBound is the upper bound of the last page: it comes after every job id.
	LastUpperBound = "~"
)

// ArchiveValue is the stored form of a page of the archive, sorted by job id.
type ArchiveValue struct {
	WriteID  string           `msgpack:"id"` // of the write that made it
	Terminal []TerminalRecord `msgpack:"f"`
}

// ArchivePage is a page of the archive as it was read, or is to be written.
type ArchivePage struct {
	UpperBound string // every job on the page has a smaller id
	Version    int64  // the revision that last wrote it; 0: it does not exist yet
	Terminal   []TerminalRecord
}

// Key returns the page's key in the state service.
func (p *ArchivePage) Key() string { return ArchivePrefix + p.UpperBound }

// DecodeArchivePage decodes and validates a page of the archive. Its error is a
// *CorruptRecordError, or wraps that of the decoder. The page's bound and version are right
// even if there is an error.
func DecodeArchivePage(entry protocol.Entry) (*ArchivePage, error) {
	p := &ArchivePage{UpperBound: strings.TrimPrefix(entry.Key, ArchivePrefix), Version: entry.Version}
	var v ArchiveValue
	if err := protocol.Decode(entry.Value, &v); err != nil {
		return p, fmt.Errorf("%s: %w", entry.Key, err)
	}
	if err := p.validate(v.Terminal); err != nil {
		return p, err
	}
	p.Terminal = v.Terminal
	return p, nil
}

// validate finds the first record that no version writes on this page.
func (p *ArchivePage) validate(records []TerminalRecord) error {
	newError := func(r *TerminalRecord, format string, args ...any) error {
		return newCorruptRecordError("archived terminal record of job "+r.ID, format, args...)
	}
	for i := range records {
		r := &records[i]
		switch {
		case !r.valid():
			return newError(r, "%d tasks", r.Tasks)
		case r.ID >= p.UpperBound:
			return newError(r, "is on the page of jobs before %s", p.UpperBound)
		case i > 0 && records[i-1].ID >= r.ID:
			return newError(r, "is out of order after job %s", records[i-1].ID)
		}
	}
	return nil
}

// Lookup returns the terminal record of a job, and false if it is not on the page.
func (p *ArchivePage) Lookup(id string) (TerminalRecord, bool) {
	i, ok := slices.BinarySearchFunc(p.Terminal, id, func(r TerminalRecord, id string) int { return cmp.Compare(r.ID, id) })
	if !ok {
		return TerminalRecord{}, false
	}
	return p.Terminal[i], true
}

// size is an upper bound of the bytes that the page's value takes.
func (p *ArchivePage) size() int { return terminalRecordsSize(p.Terminal) }

// TransactionSize is an upper bound of the bytes that writing the page takes of a
// transaction.
func (p *ArchivePage) TransactionSize() int { return p.size() + changeOverhead }

// Merge returns the pages that replace this one once more records are on it: itself, split
// if it would take more than maxBytes. The last of them has its bound and version. The
// page itself is not changed. A job that has a record on both is there once.
func (p *ArchivePage) Merge(more []TerminalRecord, maxBytes int) []*ArchivePage {
	all := slices.Concat(p.Terminal, more)
	slices.SortFunc(all, func(a, b TerminalRecord) int { return cmp.Compare(a.ID, b.ID) })
	all = slices.CompactFunc(all, func(a, b TerminalRecord) bool { return a.ID == b.ID })
	parts := 1
	if total := terminalRecordsSize(all); total > maxBytes {
		parts = total/(maxBytes/2) + 1
	}
	var pages []*ArchivePage
	for i := range parts {
		end := (i + 1) * len(all) / parts
		page := &ArchivePage{Terminal: all[i*len(all)/parts : end]}
		if i == parts-1 {
			page.UpperBound, page.Version = p.UpperBound, p.Version
		} else {
			page.UpperBound = all[end].ID
		}
		pages = append(pages, page)
	}
	return pages
}
