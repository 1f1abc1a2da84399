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

// smallMemorySettings returns settings with which a leader keeps terminalJobsInMemory ended jobs
// and four archive pages in memory.
func smallMemorySettings() config.Settings {
	s := fake.Settings()
	s.Limits.MemoryMB = 0.5
	s.Teams[1].GuaranteedCPUs = 1000
	return s
}

// terminalJobsInMemory is the number of ended jobs that a leader keeps in memory with
// smallMemorySettings.
const terminalJobsInMemory = 32

// terminalRecords returns the records of ended jobs by job ID: those on record pages, which a new
// leader reads, and those in the archive.
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
					t.Fatalf("%s is on two archive pages", r.ID)
				}
				archive[r.ID] = r
			}
		}
	}
	return pages, archive
}

// requireRecorded fails if the records lack a job whose user was told that it is done.
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
			t.Fatalf("%v: there is no record of %s", w.Now, j.Submission.ID)
		}
	}
}

// completeJobs submits count small jobs with IDs in the 100,000 numbers from first on, and waits until
// they are done.
func completeJobs(t *testing.T, w *fake.World, first, count int) []*fake.Job {
	t.Helper()
	var jobs []*fake.Job
	for n := range count {
		s := job(first+n*7919%100_000, protocol.Array, 1) // not in the order of the IDs
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

// waitArchived waits until at most terminalJobsInMemory ended jobs are left on record pages.
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
	t.Fatalf("%d ended jobs are on record pages, %d in the archive\n%s", len(pages), len(archive), logTail(w, 20))
}

// newWorldWithArchive makes a world with the given number of done jobs, most of which are in the
// archive. It also returns the jobs.
func newWorldWithArchive(t *testing.T, count int) (*fake.World, []*fake.Job) {
	t.Helper()
	w := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, w)
	jobs := completeJobs(t, w, 100_000, count)
	waitArchived(t, w, jobs)
	return w, jobs
}

// requireAllDone fails unless every controller reports every job as done when it is queried or
// submitted again, also after requests to cancel some of the jobs.
func requireAllDone(t *testing.T, w *fake.World, jobs []*fake.Job) {
	t.Helper()
	for _, j := range jobs {
		before := j.AnsweredAt
		for tries := 0; tries < 20 && j.AnsweredAt == before; tries++ {
			w.PollAndResubmitEverywhere(j)
			w.Run(100 * time.Millisecond)
		}
		if j.AnsweredAt == before {
			t.Fatalf("no status was returned for %s", j.Submission.ID)
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

// delayWrites delays writes of pages, and responses to reads even more, so that other events
// happen while a move or a read is in progress.
func delayWrites(w *fake.World) {
	w.SeparatePageWrites = true
	w.Network = func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		switch kind {
		case fake.KindPageWrite:
			delivery.RequestDelay = 200 * time.Millisecond
		case fake.KindState:
			delivery.ResponseDelay = 350 * time.Millisecond
		}
		return delivery
	}
}

// requireNotLogged fails if a log line contains the text.
func requireNotLogged(t *testing.T, w *fake.World, text string) {
	t.Helper()
	for _, line := range w.Log {
		if strings.Contains(line, text) {
			t.Fatal(line)
		}
	}
}
