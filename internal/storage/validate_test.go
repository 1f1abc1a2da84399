package storage

import (
	"errors"
	"math"
	"testing"

	"oakpick/internal/protocol"
)

// jobPage returns a page with a valid job record after applying change to it.
func jobPage(change func(*JobRecord)) PageValue {
	r := JobRecord{ID: "wk-1", Tasks: 10, CPUs: 1}
	change(&r)
	return PageValue{Jobs: []JobRecord{r}}
}

// blockPage returns a page with a valid block record after applying change to it.
func blockPage(change func(*BlockRecord)) PageValue {
	r := BlockRecord{Job: "wk-1", Starts: []StartRecord{{Task: 1, Attempt: 1, Machine: "i-1", Incarnation: 1}}}
	change(&r)
	return PageValue{Blocks: []BlockRecord{r}}
}

func TestDecodePagesAcceptsValidRecords(t *testing.T) {
	for name, page := range map[string]PageValue{
		"job": jobPage(func(*JobRecord) {}), "block": blockPage(func(*BlockRecord) {}), "nothing": {},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := DecodePages([]protocol.Entry{pageEntry(0, 1, page)}); err != nil {
				t.Error(err)
			}
		})
	}
}

// Records that no version writes are rejected. Each one differs from a valid record in the field
// that its test case names.
func TestDecodePagesRejectsCorruptRecords(t *testing.T) {
	for name, page := range map[string]PageValue{
		"job without id":                  jobPage(func(r *JobRecord) { r.ID = "" }),
		"no tasks":                        jobPage(func(r *JobRecord) { r.Tasks = 0 }),
		"too many tasks":                  jobPage(func(r *JobRecord) { r.Tasks = protocol.MaxTasks + 1 }),
		"unknown kind":                    jobPage(func(r *JobRecord) { r.Kind = 9 }),
		"unknown priority":                jobPage(func(r *JobRecord) { r.Priority = 9 }),
		"negative amount":                 jobPage(func(r *JobRecord) { r.GPUs = -1 }),
		"amount is not a number":          jobPage(func(r *JobRecord) { r.CPUs = math.NaN() }),
		"infinite amount":                 jobPage(func(r *JobRecord) { r.DeadlineS = math.Inf(1) }),
		"block without job":               blockPage(func(r *BlockRecord) { r.Job = "" }),
		"negative block":                  blockPage(func(r *BlockRecord) { r.Block = -1 }),
		"negative task":                   blockPage(func(r *BlockRecord) { r.Starts[0].Task = -1 }),
		"start without machine":           blockPage(func(r *BlockRecord) { r.Starts[0].Machine = "" }),
		"terminal record without id":      {Terminal: []TerminalRecord{{Tasks: 1}}},
		"terminal record, negative tasks": {Terminal: []TerminalRecord{{ID: "wk-1", Tasks: -1}}},
		"provisioning without id":         {Provisioning: []ProvisioningRecord{{Count: 1}}},
		"provisioning of too many":        {Provisioning: []ProvisioningRecord{{RequestID: "r", Count: protocol.MaxScaleOut + 1}}},
		"extension without job":           {Extensions: []JobExtension{{BlockTasks: 1}}},
		"negative block length":           {Extensions: []JobExtension{{Job: "wk-1", BlockTasks: -1}}},
		"prerequisites without job":       {Prerequisites: []PrerequisitesRecord{{IDs: []string{"wk-2"}}}},
		"negative part":                   {Prerequisites: []PrerequisitesRecord{{Job: "wk-1", Part: -1}}},
		"twice on a page":                 {Terminal: []TerminalRecord{{ID: "wk-1", Tasks: 1}, {ID: "wk-1", Tasks: 2}}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := DecodePages([]protocol.Entry{pageEntry(0, 1, page)})
			var corrupt *CorruptRecordError
			if !errors.As(err, &corrupt) {
				t.Errorf("error %v, want a *CorruptRecordError", err)
			}
		})
	}
}

func TestDecodePagesRejectsCopiesOfTheSameVersion(t *testing.T) {
	page := PageValue{Terminal: []TerminalRecord{{ID: "wk-1", Tasks: 1}}}
	_, err := DecodePages([]protocol.Entry{pageEntry(0, 4, page), pageEntry(1, 4, page)})
	var corrupt *CorruptRecordError
	if !errors.As(err, &corrupt) {
		t.Errorf("one transaction wrote a record on two pages: error %v", err)
	}
}

func TestCorruptRecordErrorNamesTheRecordAndTheValue(t *testing.T) {
	for want, page := range map[string]PageValue{
		"job wk-1: unknown kind 9":                                              jobPage(func(r *JobRecord) { r.Kind = 9 }),
		"job wk-1: unknown priority 9":                                          jobPage(func(r *JobRecord) { r.Priority = 9 }),
		"job wk-1: invalid value of DeadlineS: +Inf":                            jobPage(func(r *JobRecord) { r.DeadlineS = math.Inf(1) }),
		"block -1 of job wk-1: invalid job ID or block number":                  blockPage(func(r *BlockRecord) { r.Block = -1 }),
		"terminal record of job wk-1: invalid job ID or number of tasks -1":     {Terminal: []TerminalRecord{{ID: "wk-1", Tasks: -1}}},
		"block of job wk-1/2: is stored twice in revision 1":                    {Blocks: []BlockRecord{{Job: "wk-1", Block: 2}, {Job: "wk-1", Block: 2}}},
		"extension of job wk-1: invalid job ID or number of tasks per block -1": {Extensions: []JobExtension{{Job: "wk-1", BlockTasks: -1}}},
		"prerequisites of job wk-1: invalid job ID or part number -1":           {Prerequisites: []PrerequisitesRecord{{Job: "wk-1", Part: -1}}},
		"provisioning request r: invalid request ID or number of machines -1":   {Provisioning: []ProvisioningRecord{{RequestID: "r", Count: -1}}},
		"block 0 of job wk-1: invalid start of task 1 on machine \"\"":          blockPage(func(r *BlockRecord) { r.Starts[0].Machine = "" }),
	} {
		t.Run(want, func(t *testing.T) {
			_, err := DecodePages([]protocol.Entry{pageEntry(0, 1, page)})
			var corrupt *CorruptRecordError
			if !errors.As(err, &corrupt) || corrupt.Error() != want {
				t.Errorf("error %v, want %s", err, want)
			}
		})
	}
}

func bitmapOf(i int) (b Bitmap) { b.Set(i); return b }

// The blocks of a job with 20 tasks and 8 tasks per block have 8, 8 and 4 tasks.
func TestBlockRecordsMatchTheBlockLength(t *testing.T) {
	const tasks, blockTasks = 20, 8
	start := func(task int) []StartRecord { return []StartRecord{{Task: task, Machine: "i-1"}} }
	for _, c := range []struct {
		name   string
		block  int
		done   Bitmap
		starts []StartRecord
		valid  bool
	}{
		{"last task of the first block", 0, bitmapOf(7), start(7), true},
		{"last task of the last block", 2, bitmapOf(3), start(19), true},
		{"done after the first block", 0, bitmapOf(8), nil, false},
		{"done after the last block", 2, bitmapOf(4), nil, false},
		{"no such block", 3, nil, nil, false},
		{"start before the block", 1, nil, start(7), false},
		{"start after the block", 1, nil, start(16), false},
		{"start after the last block", 2, nil, start(20), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := BlockRecord{Job: "wk-1", Block: c.block, Starts: c.starts}
			if err := r.ValidateTasks(tasks, blockTasks, c.done); (err == nil) != c.valid {
				t.Errorf("block %d, done %x, %v: %v", c.block, c.done, c.starts, err)
			}
		})
	}
}

func TestValidateBlocksRejectsNonexistentBlocks(t *testing.T) {
	const blockTasks = 8
	job := JobRecord{ID: "wk-1", Tasks: 20}
	if err := job.ValidateBlocks(blockTasks, bitmapOf(2)); err != nil {
		t.Error(err)
	}
	if job.ValidateBlocks(blockTasks, bitmapOf(3)) == nil {
		t.Error("a completed fourth block of a job with three blocks was accepted")
	}
}
