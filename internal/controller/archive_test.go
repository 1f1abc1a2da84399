package controller_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/message"
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
			page, err := storage.ReadArchivePage(protocol.Entry{Key: key, Value: value})
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
	t.Fatalf("%d ended jobs are on pages, %d in the archive\n%s", len(pages), len(archive), strings.Join(w.Log[max(0, len(w.Log)-20):], "\n"))
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

// requireAllDone fails unless every job is called done by every node, when it is asked about, handed
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
			t.Fatalf("%s is called %q", j.Submission.ID, j.Status)
		}
	}
	requireNoViolations(t, w)
}

// Ended jobs are moved to the archive, all that asks after them goes on as before, and a
// successor reads few of them.
func TestTerminalJobsAreArchived(t *testing.T) {
	w, jobs := newWorldWithArchive(t, 300)
	requireAllDone(t, w, jobs[:60])
	w.PollUnknown()
	for _, n := range w.Controllers {
		n.Crash()
	}
	w.Run(12 * time.Second)
	for _, n := range w.Controllers {
		n.Start()
	}
	if !w.RunUntil(10*time.Second, func() bool { return w.Leader() != nil }) {
		t.Fatal("nobody leads")
	}
	w.Run(4 * time.Second)
	requireAllDone(t, w, jobs[200:260])
	pages, archive := terminalRecords(t, w)
	if len(pages) > terminalJobsInMemory+8 || len(archive) < 250 {
		t.Errorf("%d ended jobs are on pages, %d in the archive", len(pages), len(archive))
	}
	if keys := len(pagesOf(w)); keys > 6 {
		t.Errorf("%d pages of records are left: emptied ones are to be dropped or used again", keys)
	}
	// What comes next is accepted and done, too.
	requireAllDone(t, w, completeJobs(t, w, 900_000, 10))
}

// The leader ends before, inside and after a move, whose transaction is lost, carried out
// late, or only not answered.
func TestLeaderCrashDuringArchiveMove(t *testing.T) {
	for _, trouble := range []string{"none", "request lost", "late", "answer lost"} {
		for _, after := range []int{0, 1, 2, 5} {
			t.Run(fmt.Sprint(trouble, " at write ", after), func(t *testing.T) {
				t.Parallel()
				testLeaderCrashDuringArchiveMove(t, trouble, after)
			})
		}
	}
}

func testLeaderCrashDuringArchiveMove(t *testing.T, trouble string, after int) {
	w := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, w)
	w.SeparateWrites = true
	jobs := completeJobs(t, w, 100_000, 60)
	writes := 0
	w.Network = func(kind, _, _ string) fake.Delivery {
		f := fake.Reliable()
		if kind != fake.KindWrite {
			return f
		}
		writes++
		if writes <= after {
			return f
		}
		switch trouble {
		case "request lost":
			f.LoseRequest = true
		case "late":
			f.LoseRequest, f.DuplicateAfter = true, 3*time.Second
		case "answer lost":
			f.LoseResponse = true
		}
		return f
	}
	for range 20 {
		w.Run(50 * time.Millisecond)
		requireRecorded(t, w, jobs)
	}
	if l := w.Leader(); l != nil {
		l.Crash()
		w.After(3*time.Second, l.Start)
	}
	w.Network = nil
	for range 100 {
		w.Run(50 * time.Millisecond)
		requireRecorded(t, w, jobs)
	}
	requireAllDone(t, w, jobs)
	waitArchived(t, w, jobs)
	requireAllDone(t, w, jobs)
}

// A repeat of a submission comes to all nodes in the very moments in which its job is moved.
func TestRepeatedSubmissionDuringArchiveMove(t *testing.T) {
	w := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, w)
	jobs := completeJobs(t, w, 100_000, 80)
	for n := range 120 {
		for _, j := range jobs[n%8 : min(len(jobs), n%8+20)] {
			w.QueryEverywhere(j)
		}
		w.Run(50 * time.Millisecond)
		requireRecorded(t, w, jobs)
	}
	waitArchived(t, w, jobs)
	requireAllDone(t, w, jobs)
}

// Thousands of polls for jobs that nobody submitted, beside real work: they get 404 or are
// told to come back, never 200, and what others hand in is accepted and done in good time.
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
					t.Error("refused without a time to come back")
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
		t.Errorf("another's job was accepted after %v", took)
	}
	w.Run(5 * time.Second)
	if statuses[200] > 0 || statuses[404] == 0 {
		t.Errorf("answers %v", statuses)
	}
	requireAllDone(t, w, jobs[:20])
}

// Jobs that need archived ones: done ones let them start, cancelled ones cancel them, one
// that nobody accepted is refused; a successor comes to the same.
func TestArchivedPrerequisites(t *testing.T) {
	w := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, w)
	called := w.Submit(job(50, protocol.Array, 1), time.Hour)
	waitRunning(t, w, called.Submission.ID, 1)
	w.CancelJob(called)
	jobs := completeJobs(t, w, 100_000, 150)
	waitArchived(t, w, jobs)
	completeJobs(t, w, 300_000, 40) // so that the cancelled one goes, too
	w.Run(10 * time.Second)
	_, archive := terminalRecords(t, w)
	if _, ok := archive[called.Submission.ID]; !ok {
		t.Fatal("the cancelled job is not in the archive")
	}
	after := submitAfter(t, w, job(60, protocol.Array, 1), time.Second, jobs[0], jobs[70], jobs[140])
	with := submitAfter(t, w, job(61, protocol.Array, 1), time.Second, jobs[3], called)
	s := job(62, protocol.Array, 1)
	s.Prerequisites = []string{jobs[1].Submission.ID, "wk-777777"}
	refused := w.Submit(s, time.Second)
	w.Run(3 * time.Second)
	w.Leader().Crash()
	runAndPoll(w, 30*time.Second)
	if after.Status != protocol.StatusDone || with.Status != protocol.StatusCancelled || refused.RejectedWith != 422 {
		t.Errorf("after done ones %q, with a cancelled one %q, with an unknown one %d", after.Status, with.Status, refused.RejectedWith)
	}
	requireNoViolations(t, w)
}

// A job that waits names ended ones while these would be moved: they stay until it is over,
// so that a successor finds what it names.
func TestPrerequisitesOfWaitingJobsAreNotArchived(t *testing.T) {
	w := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, w)
	named := completeJobs(t, w, 500_000, 1)[0]
	running := w.Submit(job(50, protocol.Array, 1), 100*time.Second)
	waitRunning(t, w, running.Submission.ID, 1)
	waits := submitAfter(t, w, job(51, protocol.Array, 1), time.Second, named, running)
	jobs := completeJobs(t, w, 100_000, 100)
	w.Run(10 * time.Second)
	pages, _ := terminalRecords(t, w)
	if _, ok := pages[named.Submission.ID]; !ok {
		t.Error("a job that another names was moved")
	}
	w.Leader().Crash()
	for range 20 {
		runAndPoll(w, 8*time.Second)
	}
	if waits.Status != protocol.StatusDone {
		t.Errorf("the job that waits is called %q", waits.Status)
	}
	requireRecorded(t, w, jobs)
	requireNoViolations(t, w)
}

// Nothing is moved while a peer has not said that it reads the archive, nor for few ended
// jobs.
func TestNothingArchivedUntilAllPeersReadArchive(t *testing.T) {
	w := newWorldWith(t, smallMemorySettings())
	provisionIdleMachines(t, w)
	w.Controllers[2].Crash()
	w.Controllers[2].RunsProduction = true
	w.Controllers[2].Start()
	completeJobs(t, w, 100_000, 100)
	w.Run(20 * time.Second)
	if _, archive := terminalRecords(t, w); len(archive) > 0 {
		t.Error("moved beside a version that doesn't read the archive")
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
		t.Error("moved for few ended jobs")
	}
}

// A page of the archive is damaged: its jobs get 503, all others are served and the leader
// leads on.
func TestCorruptArchivePage(t *testing.T) {
	w, jobs := newWorldWithArchive(t, 300)
	var damaged string
	lost := map[string]bool{}
	for key, value := range w.State.Values() {
		if strings.HasPrefix(key, storage.ArchivePrefix) && (damaged == "" || key < damaged) {
			damaged = key
			clear(lost)
			page, err := storage.ReadArchivePage(protocol.Entry{Key: key, Value: value})
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
		t.Fatal("nobody leads")
	}
	for _, j := range jobs {
		status := 0
		for tries := 0; tries < 10 && status != 200; tries++ {
			leader.Request(message.UserRequest{Kind: message.Poll, Job: j.Submission.ID}, func(r message.Reply) { status = r.Status })
			w.Run(50 * time.Millisecond)
		}
		if want := 200; lost[j.Submission.ID] && status != 503 || !lost[j.Submission.ID] && status != want {
			t.Errorf("%s, lost %v: %d", j.Submission.ID, lost[j.Submission.ID], status)
		}
	}
	if w.Leader() != leader {
		t.Error("the leader has changed")
	}
	if text := strings.Join(w.Log, "\n"); !strings.Contains(text, damaged) {
		t.Error("the log doesn't name the page")
	}
}

// The state service refuses the leader alone while a lookup is out: nobody is told anything
// that isn't so, and users come back to the next leader.
func TestArchiveLookupWhileLeaderLosesStateService(t *testing.T) {
	w, jobs := newWorldWithArchive(t, 200)
	leader := w.Leader()
	w.Network = func(kind, from, _ string) fake.Delivery {
		f := fake.Reliable()
		if kind == fake.KindState && from == leader.Name {
			f.ResponseDelay = 800 * time.Millisecond // the lookup's answer comes after the end of the term
		}
		return f
	}
	for _, j := range jobs[:30] {
		leader.Request(message.UserRequest{Kind: message.Poll, Job: j.Submission.ID}, func(r message.Reply) {
			if r.Status == 404 {
				t.Errorf("%s is called unknown", j.Submission.ID)
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

// The limits are lowered between two moves: pages of the archive that are too large by then
// are divided when something is added, and every job on them is still found.
func TestArchivePagesSplitForLowerLimits(t *testing.T) {
	s := smallMemorySettings()
	s.State.ValueKB = 4
	s.State.TxnOps = 8
	w := newWorldWith(t, s)
	provisionIdleMachines(t, w)
	jobs := completeJobs(t, w, 100_000, 250)
	waitArchived(t, w, jobs)
	w.Cfg.Settings.State.Next = nextLimits(2, 4, 40)
	for _, n := range w.Controllers {
		n.Crash()
		n.Start()
	}
	w.Run(15 * time.Second)
	half := completeJobs(t, w, 400_000, 40)
	w.State.LowerLimits()
	more := completeJobs(t, w, 100_050, 80)
	jobs = slices.Concat(jobs, half, more)
	waitArchived(t, w, jobs)
	requireAllDone(t, w, append(jobs[:40], more[:40]...))
}

// A submission may name a cancelled job that is in the archive and another that is not over.
// It is cancelled, and the end of the other one must not end the controller.
func TestArchivedCancelledPrerequisiteBesideAnUnfinishedOne(t *testing.T) {
	defer func() {
		if err := recover(); err != nil {
			t.Errorf("the controller ended: %v", err)
		}
	}()
	s := smallMemorySettings()
	s.Limits.MemoryMB = 0.02 // one ended job is kept in memory
	w := newWorldWith(t, s)
	cancelled := submitAfter(t, w, job(1, protocol.Array, 1), time.Minute)
	w.Run(2 * time.Second)
	w.CancelJob(cancelled)
	completeJobs(t, w, 100, 6)
	inArchive := func() bool {
		_, archive := terminalRecords(t, w)
		_, ok := archive[cancelled.Submission.ID]
		return ok
	}
	if !w.RunUntil(time.Minute, inArchive) {
		t.Fatal("the cancelled job is not in the archive")
	}
	unfinished := submitAfter(t, w, job(2, protocol.Array, 1), 5*time.Second)
	dependent := submitAfter(t, w, job(3, protocol.Array, 1), time.Second, cancelled, unfinished)
	runAndPoll(w, 30*time.Second)
	if unfinished.Status != protocol.StatusDone || dependent.Status != protocol.StatusCancelled {
		t.Errorf("users are told that the jobs are %q and %q", unfinished.Status, dependent.Status)
	}
	requireNoViolations(t, w)
}
