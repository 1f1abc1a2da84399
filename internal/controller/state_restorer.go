package controller

import (
	"cmp"
	"slices"

	"oakpick/internal/cluster"
	"oakpick/internal/jobs"
	"oakpick/internal/message"
	"oakpick/internal/storage"
)

// stateRestorer rebuilds the state of a new leader from the stored pages.
type stateRestorer struct {
	*leader
	blocks map[string][]storage.BlockRecord // by job
	// withoutBlockTasks are the jobs whose records don't have the number of tasks in a block.
	withoutBlockTasks []*cluster.Job
}

// restore loads all pages and links the restored records.
func (l *stateRestorer) restore(pages []storage.LoadedPage) {
	l.blocks = map[string][]storage.BlockRecord{}
	for _, p := range pages {
		for _, record := range p.Value.Blocks {
			l.blocks[record.Job] = append(l.blocks[record.Job], record)
		}
	}
	for _, p := range pages { // jobs first, since their blocks may be on other pages
		l.restorePage(p)
	}
	for _, p := range pages {
		l.restoreBlocks(p)
		l.restorePrerequisites(p)
	}
	l.reserveUsedAttempts()
	slices.SortStableFunc(l.state.JobOrder, func(a, b *cluster.Job) int {
		return cmp.Or(cmp.Compare(a.SubmittedMs, b.SubmittedMs), cmp.Compare(a.ID, b.ID))
	})
	l.linkDependencies()
	l.endInheritedJobs()
	l.moveLargePrerequisites()
	l.jobs.InferFailingJobs()
	l.autoscaler.RestoreMachines()
	l.controller.context.Log(message.Info, "leading", "term", l.controller.elector.Token(), "jobs", len(l.state.JobOrder),
		"ended_jobs", len(l.state.EndedJobs), "machines", len(l.state.Machines), "pages", l.store.PageCount(), "oversized_pages", l.store.OversizedPages())
}

// restorePage loads all records of a page except blocks and prerequisites.
func (l *stateRestorer) restorePage(p storage.LoadedPage) {
	l.store.Load(p.Number, p.Version)
	if p.Stale {
		l.store.MarkPageStale(l.controller.context.Monotonic(), p.Number)
	}
	if p.Value.Options != "" {
		l.restoreOptions(p)
	}
	for _, record := range p.Value.Terminal {
		end := &cluster.EndedJob{TerminalRecord: record}
		l.state.EndedJobs[record.ID] = end
		l.store.Load(p.Number, p.Version, end)
	}
	extensions := map[string]storage.JobExtension{}
	for _, extension := range p.Value.Extensions {
		extensions[extension.Job] = extension
	}
	for _, record := range p.Value.Jobs {
		l.restoreJob(p, record, extensions[record.ID])
	}
	for _, record := range p.Value.Provisioning {
		l.store.Load(p.Number, p.Version, l.autoscaler.RestoreRequest(record))
	}
}

func (l *stateRestorer) restoreOptions(p storage.LoadedPage) {
	l.options.record = &optionsRecord{p.Value.Options}
	l.store.Load(p.Number, p.Version, l.options.record)
	options, err := l.options.With([]byte(p.Value.Options))
	if err != nil {
		l.controller.context.Log(message.Error, "stored settings are invalid; using defaults", "error", err.Error())
		return
	}
	l.applyOptions(options)
}

func (l *stateRestorer) restoreJob(p storage.LoadedPage, record storage.JobRecord, extension storage.JobExtension) {
	j := l.jobs.NewJob(record)
	j.Prerequisites.IDs = extension.Prerequisites
	j.Lifecycle = cluster.Lifecycle{
		SubmissionCommitted: true, CancellationCommitted: record.Cancelled, CancelledAt: l.controller.context.Monotonic(),
	}
	blockTasks, err := storage.FindBlockTasks(&record, extension.BlockTasks, j.BlockTasks, l.blocks[record.ID])
	if err != nil {
		l.controller.context.Log(message.Error, "job is damaged", "job", record.ID, "error", err.Error())
		j.DamagedBy = err
		l.store.Load(p.Number, p.Version, &cluster.DamagedJobRecord{JobRecord: record, Extension: extension})
		return
	}
	if extension.BlockTasks == 0 {
		l.withoutBlockTasks = append(l.withoutBlockTasks, j)
	}
	j.RecordBlockTasks = j.RecordBlockTasks || extension.BlockTasks != 0 || blockTasks != j.BlockTasks
	j.BlockTasks = blockTasks
	j.RestoreDoneBlocks()
	l.store.Load(p.Number, p.Version, j.Blocks[0])
}

// restorePrerequisites loads the parts of long prerequisite lists. A part whose job is not stored
// was left by a leader whose term ended before it recorded the job. If the job's own page has the
// list too, the parts are copies, left by a leader whose term ended while it moved the list.
func (l *stateRestorer) restorePrerequisites(p storage.LoadedPage) {
	for _, record := range p.Value.Prerequisites {
		j := l.state.Jobs[record.Job]
		if j == nil {
			l.store.MarkPageStale(l.controller.context.Monotonic(), p.Number)
			continue
		}
		part := &cluster.PrerequisitesPart{PrerequisitesRecord: record}
		prerequisites := &j.Prerequisites
		prerequisites.Parts = append(prerequisites.Parts, part)
		prerequisites.Separate = prerequisites.Separate || len(prerequisites.IDs) == 0
		if prerequisites.Separate {
			prerequisites.IDs = append(prerequisites.IDs, record.IDs...)
		}
		l.store.Load(p.Number, p.Version, part)
	}
}

func (l *stateRestorer) restoreBlocks(p storage.LoadedPage) {
	for _, record := range p.Value.Blocks {
		j := l.state.Jobs[record.Job]
		switch {
		case j == nil:
			l.dropBlock(record)
			continue
		case j.DamagedBy != nil:
			l.restoreDamagedBlock(p, j, record)
			continue
		}
		b := j.Blocks[record.Block]
		if b == nil {
			b = j.EnsureBlock(record.Block)
			l.store.Load(p.Number, p.Version, b)
		}
		l.restoreBlock(b, record)
	}
}

// restoreDamagedBlock keeps a block of a damaged job as it is stored. Its tasks may be on machines, so
// they count there and towards the team's limit.
func (l *stateRestorer) restoreDamagedBlock(p storage.LoadedPage, j *cluster.Job, record storage.BlockRecord) {
	l.store.Load(p.Number, p.Version, &cluster.DamagedBlockRecord{BlockRecord: record})
	for _, start := range record.Starts {
		if j.ActiveTasks[start.Task] == nil {
			l.restoreStart(j.Blocks[0], start)
		}
	}
}

// dropBlock skips a block whose job is not among the unfinished jobs. If the job has ended, an
// earlier leader's term ended before it removed the block, which is on another page than the record
// of the end. Any other block without a job is corrupt. A corrupt block must not stop the whole
// service, so its job is lost and the job's tasks on machines are stopped.
func (l *stateRestorer) dropBlock(record storage.BlockRecord) {
	if end := l.state.EndedJobs[record.Job]; end != nil {
		end.HasOtherRecords = true
		return
	}
	l.controller.context.Log(message.Error, "block of an unknown job dropped", "job", record.Job, "block", record.Block, "starts", len(record.Starts))
}

// restoreBlock restores the tasks of a block, whose record storage.FindBlockTasks has checked.
func (l *stateRestorer) restoreBlock(b *cluster.Block, record storage.BlockRecord) {
	j := b.Job
	b.LastAttempt, b.Done = record.LastAttempt, storage.MustParseBitmap(record.Done)
	if j.DoneBlocks.Has(b.Number) {
		// The first block records the completion of this block, which was about to be removed.
		// The first block itself stays because it carries the job's record.
		if b.Number != 0 {
			l.jobs.RemoveBlock(b)
		}
		return
	}
	for i := range j.BlockLen(b.Number) {
		if b.Done.Has(i) {
			j.DoneTasks++
		}
	}
	for _, start := range record.Starts {
		l.restoreStart(b, start)
	}
}

// reserveUsedAttempts keeps the attempt numbers of a job from being used twice if its only block may now
// be several ones, because value_kb has changed since it was written: the first block has the
// numbers that were used for all tasks.
func (l *stateRestorer) reserveUsedAttempts() {
	for _, j := range l.withoutBlockTasks {
		used := j.Blocks[0].LastAttempt
		if used == 0 || len(j.Blocks) > 1 || !storage.MayBeOneBlock(j.Tasks) {
			continue
		}
		for number := 1; number < j.BlockCount(); number++ {
			if b := j.EnsureBlock(number); !j.DoneBlocks.Has(number) {
				b.LastAttempt = used
				l.store.MarkDirty(l.controller.context.Monotonic(), b, nil)
			}
		}
	}
}

func (l *stateRestorer) restoreStart(b *cluster.Block, start storage.StartRecord) {
	machine := l.state.Machine(start.Machine)
	t := &cluster.Task{
		Job: b.Job, Block: b, Index: start.Task, Attempt: start.Attempt, Machine: machine, Incarnation: start.Incarnation,
		Inherited: true, Committed: true, RunningSince: cluster.NotRunning,
	}
	t.Attach()
	machine.Worker.Incarnation = max(machine.Worker.Incarnation, start.Incarnation)
}

// linkDependencies links jobs to their prerequisites, and cancels jobs with a prerequisite whose
// cancellation is durable, because an earlier leader may have ended before cancelling them.
func (l *stateRestorer) linkDependencies() {
	var cancelled []*cluster.Job
	for _, j := range l.state.JobOrder {
		prerequisiteCancelled := len(j.Prerequisites.IDs) > 0 && l.jobs.LinkPrerequisites(j)
		if prerequisiteCancelled && !j.Cancelled {
			jobs.MarkCancelled(j, j.Lifecycle.CancelledAt, true)
			cancelled = append(cancelled, j)
		} else if j.Cancelled {
			cancelled = append(cancelled, j)
		}
	}
	for _, j := range cancelled {
		l.jobs.CancelDependents(j.ID)
	}
}

// moveLargePrerequisites makes the records of unfinished jobs fit limits that are lower than those
// under which they were stored.
func (l *stateRestorer) moveLargePrerequisites() {
	for _, j := range l.state.JobOrder {
		l.jobs.MoveLargePrerequisites(j)
	}
}

// endInheritedJobs ends completed and cancelled jobs whose end an earlier leader did not record.
func (l *stateRestorer) endInheritedJobs() {
	for _, j := range slices.Clone(l.state.JobOrder) {
		if j.Cancelled {
			l.jobs.StopAll(j)
		}
		l.jobs.EndIfFinished(j, nil)
	}
}
