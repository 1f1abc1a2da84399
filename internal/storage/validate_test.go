package storage

import (
	"errors"
	"math"
	"testing"

	"oakpick/internal/protocol"
)

func entryOf(number int, version int64, v PageValue) protocol.Entry {
	return protocol.Entry{Key: (&page{number: number}).key(), Version: version, Value: protocol.Encode(v)}
}

// Records that no version writes are refused with the record named, each for itself; what
// they are made from is read.
func TestReadPagesRejectsCorruptRecords(t *testing.T) {
	job := func(change func(*JobRecord)) PageValue {
		r := JobRecord{ID: "wk-1", Tasks: 10, CPUs: 1}
		change(&r)
		return PageValue{Jobs: []JobRecord{r}}
	}
	block := func(change func(*BlockRecord)) PageValue {
		r := BlockRecord{Job: "wk-1", Starts: []StartRecord{{Task: 1, Attempt: 1, Machine: "i-1", Incarnation: 1}}}
		change(&r)
		return PageValue{Blocks: []BlockRecord{r}}
	}
	for _, good := range []PageValue{job(func(*JobRecord) {}), block(func(*BlockRecord) {}), {}} {
		if _, err := ReadPages([]protocol.Entry{entryOf(0, 1, good)}); err != nil {
			t.Error(err)
		}
	}
	for name, bad := range map[string]PageValue{
		"job without id":         job(func(r *JobRecord) { r.ID = "" }),
		"no tasks":               job(func(r *JobRecord) { r.Tasks = 0 }),
		"too many tasks":         job(func(r *JobRecord) { r.Tasks = protocol.MaxTasks + 1 }),
		"unknown shape":          job(func(r *JobRecord) { r.Kind = 9 }),
		"unknown priority":       job(func(r *JobRecord) { r.Priority = 9 }),
		"negative amount":        job(func(r *JobRecord) { r.GPUs = -1 }),
		"no number":              job(func(r *JobRecord) { r.CPUs = math.NaN() }),
		"endless":                job(func(r *JobRecord) { r.DeadlineS = math.Inf(1) }),
		"block without job":      block(func(r *BlockRecord) { r.Job = "" }),
		"negative block":         block(func(r *BlockRecord) { r.Block = -1 }),
		"negative task":          block(func(r *BlockRecord) { r.Starts[0].Task = -1 }),
		"start without machine":  block(func(r *BlockRecord) { r.Starts[0].Machine = "" }),
		"end without id":         {Terminal: []TerminalRecord{{Tasks: 1}}},
		"end of negative tasks":  {Terminal: []TerminalRecord{{ID: "wk-1", Tasks: -1}}},
		"rental without name":    {Provisioning: []ProvisioningRecord{{Count: 1}}},
		"rental of too many":     {Provisioning: []ProvisioningRecord{{RequestID: "r", Count: protocol.MaxScaleOut + 1}}},
		"extension without job":  {Extensions: []JobExtension{{BlockTasks: 1}}},
		"prerequisites of none":  {Prerequisites: []PrerequisitesRecord{{IDs: []string{"wk-2"}}}},
		"negative part":          {Prerequisites: []PrerequisitesRecord{{Job: "wk-1", Part: -1}}},
		"negative block length":  {Extensions: []JobExtension{{Job: "wk-1", BlockTasks: -1}}},
		"a record that's double": {Terminal: []TerminalRecord{{ID: "wk-1", Tasks: 1}, {ID: "wk-1", Tasks: 2}}},
	} {
		_, err := ReadPages([]protocol.Entry{entryOf(0, 1, bad)})
		var damage *CorruptRecordError
		if !errors.As(err, &damage) {
			t.Errorf("%s: %v", name, err)
		}
	}
	twice := PageValue{Terminal: []TerminalRecord{{ID: "wk-1", Tasks: 1}}}
	if _, err := ReadPages([]protocol.Entry{entryOf(0, 4, twice), entryOf(1, 4, twice)}); err == nil {
		t.Error("one transaction wrote a record on two pages, and both count")
	}
}

// Records of blocks agree with the length of the job's blocks, or are refused.
func TestBlockRecordsMatchTheBlockLength(t *testing.T) {
	const tasks, blockTasks = 20, 8 // 8, 8 and 4 tasks
	bit := func(i int) (b Bitmap) { b.Set(i); return b }
	start := func(task int) []StartRecord { return []StartRecord{{Task: task, Machine: "i-1"}} }
	for _, c := range []struct {
		block  int
		done   Bitmap
		starts []StartRecord
		ok     bool
	}{
		{0, bit(7), start(7), true}, {2, bit(3), start(19), true},
		{0, bit(8), nil, false}, {2, bit(4), nil, false}, {3, nil, nil, false},
		{1, nil, start(7), false}, {1, nil, start(16), false}, {2, nil, start(20), false},
	} {
		r := BlockRecord{Job: "wk-1", Block: c.block, Starts: c.starts}
		if err := r.ValidateTasks(tasks, blockTasks, c.done); (err == nil) != c.ok {
			t.Errorf("block %d, done %x, %v: %v", c.block, c.done, c.starts, err)
		}
	}
	job := JobRecord{ID: "wk-1", Tasks: tasks}
	if err := job.ValidateBlocks(blockTasks, bit(2)); err != nil {
		t.Error(err)
	}
	if job.ValidateBlocks(blockTasks, bit(3)) == nil {
		t.Error("a fourth block of three is done")
	}
}
