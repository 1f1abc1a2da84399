package controller

import (
	"cmp"
	"fmt"
	"slices"

	"oakpick/internal/cluster"
	"oakpick/internal/jobs"
	"oakpick/internal/message"
	"oakpick/internal/storage"
)

// loading fills a new leader's picture from the stored pages.
type loading struct{ *leader }

// load takes in all pages.
func (l *loading) load(pages []storage.LoadedPage) error {
	for _, p := range pages { // jobs before blocks, which may be on other pages
		if err := l.loadPage(p); err != nil {
			return err
		}
	}
	for _, p := range pages {
		if err := l.loadBlocks(p); err != nil {
			return err
		}
		l.loadPrerequisites(p)
	}
	slices.SortStableFunc(l.state.JobOrder, func(a, b *cluster.Job) int {
		return cmp.Or(cmp.Compare(a.SubmittedMs, b.SubmittedMs), cmp.Compare(a.ID, b.ID))
	})
	l.linkDependencies()
	l.closeInherited()
	l.jobs.InheritFailures()
	l.autoscaler.RestoreMachines()
	l.controller.context.Log(message.Info, "leading", "term", l.controller.elector.Token(), "jobs", len(l.state.JobOrder),
		"ended_jobs", len(l.state.EndedJobs), "machines", len(l.state.Machines), "pages", l.store.PageCount(), "oversized_pages", l.store.OversizedPages())
	return nil
}

// loadPage takes in everything on a page but the blocks and prerequisites.
func (l *loading) loadPage(p storage.LoadedPage) error {
	l.store.Load(p.Number, p.Version)
	if p.Stale {
		l.store.LoadStalePage(l.controller.context.Monotonic(), p.Number)
	}
	if p.Value.Options != "" {
		l.loadOptions(p)
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
		if err := l.loadJob(p, record, extensions[record.ID]); err != nil {
			return err
		}
	}
	for _, record := range p.Value.Provisioning {
		l.store.Load(p.Number, p.Version, l.autoscaler.RestoreRequest(record))
	}
	return nil
}

func (l *loading) loadOptions(p storage.LoadedPage) {
	l.options.record = &optionsRecord{p.Value.Options}
	l.store.Load(p.Number, p.Version, l.options.record)
	options, err := l.options.With([]byte(p.Value.Options))
	if err != nil {
		l.controller.context.Log(message.Error, "stored settings can't be used, defaults are in force", "error", err.Error())
		return
	}
	l.useOptions(options)
}

func (l *loading) loadJob(p storage.LoadedPage, record storage.JobRecord, extension storage.JobExtension) error {
	j := l.jobs.NewJob(record)
	j.Prerequisites.IDs = extension.Prerequisites
	if extension.BlockTasks > 0 {
		j.BlockTasks, j.RecordBlockTasks = extension.BlockTasks, true
	}
	done, err := storage.ParseBitmap(record.CompletedBlocks)
	if err != nil {
		return fmt.Errorf("job %s: %w", record.ID, err)
	}
	if err := record.ValidateBlocks(j.BlockTasks, done); err != nil {
		return err
	}
	j.DoneBlocks = done
	j.Lifecycle = cluster.Lifecycle{
		SubmissionCommitted: true, CancellationCommitted: record.Cancelled, CancelledAt: l.controller.context.Monotonic(),
	}
	for number := range j.BlockCount() {
		if done.Has(number) {
			j.DoneTasks += j.BlockLen(number)
		}
	}
	l.store.Load(p.Number, p.Version, j.Blocks[0])
	return nil
}

// loadPrerequisites takes in the parts of long lists of prerequisites. Those of a job that is
// on no page are left over from a leader that ended before it recorded the job.
func (l *loading) loadPrerequisites(p storage.LoadedPage) {
	for _, record := range p.Value.Prerequisites {
		j := l.state.Jobs[record.Job]
		if j == nil {
			l.store.LoadStalePage(l.controller.context.Monotonic(), p.Number)
			continue
		}
		part := &cluster.PrerequisitesPart{PrerequisitesRecord: record}
		j.Prerequisites.Parts = append(j.Prerequisites.Parts, part)
		j.Prerequisites.IDs = append(j.Prerequisites.IDs, record.IDs...)
		l.store.Load(p.Number, p.Version, part)
	}
}

func (l *loading) loadBlocks(p storage.LoadedPage) error {
	for _, record := range p.Value.Blocks {
		j := l.state.Jobs[record.Job]
		if j == nil {
			l.dropBlock(record)
			continue
		}
		b := j.Blocks[record.Block]
		if b == nil {
			b = j.FindBlock(record.Block)
			l.store.Load(p.Number, p.Version, b)
		}
		if err := l.loadBlock(b, record); err != nil {
			return err
		}
	}
	return nil
}

// dropBlock leaves out a block whose job isn't among those that aren't over. The job's end and
// that of its other blocks are on different pages, so the leader may have ended between the
// two. Anything else is damage, which must not end the whole service: the job is lost, and what
// it has on machines is stopped.
func (l *loading) dropBlock(record storage.BlockRecord) {
	if end := l.state.EndedJobs[record.Job]; end != nil {
		end.HasOtherRecords = true
		return
	}
	l.controller.context.Log(message.Error, "block of an unknown job dropped", "job", record.Job, "block", record.Block, "starts", len(record.Starts))
}

func (l *loading) loadBlock(b *cluster.Block, record storage.BlockRecord) error {
	j := b.Job
	done, err := storage.ParseBitmap(record.Done)
	if err != nil {
		return fmt.Errorf("job %s: %w", j.ID, err)
	}
	if err := record.ValidateTasks(j.Tasks, j.BlockTasks, done); err != nil {
		return err
	}
	b.LastAttempt, b.Done = record.LastAttempt, done
	if j.DoneBlocks.Has(b.Number) {
		// Its completion is recorded in the first block; it was about to go. The first block
		// itself stays, since it carries the job's record.
		if b.Number != 0 {
			l.jobs.RemoveBlock(b)
		}
		return nil
	}
	for i := range j.BlockLen(b.Number) {
		if done.Has(i) {
			j.DoneTasks++
		}
	}
	for _, start := range record.Starts {
		l.loadStart(b, start)
	}
	return nil
}

func (l *loading) loadStart(b *cluster.Block, start storage.StartRecord) {
	machine := l.state.Machine(start.Machine)
	t := &cluster.Task{
		Job: b.Job, Block: b, Index: start.Task, Attempt: start.Attempt, Machine: machine, Incarnation: start.Incarnation,
		Inherited: true, Committed: true, RanSince: cluster.NotRunning,
	}
	t.Attach()
	machine.Worker.Incarnation = max(machine.Worker.Incarnation, start.Incarnation)
}

// linkDependencies links the jobs that need others, and cancels those that need one whose
// cancellation is durable: the leader that was told may not have got to it.
func (l *loading) linkDependencies() {
	var cancelled []*cluster.Job
	for _, j := range l.state.JobOrder {
		prerequisiteCancelled := len(j.Prerequisites.IDs) > 0 && l.jobs.LinkPrerequisites(j)
		if prerequisiteCancelled && !j.Cancelled {
			jobs.Cancel(j, j.Lifecycle.CancelledAt, true)
			cancelled = append(cancelled, j)
		} else if j.Cancelled {
			cancelled = append(cancelled, j)
		}
	}
	for _, j := range cancelled {
		l.jobs.CancelDependents(j.ID)
	}
}

// closeInherited closes jobs whose end an earlier leader didn't get to.
func (l *loading) closeInherited() {
	for _, j := range slices.Clone(l.state.JobOrder) {
		if j.Cancelled {
			l.jobs.StopAll(j)
		}
		l.jobs.EndIfOver(j, nil)
	}
}
