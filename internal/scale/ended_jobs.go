package scale

import (
	"fmt"

	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// Prefixes of the IDs of jobs that ended before the run.
const archivedPrefix, endedPrefix = "wk-8", "wk-9"

// archivedCancelledEvery is n if every n-th job in the archive is cancelled, beginning with the first.
const archivedCancelledEvery = 10

// endedJobTasks is the number of tasks of each job that ended before the run.
const endedJobTasks = 3

// endedJobBytes is the size of an ended job's record in JSON, the encoding in which the limit on values
// is measured.
const endedJobBytes = 40

// pageFillRatio is the share of a page that ended jobs may use; the rest is for its other content.
const pageFillRatio = 0.9

// writeIDBeforeRun is the write ID of pages that are stored before the run.
const writeIDBeforeRun = "0-0"

// endedJobsPerPage returns how many ended jobs fit into a value of valueKB KiB.
func endedJobsPerPage(valueKB float64) int {
	return max(1, int(valueKB*1024*pageFillRatio/endedJobBytes))
}

func newTerminalRecord(prefix string, number int) storage.TerminalRecord {
	return storage.TerminalRecord{ID: fmt.Sprintf("%s%010d", prefix, number), Tasks: endedJobTasks}
}

// archivedRecord returns the record of an archived job.
func archivedRecord(number int) storage.TerminalRecord {
	record := newTerminalRecord(archivedPrefix, number)
	record.Cancelled = number%archivedCancelledEvery == 0
	return record
}

// archivedPages returns archive pages with the given number of ended jobs, by key.
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

// endedPages returns record pages with the given number of ended jobs, by key.
func endedPages(count int, valueKB float64) map[string][]byte {
	pages := map[string][]byte{}
	endedRecord := func(number int) storage.TerminalRecord { return newTerminalRecord(endedPrefix, number) }
	forEachEndedPage(endedRecord, count, valueKB, func(_ int, records []storage.TerminalRecord) {
		key := fmt.Sprintf("%s%06d", storage.PagePrefix, len(pages))
		pages[key] = protocol.Encode(storage.PageValue{WriteID: writeIDBeforeRun, Terminal: records})
	})
	return pages
}

// forEachEndedPage divides ended jobs into pages and calls emit for each page. Jobs are numbered from
// 0; emit's argument next is the number of the first job after the page.
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
