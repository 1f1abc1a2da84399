package storage

import (
	"testing"
)

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
