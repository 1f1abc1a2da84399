package controller_test

import (
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// Copies of all writes are carried out late, when the jobs that they recorded have ended and are in
// the archive, and their pages are empty. Then the leader ends. Jobs that were called done stay so.
//
// What happened: the move to the archive deleted a page of records that it emptied. The write that
// had made the page is conditional on its absence and on the token of the term; with the page gone,
// in the same term, a late copy met both and brought the job's first record back. The next leader
// took the job for one that has not begun. The lines that showed it, from a drawn world
// (-rapid.seed=895798): "put page/000002 [wk-000007]" if absent at 22.4 s, again at 23.5 s; the move
// deletes it at 30.2 s; at 39.2 s "term lost, reason a write met another leader's"; then
// "went_back: wk-000007: queued after done".
func TestLateDuplicateOfPageCreationAfterArchiving(t *testing.T) {
	for _, copied := range []time.Duration{4 * time.Second, 8 * time.Second, 12 * time.Second} {
		s := fake.Settings()
		s.Limits.MemoryMB = 0.02 // one ended job is kept in memory
		w := newWorldWith(t, s)
		provisionIdleMachines(t, w)
		w.SeparateWrites = true
		w.Network = func(kind, _, _ string) fake.Delivery {
			delivery := fake.Reliable()
			if kind == fake.KindWrite {
				delivery.DuplicateAfter = copied
			}
			return delivery
		}
		var jobs []*fake.Job
		for i := range 4 {
			long := job(1+i, protocol.Array, 1)
			long.Class, long.CPUs = strings.Repeat("c", 1400), 0.5 // on a page of its own
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
