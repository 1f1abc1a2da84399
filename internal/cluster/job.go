package cluster

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"oakpick/internal/dependency"
	"oakpick/internal/protocol"
	"oakpick/internal/resources"
	"oakpick/internal/storage"
)

// Job is a job that has not ended: its stored record, and state that a new leader rebuilds.
type Job struct {
	storage.JobRecord
	Team         *Team
	Request      resources.Amount // of each task
	allowedTypes string           // allowed machine types, joined into one comparable key
	Lifecycle    Lifecycle
	DamagedBy    error // why the job is damaged; nil if it is not

	Blocks     map[int]*Block
	DoneBlocks storage.Bitmap
	BlockTasks int // number of tasks in a block
	// RecordBlockTasks is whether BlockTasks is stored, so that a later change of the settings does
	// not affect the job.
	RecordBlockTasks bool

	ActiveTasks map[int]*Task // tasks that may be on machines, by index
	DoneTasks   int
	counts      taskCounts
	idle        idleTasks
	HasRun      bool // a task of the job was seen running in this term

	Gang          GangState
	Placement     PlacementState
	Failures      FailureHistory
	Prerequisites Prerequisites
	// ReadyMs is the wall-clock time from which the job's waiting time is measured: its submission,
	// or the completion of its last prerequisite.
	ReadyMs int64
}

// Lifecycle holds which of a job's submission, cancellation and end are durable.
type Lifecycle struct {
	SubmissionCommitted   bool
	CancellationCommitted bool
	CancelledAt           time.Duration
	Ended                 bool // the job has ended, and its end is being recorded
}

// taskCounts are maintained incrementally, since a scheduling cycle reads them for every job and
// must not iterate over all tasks.
type taskCounts struct {
	unfinished int // active tasks that are not done
	stopping   int // active tasks that have been told to stop
}

// idleTasks is the state of the search for tasks that wait to be started.
type idleTasks struct {
	cursor   int // no task with a lower index is idle, except those in requeued
	requeued []int
}

// GangState is the state of a gang's current attempt.
type GangState struct {
	HasRun          bool // the attempt has begun to run
	Ending          bool // the attempt must end before the next one starts
	ReplacingBlocks bool // the blocks are being replaced by shorter ones
}

// PlacementState is the state that scheduling cycles keep for a job. Package scheduling owns it,
// except for NotBefore and IdleSince, which packages cluster and jobs set, and for Nominated, which
// package autoscaling sets.
type PlacementState struct {
	NotBefore           time.Duration // no task is placed earlier, for reasons other than failures
	IdleSince           time.Duration // when a task last started to wait
	PreemptionRounds    int           // cycles that preempted tasks for the job since a task of it was last placed
	PreemptNotBefore    time.Duration // no task is preempted for the job before this time
	UnplacedSince       time.Duration // since when there have been tasks without a machine; 0 if there are none
	HoldUntil           time.Duration // until when the job may wait for a booting machine; 0 if it has not waited
	Nominated           *Machine      // target machine of a replica that is being moved
	WithinGuarantee     bool          // the team's guarantee covers the job, as of the last cycle
	WorthwhileOfferings WorthwhileOfferings
}

// WorthwhileOfferings are the offerings that are worth provisioning for a job's tasks, at the prices
// of one version of the catalog.
type WorthwhileOfferings struct {
	CatalogVersion int
	Offerings      map[Offering]bool // nil if not computed yet
}

// FailureHistory summarizes a job's failures. Package jobs owns it.
type FailureHistory struct {
	Rounds        int             // consecutive failed attempts, each of one or more tasks
	Tasks         int             // failed tasks since the last one that completed
	Machines      map[string]bool // machines on which tasks failed
	JobAtFault    bool            // the job fails on every machine
	LongestRun    time.Duration   // longest time that a task ran before it failed
	NextAttemptAt time.Duration   // earliest time of the next attempt
}

// Prerequisites are the jobs that must complete before a job can start.
type Prerequisites struct {
	IDs []string // as named by the user, without those whose ends were in the archive
	// ArchivedCancelled is whether a prerequisite in the archive was cancelled, which cancels this job,
	// too. It is not stored; the job's own cancellation is.
	ArchivedCancelled bool
	// Separate is whether the IDs are stored in Parts instead of the job's own page.
	Separate     bool
	Parts        []*PrerequisitesPart // separate records of the IDs; copies of them unless Separate is set
	PartsPending bool                 // the parts are not durable yet, so the job must not be recorded
	Node         *dependency.Node     // nil if the job neither has prerequisites nor is one
}

// NewJob returns a job with the given record and without tasks on machines.
func NewJob(record storage.JobRecord, team *Team, blockTasks int, now time.Duration) *Job {
	j := &Job{
		JobRecord: record, Team: team, ReadyMs: record.SubmittedMs,
		Request:      resources.Amount{CPUs: record.CPUs, GPUs: record.GPUs, MemoryGB: record.MemoryGB},
		allowedTypes: strings.Join(record.Types, " "),
		Blocks:       map[int]*Block{}, BlockTasks: blockTasks, ActiveTasks: map[int]*Task{},
		Failures: FailureHistory{Machines: map[string]bool{}},
	}
	j.Placement.IdleSince = now
	j.Blocks[0] = &Block{Job: j}
	return j
}

// RestoreDoneBlocks restores the blocks that are done from a loaded record, which must be valid.
func (j *Job) RestoreDoneBlocks() {
	j.DoneBlocks = storage.MustParseBitmap(j.CompletedBlocks)
	for number := range j.BlockCount() {
		if j.DoneBlocks.Has(number) {
			j.DoneTasks += j.BlockLen(number)
		}
	}
}

// IsDone reports whether a task is done.
func (j *Job) IsDone(index int) bool {
	number := index / j.BlockTasks
	if j.DoneBlocks.Has(number) {
		return true
	}
	b := j.Blocks[number]
	return b != nil && b.Done.Has(index%j.BlockTasks)
}

// MarkDone marks a task as done and reports whether its whole block is now done.
func (j *Job) MarkDone(index int) (blockDone bool) {
	b := j.EnsureBlock(index / j.BlockTasks)
	b.Done.Set(index % j.BlockTasks)
	j.DoneTasks++
	if j.ActiveTasks[index] != nil {
		j.counts.unfinished--
	}
	for i := range j.BlockLen(b.Number) {
		if !b.Done.Has(i) {
			return false
		}
	}
	return true
}

// UnfinishedActiveTasks returns the number of active tasks that are not done.
func (j *Job) UnfinishedActiveTasks() int { return j.counts.unfinished }

// StoppingTasks returns the number of active tasks that have been told to stop.
func (j *Job) StoppingTasks() int { return j.counts.stopping }

// IdleTasks returns the number of tasks that wait to be started.
func (j *Job) IdleTasks() int {
	if j.Cancelled || j.Lifecycle.Ended || j.DamagedBy != nil {
		return 0
	}
	return j.Tasks - j.DoneTasks - j.counts.unfinished
}

// NextIdle returns the index of an idle task whose start can be recorded in an item of at most
// maxItemSize bytes, and excludes the task from the next search. It returns -1 if there is none.
func (j *Job) NextIdle(maxItemSize int) int {
	if i := j.nextRequeued(maxItemSize); i >= 0 {
		return i
	}
	for j.idle.cursor < j.Tasks {
		i := j.idle.cursor
		j.idle.cursor++
		if !j.isIdle(i) {
			continue
		}
		if j.canRecordStart(i, maxItemSize) {
			return i
		}
		j.idle.requeued = append(j.idle.requeued, i)
	}
	return -1
}

// nextRequeued searches the tasks that were started before or whose start could not be recorded.
func (j *Job) nextRequeued(maxItemSize int) int {
	for n := 0; n < len(j.idle.requeued); {
		i := j.idle.requeued[n]
		if j.isIdle(i) && !j.canRecordStart(i, maxItemSize) {
			n++
			continue
		}
		if n == 0 {
			j.idle.requeued = j.idle.requeued[1:]
		} else {
			j.idle.requeued = slices.Delete(j.idle.requeued, n, n+1)
		}
		if j.isIdle(i) {
			return i
		}
	}
	return -1
}

func (j *Job) isIdle(index int) bool { return j.ActiveTasks[index] == nil && !j.IsDone(index) }

// SortedTasks returns the active tasks, sorted by index.
func (j *Job) SortedTasks() []*Task {
	tasks := make([]*Task, 0, len(j.ActiveTasks))
	for _, t := range j.ActiveTasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *Task) int { return cmp.Compare(a.Index, b.Index) })
	return tasks
}

// EndUncertain reports whether the job has ended but its user must not be told yet, because a
// successor might reach another result. A durably cancelled job stays cancelled, whether its end is
// recorded or not.
func (j *Job) EndUncertain() bool {
	return j.Lifecycle.Ended && !(j.Cancelled && j.Lifecycle.SubmissionCommitted) || j.Prerequisites.PartsPending
}

// IsDurablyCancelled reports whether the job is durably cancelled.
func (j *Job) IsDurablyCancelled() bool { return j.Cancelled && j.Lifecycle.CancellationCommitted }

// Checkpoints reports whether a task saves its progress when it is stopped.
func (j *Job) Checkpoints() bool { return j.CheckpointIntervalS > 0 }

// Blocked reports whether the job waits for prerequisites. A blocked job is not placed, does not
// count towards its team's guarantee, and no machines are provisioned for it. Its user sees it as
// queued.
func (j *Job) Blocked() bool { return j.Prerequisites.Node.Blocked() }

// EffectivePriority returns the highest priority among the job and the jobs that depend on it.
func (j *Job) EffectivePriority() protocol.Priority {
	if j.Prerequisites.Node == nil {
		return j.Priority
	}
	return j.Prerequisites.Node.Priority()
}

// BestEffort reports whether the job's team has no guarantee while other teams have one.
func (j *Job) BestEffort() bool { return j.Team != nil && j.Team.BestEffort }

// StartWaiter returns a waiter for a commit that the start of a task depends on.
func (j *Job) StartWaiter(onCommit func()) *storage.CommitWaiter {
	if j.BestEffort() {
		return storage.OnLowestPriorityCommit(onCommit)
	}
	return storage.OnStartCommit(onCommit)
}

// DeferredWaiter returns a waiter for a commit that no user or worker waits for.
func (j *Job) DeferredWaiter(onCommit func()) *storage.CommitWaiter {
	if j.BestEffort() {
		return storage.OnLowestPriorityCommit(onCommit)
	}
	return storage.OnDeferredCommit(onCommit)
}
