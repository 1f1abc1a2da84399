package storage

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"oakpick/internal/protocol"
)

// The archive keeps the terminal records of jobs that a new leader doesn't need to read. Its
// pages are sorted by job ID. Each page is named by its exclusive upper bound: a job's page
// is the first page whose bound is greater than the job's ID. The state service lists keys
// in order, so one read finds a page and no index of the pages is needed. The bound of the
// last page is greater than every ID; this page exists as soon as the archive contains a
// record.

const (
	// ArchivePrefix is the prefix of the archive's keys. It is outside RecordsPrefix, so a
	// new leader doesn't read the archive.
	ArchivePrefix = "oakpick/ended/"

	// LastUpperBound is the upper bound of the last page. It is greater than every job ID.
	LastUpperBound = "~"
)

// ArchiveValue is the stored form of an archive page, sorted by job ID.
type ArchiveValue struct {
	WriteID  string           `msgpack:"id"` // ID of the write that stored this value
	Terminal []TerminalRecord `msgpack:"f"`
}

// ArchivePage is an archive page that was read or is to be written.
type ArchivePage struct {
	UpperBound string // exclusive upper bound of the job IDs on the page
	Version    int64  // revision of the last write; 0 if the page doesn't exist yet
	Terminal   []TerminalRecord
}

// Key returns the page's key in the state service.
func (p *ArchivePage) Key() string { return ArchivePrefix + p.UpperBound }

// DecodeArchivePage decodes and validates an archive page. The error is a
// *CorruptRecordError or wraps the decoder's error. The returned page's bound and version
// are set even if there is an error.
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

// validate returns an error for the first record that is invalid, misplaced or out of order.
func (p *ArchivePage) validate(records []TerminalRecord) error {
	newError := func(r *TerminalRecord, format string, args ...any) error {
		return newCorruptRecordError("archived terminal record of job "+r.ID, format, args...)
	}
	for i := range records {
		r := &records[i]
		switch {
		case !r.valid():
			return newError(r, "invalid job ID or number of tasks %d", r.Tasks)
		case r.ID >= p.UpperBound:
			return newError(r, "is not below the upper bound %s of its page", p.UpperBound)
		case i > 0 && records[i-1].ID >= r.ID:
			return newError(r, "is out of order after job %s", records[i-1].ID)
		}
	}
	return nil
}

// Lookup returns the terminal record of a job, or false if the page doesn't contain it.
func (p *ArchivePage) Lookup(id string) (TerminalRecord, bool) {
	i, ok := slices.BinarySearchFunc(p.Terminal, id, func(r TerminalRecord, id string) int { return cmp.Compare(r.ID, id) })
	if !ok {
		return TerminalRecord{}, false
	}
	return p.Terminal[i], true
}

// size returns an upper bound of the encoded size of the page's value in bytes.
func (p *ArchivePage) size() int { return terminalRecordsSize(p.Terminal) }

// TransactionSize returns an upper bound of the bytes that writing the page adds to a
// transaction.
func (p *ArchivePage) TransactionSize() int { return p.size() + changeOverhead }

// Merge returns the pages that replace this page when records are added to it: one page, or
// several if one would exceed maxBytes. The last of them has the bound and version of this page,
// which is not modified. If a job has a record both on the page and in more, one of them is kept.
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
