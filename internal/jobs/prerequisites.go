package jobs

import (
	"slices"

	"oakpick/internal/cluster"
	"oakpick/internal/dependency"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

const msPerS = 1000

// SplitPrerequisites moves the prerequisites of a new job to separate records if they would take too
// much of the job's page.
func (m *Manager) SplitPrerequisites(j *cluster.Job) {
	if m.prerequisitesFit(j) {
		return
	}
	j.Prerequisites.Separate = true
	m.addMissingParts(j)
}

// maxPrerequisitesShare is the share of a page that the prerequisites of a job may take if the starts
// of its first block don't all fit beside them.
const maxPrerequisitesShare = 1.0 / 8

// prerequisitesFit reports whether a job's prerequisites, if it has any, may be stored on its own page.
// They stay there until the job ends, so they must leave room for the starts of its tasks: for all
// replicas of a service, whose starts stay as well, and for most tasks of an array.
func (m *Manager) prerequisitesFit(j *cluster.Job) bool {
	ids, limit := j.Prerequisites.IDs, m.store.MaxItemSize()
	switch {
	case len(ids) == 0 || m.store.Fits(j.Blocks[0]):
		return true
	case j.Kind == protocol.Service || j.MinRecordSize() > limit:
		return false
	}
	list := storage.PrerequisitesRecord{Job: j.ID, IDs: ids}
	return float64(list.EncodedSize()) <= maxPrerequisitesShare*float64(limit)
}

// addMissingParts adds parts for the prerequisites of a job that no part has yet, and returns the new parts.
func (m *Manager) addMissingParts(j *cluster.Job) []*cluster.PrerequisitesPart {
	copied, next := map[string]bool{}, 0
	for _, part := range j.Prerequisites.Parts {
		next = max(next, part.Part+1)
		for _, id := range part.IDs {
			copied[id] = true
		}
	}
	missing := slices.DeleteFunc(slices.Clone(j.Prerequisites.IDs), func(id string) bool { return copied[id] })
	var added []*cluster.PrerequisitesPart
	for _, record := range storage.SplitPrerequisites(j.ID, next, missing, m.store.MaxItemSize()) {
		added = append(added, &cluster.PrerequisitesPart{PrerequisitesRecord: record})
	}
	j.Prerequisites.Parts = append(j.Prerequisites.Parts, added...)
	return added
}

// MoveLargePrerequisites moves the prerequisites of a loaded job to separate records if they were
// stored on the job's page under larger limits and don't fit there any more. Without this, no start
// or cancellation of the job could be recorded under the lower limits. The page is written without
// them only once all parts are durable, so a successor finds all of them in either place.
func (m *Manager) MoveLargePrerequisites(j *cluster.Job) {
	if j.Prerequisites.Separate || j.DamagedBy != nil || m.prerequisitesFit(j) {
		return
	}
	waiter := j.StartWaiter(func() { m.partsCommitted(j) })
	added := m.addMissingParts(j)
	m.context.Log(message.Info, "prerequisites moved to separate records", "job", j.ID, "prerequisites", len(j.Prerequisites.IDs), "records", len(added))
	for _, part := range added {
		m.markDirty(part, waiter)
	}
	if len(added) == 0 { // an earlier leader's term ended when all parts were durable
		m.partsCommitted(j)
	}
}

func (m *Manager) partsCommitted(j *cluster.Job) {
	if j.Lifecycle.Ended {
		return // the job's page has its terminal record instead
	}
	j.Prerequisites.Separate = true
	m.markDirty(j.Blocks[0], nil)
	m.state.NeedsScheduling = true
}

// RecordPrerequisites writes the separate records of a job's prerequisites and calls onCommit once
// all are durable, so that a job is never loaded with only some of its prerequisites.
func (m *Manager) RecordPrerequisites(j *cluster.Job, onCommit func()) {
	if !j.Prerequisites.Separate {
		onCommit()
		return
	}
	j.Prerequisites.PartsPending = true
	waiter := storage.OnDeferredCommit(func() {
		j.Prerequisites.PartsPending = false
		onCommit()
	})
	for _, part := range j.Prerequisites.Parts {
		m.markDirty(part, waiter)
	}
}

// LinkPrerequisites adds a job to the dependency graph, unless it is cancelled, and reports whether
// it is cancelled: by its own record, by a cancelled prerequisite in the archive, or by one whose
// cancellation is durable. It is the only function that decides this for a submitted or loaded job,
// and it does so before any edge exists: the graph holds only jobs that have not ended, and nothing
// would remove the edges of a job that was cancelled from the start.
func (m *Manager) LinkPrerequisites(j *cluster.Job) (cancelled bool) {
	if j.Cancelled || j.Prerequisites.ArchivedCancelled || m.anyPrerequisiteCancelled(j) {
		return true
	}
	unfinished, unknown := m.unfinishedPrerequisites(j)
	if len(unfinished)+unknown > 0 {
		m.addEdges(j, unfinished, unknown)
	}
	return false
}

// anyPrerequisiteCancelled reports whether a prerequisite of a job is durably cancelled.
func (m *Manager) anyPrerequisiteCancelled(j *cluster.Job) bool {
	return slices.ContainsFunc(j.Prerequisites.IDs, func(id string) bool {
		if end := m.state.EndedJobs[id]; end != nil {
			return end.Cancelled
		}
		prerequisite := m.state.Jobs[id]
		return prerequisite != nil && prerequisite.IsDurablyCancelled()
	})
}

// unfinishedPrerequisites returns the prerequisites of a job that have not ended, and the number of
// those without any record. A missing record means damaged data: the job cannot start, since that
// might be too early, and it must not be dropped.
func (m *Manager) unfinishedPrerequisites(j *cluster.Job) (unfinished []*cluster.Job, unknown int) {
	for _, id := range j.Prerequisites.IDs {
		prerequisite := m.state.Jobs[id]
		switch {
		case m.state.EndedJobs[id] != nil:
		case prerequisite != nil:
			unfinished = append(unfinished, prerequisite)
		default:
			unknown++
			m.context.Log(message.Error, "prerequisite has no record; the job stays blocked permanently", "job", j.ID, "prerequisite", id)
		}
	}
	return unfinished, unknown
}

func (m *Manager) addEdges(j *cluster.Job, prerequisites []*cluster.Job, unknown int) {
	node := m.dependencyNode(j)
	nodes := make([]*dependency.Node, len(prerequisites))
	for i, prerequisite := range prerequisites {
		nodes[i] = m.dependencyNode(prerequisite)
	}
	if cyclic := m.state.Dependencies.AddEdges(node, nodes, unknown); cyclic > 0 {
		m.context.Log(message.Error, "prerequisite depends on the job itself; the job stays blocked permanently", "job", j.ID)
	}
}

// dependencyNode returns a job's node in the dependency graph, adding it if necessary.
func (m *Manager) dependencyNode(j *cluster.Job) *dependency.Node {
	if node := m.state.Dependencies.Node(j.ID); node != nil {
		return node
	}
	job := dependency.Job{
		ID: j.ID, Priority: j.Priority, DeadlineMs: dependency.NoDeadline, ExpectedRunMs: int64(m.state.ExpectedRunS(j) * msPerS),
	}
	if j.DeadlineS > 0 {
		job.DeadlineMs = j.SubmittedMs + int64(j.DeadlineS*msPerS)
	}
	j.Prerequisites.Node = m.state.Dependencies.Insert(job)
	return j.Prerequisites.Node
}

// prerequisiteDone makes the jobs ready whose last unfinished prerequisite was the given job. The
// completion of that job must be durable, since a successor that did not know of it could still
// cancel the completed job.
func (m *Manager) prerequisiteDone(id string) {
	for _, ready := range m.state.Dependencies.Complete(id) {
		j := m.state.Jobs[ready]
		j.ReadyMs = m.context.Now.WallMs
		j.Placement.IdleSince = m.context.Monotonic()
		m.state.ObserveArrival(j)
		m.state.MoveJobToEnd(j)
		m.state.NeedsScheduling = true
	}
}

// CancelDependents cancels all jobs that depend on a job whose cancellation is durable. None of them
// has started, and only their ends are recorded. Until those are durable, a successor reaches the
// same result by following the edges.
func (m *Manager) CancelDependents(id string) {
	for _, dependent := range m.state.Dependencies.Cancel(id) {
		j := m.state.Jobs[dependent]
		if j == nil || j.Lifecycle.Ended {
			continue
		}
		m.context.Log(message.Debug, "job cancelled with its prerequisite", "job", j.ID, "prerequisite", id)
		MarkCancelled(j, m.context.Monotonic(), true)
		m.EndIfFinished(j, nil)
	}
}
