package jobs

import (
	"oakpick/internal/cluster"
	"oakpick/internal/message"
	"oakpick/internal/storage"
)

// CanRecordGang reports whether the starts of a gang, which are recorded together, can be written. If
// the state service has lowered its limits since the gang was accepted, its blocks may be too long for
// that, and are replaced by shorter ones. Earlier versions don't support the new length, so this waits
// until the lower limits are in force: no earlier version is running then.
func (m *Manager) CanRecordGang(j *cluster.Job) bool {
	if j.Gang.ReplacingBlocks {
		return false
	}
	onlyAnnounced := m.limitsWillChange && !m.store.LimitsLowered()
	if onlyAnnounced || j.MinRecordSize() <= m.store.MaxItemSize() {
		return true
	}
	if len(j.ActiveTasks) == 0 && j.DoneTasks == 0 {
		m.replaceBlocks(j)
	}
	return false
}

// replaceBlocks replaces the blocks of a gang without active members by shorter ones. Block numbers
// refer to other tasks afterwards, so the blocks other than the first one, which has the job's
// record, are removed before the new length is recorded. Nothing is lost with them: a gang's attempt
// is part of the job's record, and no member is active or done.
func (m *Manager) replaceBlocks(j *cluster.Job) {
	length := j.LongestBlockWithin(m.store.MaxItemSize())
	if length == 0 {
		return
	}
	j.Gang.ReplacingBlocks = true
	waiter := j.StartWaiter(func() { m.oldBlocksRemoved(j, length) })
	removed := false
	for number := 1; number < j.BlockCount(); number++ {
		if b := j.Blocks[number]; b != nil {
			delete(j.Blocks, number)
			m.store.Remove(m.context.Monotonic(), b, waiter)
			removed = true
		}
	}
	if !removed {
		m.oldBlocksRemoved(j, length)
	}
}

func (m *Manager) oldBlocksRemoved(j *cluster.Job, length int) {
	j.Gang.ReplacingBlocks = false
	if j.Lifecycle.Ended {
		return // the job's page has its terminal record instead
	}
	m.context.Log(message.Info, "blocks of gang shortened", "job", j.ID, "tasks", j.Tasks, "block_tasks", length)
	j.BlockTasks, j.RecordBlockTasks = length, true
	m.markDirty(j.Blocks[0], storage.OnStartCommit(func() {}))
	m.state.NeedsScheduling = true
}
