package jobs

import (
	"slices"

	"oakpick/internal/cluster"
	"oakpick/internal/dependency"
	"oakpick/internal/message"
	"oakpick/internal/storage"
)

const msPerS = 1000

// SplitPrerequisites puts the prerequisites of a new job into records of their own if the
// job's page can't take them.
func (m *Manager) SplitPrerequisites(j *cluster.Job) {
	if j.MinRecordSize() <= m.store.MaxItemSize() {
		return
	}
	for _, record := range storage.SplitPrerequisites(j.ID, j.Prerequisites.IDs, m.store.MaxItemSize()) {
		j.Prerequisites.Parts = append(j.Prerequisites.Parts, &cluster.PrerequisitesPart{PrerequisitesRecord: record})
	}
}

// RecordPrerequisites writes the records of a job's prerequisites, and goes on once all of
// them are durable: so the job is never found with only some of its prerequisites.
func (m *Manager) RecordPrerequisites(j *cluster.Job, onCommit func()) {
	if len(j.Prerequisites.Parts) == 0 {
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

// LinkPrerequisites puts a job into the dependency graph, unless it is cancelled, and reports
// whether it is: on record, with a prerequisite in the archive, or with one that is cancelled
// durably. This is the only place that decides it for a job that is submitted or loaded, and it
// decides before any edge exists: the graph holds only jobs that aren't over, and nothing would
// take the edges of a job that is cancelled from the start off again.
func (m *Manager) LinkPrerequisites(j *cluster.Job) (cancelled bool) {
	if j.Cancelled || j.Prerequisites.ArchivedCancelled || m.anyPrerequisiteCancelled(j) {
		return true
	}
	unfinished, unknown := m.openPrerequisites(j)
	if len(unfinished)+unknown > 0 {
		m.addEdges(j, unfinished, unknown)
	}
	return false
}

// anyPrerequisiteCancelled reports whether one of the jobs that a job needs is durably cancelled.
func (m *Manager) anyPrerequisiteCancelled(j *cluster.Job) bool {
	return slices.ContainsFunc(j.Prerequisites.IDs, func(id string) bool {
		if end := m.state.EndedJobs[id]; end != nil {
			return end.Cancelled
		}
		prerequisite := m.state.Jobs[id]
		return prerequisite != nil && prerequisite.IsCancelled()
	})
}

// openPrerequisites returns the jobs that a job needs and that aren't over, and how many it names
// of which nothing is known. These are damage: the job can't start, since it may be too early, nor
// vanish.
func (m *Manager) openPrerequisites(j *cluster.Job) (unfinished []*cluster.Job, unknown int) {
	for _, id := range j.Prerequisites.IDs {
		prerequisite := m.state.Jobs[id]
		switch {
		case m.state.EndedJobs[id] != nil:
		case prerequisite != nil:
			unfinished = append(unfinished, prerequisite)
		default:
			unknown++
			m.context.Log(message.Error, "prerequisite has no record: the job is blocked for good", "job", j.ID, "prerequisite", id)
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
		m.context.Log(message.Error, "prerequisite needs the job itself: the job is blocked for good", "job", j.ID)
	}
}

// dependencyNode finds or adds a job's node of the dependency graph.
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

// prerequisiteDone lets the jobs begin that have waited for this one only. It has to be
// durable that it is done: a successor that didn't know could cancel it still.
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

// CancelDependents cancels all that need a job whose cancellation is durable. None of them
// has begun, and nothing is recorded for them but their end: until that is, a successor comes
// to the same result by the edges.
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
