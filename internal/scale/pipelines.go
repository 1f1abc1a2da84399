package scale

import (
	"slices"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
)

// pipelineClass is the class of jobs with prerequisites.
const pipelineClass = "pipeline"

// Parameters of the random pipeline jobs.
const (
	maxRecentJobs             = 64  // number of candidates for prerequisites
	maxRecentPrerequisites    = 4   // of a pipeline job, among the candidates
	archivedPrerequisiteShare = 0.5 // share of the pipeline jobs that also need an archived job
	pipelineRunTime           = 3 * time.Second
)

// addRecent makes a job a candidate for the prerequisites of pipeline jobs, whatever its later status.
func (w *workload) addRecent(job *fake.Job) {
	if w.parameters.Pipelines == 0 || job.Submission.Kind == protocol.Service {
		return
	}
	w.recent = append(w.recent, job)
	if len(w.recent) > maxRecentJobs {
		w.recent = slices.Delete(w.recent, 0, len(w.recent)-maxRecentJobs)
	}
}

// submitPipeline submits a job that needs up to maxRecentPrerequisites recent jobs and, with the
// probability archivedPrerequisiteShare, an archived job. The recent jobs may be done, cancelled or
// unfinished, and may have prerequisites themselves.
func (w *workload) submitPipeline() {
	job := w.newJob(pipelineClass, protocol.Array, protocol.Normal, 1)
	for range 1 + w.random.IntN(maxRecentPrerequisites) {
		if id := w.randomRecentAccepted(); id != "" && !slices.Contains(job.Prerequisites, id) {
			job.Prerequisites = append(job.Prerequisites, id)
		}
	}
	if w.parameters.Archived > 0 && w.random.Float64() < archivedPrerequisiteShare {
		record := archivedRecord(w.random.IntN(w.parameters.Archived))
		w.world.AddEndedJob(record.ID, record.Cancelled)
		job.Prerequisites = append(job.Prerequisites, record.ID)
	}
	w.submit(job, pipelineRunTime)
}

// randomRecentAccepted returns the ID of a random recent job, or "" if that job isn't accepted.
func (w *workload) randomRecentAccepted() string {
	if len(w.recent) == 0 {
		return ""
	}
	job := w.recent[w.random.IntN(len(w.recent))]
	if !job.Accepted {
		return ""
	}
	return job.Submission.ID
}
