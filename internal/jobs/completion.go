package jobs

import (
	"oakpick/internal/cluster"
	"oakpick/internal/storage"
)

// EndIfFinished ends a job that is complete or cancelled and has no tasks on machines any more. The
// waiter, if not nil, runs once the job's end is durable.
func (m *Manager) EndIfFinished(j *cluster.Job, waiter *storage.CommitWaiter) {
	if j.Lifecycle.Ended || j.Prerequisites.PartsPending || len(j.ActiveTasks) > 0 || j.DamagedBy != nil {
		return
	}
	if j.Cancelled {
		if !j.Lifecycle.CancellationCommitted {
			return
		}
	} else if j.DoneTasks < j.Tasks {
		return
	}
	j.Lifecycle.Ended = true
	m.recordEnd(j, waiter)
	m.state.RemoveFromOrder(j)
	m.state.NeedsScheduling = true
}

// recordEnd replaces a job's record by its terminal record. The end of a cancelled job may be
// written later: users get the same answer before it is durable, even from a successor.
func (m *Manager) recordEnd(j *cluster.Job, waiter *storage.CommitWaiter) {
	end := &cluster.EndedJob{TerminalRecord: storage.TerminalRecord{ID: j.ID, Cancelled: j.Cancelled, Tasks: j.Tasks}}
	newWaiter := storage.OnCommit
	if j.Cancelled {
		newWaiter = storage.OnBackgroundCommit
	}
	endCommitted := newWaiter(func() { m.endCommitted(j, end) })
	now := m.context.Monotonic()
	if waiter == nil {
		m.store.Replace(now, j.Blocks[0], end, endCommitted)
		return
	}
	m.store.Replace(now, j.Blocks[0], end, waiter)
	m.markDirty(end, endCommitted)
}

func (m *Manager) endCommitted(j *cluster.Job, end *cluster.EndedJob) {
	m.state.EndedJobs[end.ID] = end
	delete(m.state.Jobs, end.ID)
	m.removeOtherRecords(j, end)
	if !end.Cancelled {
		m.prerequisiteDone(end.ID)
	}
}

// removeOtherRecords removes a job's records other than its terminal record. They may be removed
// only once that is durable: a successor that found the job without its blocks would start their
// tasks again.
func (m *Manager) removeOtherRecords(j *cluster.Job, end *cluster.EndedJob) {
	var items []storage.Item
	for number := 1; number < j.BlockCount(); number++ {
		if b := j.Blocks[number]; b != nil {
			items = append(items, b)
		}
	}
	for _, part := range j.Prerequisites.Parts {
		items = append(items, part)
	}
	end.HasOtherRecords = len(items) > 0
	waiter := j.DeferredWaiter(func() { end.HasOtherRecords = false })
	for _, item := range items {
		m.store.Remove(m.context.Monotonic(), item, waiter)
	}
}
