package cluster

import (
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// Block is a range of a job's tasks that are stored in one record.
type Block struct {
	Job         *Job
	Number      int
	LastAttempt int64
	Done        storage.Bitmap // by index within the block
	Starts      []*Task
}

// AppendTo appends the block's record to a page. The first block also appends the job's record.
func (b *Block) AppendTo(page *storage.PageValue) {
	j := b.Job
	if b.Number == 0 {
		record := j.JobRecord
		record.CompletedBlocks = j.DoneBlocks.Text()
		page.Jobs = append(page.Jobs, record)
		if extension, ok := j.extension(); ok {
			page.Extensions = append(page.Extensions, extension)
		}
		if len(b.Starts) == 0 && (j.DoneBlocks.Has(0) || b.LastAttempt == 0 && len(b.Done) == 0) {
			return
		}
	}
	record := storage.BlockRecord{Job: j.ID, Block: b.Number, LastAttempt: b.LastAttempt, Done: b.Done.Text()}
	for _, t := range b.Starts {
		record.Starts = append(record.Starts, t.record())
	}
	page.Blocks = append(page.Blocks, record)
}

// EncodedSize returns the current size of the block's records.
func (b *Block) EncodedSize() int {
	size := b.BaseSize()
	for _, t := range b.Starts {
		record := t.record()
		size += record.EncodedSize()
	}
	return size
}

// ReservedSize returns the largest size that the block's records may reach.
func (b *Block) ReservedSize() int {
	return b.BaseSize() + b.Job.BlockLen(b.Number)*storage.StartReservedSize
}

// BaseSize returns the size of the block's records without its starts.
func (b *Block) BaseSize() int {
	j := b.Job
	size := storage.BlockSize(j.ID, j.BlockLen(b.Number))
	if b.Number == 0 {
		size += j.ReservedSize(j.BlockCount())
		if extension, ok := j.extension(); ok {
			size += extension.EncodedSize()
		}
	}
	return size
}

// extension returns the fields of a job that are stored outside JobRecord, and whether there are any.
func (j *Job) extension() (storage.JobExtension, bool) {
	extension := storage.JobExtension{Job: j.ID}
	if !j.Prerequisites.Separate {
		extension.Prerequisites = j.Prerequisites.IDs
	}
	if j.RecordBlockTasks {
		extension.BlockTasks = j.BlockTasks
	}
	return extension, j.RecordBlockTasks || len(extension.Prerequisites) > 0
}

// BlockCount returns the number of blocks that the job's tasks are divided into.
func (j *Job) BlockCount() int { return (j.Tasks + j.BlockTasks - 1) / j.BlockTasks }

// BlockLen returns the number of tasks in a block.
func (j *Job) BlockLen(number int) int { return min(j.BlockTasks, j.Tasks-number*j.BlockTasks) }

// EnsureBlock returns a block, creating an empty one if the job does not have it.
func (j *Job) EnsureBlock(number int) *Block {
	b := j.Blocks[number]
	if b == nil {
		b = &Block{Job: j, Number: number}
		j.Blocks[number] = b
	}
	return b
}

// MinStarts returns how many starts of a block must fit in its record at the same time.
func (j *Job) MinStarts() int {
	if j.Kind == protocol.Gang {
		return j.BlockLen(0)
	}
	return 1 // the other tasks of an array or service can start later
}

// MinRecordSize returns the smallest record size that the job can be run with: its first block and
// MinStarts starts.
func (j *Job) MinRecordSize() int {
	return (&Block{Job: j}).BaseSize() + j.MinStarts()*storage.StartReservedSize
}

// LongestBlockWithin returns the largest number of tasks, at most the present one, with which the job's
// MinRecordSize is at most maxItemSize; 0 if there is none.
func (j *Job) LongestBlockWithin(maxItemSize int) int {
	candidate := *j
	candidate.RecordBlockTasks = true
	for candidate.BlockTasks = j.BlockTasks; candidate.BlockTasks > 0; candidate.BlockTasks-- {
		if candidate.MinRecordSize() <= maxItemSize {
			break
		}
	}
	return candidate.BlockTasks
}

// canRecordStart reports whether one more start in a task's block fits in an item of maxItemSize
// bytes. Blocks that were sized for larger limits of the state service may be full. The starts of a
// gang are recorded together, and their size is checked for all of them.
func (j *Job) canRecordStart(index, maxItemSize int) bool {
	b := j.Blocks[index/j.BlockTasks]
	return b == nil || j.Kind == protocol.Gang || b.EncodedSize()+storage.StartReservedSize <= maxItemSize
}

// TasksAwaitingRecord returns how many of a job's idle tasks must not be placed before the job's
// own record is durable. The first block is written together with that record. The starts in other
// blocks, and those of a gang, could become durable and be sent earlier. A successor might then not
// know the job, and its user, who got no answer, would submit it again.
func (j *Job) TasksAwaitingRecord(idle int) int {
	switch {
	case j.Prerequisites.PartsPending:
		return idle
	case j.Lifecycle.SubmissionCommitted || j.BlockCount() == 1:
		return 0
	case j.Kind == protocol.Gang:
		return idle
	}
	return max(0, idle-(j.BlockLen(0)-len(j.ActiveTasks)))
}

// PrerequisitesPart is a record of some of a job's prerequisites. It is used if they do not fit on
// the job's own page.
type PrerequisitesPart struct{ storage.PrerequisitesRecord }

// AppendTo appends the record to a page.
func (p *PrerequisitesPart) AppendTo(page *storage.PageValue) {
	page.Prerequisites = append(page.Prerequisites, p.PrerequisitesRecord)
}

// ReservedSize returns the size of the record, which never changes.
func (p *PrerequisitesPart) ReservedSize() int { return p.EncodedSize() }

// EndedJob is a job that has ended.
type EndedJob struct {
	storage.TerminalRecord
	HasOtherRecords bool // other records of the job may still be stored
}

// AppendTo appends the terminal record to a page.
func (e *EndedJob) AppendTo(page *storage.PageValue) {
	page.Terminal = append(page.Terminal, e.TerminalRecord)
}

// EncodedSize returns the size of the terminal record.
func (e *EndedJob) EncodedSize() int { return e.ReservedSize() }
