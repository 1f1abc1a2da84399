package controller_test

import (
	"strings"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// smallMemorySettings are settings with which a leader keeps 32 ended jobs in memory, and four pages
// of the archive.
func smallMemorySettings() config.Settings {
	s := fake.Settings()
	s.Limits.MemoryMB = 0.5
	s.Teams[1].GuaranteedCPUs = 1000
	return s
}

const terminalJobsInMemory = 32

// terminalRecords tells for each ended job whether it is on a page that a take-over reads, and
// whether it is in the archive.
func terminalRecords(t *testing.T, w *fake.World) (pages, archive map[string]storage.TerminalRecord) {
	t.Helper()
	pages, archive = map[string]storage.TerminalRecord{}, map[string]storage.TerminalRecord{}
	for key, value := range w.State.Values() {
		switch {
		case strings.HasPrefix(key, storage.PagePrefix):
			var v storage.PageValue
			if err := protocol.Decode(value, &v); err != nil {
				t.Fatal(err)
			}
			for _, r := range v.Terminal {
				pages[r.ID] = r
			}
		case strings.HasPrefix(key, storage.ArchivePrefix):
			page, err := storage.DecodeArchivePage(protocol.Entry{Key: key, Value: value})
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range page.Terminal {
				if _, twice := archive[r.ID]; twice {
					t.Fatalf("%s is on two pages of the archive", r.ID)
				}
				archive[r.ID] = r
			}
		}
	}
	return pages, archive
}

// requireRecorded fails if a job that was called done or cancelled is nowhere on record as such.
func requireRecorded(t *testing.T, w *fake.World, jobs []*fake.Job) {
	t.Helper()
	pages, archive := terminalRecords(t, w)
	unfinished, _ := recordedJobs(t, pagesOf(w))
	for _, j := range jobs {
		if j.Status != protocol.StatusDone {
			continue
		}
		_, onPage := pages[j.Submission.ID]
		_, inArchive := archive[j.Submission.ID]
		if _, open := unfinished[j.Submission.ID]; !onPage && !inArchive && !open {
			t.Fatalf("%v: %s is nowhere on record", w.Now, j.Submission.ID)
		}
	}
}

// completeJobs has so many small jobs come to their end.
func completeJobs(t *testing.T, w *fake.World, first, count int) []*fake.Job {
	t.Helper()
	var jobs []*fake.Job
	for n := range count {
		s := job(first+n*7919%100_000, protocol.Array, 1) // in no order
		s.CPUs, s.MemoryGB, s.ImageGB = 0.05, 0.05, 0.01
		jobs = append(jobs, w.Submit(s, 500*time.Millisecond))
	}
	done := func(j *fake.Job) bool { return j.Status == protocol.StatusDone }
	for tries := 0; tries < 60 && !allMatch(jobs, done); tries++ {
		runAndPoll(w, 2*time.Second)
	}
	if !allMatch(jobs, done) {
		t.Fatal("not all jobs are done")
	}
	return jobs
}

// waitArchived lets time pass until no more ended jobs are to be moved.
func waitArchived(t *testing.T, w *fake.World, jobs []*fake.Job) {
	t.Helper()
	for range 600 {
		w.Run(50 * time.Millisecond)
		requireRecorded(t, w, jobs)
		if pages, _ := terminalRecords(t, w); len(pages) <= terminalJobsInMemory {
			return
		}
	}
	pages, archive := terminalRecords(t, w)
	t.Fatalf("%d ended jobs are on pages, %d in the archive\n%s", len(pages), len(archive), logTail(w, 20))
}

// newWorldWithArchive makes a world in which most of so many ended jobs are in the archive.
func newWorldWithArchive(t *testing.T, count int) (*fake.World, []*fake.Job) {
	t.Helper()
	w := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, w)
	jobs := completeJobs(t, w, 100_000, count)
	waitArchived(t, w, jobs)
	return w, jobs
}

// requireAllDone fails unless every job is called done by every controller, when it is asked about, handed
// in again or cancelled.
func requireAllDone(t *testing.T, w *fake.World, jobs []*fake.Job) {
	t.Helper()
	for _, j := range jobs {
		before := j.AnsweredAt
		for tries := 0; tries < 20 && j.AnsweredAt == before; tries++ {
			w.QueryEverywhere(j)
			w.Run(100 * time.Millisecond)
		}
		if j.AnsweredAt == before {
			t.Fatalf("nobody is told about %s", j.Submission.ID)
		}
	}
	for _, j := range jobs[:min(5, len(jobs))] {
		w.CancelEverywhere(j)
	}
	w.Run(3 * time.Second)
	for _, j := range jobs {
		if j.Status != protocol.StatusDone {
			t.Fatalf("%s has status %q", j.Submission.ID, j.Status)
		}
	}
	requireNoViolations(t, w)
}

// delayWrites has writes of pages carried out late, and answers to reads come later still, so
// that much happens while a move or a read is under way.
func delayWrites(w *fake.World) {
	w.SeparateWrites = true
	w.Network = func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		switch kind {
		case fake.KindWrite:
			delivery.RequestDelay = 200 * time.Millisecond
		case fake.KindState:
			delivery.ResponseDelay = 350 * time.Millisecond
		}
		return delivery
	}
}

// requireNotLogged fails if a line of the log has a text.
func requireNotLogged(t *testing.T, w *fake.World, text string) {
	t.Helper()
	for _, line := range w.Log {
		if strings.Contains(line, text) {
			t.Fatal(line)
		}
	}
}
