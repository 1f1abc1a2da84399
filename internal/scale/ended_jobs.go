package scale

import (
	"fmt"

	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// The ids of the jobs that ended before a run begin with these.
const archivedPrefix, endedPrefix = "wk-8", "wk-9"

// archivedCancelledEvery is which of the jobs in the archive were cancelled: the first, and every
// so many from there on.
const archivedCancelledEvery = 10

// endedJobTasks is how many tasks such a job had.
const endedJobTasks = 3

// endedJobBytes is what an ended job takes in JSON, which is what the limit on values counts.
const endedJobBytes = 40

// pageFillRatio leaves room in a page for what isn't an ended job.
const pageFillRatio = 0.9

// writeIDBeforeRun is the id of writes that no controller of the run has made.
const writeIDBeforeRun = "0-0"

// endedJobsPerPage is how many ended jobs a value of so many KiB holds.
func endedJobsPerPage(valueKB float64) int {
	return max(1, int(valueKB*1024*pageFillRatio/endedJobBytes))
}

func newTerminalRecord(prefix string, number int) storage.TerminalRecord {
	return storage.TerminalRecord{ID: fmt.Sprintf("%s%010d", prefix, number), Tasks: endedJobTasks}
}

// archivedRecord is the record of a job in the archive.
func archivedRecord(number int) storage.TerminalRecord {
	record := newTerminalRecord(archivedPrefix, number)
	record.Cancelled = number%archivedCancelledEvery == 0
	return record
}

// archivedPages returns the pages, by key, of an archive of so many ended jobs.
func archivedPages(count int, valueKB float64) map[string][]byte {
	pages := map[string][]byte{}
	forEachEndedPage(archivedRecord, count, valueKB, func(next int, records []storage.TerminalRecord) {
		bound := storage.LastUpperBound
		if next < count {
			bound = archivedRecord(next).ID
		}
		pages[storage.ArchivePrefix+bound] = protocol.Encode(storage.ArchiveValue{WriteID: writeIDBeforeRun, Terminal: records})
	})
	return pages
}

// endedPages returns the pages, by key, of a state service that has so many ended jobs on record.
func endedPages(count int, valueKB float64) map[string][]byte {
	pages := map[string][]byte{}
	endedRecord := func(number int) storage.TerminalRecord { return newTerminalRecord(endedPrefix, number) }
	forEachEndedPage(endedRecord, count, valueKB, func(_ int, records []storage.TerminalRecord) {
		key := fmt.Sprintf("%s%06d", storage.PagePrefix, len(pages))
		pages[key] = protocol.Encode(storage.PageValue{WriteID: writeIDBeforeRun, Terminal: records})
	})
	return pages
}

// forEachEndedPage divides so many ended jobs into pages; next is the number of the job after a
// page's last.
func forEachEndedPage(record func(number int) storage.TerminalRecord, count int, valueKB float64, emit func(next int, records []storage.TerminalRecord)) {
	perPage := endedJobsPerPage(valueKB)
	for first := 0; first < count; first += perPage {
		next := min(first+perPage, count)
		var records []storage.TerminalRecord
		for number := first; number < next; number++ {
			records = append(records, record(number))
		}
		emit(next, records)
	}
}
