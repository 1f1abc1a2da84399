package storage

import (
	"testing"

	"pgregory.net/rapid"
)

// drawBlocks draws the records of a job of one block: started and done tasks.
func drawBlocks(t *rapid.T, job *JobRecord) []BlockRecord {
	block := BlockRecord{Job: job.ID, LastAttempt: 1}
	var done Bitmap
	for task := range job.Tasks {
		switch rapid.IntRange(0, 2).Draw(t, "state") {
		case 1:
			block.Starts = append(block.Starts, StartRecord{Task: task, Machine: "i-1"})
		case 2:
			done.Set(task)
		}
	}
	block.Done = done.Text()
	return []BlockRecord{block}
}

// A job of one block doesn't record its block length. Guards against records that can't be loaded after
// value_kb has changed: whatever the new value, each record refers to the same task as before.
func TestBlockTasksOfOneBlockUnderAnyValueSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		written := BlockTasks(rapid.IntRange(1<<10, 64<<10).Draw(t, "page bytes"))
		job := &JobRecord{ID: "wk-1", Tasks: rapid.IntRange(1, written).Draw(t, "tasks")}
		blocks := drawBlocks(t, job)
		preferred := BlockTasks(rapid.IntRange(1<<10, 64<<10).Draw(t, "later page bytes"))
		blockTasks, err := FindBlockTasks(job, 0, preferred, blocks)
		if err != nil {
			t.Fatal(err)
		}
		if err := blocks[0].ValidateTasks(job.Tasks, blockTasks, MustParseBitmap(blocks[0].Done)); err != nil {
			t.Fatal(err)
		}
	})
}

// Records of several blocks that agree with several lengths mean different tasks under each, so none is
// chosen; the recorded length is never replaced.
func TestBlockTasksAreNotGuessed(t *testing.T) {
	job := &JobRecord{ID: "wk-1", Tasks: 60}
	start := func(block, task int) BlockRecord {
		return BlockRecord{Job: job.ID, Block: block, Starts: []StartRecord{{Task: task, Machine: "i-1"}}}
	}
	for _, c := range []struct {
		name      string
		recorded  int
		preferred int
		blocks    []BlockRecord
		want      int // 0 if the records can't be understood
	}{
		{"recorded", 24, 6, []BlockRecord{start(0, 23), start(1, 24)}, 24},
		{"recorded, contradicted", 6, 24, []BlockRecord{start(0, 23)}, 0},
		{"preferred", 0, 24, []BlockRecord{start(0, 20), start(1, 30)}, 24},
		{"one length", 0, 6, []BlockRecord{start(0, 23), start(1, 24)}, 24},
		{"several lengths", 0, 6, []BlockRecord{start(0, 20), start(1, 30)}, 0},
		{"no length", 0, 6, []BlockRecord{start(0, 40), start(1, 30)}, 0},
		{"only the first block", 0, 6, []BlockRecord{start(0, 20)}, mostBlockTasks},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := FindBlockTasks(job, c.recorded, c.preferred, c.blocks)
			if (err == nil) != (c.want != 0) || err == nil && got != c.want {
				t.Errorf("%d, %v; want %d", got, err, c.want)
			}
		})
	}
}
