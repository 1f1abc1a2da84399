package controller_test

import (
	"slices"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// onePagePerTransaction returns settings with which a multiBlockJob has three blocks, and each page
// is written by a transaction of its own.
func onePagePerTransaction() config.Settings {
	s := fake.Settings()
	s.State.TxnOps = 1
	return s
}

// multiBlockJob returns a job whose tasks all fit on one small machine but need more than one block.
func multiBlockJob(id int, kind protocol.JobKind) protocol.Submission {
	s := job(id, kind, 36)
	s.CPUs, s.MemoryGB, s.ImageGB = 0.1, 0.1, 0.1
	if kind == protocol.Service {
		s.CheckpointIntervalS = 0
	}
	return s
}

// requireParentRecords fails if a block is durable before its job, or a job before the records of all
// its prerequisites. The map has the number of prerequisites by job ID.
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

// injectFirstWriteFault makes the first transaction that writes pages be lost, late or refused, as
// given by fault. The next ones succeed.
func injectFirstWriteFault(w *fake.World, fault string) {
	w.SeparatePageWrites = true
	writes := 0
	w.Network = func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind != fake.KindPageWrite {
			return delivery
		}
		writes++
		switch {
		case fault == "lost" && writes == 1:
			delivery.LoseRequest = true
		case fault == "late" && writes == 1:
			delivery.LoseRequest, delivery.DuplicateAfter = true, 4*time.Second
		case fault == "refused" && writes == 1:
			w.After(delivery.RequestDelay, func() { w.State.RejectPageWrites = true })
		case fault == "refused" && writes == 2:
			w.After(delivery.RequestDelay, func() { w.State.RejectPageWrites = false })
		}
		return delivery
	}
}

// injectMachineFault partitions machines, hangs their workers or delays their heartbeats, as given
// by fault, for the duration d.
func injectMachineFault(w *fake.World, machines []string, fault string, d time.Duration) {
	until := w.Now + d
	w.Network = func(kind, from, to string) fake.Delivery {
		delivery := fake.Reliable()
		if w.Now >= until {
			return delivery
		}
		switch {
		case fault == "partitioned" && (slices.Contains(machines, from) || slices.Contains(machines, to)):
			delivery.LoseRequest = true
		case fault == "heartbeats late" && kind == fake.KindHeartbeat && slices.Contains(machines, from):
			delivery.LoseRequest, delivery.DuplicateAfter = true, 5*time.Second
		case fault == "heartbeats late" && kind == fake.KindCommands && slices.Contains(machines, to):
			delivery.LoseResponse = true
		}
		return delivery
	}
	if fault == "hangs" {
		for _, name := range machines {
			w.Workers[name].HangUntil = until
		}
	}
}

// loseNthWrite returns a network that loses the given write of a page, counted from now on, and
// delivers all others.
func loseNthWrite(w *fake.World, number int) func(kind, from, to string) fake.Delivery {
	w.SeparatePageWrites = true
	writes := 0
	return func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindPageWrite {
			writes++
			delivery.LoseRequest = writes == number
		}
		return delivery
	}
}

// loseWritesAfter returns a network that delivers the first count writes of pages and loses all
// others.
func loseWritesAfter(w *fake.World, count int) func(kind, from, to string) fake.Delivery {
	w.SeparatePageWrites = true
	writes := 0
	return func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindPageWrite {
			writes++
			delivery.LoseRequest = writes > count
		}
		return delivery
	}
}

// loseEverySecondWrite returns a network that loses every second write of a page, beginning with
// number from (the first write has number 1), and delivers the others.
func loseEverySecondWrite(from int) func(kind, from, to string) fake.Delivery {
	writes := 0
	return func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == fake.KindPageWrite {
			writes++
			delivery.LoseRequest = writes >= from && writes%2 == from%2
		}
		return delivery
	}
}

// requireTasksRecorded fails if a job is unfinished and the records don't hold each of its tasks as
// started or done. All tasks must have been started before.
func requireTasksRecorded(t *testing.T, w *fake.World, j *fake.Job) {
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
		t.Fatalf("%v: of %d started tasks, %d are recorded as started or done", w.Now, j.Submission.Tasks, tasks)
	}
}

// countRecordedTasks counts the tasks of a job that a page records as started or done.
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
		var err error
		if full, err = storage.ParseBitmap(r.CompletedBlocks); err != nil {
			t.Fatal(err)
		}
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
