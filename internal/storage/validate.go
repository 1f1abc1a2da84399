package storage

import (
	"fmt"
	"math"

	"oakpick/internal/protocol"
)

// CorruptRecordError reports a stored record that no version writes. The loaded pages must
// not be used at all: acting on wrong data about tasks on machines or about finished jobs
// would be unsafe.
type CorruptRecordError struct {
	Record string // names the record, as in "block 3 of job wk-1"
	Reason string
}

func (e *CorruptRecordError) Error() string { return fmt.Sprintf("%s: %s", e.Record, e.Reason) }

func newCorruptRecordError(record, format string, args ...any) error {
	return &CorruptRecordError{Record: record, Reason: fmt.Sprintf(format, args...)}
}

// validate returns an error for the first invalid record of a page.
func (v *PageValue) validate() error {
	return firstError(
		validateAll(v.Jobs, (*JobRecord).validate),
		validateAll(v.Blocks, (*BlockRecord).validate),
		validateAll(v.Terminal, (*TerminalRecord).validate),
		validateAll(v.Provisioning, (*ProvisioningRecord).validate),
		validateAll(v.Prerequisites, (*PrerequisitesRecord).validate),
		validateAll(v.Extensions, (*JobExtension).validate),
	)
}

func validateAll[T any](records []T, validate func(*T) error) error {
	for i := range records {
		if err := validate(&records[i]); err != nil {
			return err
		}
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *JobRecord) validate() error {
	record := "job " + r.ID
	switch {
	case r.ID == "":
		return newCorruptRecordError(record, "missing ID")
	case r.Tasks < 1 || r.Tasks > protocol.MaxTasks:
		return newCorruptRecordError(record, "invalid number of tasks %d", r.Tasks)
	case r.Kind > protocol.Service:
		return newCorruptRecordError(record, "unknown kind %d", uint8(r.Kind))
	case r.Priority > protocol.Production:
		return newCorruptRecordError(record, "unknown priority %d", uint8(r.Priority))
	}
	for i, amount := range r.amounts() {
		if amount < 0 || math.IsNaN(amount) || math.IsInf(amount, 0) {
			return newCorruptRecordError(record, "invalid value of %s: %v", amountNames[i], amount)
		}
	}
	return nil
}

func (r *BlockRecord) validate() error {
	if r.Job == "" || r.Block < 0 {
		return newCorruptRecordError(r.name(), "invalid job ID or block number")
	}
	for _, s := range r.Starts {
		if s.Task < 0 || s.Machine == "" {
			return newCorruptRecordError(r.name(), "invalid start of task %d on machine %q", s.Task, s.Machine)
		}
	}
	return nil
}

func (r *TerminalRecord) validate() error {
	if !r.valid() {
		return newCorruptRecordError("terminal record of job "+r.ID, "invalid job ID or number of tasks %d", r.Tasks)
	}
	return nil
}

func (r *TerminalRecord) valid() bool { return r.ID != "" && r.Tasks >= 0 }

func (r *ProvisioningRecord) validate() error {
	if r.RequestID == "" || r.Count < 0 || r.Count > protocol.MaxScaleOut {
		return newCorruptRecordError("provisioning request "+r.RequestID, "invalid request ID or number of machines %d", r.Count)
	}
	return nil
}

func (r *PrerequisitesRecord) validate() error {
	if r.Job == "" || r.Part < 0 {
		return newCorruptRecordError("prerequisites of job "+r.Job, "invalid job ID or part number %d", r.Part)
	}
	return nil
}

func (r *JobExtension) validate() error {
	if r.Job == "" || r.BlockTasks < 0 || r.BlockTasks > protocol.MaxTasks {
		return newCorruptRecordError("extension of job "+r.Job, "invalid job ID or number of tasks per block %d", r.BlockTasks)
	}
	return nil
}

// ValidateBlocks checks that a job's completed blocks exist, given the number of tasks per
// block. That number is derived from value_kb for jobs that don't record it, so a change of
// value_kb after the job was accepted can invalidate the blocks. The error is a
// *CorruptRecordError.
func (r *JobRecord) ValidateBlocks(blockTasks int, completed Bitmap) error {
	if blocks := (r.Tasks + blockTasks - 1) / blockTasks; completed.Len() > blocks {
		return newCorruptRecordError("job "+r.ID, "block %d is marked as completed, but the job has %d blocks: was value_kb changed?", completed.Len()-1, blocks)
	}
	return nil
}

// ValidateTasks checks that the tasks in a block's record belong to that block, given the
// number of the job's tasks and the number of tasks per block. The error is a
// *CorruptRecordError.
func (r *BlockRecord) ValidateTasks(tasks, blockTasks int, done Bitmap) error {
	first := r.Block * blockTasks
	end := min(first+blockTasks, tasks)
	if first >= tasks || done.Len() > end-first {
		return newCorruptRecordError(r.name(), "%d done tasks don't match tasks %d to %d of %d: was value_kb changed?", done.Len(), first, end-1, tasks)
	}
	for _, s := range r.Starts {
		if s.Task < first || s.Task >= end {
			return newCorruptRecordError(r.name(), "start of task %d is outside of tasks %d to %d: was value_kb changed?", s.Task, first, end-1)
		}
	}
	return nil
}

// name returns a description of the record for errors.
func (r *BlockRecord) name() string { return fmt.Sprintf("block %d of job %s", r.Block, r.Job) }
