package scale

import (
	"fmt"

	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// Prefixes of the ids of jobs that ended before the run.
const archivedPrefix, endedPrefix = "wk-8", "wk-9"

// archivedCancelledEvery is the interval at which the archive contains cancelled jobs, beginning with
// the first job.
const archivedCancelledEvery = 10

// endedJobTasks is the number of tasks of each job that ended before the run.
const endedJobTasks = 3

// endedJobBytes is the size of an ended job in JSON. The limit on values counts the JSON form.
const endedJobBytes = 40

// pageFillRatio is the share of a page that ended jobs may use; the rest is for its other content.
const pageFillRatio = 0.9

// writeIDBeforeRun is the id of writes made before the run.
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

// archivedPages returns the archive's pages, by key, with count ended jobs.
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

// endedPages returns the state service's pages, by key, with count ended jobs.
func endedPages(count int, valueKB float64) map[string][]byte {
	pages := map[string][]byte{}
	endedRecord := func(number int) storage.TerminalRecord { return newTerminalRecord(endedPrefix, number) }
	forEachEndedPage(endedRecord, count, valueKB, func(_ int, records []storage.TerminalRecord) {
		key := fmt.Sprintf("%s%06d", storage.PagePrefix, len(pages))
		pages[key] = protocol.Encode(storage.PageValue{WriteID: writeIDBeforeRun, Terminal: records})
	})
	return pages
}

// forEachEndedPage divides count ended jobs into pages and calls emit for each page. The argument
// next is the number of the first job after the page.
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
