package storage

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"oakpick/internal/protocol"
)

// The size reserved for records is never less than their encoded size, whatever their names, so
// a page never exceeds its limit.
func TestReservedSizeCoversEncodedRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		job, blocks := drawJobRecord(t)
		tasks := rapid.IntRange(1, 64).Draw(t, "block")
		terminal := TerminalRecord{ID: job.ID, Cancelled: true, Tasks: 100000}
		page := PageValue{
			WriteID:  "123456789-123456789",
			Jobs:     []JobRecord{job},
			Blocks:   []BlockRecord{fullBlock(job.ID, tasks)},
			Terminal: []TerminalRecord{terminal},
		}
		reserved := pageOverhead + job.ReservedSize(blocks) + BlockSize(job.ID, tasks) + tasks*StartReservedSize + terminal.ReservedSize()
		if n := sizeInJSON(t, page); n > reserved {
			t.Fatalf("%d bytes reserved, %d taken", reserved, n)
		}
	})
}

// drawJobRecord returns a job with arbitrary names, and the number of its blocks, the last of
// which is marked as completed.
func drawJobRecord(t *rapid.T) (job JobRecord, blocks int) {
	name := rapid.StringN(0, 20, 40)
	amount := rapid.Float64Range(0, 1e9)
	s := protocol.Submission{
		ID:            "wk-" + fmt.Sprint(rapid.Uint64().Draw(t, "id")),
		Class:         name.Draw(t, "class"),
		Team:          name.Draw(t, "team"),
		Image:         name.Draw(t, "image"),
		Zone:          name.Draw(t, "zone"),
		Types:         rapid.SliceOfN(name, 0, 4).Draw(t, "types"),
		Tasks:         rapid.IntRange(1, 100000).Draw(t, "tasks"),
		CPUs:          amount.Draw(t, "cpus"),
		MemoryGB:      amount.Draw(t, "mem"),
		EstimatedRunS: 1.0 / 3,
	}
	job = NewJobRecord(&s, 1<<52)
	blocks = s.Tasks / 56
	completed := Bitmap{}
	completed.Set(blocks)
	job.CompletedBlocks, job.GangAttempt = completed.Text(), 1<<60
	return job, blocks
}

// fullBlock returns a block in which every task was started.
func fullBlock(job string, tasks int) BlockRecord {
	block := BlockRecord{Job: job, Block: 1000, LastAttempt: 1 << 60, Done: strings.Repeat("f", tasks/4+2)}
	for i := range tasks {
		block.Starts = append(block.Starts, StartRecord{Task: i, Attempt: 99999, Machine: "i-000000000000001", Incarnation: 99999})
	}
	return block
}
