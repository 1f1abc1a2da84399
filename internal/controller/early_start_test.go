package controller_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// onePagePerTransaction are settings with which such a job has three blocks, and
// each page a transaction of its own.
func onePagePerTransaction() config.Settings {
	s := fake.Settings()
	s.State.TxnOps = 1
	return s
}

// multiBlockJob is a job whose tasks all find room on one small machine, and take more
// than one block.
func multiBlockJob(id int, shape protocol.JobKind) protocol.Submission {
	s := job(id, shape, 36)
	s.CPUs, s.MemoryGB, s.ImageGB = 0.1, 0.1, 0.1
	if shape == protocol.Service {
		s.CheckpointIntervalS = 0
	}
	return s
}

// requireParentRecords fails if a record is durable before the one that it belongs to: a block
// without its job, a job without some of its prerequisites.
func requireParentRecords(t *testing.T, w *fake.World, prerequisites map[string]int) {
	t.Helper()
	jobs, blocks, named := map[string]bool{}, map[string]bool{}, map[string]int{}
	for key, value := range pagesOf(w) {
		var page storage.PageValue
		if err := protocol.Decode(value, &page); err != nil {
			t.Fatalf("%s: %v", key, err)
		}
		for _, r := range page.Jobs {
			jobs[r.ID] = true
		}
		for _, r := range page.Terminal {
			jobs[r.ID], named[r.ID] = true, prerequisites[r.ID]
		}
		for _, r := range page.Blocks {
			blocks[r.Job] = true
		}
		for _, r := range page.Extensions {
			named[r.Job] += len(r.Prerequisites)
		}
		for _, r := range page.Prerequisites {
			named[r.Job] += len(r.IDs)
		}
	}
	for id := range blocks {
		if !jobs[id] {
			t.Fatalf("%v: a block of %s is durable before the job is", w.Now, id)
		}
	}
	for id, want := range prerequisites {
		if jobs[id] && named[id] != want {
			t.Fatalf("%v: %s is durable with %d of %d prerequisites", w.Now, id, named[id], want)
		}
	}
}

// disturbFirstWrite has the first transaction of a page meet a trouble, and all others pass.
func disturbFirstWrite(w *fake.World, trouble string) {
	w.SeparateWrites = true
	writes := 0
	w.Network = func(kind, _, _ string) fake.Delivery {
		f := fake.Reliable()
		if kind != fake.KindWrite {
			return f
		}
		writes++
		switch {
		case trouble == "lost" && writes == 1:
			f.LoseRequest = true
		case trouble == "late" && writes == 1:
			f.LoseRequest, f.DuplicateAfter = true, 4*time.Second
		case trouble == "refused" && writes == 1:
			w.After(f.RequestDelay, func() { w.State.RejectWrites = true })
		case trouble == "refused" && writes == 2:
			w.After(f.RequestDelay, func() { w.State.RejectWrites = false })
		}
		return f
	}
}

// disturbMachines has machines meet a trouble for so long: cut off, hanging, or with reports
// that arrive late.
func disturbMachines(w *fake.World, hosts []string, trouble string, d time.Duration) {
	until := w.Now + d
	w.Network = func(kind, from, to string) fake.Delivery {
		f := fake.Reliable()
		if w.Now >= until {
			return f
		}
		switch {
		case trouble == "cut off" && (slices.Contains(hosts, from) || slices.Contains(hosts, to)):
			f.LoseRequest = true
		case trouble == "reports late" && kind == fake.KindHeartbeat && slices.Contains(hosts, from):
			f.LoseRequest, f.DuplicateAfter = true, 5*time.Second
		case trouble == "reports late" && kind == fake.KindCommands && slices.Contains(hosts, to):
			f.LoseResponse = true
		}
		return f
	}
	if trouble == "hangs" {
		for _, name := range hosts {
			w.Workers[name].HangUntil = until
		}
	}
}

// The transaction with a job's record is lost, late or refused, those with its other
// blocks pass, and the leader ends. The successor knows no such job, its user submits it
// again, and the machines that could have been told of the first acceptance can't be
// asked. Nothing of a job starts before its record is durable (seen on an enlarged bench
// day as "a block of an unknown job is dropped", with its starts).
func TestNoStartBeforeJobIsDurable(t *testing.T) {
	for _, shape := range []protocol.JobKind{protocol.Array, protocol.Gang, protocol.Service} {
		for _, write := range []string{"lost", "late", "refused"} {
			for _, machine := range []string{"cut off", "hangs", "reports late"} {
				for _, cancel := range []bool{false, true} {
					t.Run(fmt.Sprint(shape, " write ", write, " machine ", machine, " cancel ", cancel), func(t *testing.T) {
						t.Parallel()
						testNoStartBeforeJobIsDurable(t, shape, write, machine, cancel)
					})
				}
			}
		}
	}
}

func testNoStartBeforeJobIsDurable(t *testing.T, shape protocol.JobKind, write, machine string, cancel bool) {
	w := newWorldWith(t, onePagePerTransaction())
	hosts := provisionIdleMachines(t, w)
	w.Run(5 * time.Second) // nothing is left to be written
	disturbFirstWrite(w, write)
	j := w.Submit(multiBlockJob(1, shape), 20*time.Second)
	for range 6 {
		w.Run(50 * time.Millisecond)
		requireParentRecords(t, w, nil)
	}
	if on := w.MachinesOf(j.Submission.ID); len(on) > 0 {
		if !j.Accepted && write != "refused" {
			t.Errorf("%d tasks are on machines, and the job is not accepted", len(on))
		}
		hosts = on
	}
	disturbMachines(w, hosts[:1], machine, 8*time.Second)
	if l := w.Leader(); l != nil {
		l.Crash()
		w.After(4*time.Second, l.Start)
	}
	if cancel {
		w.CancelEverywhere(j)
	}
	for n := range 80 {
		if n%10 == 5 {
			w.QueryEverywhere(j) // the user doesn't wait for an answer of the node that has ended
		}
		w.Run(100 * time.Millisecond)
		requireParentRecords(t, w, nil)
	}
	runAndPoll(w, 60*time.Second)
	requireNoViolations(t, w)
	for _, line := range w.Log {
		if strings.Contains(line, "a block of an unknown job is dropped") {
			t.Error(line)
		}
	}
	if !cancel {
		requireAllServed(t, w)
	}
}

// All that a job needs is done, and its prerequisites take records of their own: it could
// start at once, and must not be durable before they are, whichever write is lost.
func TestNoStartBeforePrerequisitesAreDurable(t *testing.T) {
	for lost := 1; lost <= 4; lost++ {
		t.Run(fmt.Sprint("write ", lost, " lost"), func(t *testing.T) {
			t.Parallel()
			w := newWorldWith(t, onePagePerTransaction())
			provisionIdleMachines(t, w)
			var needs []*fake.Job
			for n := range 200 {
				s := job(1000+n, protocol.Array, 1)
				s.CPUs, s.MemoryGB = 0.1, 0.1
				needs = append(needs, w.Submit(s, time.Second))
			}
			done := func(j *fake.Job) bool { return j.Status == protocol.StatusDone }
			for tries := 0; tries < 60 && !allMatch(needs, done); tries++ {
				runAndPoll(w, 2*time.Second)
			}
			if !allMatch(needs, done) {
				t.Fatal("the prerequisites are not done")
			}
			w.Network = loseNthWrite(w, lost)
			j := submitAfter(t, w, multiBlockJob(1, protocol.Array), time.Second, needs...)
			for range 60 {
				w.Run(50 * time.Millisecond)
				requireParentRecords(t, w, map[string]int{j.Submission.ID: len(needs)})
			}
			runAndPoll(w, 40*time.Second)
			requireNoViolations(t, w)
			requireAllServed(t, w)
		})
	}
}

// loseNthWrite loses one write of a page, counted from now on; the others pass.
func loseNthWrite(w *fake.World, number int) func(kind, from, to string) fake.Delivery {
	w.SeparateWrites = true
	writes := 0
	return func(kind, _, _ string) fake.Delivery {
		f := fake.Reliable()
		if kind == fake.KindWrite {
			writes++
			f.LoseRequest = writes == number
		}
		return f
	}
}

func allMatch[T any](items []T, ok func(T) bool) bool {
	return !slices.ContainsFunc(items, func(x T) bool { return !ok(x) })
}

// The last block of an array ends, and its removal would be durable while the end of the
// job is not, when the leader ends. The successor must not start the tasks again whose
// ends are forgotten with the block.
func TestBlocksKeptUntilJobEndIsDurable(t *testing.T) {
	for lost := 1; lost <= 6; lost++ {
		t.Run(fmt.Sprint("lost from write ", lost), func(t *testing.T) {
			w := newWorldWith(t, onePagePerTransaction())
			provisionIdleMachines(t, w)
			j := w.Submit(multiBlockJob(1, protocol.Array), 6*time.Second)
			if !w.RunUntil(30*time.Second, func() bool { return w.Running(j.Submission.ID) == j.Submission.Tasks }) {
				t.Fatal("not all tasks run")
			}
			w.Run(2 * time.Second)
			w.SeparateWrites = true
			w.Network = loseEverySecondWrite(lost)
			before := w.Now
			if !w.RunUntil(20*time.Second, func() bool { return len(j.DoneTasks) == j.Submission.Tasks }) {
				t.Fatal("the tasks don't end")
			}
			for w.Now < before+10*time.Second {
				w.Run(50 * time.Millisecond)
				requireTaskEndsRecorded(t, w, j)
			}
			w.Leader().Crash()
			w.Network = nil
			runAndPoll(w, 30*time.Second)
			requireNoViolations(t, w)
			requireAllServed(t, w)
		})
	}
}

// loseEverySecondWrite loses every second write of a page, from such a one on (the first is 1);
// the others pass.
func loseEverySecondWrite(from int) func(kind, from, to string) fake.Delivery {
	writes := 0
	return func(kind, _, _ string) fake.Delivery {
		f := fake.Reliable()
		if kind == fake.KindWrite {
			writes++
			f.LoseRequest = writes >= from && writes%2 == from%2
		}
		return f
	}
}

// requireTaskEndsRecorded fails if a job is recorded as unfinished, and the ends of tasks that were
// recorded are so no longer.
func requireTaskEndsRecorded(t *testing.T, w *fake.World, j *fake.Job) {
	t.Helper()
	unfinished, _ := recordedJobs(t, pagesOf(w))
	if _, open := unfinished[j.Submission.ID]; !open {
		return
	}
	tasks := 0
	for _, value := range pagesOf(w) {
		tasks += countRecordedTasks(t, value, j.Submission.ID)
	}
	if tasks < j.Submission.Tasks {
		t.Fatalf("%v: of %d tasks that were started %d are recorded as started or done", w.Now, j.Submission.Tasks, tasks)
	}
}

// countRecordedTasks counts a job's tasks that a page names as started or done.
func countRecordedTasks(t *testing.T, value []byte, id string) int {
	t.Helper()
	var page storage.PageValue
	if err := protocol.Decode(value, &page); err != nil {
		t.Fatal(err)
	}
	blockTasks := storage.BlockTasks(storage.PageBytes(fake.Settings().State.ValueKB))
	n := 0
	full := storage.Bitmap{}
	for _, r := range page.Jobs {
		if r.ID != id {
			continue
		}
		full, _ = storage.ParseBitmap(r.CompletedBlocks)
		for b := 0; b*blockTasks < r.Tasks; b++ {
			if full.Has(b) {
				n += min(blockTasks, r.Tasks-b*blockTasks)
			}
		}
	}
	for _, r := range page.Blocks {
		if r.Job != id || full.Has(r.Block) {
			continue
		}
		done, err := storage.ParseBitmap(r.Done)
		if err != nil {
			t.Fatal(err)
		}
		n += len(r.Starts)
		for i := range blockTasks {
			if done.Has(i) {
				n++
			}
		}
	}
	return n
}

// A gang is accepted, and of its first attempt the starts of some blocks are durable, and
// the record with the attempt's number is not, when the leader ends. The successor starts
// what is missing with the number that the others have: members of two attempts would wait
// for each other in vain.
func TestGangMembersShareOneAttemptNumber(t *testing.T) {
	for lost := 2; lost <= 5; lost++ {
		t.Run(fmt.Sprint("lost from write ", lost), func(t *testing.T) {
			w := newWorldWith(t, onePagePerTransaction())
			provisionIdleMachines(t, w)
			w.Run(5 * time.Second)
			tries := map[int64]bool{}
			w.OnHeartbeat = func(r protocol.Heartbeat) {
				for _, task := range r.Tasks {
					if task.Job == "wk-000001" {
						tries[task.Number] = true
					}
				}
			}
			w.Network = loseNthWrite(w, lost)
			j := w.Submit(multiBlockJob(1, protocol.Gang), 5*time.Second)
			w.Run(300 * time.Millisecond)
			w.Leader().Crash()
			w.Network = nil
			runAndPoll(w, 60*time.Second)
			requireNoViolations(t, w)
			if len(tries) != 1 {
				t.Errorf("members of %d attempts were started", len(tries))
			}
			if j.Status != protocol.StatusDone {
				t.Errorf("the gang is called %q", j.Status)
			}
		})
	}
}
