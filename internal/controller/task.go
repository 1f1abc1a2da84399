package controller

import (
	"cmp"
	"slices"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// task is one started task that may be on a machine.
type task struct {
	job     *job
	block   *block
	index   int
	try     int64
	host    *host
	session int64

	inherited bool  // recorded by an earlier term
	committed bool  // its start is durable
	sentToken int64 // highest token with which a start was sent; 0: never
	prevToken int64 // the same before the call under way
	answered  bool  // a worker's answer has confirmed the start
	seen      bool
	state     protocol.TaskState
	placedAt  time.Duration
	ranSince  time.Duration
	stopping  bool
	stopAt    time.Duration
	grace     float64
	stopSent  time.Duration
}

func (t *task) record() storage.StartRecord {
	return storage.StartRecord{Task: t.index, Attempt: t.try, Machine: t.host.name, Incarnation: t.session}
}

func (t *task) attempt() protocol.Attempt {
	return protocol.Attempt{Job: t.job.ID, Task: t.index, Number: t.try}
}

func (e *engine) sorted(j *job) []*task {
	out := make([]*task, 0, len(j.tasks))
	for _, t := range j.tasks {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *task) int { return cmp.Compare(a.index, b.index) })
	return out
}

// place records the start of a task; it is sent once that is durable.
func (e *engine) place(j *job, index int, h *host, w *storage.CommitWaiter) *task {
	bn := index / j.blockTasks
	b := j.blocks[bn]
	if b == nil {
		b = &block{job: j, number: bn}
		j.blocks[bn] = b
	}
	try := j.GangAttempt
	if j.Kind != protocol.Gang {
		b.try++
		try = b.try
	}
	t := &task{job: j, block: b, index: index, try: try, host: h, session: h.session, placedAt: e.n.now.Monotonic, ranSince: -1}
	b.starts = append(b.starts, t)
	j.tasks[index] = t
	j.unfinished++
	h.tasks = append(h.tasks, t)
	h.countTask(j, 1)
	h.used = h.used.plus(j.need)
	h.emptySince = 0
	j.team.used = j.team.used.plus(j.need)
	h.fetch(e, j)
	if w == nil {
		w = j.onCommitStart(func() { e.started(t) })
	}
	e.store.MarkDirty(e.n.now.Monotonic, b, w)
	return t
}

// started notes that a start is durable.
func (e *engine) started(t *task) {
	t.committed = true
	if t.job.tasks[t.index] != t {
		return
	}
	if t.job.Cancelled || t.stopping {
		e.drop(t)
		e.settle(t.job, nil)
		return
	}
	e.queueCommands(t.host)
}

// drop forgets a task that is certainly not on its machine, or no longer.
func (e *engine) drop(t *task) {
	j := t.job
	if j.tasks[t.index] != t {
		return
	}
	delete(j.tasks, t.index)
	t.block.starts = slices.DeleteFunc(t.block.starts, func(x *task) bool { return x == t })
	t.host.tasks = slices.DeleteFunc(t.host.tasks, func(x *task) bool { return x == t })
	t.host.countTask(j, -1)
	t.host.used = t.host.used.minus(j.need)
	if t.stopping {
		j.stopping--
		t.host.leaving = t.host.leaving.minus(j.need)
		j.team.leaving = j.team.leaving.minus(j.need)
	}
	j.team.used = j.team.used.minus(j.need)
	if !j.isDone(t.index) {
		j.unfinished--
		j.requeue = append(j.requeue, t.index)
		j.idleSince = e.n.now.Monotonic
	}
	if len(t.host.tasks) == 0 {
		t.host.emptySince = e.n.now.Monotonic
		t.host.used, t.host.leaving = need{}, need{} // no rounding is carried on
	}
	e.schedule = true
	e.touchLater(t.block)
	if j.Kind == protocol.Gang {
		e.gangLost(j)
	}
}

// gangLost decides what the loss of a member means: while the attempt has not
// begun to run a replacement joins it; later the rest must go first.
func (e *engine) gangLost(j *job) {
	if j.over || j.Cancelled {
		return
	}
	if len(j.tasks) == 0 {
		j.gangRan, j.gangEnding = false, false
		return
	}
	if j.gangRan {
		j.gangEnding = true
	}
}

// lost is a task that is gone without having told why.
func (e *engine) lost(t *task, proof string) {
	e.n.Stats.TasksLost++
	e.n.log(message.Info, "task lost", "job", t.job.ID, "task", t.index, "attempt", t.try, "host", t.host.name, "proof", proof)
	e.drop(t)
	e.settle(t.job, nil)
}

// exited handles a task that its worker reports as ended. The worker is told to
// forget it once what it means is durable.
func (e *engine) exited(t *task, r protocol.TaskStatus) {
	j, h, a := t.job, t.host, r.Attempt
	h.forget[a] = forgetting{token: max(t.sentToken, e.firstT-1), since: e.n.now.Monotonic}
	w := j.onCommitLater(func() { e.forgettable(h, a) })
	now := e.n.now.Monotonic
	switch r.ExitCause {
	case protocol.ExitDone:
		e.n.Stats.TasksFinished++
		e.ran(j, now-t.ranSince, t.ranSince >= 0 && !t.inherited)
		e.runsWell(j, h)
		e.markDone(j, t.index)
		if j.Kind == protocol.Gang { // complete together
			// The others are still on their machines until these say so: one may hang.
			for i := range j.Tasks {
				e.markDone(j, i)
			}
		}
	case protocol.ExitFailed:
		e.failed(t)
	case protocol.ExitInsufficientResources, protocol.ExitTaskAlreadyPresent:
		h.pauseUntil = now + e.rules.report
	case protocol.ExitUnknownJob:
		j.retryAt = now + e.rules.report/2
	case protocol.ExitGangIncomplete:
		j.gangEnding = true
	}
	if r.ExitCause != protocol.ExitDone {
		e.n.log(message.Debug, "task ended", "job", j.ID, "task", t.index, "host", h.name, "cause", r.ExitCause.String(), "saved", r.Checkpointed)
	}
	b := t.block
	e.drop(t)
	if j.blocks[b.number] == b {
		e.store.MarkDirty(now, b, w)
	} else {
		e.store.MarkDirty(now, j.blocks[0], w)
	}
	e.settle(j, w)
}

func (e *engine) markDone(j *job, index int) {
	if j.isDone(index) || j.Cancelled {
		return
	}
	bn := index / j.blockTasks
	b := j.blocks[bn]
	if b == nil {
		b = &block{job: j, number: bn}
		j.blocks[bn] = b
	}
	b.done.Set(index % j.blockTasks)
	j.done++
	if j.tasks[index] != nil {
		j.unfinished--
	}
	now := e.n.now.Monotonic
	e.touchLater(b)
	for i := range j.blockLen(bn) {
		if !b.done.Has(i) {
			return
		}
	}
	// The whole block is done: the first block says so, and only when that is
	// durable does the block itself go.
	j.full.Set(bn)
	e.store.MarkDirty(now, j.blocks[0], j.onCommitLater(func() {
		if bn != 0 && j.blocks[bn] == b && len(b.starts) == 0 {
			delete(j.blocks, bn)
			e.store.Remove(e.n.now.Monotonic, b, j.onCommitLater(func() {}))
		}
	}))
}

// settle closes a job that is over and has nothing on machines any more.
func (e *engine) settle(j *job, w *storage.CommitWaiter) {
	if j.over || j.recordsParts || len(j.tasks) > 0 || !j.Cancelled && j.done < j.Tasks || j.Cancelled && !j.cancelKnown {
		return
	}
	j.over = true
	e.recordEnd(j, w)
	e.order = slices.DeleteFunc(e.order, func(x *job) bool { return x == j })
	e.schedule = true
}

// recordEnd puts a job's end in the place of its record. The end of a cancelled job can
// wait: its users hear the same before it is durable, also from a successor.
func (e *engine) recordEnd(j *job, w *storage.CommitWaiter) {
	f := &final{TerminalRecord: storage.TerminalRecord{ID: j.ID, Cancelled: j.Cancelled, Tasks: j.Tasks}}
	ended := func() {
		e.finals[f.ID] = f
		delete(e.jobs, f.ID)
		e.removeRest(j, f)
		if !f.Cancelled {
			e.prerequisiteDone(f.ID)
		}
	}
	wait := storage.OnCommit(ended)
	if j.Cancelled {
		wait = storage.OnBackgroundCommit(ended)
	}
	if w == nil {
		e.store.Replace(e.n.now.Monotonic, j.blocks[0], f, wait)
		return
	}
	e.store.Replace(e.n.now.Monotonic, j.blocks[0], f, w)
	e.store.MarkDirty(e.n.now.Monotonic, f, wait)
}

// removeRest removes what is recorded of a job beside its end. It may go only once that is
// durable: a successor that found the job without its blocks would start their tasks again.
func (e *engine) removeRest(j *job, f *final) {
	var rest []storage.Item
	for bn := 1; bn < j.blockCount(); bn++ {
		if b := j.blocks[bn]; b != nil {
			rest = append(rest, b)
		}
	}
	for _, p := range j.parts {
		rest = append(rest, p)
	}
	f.rest = len(rest) > 0
	wait := j.onCommitLater(func() { f.rest = false })
	for _, item := range rest {
		e.store.Remove(e.n.now.Monotonic, item, wait)
	}
}

// stop tells a task to end; a gang's tasks are told together.
func (e *engine) stop(t *task, grace float64) {
	if t.stopping && (grace >= t.grace || t.grace == 0) {
		return
	}
	if !t.stopping {
		t.job.stopping++
		t.host.leaving = t.host.leaving.plus(t.job.need)
		t.job.team.leaving = t.job.team.leaving.plus(t.job.need)
	}
	t.stopping, t.grace = true, grace
	t.stopAt = e.n.now.Monotonic
	if t.sentToken == 0 && !t.inherited {
		if t.committed {
			e.drop(t) // otherwise started does it
		}
		return
	}
	e.queueCommands(t.host)
}

// preemptTask stops a task so that it saves what it can; of a gang, every task.
func (e *engine) preemptTask(t *task, why string) {
	j := t.job
	if j.tasks[t.index] != t {
		return // gone already, with the gang that it was of
	}
	grace := 0.0
	if j.saves() {
		grace = j.CheckpointDurationS + 0.5
	}
	e.n.log(message.Debug, "task stopped", "job", j.ID, "task", t.index, "host", t.host.name, "why", why)
	if j.Kind != protocol.Gang {
		e.stop(t, grace)
		return
	}
	j.gangEnding = true
	for _, m := range e.sorted(j) {
		e.stop(m, grace)
	}
}
