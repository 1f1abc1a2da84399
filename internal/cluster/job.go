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

// Job is a job that isn't over: the recorded facts, and what is rebuilt.
type Job struct {
	storage.JobRecord
	Team         *Team
	Request      resources.Amount // of each task
	allowedTypes string           // the machine types that it allows, in one word
	Lifecycle    Lifecycle

	Blocks     map[int]*Block
	DoneBlocks storage.Bitmap
	BlockTasks int // how many tasks a block has
	// RecordBlockTasks is whether that number is recorded, whatever the settings say later.
	RecordBlockTasks bool

	ActiveTasks map[int]*Task // that may be on machines, by index
	DoneTasks   int
	counts      taskCounts
	idle        idleTasks
	HasRun      bool // a task of it has been seen running in this term

	Gang          GangState
	Placement     PlacementState
	Failures      FailureHistory
	Prerequisites Prerequisites
	// ReadyMs is since when its times count: its submission, or the end of its last
	// prerequisite.
	ReadyMs int64
}

// Lifecycle is what is durable of a job's submission, cancellation and end.
type Lifecycle struct {
	SubmissionCommitted   bool
	CancellationCommitted bool
	CancelledAt           time.Duration
	Ended                 bool // its end is being recorded
}

// taskCounts are kept since a scheduling cycle asks for them of every job, and must not
// look at every task for that.
type taskCounts struct {
	unfinished int // active tasks that aren't done
	stopping   int // active tasks that are told to stop
}

// idleTasks finds tasks that wait to be started.
type idleTasks struct {
	cursor   int // no task below is idle, unless in requeued
	requeued []int
}

// GangState is the present attempt of a gang.
type GangState struct {
	Ran    bool // it has begun to run
	Ending bool // it is to end before the next
}

// PlacementState is what scheduling cycles remember of a job. It belongs to package
// scheduling, but for NotBefore and IdleSince.
type PlacementState struct {
	NotBefore     time.Duration // no task is placed before, for another reason than failures
	IdleSince     time.Duration // when a task last began to wait
	HoldUntil     time.Duration // until when it may wait for a better machine; 0: it hasn't
	Nominated     *Machine      // where a replica that is being moved is to go
	WithinQuota   bool          // its team's guarantee covers it, as of the last cycle
	WorthwhileOfferings WorthwhileOfferings
}

// WorthwhileOfferings are the offerings that are worth provisioning for a job's tasks, at the prices
// of one version of the catalog.
type WorthwhileOfferings struct {
	CatalogVersion int
	Offerings      map[Offering]bool // nil: not known yet
}

// FailureHistory is what is known of a job's failures. It belongs to package jobs.
type FailureHistory struct {
	Rounds      int             // attempts in a row that have failed, each of one task or many
	Tasks       int             // that have failed since one completed
	Machines    map[string]bool // on which they failed
	JobAtFault  bool            // it fails on every machine
	LongestRun  time.Duration   // the longest that a task ran before it failed
	NextAttempt time.Duration   // when the next may be made
}

// Prerequisites are the jobs that have to be done first.
type Prerequisites struct {
	IDs []string // as the user named them, but for those whose ends were in the archive
	// ArchivedCancelled is whether one of those was cancelled, as the job is then, too. It isn't
	// recorded: the job's own cancellation is.
	ArchivedCancelled bool
	Parts             []*PrerequisitesPart
	PartsPending      bool             // the parts aren't durable yet, and the job must not be recorded before
	Node              *dependency.Node // nil: it neither has any nor is one
}

// NewJob returns a job as it is recorded. Nothing of it is on machines yet.
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

// IsDone reports whether a task is done.
func (j *Job) IsDone(index int) bool {
	number := index / j.BlockTasks
	if j.DoneBlocks.Has(number) {
		return true
	}
	b := j.Blocks[number]
	return b != nil && b.Done.Has(index%j.BlockTasks)
}

// MarkDone counts a task that is done. It reports whether its whole block is done now.
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

// UnfinishedTasks is how many of the active tasks aren't done.
func (j *Job) UnfinishedTasks() int { return j.counts.unfinished }

// StoppingTasks is how many of the active tasks are told to stop.
func (j *Job) StoppingTasks() int { return j.counts.stopping }

// IdleTasks is how many tasks wait to be started.
func (j *Job) IdleTasks() int {
	if j.Cancelled || j.Lifecycle.Ended {
		return 0
	}
	return j.Tasks - j.DoneTasks - j.counts.unfinished
}

// NextIdle finds a task that waits and whose start can be recorded in an item of so many
// bytes, and keeps it out of the next search; -1: there is none.
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

// nextRequeued finds one among the tasks that were started before.
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

// SortedTasks are the active tasks by index.
func (j *Job) SortedTasks() []*Task {
	tasks := make([]*Task, 0, len(j.ActiveTasks))
	for _, t := range j.ActiveTasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *Task) int { return cmp.Compare(a.Index, b.Index) })
	return tasks
}

// EndUncertain reports whether the job is over, but its user can't be told: a successor might
// come to another result. What is durably cancelled stays so, whether its end is written or
// not.
func (j *Job) EndUncertain() bool {
	return j.Lifecycle.Ended && !(j.Cancelled && j.Lifecycle.SubmissionCommitted) || j.Prerequisites.PartsPending
}

// IsCancelled reports whether the job is durably cancelled.
func (j *Job) IsCancelled() bool { return j.Cancelled && j.Lifecycle.CancellationCommitted }

// Checkpoints reports whether a task saves its progress when it is stopped.
func (j *Job) Checkpoints() bool { return j.CheckpointIntervalS > 0 }

// Blocked reports whether the job has to wait for others. Such a job takes no part in
// placement, quota or provisioning, and is queued to its user.
func (j *Job) Blocked() bool { return j.Prerequisites.Node.Blocked() }

// EffectivePriority is the job's own, or that of a job that needs it if that is higher.
func (j *Job) EffectivePriority() protocol.Priority {
	if j.Prerequisites.Node == nil {
		return j.Priority
	}
	return j.Prerequisites.Node.Priority()
}

// BestEffort reports whether the job is of a team without a guarantee, while others have one.
func (j *Job) BestEffort() bool { return j.Team != nil && j.Team.BestEffort }

// StartWaiter returns a waiter for a commit that a task's start depends on.
func (j *Job) StartWaiter(onCommit func()) *storage.CommitWaiter {
	if j.BestEffort() {
		return storage.OnLowestPriorityCommit(onCommit)
	}
	return storage.OnStartCommit(onCommit)
}

// DeferredWaiter returns a waiter for a commit that nobody outside depends on.
func (j *Job) DeferredWaiter(onCommit func()) *storage.CommitWaiter {
	if j.BestEffort() {
		return storage.OnLowestPriorityCommit(onCommit)
	}
	return storage.OnDeferredCommit(onCommit)
}
