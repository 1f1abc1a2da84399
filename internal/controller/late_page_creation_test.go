package controller_test

import (
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// Duplicates of all writes arrive after the jobs that they recorded have been moved to the archive
// and their pages are empty. Then the leader crashes. Jobs that were reported as done must stay done.
//
// This guards against a late duplicate that creates a page again. A move to the archive used to delete
// the pages that it emptied. The write that creates a page is conditional only on the page's absence
// and on the fencing token, so a duplicate in the same term succeeded and restored the first record of
// an archived job. The next leader took the job for one that has not started, which a random test with
// -rapid.seed=895798 reported as "went_back: wk-000007: queued after done".
func TestLateDuplicateOfPageCreationAfterArchiving(t *testing.T) {
	for _, copied := range []time.Duration{4 * time.Second, 8 * time.Second, 12 * time.Second} {
		s := fake.Settings()
		s.Limits.MemoryMB = 0.02 // the leader keeps one terminal job in memory
		w := newWorldWith(t, s)
		provisionIdleMachines(t, w)
		w.SeparatePageWrites = true
		w.Network = func(kind, _, _ string) fake.Delivery {
			delivery := fake.Reliable()
			if kind == fake.KindPageWrite {
				delivery.DuplicateAfter = copied
			}
			return delivery
		}
		var jobs []*fake.Job
		for i := range 4 {
			long := job(1+i, protocol.Array, 1)
			long.Class, long.CPUs = strings.Repeat("c", 1400), 0.5 // so long that each record fills a page
			jobs = append(jobs, w.Submit(long, 500*time.Millisecond))
		}
		runAndPoll(w, 2*copied)
		_, archive := terminalRecords(t, w)
		if len(archive) == 0 {
			t.Fatal("no job is in the archive: this shows nothing")
		}
		w.Network = nil
		w.Leader().Crash()
		runAndPoll(w, 20*time.Second)
		for _, j := range jobs {
			if j.Status != protocol.StatusDone {
				t.Errorf("copies after %v: %s has status %q", copied, j.Submission.ID, j.Status)
			}
		}
		requireNoViolations(t, w)
	}
}
