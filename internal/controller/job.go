package controller

import (
	"slices"
	"time"

	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// job is a job that isn't over: the recorded facts, and what is rebuilt.
type job struct {
	storage.JobRecord
	e      *engine
	team   *team
	worth  worth // see guests.go
	need   need
	kinds  string // the types that it allows, in one word
	full   storage.Bitmap
	blocks map[int]*block
	tasks  map[int]*task // active ones
	done   int
	// unfinished counts the active tasks that aren't done, stopping those that are told to
	// stop: a pass asks for both of every job, and must not look at every task for that.
	unfinished, stopping int
	within               bool // its team's guarantee, as of the last pass

	prerequisites []string // jobs that have to be done first, as its user named them
	parts         []*prerequisitesPart
	recordsParts  bool // the parts aren't durable yet, and the job must not be recorded before
	blockTasks    int  // how many tasks a block has
	recordBlocks  bool // that number is recorded, whatever the settings say later
	dependency    *dependency
	readyMs       int64 // since when its times count: its submission, or the end of its last prerequisite

	committed   bool // its submission is durable
	cancelKnown bool // its cancellation is durable
	cancelledAt time.Duration
	over        bool
	cursor      int // no task below is idle, unless in requeue
	requeue     []int
	failures    failureSeries
	retryAt     time.Duration // no task is placed before, for another reason than failures
	hasRun      bool          // a task of it has been seen running in this term
	gangRan     bool          // the present attempt has begun to run
	gangEnding  bool          // and is to end before the next
	idleSince   time.Duration
	holdUntil   time.Duration // until when it may wait for a better machine; 0: hasn't
	prefer      *host         // where a replica that is being moved is to go
}

// block is a run of a job's tasks, recorded together.
type block struct {
	job    *job
	number int
	try    int64
	done   storage.Bitmap
	starts []*task
}

// AppendTo writes the block, and with the first also the job.
func (b *block) AppendTo(v *storage.PageValue) {
	j := b.job
	if b.number == 0 {
		r := j.JobRecord
		r.CompletedBlocks = j.full.Text()
		v.Jobs = append(v.Jobs, r)
		if x, ok := j.extension(); ok {
			v.Extensions = append(v.Extensions, x)
		}
		if len(b.starts) == 0 && (j.full.Has(0) || b.try == 0 && len(b.done) == 0) {
			return
		}
	}
	r := storage.BlockRecord{Job: j.ID, Block: b.number, LastAttempt: b.try, Done: b.done.Text()}
	for _, t := range b.starts {
		r.Starts = append(r.Starts, t.record())
	}
	v.Blocks = append(v.Blocks, r)
}

// EncodedSize is the space that it takes now.
func (b *block) EncodedSize() int {
	n := b.baseSize()
	for _, t := range b.starts {
		r := t.record()
		n += r.EncodedSize()
	}
	return n
}

// ReservedSize is the space it may come to need.
func (b *block) ReservedSize() int {
	return b.baseSize() + b.job.blockLen(b.number)*storage.StartReservedSize
}

// baseSize is the space that it takes without its starts.
func (b *block) baseSize() int {
	j := b.job
	n := storage.BlockSize(j.ID, j.blockLen(b.number))
	if b.number == 0 {
		n += j.JobRecord.ReservedSize(j.blockCount())
		if x, ok := j.extension(); ok {
			n += x.EncodedSize()
		}
	}
	return n
}

// extension is what is recorded of a job beside its JobRecord, if anything.
func (j *job) extension() (storage.JobExtension, bool) {
	x := storage.JobExtension{Job: j.ID}
	if len(j.parts) == 0 {
		x.Prerequisites = j.prerequisites
	}
	if j.recordBlocks {
		x.BlockTasks = j.blockTasks
	}
	return x, j.recordBlocks || len(x.Prerequisites) > 0
}

// leastStarts is how many starts of a block have to be recordable at a time.
func (j *job) leastStarts() int {
	if j.Kind == protocol.Gang {
		return j.blockLen(0)
	}
	return 1 // of an array or a service: the others can wait
}

// awaitsRecord is how many of a job's idle tasks must not be placed before its own record
// is durable. The first block is on the page of that record and is written with it. Other
// blocks, and a gang's starts on them, could be durable and sent before the job is: a
// successor would know no such job, and its user, who was never answered, submits it again.
func (j *job) awaitsRecord(idle int) int {
	switch {
	case j.recordsParts:
		return idle
	case j.committed || j.blockCount() == 1:
		return 0
	case j.Kind == protocol.Gang:
		return idle
	}
	return max(0, idle-(j.blockLen(0)-len(j.tasks)))
}

// recordable tells whether one more start of a task's block fits the page that it is
// on. Blocks that are cut for larger limits of the state service may be full. A gang's
// starts are recorded together; whether they fit is asked when it is submitted.
func (j *job) recordable(index int) bool {
	b := j.blocks[index/j.blockTasks]
	return b == nil || j.Kind == protocol.Gang || b.EncodedSize()+storage.StartReservedSize <= j.e.store.MaxItemSize()
}

// final is a job that is over.
type final struct {
	storage.TerminalRecord
	rest bool // something else of the job may still be recorded
}

// AppendTo writes it.
func (f *final) AppendTo(v *storage.PageValue) { v.Terminal = append(v.Terminal, f.TerminalRecord) }

// EncodedSize is the space that it takes.
func (f *final) EncodedSize() int { return f.ReservedSize() }

func (j *job) blockCount() int { return (j.Tasks + j.blockTasks - 1) / j.blockTasks }

func (j *job) blockLen(b int) int { return min(j.blockTasks, j.Tasks-b*j.blockTasks) }

func (j *job) isDone(index int) bool {
	b := index / j.blockTasks
	if j.full.Has(b) {
		return true
	}
	bl := j.blocks[b]
	return bl != nil && bl.done.Has(index%j.blockTasks)
}

// idle is how many tasks wait to be started.
func (j *job) idle() int {
	if j.Cancelled || j.over {
		return 0
	}
	return j.Tasks - j.done - j.unfinished
}

// nextIdle finds a task that waits and whose start can be recorded, and keeps it out
// of the next search; -1: there is none.
func (j *job) nextIdle() int {
	for n := 0; n < len(j.requeue); {
		i := j.requeue[n]
		if j.isIdle(i) && !j.recordable(i) {
			n++
			continue
		}
		if n == 0 {
			j.requeue = j.requeue[1:]
		} else {
			j.requeue = slices.Delete(j.requeue, n, n+1)
		}
		if j.isIdle(i) {
			return i
		}
	}
	for j.cursor < j.Tasks {
		i := j.cursor
		j.cursor++
		if !j.isIdle(i) {
			continue
		}
		if j.recordable(i) {
			return i
		}
		j.requeue = append(j.requeue, i)
	}
	return -1
}

func (j *job) isIdle(index int) bool { return j.tasks[index] == nil && !j.isDone(index) }

// settling tells whether the job is over, but its user can't be told: a successor might
// come to another result. What is durably cancelled stays so, whether its end is written
// or not.
func (j *job) settling() bool {
	return j.over && !(j.Cancelled && j.committed) || j.recordsParts
}

func (j *job) saves() bool { return j.CheckpointIntervalS > 0 }
