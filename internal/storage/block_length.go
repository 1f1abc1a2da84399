package storage

// FindBlockTasks returns the number of tasks in a block of a loaded job, given all of its blocks. If the
// job records the number (recorded is not 0), that is the only candidate. Otherwise the job was written
// with the number that its leader derived from value_kb, whose value may have changed since: the result
// is preferred, the number derived from the present value, if the records agree with it, or else
// another number that they agree with.
//
// The error is a *CorruptRecordError: the records contradict every number, or they agree with several
// under which they would mean different tasks.
func FindBlockTasks(job *JobRecord, recorded, preferred int, blocks []BlockRecord) (int, error) {
	layout, err := newBlockLayout(job, blocks)
	if err != nil {
		return 0, err
	}
	if recorded != 0 {
		return recorded, layout.check(recorded)
	}
	mismatch := layout.check(preferred)
	if mismatch == nil {
		return preferred, nil
	}
	var candidates []int
	for blockTasks := leastBlockTasks; blockTasks <= mostBlockTasks; blockTasks++ {
		if layout.check(blockTasks) == nil {
			candidates = append(candidates, blockTasks)
		}
	}
	// Records of only the first block mean the same tasks whatever its length.
	if len(candidates) == 1 || len(candidates) > 1 && layout.onlyFirstBlock() {
		return candidates[len(candidates)-1], nil
	}
	return 0, mismatch
}

// MayBeOneBlock reports whether a job of that many tasks has a single block under some value of value_kb.
func MayBeOneBlock(tasks int) bool { return tasks <= mostBlockTasks }

// blockLayout has the records of a job that depend on the number of tasks in a block.
type blockLayout struct {
	job       *JobRecord
	completed Bitmap
	blocks    []BlockRecord
	done      []Bitmap // by index in blocks
}

func newBlockLayout(job *JobRecord, blocks []BlockRecord) (*blockLayout, error) {
	layout := &blockLayout{job: job, blocks: blocks}
	var err error
	if layout.completed, err = ParseBitmap(job.CompletedBlocks); err != nil {
		return nil, newCorruptRecordError("job "+job.ID, "invalid completed blocks: %v", err)
	}
	for i := range blocks {
		done, err := ParseBitmap(blocks[i].Done)
		if err != nil {
			return nil, newCorruptRecordError(blocks[i].name(), "invalid done tasks: %v", err)
		}
		layout.done = append(layout.done, done)
	}
	return layout, nil
}

// check returns an error if a record contradicts a number of tasks in a block.
func (l *blockLayout) check(blockTasks int) error {
	if err := l.job.ValidateBlocks(blockTasks, l.completed); err != nil {
		return err
	}
	for i := range l.blocks {
		if err := l.blocks[i].ValidateTasks(l.job.Tasks, blockTasks, l.done[i]); err != nil {
			return err
		}
	}
	return nil
}

func (l *blockLayout) onlyFirstBlock() bool {
	for i := range l.blocks {
		if l.blocks[i].Block != 0 {
			return false
		}
	}
	return l.completed.Len() == 0
}
