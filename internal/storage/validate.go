package storage

import (
	"fmt"
	"math"

	"oakpick/internal/protocol"
)

// CorruptRecordError tells that a stored record is one that no version writes. The pages are
// then not used at all: what a wrong record says about tasks on machines, or about the
// ends of jobs, must not be acted upon.
type CorruptRecordError struct {
	Record string // which one
	Reason string
}

func (e *CorruptRecordError) Error() string { return fmt.Sprintf("%s: %s", e.Record, e.Reason) }

func corrupt(record, format string, args ...any) error {
	return &CorruptRecordError{Record: record, Reason: fmt.Sprintf(format, args...)}
}

// validate finds the first record of a page that no version writes.
func (v *PageValue) validate() error {
	for i := range v.Jobs {
		if err := v.Jobs[i].validate(); err != nil {
			return err
		}
	}
	for i := range v.Blocks {
		if err := v.Blocks[i].validate(); err != nil {
			return err
		}
	}
	for _, r := range v.Terminal {
		if r.ID == "" || r.Tasks < 0 {
			return corrupt("the end of job "+r.ID, "%d tasks", r.Tasks)
		}
	}
	for _, r := range v.Provisioning {
		if r.RequestID == "" || r.Count < 0 || r.Count > protocol.MaxScaleOut {
			return corrupt("rental "+r.RequestID, "%d machines", r.Count)
		}
	}
	for _, r := range v.Prerequisites {
		if r.Job == "" || r.Part < 0 {
			return corrupt("the prerequisites of job "+r.Job, "part %d", r.Part)
		}
	}
	for _, r := range v.Extensions {
		if r.Job == "" || r.BlockTasks < 0 || r.BlockTasks > protocol.MaxTasks {
			return corrupt("the extension of job "+r.Job, "blocks of %d tasks", r.BlockTasks)
		}
	}
	return nil
}

func (r *JobRecord) validate() error {
	record := "job " + r.ID
	switch {
	case r.ID == "":
		return corrupt(record, "no id")
	case r.Tasks < 1 || r.Tasks > protocol.MaxTasks:
		return corrupt(record, "%d tasks", r.Tasks)
	case r.Kind > protocol.Service:
		return corrupt(record, "an unknown shape")
	case r.Priority > protocol.Production:
		return corrupt(record, "an unknown priority")
	}
	for _, amount := range []float64{r.CPUs, r.GPUs, r.MemoryGB, r.ImageGB, r.EstimatedRunS, r.CheckpointIntervalS, r.CheckpointDurationS, r.DeadlineS} {
		if amount < 0 || math.IsNaN(amount) || math.IsInf(amount, 0) {
			return corrupt(record, "an amount of %v", amount)
		}
	}
	return nil
}

func (r *BlockRecord) validate() error {
	record := fmt.Sprintf("block %d of job %s", r.Block, r.Job)
	if r.Job == "" || r.Block < 0 {
		return corrupt(record, "no such block")
	}
	for _, s := range r.Starts {
		if s.Task < 0 || s.Machine == "" {
			return corrupt(record, "a start of task %d on machine %q", s.Task, s.Machine)
		}
	}
	return nil
}

// ValidateBlocks tells whether a job's records agree with its blocks having so many
// tasks. They don't if value_kb, from which the number follows where it isn't recorded,
// is not what it was when the job was accepted.
func (r *JobRecord) ValidateBlocks(blockTasks int, full Bitmap) error {
	if blocks := (r.Tasks + blockTasks - 1) / blockTasks; full.Len() > blocks {
		return corrupt("job "+r.ID, "block %d of %d is done: was value_kb changed?", full.Len()-1, blocks)
	}
	return nil
}

// ValidateTasks tells whether the tasks that a block's record names are of this block,
// given the number of the job's tasks and of each block's.
func (r *BlockRecord) ValidateTasks(tasks, blockTasks int, done Bitmap) error {
	record := fmt.Sprintf("block %d of job %s", r.Block, r.Job)
	first := r.Block * blockTasks
	end := min(first+blockTasks, tasks)
	if first >= tasks || done.Len() > end-first {
		return corrupt(record, "%d tasks done of tasks %d to %d of %d: was value_kb changed?", done.Len(), first, end-1, tasks)
	}
	for _, s := range r.Starts {
		if s.Task < first || s.Task >= end {
			return corrupt(record, "a start of task %d, not of %d to %d: was value_kb changed?", s.Task, first, end-1)
		}
	}
	return nil
}
