package controller

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// newEngine makes a leader's picture of everything from the pages that it has read
// behind the barrier of its term.
func newEngine(n *Controller, entries []protocol.Entry) (*engine, error) {
	pages, err := storage.ReadPages(entries)
	if err != nil {
		return nil, err
	}
	e := emptyEngine(n)
	for _, p := range pages { // jobs before blocks, which may be on other pages
		if err := e.loadPage(p); err != nil {
			return nil, err
		}
	}
	for _, p := range pages {
		if err := e.loadBlocks(p); err != nil {
			return nil, err
		}
		e.loadPrerequisites(p)
	}
	slices.SortStableFunc(e.order, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.SubmittedMs, b.SubmittedMs), cmp.Compare(a.ID, b.ID))
	})
	e.loadDependencies()
	e.settleInherited()
	e.inheritFailures()
	for _, r := range e.fleet.rentals {
		e.loadRentedHosts(r)
	}
	n.log(message.Info, "leading", "term", e.token, "jobs", len(e.order), "over", len(e.finals), "hosts", len(e.hosts),
		"pages", e.store.PageCount(), "pages above limits to come", e.store.OversizedPages())
	return e, nil
}

// emptyEngine is the picture of a service that has never been used.
func emptyEngine(n *Controller) *engine {
	s := n.cfg.Settings
	e := &engine{
		n: n, rules: n.rules, opt: DefaultOptions(n.cfg), token: n.term.own, firstT: n.term.own, ledAt: n.now.Monotonic,
		jobs: map[string]*job{}, finals: map[string]*final{}, teams: map[string]*team{}, hosts: map[string]*host{},
		gone: map[string]time.Duration{}, writes: map[uint64]*storage.Write{}, asking: map[uint64]bool{}, schedule: true,
		classes: map[string]*class{}, within: map[string]float64{}, dependencies: newDependencies(),
	}
	for _, o := range s.Objectives {
		if o.Kind == "wait" {
			e.within[o.Class] = o.WithinS
		}
	}
	for _, t := range s.Teams {
		e.teams[t.Name] = &team{Team: t}
	}
	e.markGuests(s.Teams)
	// What is written has to fit the limits to come as well: when they come isn't said.
	e.archive = newArchive(e)
	limits := s.State.Smallest()
	e.store = storage.NewStore(storage.Limits{
		PageBytes: storage.PageBytes(limits.ValueKB), ChangesPerTxn: limits.TxnOps, WritesPerS: limits.WriteRPS * e.opt.WriteShare,
	}, fmt.Sprintf("%d", e.token), n.rules.retry)
	if n.limitsLowered {
		e.store.SetLimitsLowered()
	}
	return e
}

// loadPage takes in everything on a page but the blocks.
func (e *engine) loadPage(p storage.LoadedPage) error {
	e.store.Load(p.Number, p.Version)
	if p.Stale {
		e.store.LoadStalePage(e.n.now.Monotonic, p.Number)
	}
	if p.Value.Options != "" {
		e.loadOptions(p)
	}
	for _, r := range p.Value.Terminal {
		f := &final{TerminalRecord: r}
		e.finals[r.ID] = f
		e.store.Load(p.Number, p.Version, f)
	}
	extensions := map[string]storage.JobExtension{}
	for _, x := range p.Value.Extensions {
		extensions[x.Job] = x
	}
	for _, r := range p.Value.Jobs {
		if err := e.loadJob(p, r, extensions[r.ID]); err != nil {
			return err
		}
	}
	for _, r := range p.Value.Provisioning {
		rt := &rental{ProvisioningRecord: r, ready: true}
		e.fleet.rentals = append(e.fleet.rentals, rt)
		e.store.Load(p.Number, p.Version, rt)
	}
	return nil
}

func (e *engine) loadOptions(p storage.LoadedPage) {
	e.optItem = &optionsItem{p.Value.Options}
	e.store.Load(p.Number, p.Version, e.optItem)
	opt, err := e.opt.With([]byte(p.Value.Options))
	if err != nil {
		e.n.log(message.Error, "kept settings can't be used, defaults are in force", "error", err.Error())
		return
	}
	e.use(opt)
}

func (e *engine) loadJob(p storage.LoadedPage, r storage.JobRecord, x storage.JobExtension) error {
	j := e.newJob(r)
	j.prerequisites = x.Prerequisites
	if x.BlockTasks > 0 {
		j.blockTasks, j.recordBlocks = x.BlockTasks, true
	}
	full, err := storage.ParseBitmap(r.CompletedBlocks)
	if err != nil {
		return fmt.Errorf("job %s: %w", r.ID, err)
	}
	if err := r.ValidateBlocks(j.blockTasks, full); err != nil {
		return err
	}
	j.full, j.committed, j.cancelKnown = full, true, r.Cancelled
	j.cancelledAt = e.n.now.Monotonic
	for b := range j.blockCount() {
		if full.Has(b) {
			j.done += j.blockLen(b)
		}
	}
	e.store.Load(p.Number, p.Version, j.blocks[0])
	return nil
}

// loadPrerequisites takes in the parts of long lists of prerequisites. Those of a job that
// is on no page are left over from a leader that ended before it recorded the job.
func (e *engine) loadPrerequisites(p storage.LoadedPage) {
	for _, r := range p.Value.Prerequisites {
		j := e.jobs[r.Job]
		if j == nil {
			e.store.LoadStalePage(e.n.now.Monotonic, p.Number)
			continue
		}
		part := &prerequisitesPart{r}
		j.parts = append(j.parts, part)
		j.prerequisites = append(j.prerequisites, r.IDs...)
		e.store.Load(p.Number, p.Version, part)
	}
}

func (e *engine) loadBlocks(p storage.LoadedPage) error {
	for _, r := range p.Value.Blocks {
		j := e.jobs[r.Job]
		if j == nil {
			// The job's final state and the end of its other blocks are on
			// different pages, so the leader may have ended between the two.
			// Anything else is damage, which must not end the whole service:
			// the job is lost, and what it has on machines is stopped.
			if f := e.finals[r.Job]; f != nil {
				f.rest = true
			} else {
				e.n.log(message.Error, "a block of an unknown job is dropped", "job", r.Job, "block", r.Block, "starts", len(r.Starts))
			}
			continue
		}
		b := j.blocks[r.Block]
		if b == nil {
			b = &block{job: j, number: r.Block}
			j.blocks[r.Block] = b
			e.store.Load(p.Number, p.Version, b)
		}
		if err := e.readBlock(b, r); err != nil {
			return err
		}
	}
	return nil
}

// loadDependencies links the jobs that need others, and cancels those that need one
// whose cancellation is durable: the leader that was told may not have got to it.
func (e *engine) loadDependencies() {
	var cancelled []*job
	for _, j := range e.order {
		if len(j.prerequisites) > 0 && e.linkPrerequisites(j) && !j.Cancelled {
			j.Cancelled, j.cancelKnown = true, true
			cancelled = append(cancelled, j)
		} else if j.Cancelled {
			cancelled = append(cancelled, j)
		}
	}
	for _, j := range cancelled {
		e.cancelDependents(j.ID)
	}
}

// settleInherited closes jobs whose end an earlier leader didn't get to.
func (e *engine) settleInherited() {
	for _, j := range slices.Clone(e.order) {
		if j.Cancelled {
			e.stopAll(j)
		}
		e.settle(j, nil)
	}
}

func (e *engine) loadRentedHosts(r *rental) {
	for _, name := range r.Machines {
		h := e.host(name)
		h.kind, h.zone, h.spot = r.Type, r.Zone, r.Spot
		h.rentedAt = e.n.now.Monotonic - time.Duration(max(0, e.n.now.WallMs-r.AtMs))*time.Millisecond
	}
}

func (e *engine) readBlock(b *block, r storage.BlockRecord) error {
	j := b.job
	done, err := storage.ParseBitmap(r.Done)
	if err != nil {
		return fmt.Errorf("job %s: %w", j.ID, err)
	}
	if err := r.ValidateTasks(j.Tasks, j.blockTasks, done); err != nil {
		return err
	}
	b.try, b.done = r.LastAttempt, done
	if j.full.Has(b.number) {
		// Its completion is recorded in the first block; it was about to go. The
		// first block itself stays, since it carries the job's record.
		if b.number != 0 {
			e.store.Remove(e.n.now.Monotonic, b, j.onCommitLater(func() {}))
			delete(j.blocks, b.number)
		}
		return nil
	}
	for i := range j.blockLen(b.number) {
		if done.Has(i) {
			j.done++
		}
	}
	for _, s := range r.Starts {
		h := e.host(s.Machine)
		t := &task{
			job: j, block: b, index: s.Task, try: s.Attempt, host: h, session: s.Incarnation,
			inherited: true, committed: true, placedAt: e.n.now.Monotonic, ranSince: -1,
		}
		b.starts = append(b.starts, t)
		j.tasks[t.index] = t
		if !j.isDone(t.index) {
			j.unfinished++
		}
		h.tasks = append(h.tasks, t)
		h.countTask(j, 1)
		h.used = h.used.plus(j.need)
		h.session = max(h.session, s.Incarnation)
		j.team.used = j.team.used.plus(j.need)
	}
	return nil
}

func (e *engine) newJob(r storage.JobRecord) *job {
	j := &job{
		JobRecord: r, e: e, blocks: map[int]*block{}, tasks: map[int]*task{}, idleSince: e.n.now.Monotonic,
		need: need{r.CPUs, r.GPUs, r.MemoryGB}, failures: failureSeries{on: map[string]bool{}}, kinds: strings.Join(r.Types, " "),
		readyMs: r.SubmittedMs, blockTasks: e.rules.blockTasks,
	}
	// Without it the number of a block would mean other tasks once value_kb is changed.
	j.recordBlocks = e.n.cfg.Settings.State.Next != nil || j.blockCount() > 1
	if j.team = e.teams[r.Team]; j.team == nil {
		j.team = &team{Team: config.Team{Name: r.Team}} // a team that the settings no longer name
		e.teams[r.Team] = j.team
	}
	j.blocks[0] = &block{job: j}
	e.jobs[r.ID] = j
	e.order = append(e.order, j)
	return j
}
