package scale

import (
	"slices"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// pipelineClass is the class of jobs that need others.
const pipelineClass = "pipeline"

// How pipelines are drawn.
const (
	maxRecentJobs      = 64  // that a pipeline may name
	maxRecentNamed     = 4   // of these
	archivedNamedShare = 0.5 // of the pipelines name a job in the archive, too
	pipelineRunTime    = 3 * time.Second
)

// noteRecent keeps a job for pipelines to name, whatever becomes of it.
func (w *workload) noteRecent(job *fake.Job) {
	if w.parameters.Pipelines == 0 || job.Submission.Kind == protocol.Service {
		return
	}
	w.recent = append(w.recent, job)
	if len(w.recent) > maxRecentJobs {
		w.recent = slices.Delete(w.recent, 0, len(w.recent)-maxRecentJobs)
	}
}

// submitPipeline submits a job that needs recent ones, which may be done, cancelled or under way,
// and may need others themselves, and half of the time one in the archive.
func (w *workload) submitPipeline() {
	job := w.newJob(pipelineClass, protocol.Array, protocol.Normal, 1)
	for range 1 + w.random.IntN(maxRecentNamed) {
		if id := w.recentAccepted(); id != "" && !slices.Contains(job.Prerequisites, id) {
			job.Prerequisites = append(job.Prerequisites, id)
		}
	}
	if w.parameters.Archived > 0 && w.random.Float64() < archivedNamedShare {
		record := archivedRecord(w.random.IntN(w.parameters.Archived))
		w.world.AddEndedJob(record.ID, record.Cancelled)
		job.Prerequisites = append(job.Prerequisites, record.ID)
	}
	w.submit(job, pipelineRunTime)
}

// recentAccepted draws a recent job that is accepted; empty: the drawn one isn't.
func (w *workload) recentAccepted() string {
	if len(w.recent) == 0 {
		return ""
	}
	job := w.recent[w.random.IntN(len(w.recent))]
	if !job.Accepted {
		return ""
	}
	return job.Submission.ID
}
