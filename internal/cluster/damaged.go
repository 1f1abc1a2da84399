package cluster

import "oakpick/internal/storage"

// A job is damaged if its records can't be understood together, although each of them can be read. Its
// tasks stay as they are: none is started, stopped or ended for the job, and its records are kept
// unchanged, so that a later leader can go on with the job if it understands them.

// DamagedJobRecord is the stored record of a damaged job.
type DamagedJobRecord struct {
	storage.JobRecord
	Extension storage.JobExtension
}

// AppendTo appends the unchanged records to a page.
func (r *DamagedJobRecord) AppendTo(page *storage.PageValue) {
	page.Jobs = append(page.Jobs, r.JobRecord)
	if r.Extension.Job != "" {
		page.Extensions = append(page.Extensions, r.Extension)
	}
}

// EncodedSize returns the size of the records.
func (r *DamagedJobRecord) EncodedSize() int {
	const bitsPerDigit = 4
	return r.JobRecord.ReservedSize(bitsPerDigit*len(r.CompletedBlocks)) + r.Extension.EncodedSize()
}

// ReservedSize returns the size of the records, which never change.
func (r *DamagedJobRecord) ReservedSize() int { return r.EncodedSize() }

// DamagedBlockRecord is the stored record of a block of a damaged job.
type DamagedBlockRecord struct{ storage.BlockRecord }

// AppendTo appends the unchanged record to a page.
func (r *DamagedBlockRecord) AppendTo(page *storage.PageValue) {
	page.Blocks = append(page.Blocks, r.BlockRecord)
}

// ReservedSize returns the size of the record, which never changes.
func (r *DamagedBlockRecord) ReservedSize() int { return r.EncodedSize() }
