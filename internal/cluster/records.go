package cluster

import (
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// Block is a run of a job's tasks, recorded together.
type Block struct {
	Job         *Job
	Number      int
	LastAttempt int64
	Done        storage.Bitmap // by index within the block
	Starts      []*Task
}

// AppendTo writes the block, and with the first also the job.
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

// EncodedSize is the space that it takes now.
func (b *Block) EncodedSize() int {
	size := b.BaseSize()
	for _, t := range b.Starts {
		record := t.record()
		size += record.EncodedSize()
	}
	return size
}

// ReservedSize is the space that it may come to need.
func (b *Block) ReservedSize() int {
	return b.BaseSize() + b.Job.BlockLen(b.Number)*storage.StartReservedSize
}

// BaseSize is the space that it takes without its starts.
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

// extension is what is recorded of a job beside its JobRecord, if anything.
func (j *Job) extension() (storage.JobExtension, bool) {
	extension := storage.JobExtension{Job: j.ID}
	if len(j.Prerequisites.Parts) == 0 {
		extension.Prerequisites = j.Prerequisites.IDs
	}
	if j.RecordBlockTasks {
		extension.BlockTasks = j.BlockTasks
	}
	return extension, j.RecordBlockTasks || len(extension.Prerequisites) > 0
}

// BlockCount is how many blocks the job's tasks are divided into.
func (j *Job) BlockCount() int { return (j.Tasks + j.BlockTasks - 1) / j.BlockTasks }

// BlockLen is how many tasks a block has.
func (j *Job) BlockLen(number int) int { return min(j.BlockTasks, j.Tasks-number*j.BlockTasks) }

// EnsureBlock finds a block, or adds one of which nothing is recorded.
func (j *Job) EnsureBlock(number int) *Block {
	b := j.Blocks[number]
	if b == nil {
		b = &Block{Job: j, Number: number}
		j.Blocks[number] = b
	}
	return b
}

// MinStarts is how many starts of a block have to be recordable at a time.
func (j *Job) MinStarts() int {
	if j.Kind == protocol.Gang {
		return j.BlockLen(0)
	}
	return 1 // of an array or a service: the others can wait
}

// MinRecordSize is the space that the job's record takes with as many starts as have to be
// recordable at a time.
func (j *Job) MinRecordSize() int {
	return (&Block{Job: j}).BaseSize() + j.MinStarts()*storage.StartReservedSize
}

// canRecordStart reports whether one more start of a task's block fits an item of so many
// bytes. Blocks that are cut for larger limits of the state service may be full. A gang's
// starts are recorded together; whether they fit is asked when it is submitted.
func (j *Job) canRecordStart(index, maxItemSize int) bool {
	b := j.Blocks[index/j.BlockTasks]
	return b == nil || j.Kind == protocol.Gang || b.EncodedSize()+storage.StartReservedSize <= maxItemSize
}

// TasksAwaitingRecord is how many of a job's idle tasks must not be placed before its own
// record is durable. The first block is on the page of that record and is written with it.
// Other blocks, and a gang's starts on them, could be durable and sent before the job is: a
// successor would know no such job, and its user, who was never answered, submits it again.
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

// PrerequisitesPart is a record of some of a job's prerequisites, if they are too many for the
// page of the job itself.
type PrerequisitesPart struct{ storage.PrerequisitesRecord }

// AppendTo writes it.
func (p *PrerequisitesPart) AppendTo(page *storage.PageValue) {
	page.Prerequisites = append(page.Prerequisites, p.PrerequisitesRecord)
}

// ReservedSize is the space that it takes, which never changes.
func (p *PrerequisitesPart) ReservedSize() int { return p.EncodedSize() }

// EndedJob is a job that is over.
type EndedJob struct {
	storage.TerminalRecord
	HasOtherRecords bool // something else of the job may still be recorded
}

// AppendTo writes it.
func (e *EndedJob) AppendTo(page *storage.PageValue) {
	page.Terminal = append(page.Terminal, e.TerminalRecord)
}

// EncodedSize is the space that it takes.
func (e *EndedJob) EncodedSize() int { return e.ReservedSize() }
