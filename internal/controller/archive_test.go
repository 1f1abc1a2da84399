package controller_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// Terminal jobs are moved to the archive. Polls, resubmissions and cancellations of them are
// answered as before, and a new leader loads only a few of them.
func TestTerminalJobsAreArchived(t *testing.T) {
	w, jobs := newWorldWithArchive(t, 300)
	requireAllDone(t, w, jobs[:60])
	w.PollUnknown()
	crashAll(w)
	w.Run(12 * time.Second)
	startAll(w)
	waitLeader(t, w, 10*time.Second)
	w.Run(4 * time.Second)
	requireAllDone(t, w, jobs[200:260])
	pages, archive := terminalRecords(t, w)
	if len(pages) > terminalJobsInMemory+8 || len(archive) < 250 {
		t.Errorf("%d terminal jobs are on pages, %d in the archive", len(pages), len(archive))
	}
	if keys := len(pagesOf(w)); keys > 6 {
		t.Errorf("%d pages of records are left: empty pages should be deleted or reused", keys)
	}
	// New jobs are still accepted and completed.
	requireAllDone(t, w, completeJobs(t, w, 900_000, 10))
}

// Thousands of polls for unknown jobs arrive along with regular requests. They get 404, or 503 with
// a retry delay, but never 200. Other users' submissions are accepted without undue delay, and
// their jobs complete.
func TestUnknownJobPollsDoNotStarveOthers(t *testing.T) {
	w, jobs := newWorldWithArchive(t, 200)
	statuses := map[int]int{}
	for n := range 60 {
		for i := range 50 {
			id := fmt.Sprintf("wk-%06d", (n*50+i)*613%900_000)
			if w.Jobs[id] != nil {
				continue
			}
			w.Controllers[i%3].Request(message.UserRequest{Kind: message.Poll, Job: id}, func(r message.Reply) {
				statuses[r.Status]++
				if r.Status == 503 && r.RetryAfterS == 0 {
					t.Error("refused without a retry delay")
				}
			})
		}
		w.Run(50 * time.Millisecond)
	}
	began := w.Now
	s := job(5, protocol.Array, 1)
	s.CPUs = 0.1
	other := w.Submit(s, time.Second)
	for n := 0; n < 100 && !other.Accepted; n++ {
		for i := range 50 {
			id := fmt.Sprintf("wk-%06d", 910_000+n*50+i)
			w.Controllers[i%3].Request(message.UserRequest{Kind: message.Poll, Job: id}, func(message.Reply) {})
		}
		w.Run(50 * time.Millisecond)
	}
	if took := other.AcceptedAt - began; !other.Accepted || took > time.Second {
		t.Errorf("another user's job was accepted after %v", took)
	}
	w.Run(5 * time.Second)
	if statuses[200] > 0 || statuses[404] == 0 {
		t.Errorf("polls by status: %v", statuses)
	}
	requireAllDone(t, w, jobs[:20])
}

// No job is moved to the archive until all peers have reported that they support it, nor while
// only few jobs are terminal.
func TestNothingArchivedUntilAllPeersSupportArchive(t *testing.T) {
	w := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, w)
	w.Controllers[2].Crash()
	w.Controllers[2].RunsProductionVersion = true
	w.Controllers[2].Start()
	completeJobs(t, w, 100_000, 100)
	w.Run(20 * time.Second)
	if _, archive := terminalRecords(t, w); len(archive) > 0 {
		t.Error("jobs were archived while a peer's version does not support the archive")
	}
	upgrade(w, w.Controllers[2], time.Second)
	jobs := completeJobs(t, w, 200_000, 5)
	waitArchived(t, w, jobs)
	requireNoViolations(t, w)

	few := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, few)
	completeJobs(t, few, 100_000, terminalJobsInMemory-4)
	few.Run(20 * time.Second)
	if _, archive := terminalRecords(t, few); len(archive) > 0 {
		t.Error("jobs were archived although few are terminal")
	}
}

// A page of the archive is corrupt. Polls for its jobs get 503, polls for all other jobs get 200, and
// the leader does not change.
func TestCorruptArchivePage(t *testing.T) {
	w, jobs := newWorldWithArchive(t, 300)
	var damaged string
	lost := map[string]bool{}
	for key, value := range w.State.Values() {
		if strings.HasPrefix(key, storage.ArchivePrefix) && (damaged == "" || key < damaged) {
			damaged = key
			clear(lost)
			page, err := storage.DecodeArchivePage(protocol.Entry{Key: key, Value: value})
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range page.Terminal {
				lost[r.ID] = true
			}
		}
	}
	w.State.Restore(map[string][]byte{damaged: protocol.Encode("not a page")})
	w.Leader().Crash()
	w.Run(15 * time.Second)
	leader := w.Leader()
	if leader == nil {
		t.Fatal("no controller leads")
	}
	for _, j := range jobs {
		status := 0
		for tries := 0; tries < 10 && status != 200; tries++ {
			leader.Request(message.UserRequest{Kind: message.Poll, Job: j.Submission.ID}, func(r message.Reply) { status = r.Status })
			w.Run(50 * time.Millisecond)
		}
		if want := 200; lost[j.Submission.ID] && status != 503 || !lost[j.Submission.ID] && status != want {
			t.Errorf("%s (on the corrupt page: %v): status %d", j.Submission.ID, lost[j.Submission.ID], status)
		}
	}
	if w.Leader() != leader {
		t.Error("the leader has changed")
	}
	if text := strings.Join(w.Log, "\n"); !strings.Contains(text, damaged) {
		t.Error("the log does not name the corrupt page")
	}
}

// The state service becomes unreachable for the leader alone while archive lookups are in flight.
// The leader must not report archived jobs as unknown, and its successor answers the users.
func TestArchiveLookupWhileLeaderLosesStateService(t *testing.T) {
	w, jobs := newWorldWithArchive(t, 200)
	leader := w.Leader()
	w.Network = func(kind, from, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindState && from == leader.Name {
			delivery.ResponseDelay = 800 * time.Millisecond // responses to lookups arrive after the end of the term
		}
		return delivery
	}
	for _, j := range jobs[:30] {
		leader.Request(message.UserRequest{Kind: message.Poll, Job: j.Submission.ID}, func(r message.Reply) {
			if r.Status == 404 {
				t.Errorf("%s is reported as unknown", j.Submission.ID)
			}
		})
	}
	w.Run(100 * time.Millisecond)
	w.State.Unreachable[leader.Name] = true
	queryRepeatedly(w, jobs[:10], 20, 200*time.Millisecond)
	w.Network = nil
	w.State.Unreachable = map[string]bool{}
	w.Run(15 * time.Second)
	requireAllDone(t, w, jobs[:30])
}

// The limits of the state service are lowered between two moves to the archive. Archive pages that
// exceed the new limits are split when jobs are added to them, and every job on them is still found.
func TestArchivePagesSplitForLowerLimits(t *testing.T) {
	s := smallMemorySettings()
	s.State.ValueKB = 4
	s.State.TxnOps = 8
	w := newWorldWith(t, s)
	provisionIdleMachines(t, w)
	jobs := completeJobs(t, w, 100_000, 250)
	waitArchived(t, w, jobs)
	w.Cfg.Settings.State.Next = nextLimits(2, 4, 40)
	for _, c := range w.Controllers {
		c.Crash()
		c.Start()
	}
	w.Run(15 * time.Second)
	beforeLowering := completeJobs(t, w, 400_000, 40)
	w.State.LowerLimits()
	afterLowering := completeJobs(t, w, 100_050, 80)
	jobs = slices.Concat(jobs, beforeLowering, afterLowering)
	waitArchived(t, w, jobs)
	requireAllDone(t, w, append(jobs[:40], afterLowering[:40]...))
}
