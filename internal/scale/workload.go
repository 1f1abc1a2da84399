package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
	"oakpick/internal/scale/testbed"
)

// workload generates the jobs that the simulated users submit: services that run until the end,
// arrays that produce the configured rate of task starts, gangs, urgent jobs and pipelines. The
// testbed's loop owns it.
type workload struct {
	parameters Parameters
	world      *fake.World
	random     *rand.Rand
	meter      *testbed.Meter
	gaps       *serviceGaps

	submitted     int         // number of submitted jobs
	recent        []*fake.Job // candidates for the prerequisites of pipeline jobs, oldest first
	jobs          map[string]*fake.Job
	urgentStarted map[taskID]bool // tasks of urgent jobs whose start command was executed
}

// taskID identifies a task of a job.
type taskID struct {
	job  string
	task int
}

// Names of the start latencies of urgent jobs in reports.
const (
	urgentStartReceived = "urgent start received"
	urgentStartExecuted = "urgent start executed"
)

// Classes of jobs, in addition to testbed.UrgentClass and pipelineClass.
const (
	serviceClass = "replicas"
	arrayClass   = "short-array"
	gangClass    = "large-gang"
)

// Parameters of the mix of jobs and of the users' requests.
const (
	servicesShare       = 0.25 // share of the running tasks that are replicas of services
	replicasPerService  = 8
	gpusPerReplica      = 2
	pollInterval        = 5 * time.Second
	unknownPollInterval = time.Second // for unknown and archived jobs
	gangInterval        = 20 * time.Second
	gangRunTime         = 30 * time.Second
	gangSizes           = 4 // number of different sizes, each half of the next larger one
	minGangTasks        = 2
	checkpointIntervalS = 15
	checkpointDurationS = 2
	urgentRunTime       = 5 * time.Second
	maxUrgentTasks      = 4
	resubmittedShare    = 0.02             // share of the jobs that are submitted a second time
	maxChangeDelay      = 20 * time.Second // until a submitted job is resubmitted or cancelled
	imageGB             = 0.1
	images              = 6                // number of different images
	rampUp              = 10 * time.Second // during which the services are submitted, before the other jobs
	submissionTimeout   = 5 * time.Second  // after which an unaccepted submission is overdue
)

// workloadStream selects a random number stream that differs from the simulated network's.
const workloadStream = 1

func newWorkload(p Parameters, world *fake.World, meter *testbed.Meter, gaps *serviceGaps) *workload {
	w := &workload{
		parameters: p, world: world, meter: meter, gaps: gaps, random: rand.New(rand.NewPCG(p.Seed, workloadStream)),
		jobs: map[string]*fake.Job{}, urgentStarted: map[taskID]bool{},
	}
	world.OnStart = w.taskStarted
	world.OnImageReady = w.imageReady
	return w
}

// begin submits the services during the ramp-up and then starts the arrivals of the other jobs.
func (w *workload) begin() {
	accelerated := w.parameters.testbedSpec().AcceleratedMachines() * testbed.AcceleratorsPerMachine / gpusPerReplica
	plain := max(0, int(float64(w.parameters.Running)*servicesShare)-accelerated)
	services := (accelerated + plain + replicasPerService - 1) / replicasPerService
	for i := range services {
		w.world.After(rampUp*time.Duration(i)/time.Duration(services), func() { w.submitService(i*replicasPerService < accelerated) })
	}
	w.world.After(rampUp, w.beginArrivals)
}

// beginArrivals starts the job arrivals and status polls that continue until the run ends.
func (w *workload) beginArrivals() {
	p := w.parameters
	w.repeat(func() time.Duration { return w.interarrivalTime(p.Jobs) }, w.submitArray)
	if p.Urgent > 0 {
		w.repeat(func() time.Duration { return w.interarrivalTime(p.Urgent) }, w.submitUrgent)
	}
	if p.LargestGang > 1 {
		w.repeat(func() time.Duration { return gangInterval }, w.submitGang)
	}
	if p.Pipelines > 0 {
		w.repeat(func() time.Duration { return w.interarrivalTime(p.Pipelines) }, w.submitPipeline)
	}
	w.repeat(func() time.Duration { return unknownPollInterval }, w.pollUnknownAndArchived)
}

// interarrivalTime draws the time until the next arrival of a Poisson process with a rate per
// second.
func (w *workload) interarrivalTime(rate float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
}

func (w *workload) repeat(interval func() time.Duration, action func()) {
	w.world.After(interval(), func() {
		action()
		w.repeat(interval, action)
	})
}

// pollUnknownAndArchived polls a job that was never submitted and a random archived job, unless the
// latter was cancelled.
func (w *workload) pollUnknownAndArchived() {
	w.world.PollUnknown()
	if w.parameters.Archived == 0 {
		return
	}
	if record := archivedRecord(w.random.IntN(w.parameters.Archived)); !record.Cancelled {
		w.world.PollDone(record.ID)
	}
}

func (w *workload) newJob(class string, kind protocol.JobKind, priority protocol.Priority, tasks int) protocol.Submission {
	w.submitted++
	return protocol.Submission{
		ID: fmt.Sprintf("wk-%09d", w.submitted), Class: class, Team: testbed.TeamName(w.submitted % w.parameters.Teams),
		Kind: kind, Priority: priority, Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: fmt.Sprintf("img-%d", w.submitted%images), ImageGB: imageGB,
	}
}

// submit submits a job and polls it until it has ended. Some random jobs are cancelled, and some are
// submitted a second time.
func (w *workload) submit(submission protocol.Submission, runTime time.Duration) {
	submission.EstimatedRunS = runTime.Seconds()
	job := w.world.Submit(submission, runTime)
	w.jobs[submission.ID] = job
	w.addRecent(job)
	w.poll(job)
	if submission.Class != serviceClass && w.random.Float64() < w.parameters.Cancelled {
		w.world.After(w.changeDelay(), func() { w.world.CancelJob(job) })
	}
	if w.random.Float64() < resubmittedShare {
		w.world.After(w.changeDelay(), func() {
			if job.Accepted {
				w.world.Resubmit(job)
			}
		})
	}
}

// changeDelay draws the delay after which a submitted job is resubmitted or cancelled.
func (w *workload) changeDelay() time.Duration {
	return time.Duration(w.random.Float64() * float64(maxChangeDelay))
}

func (w *workload) poll(job *fake.Job) {
	w.world.After(pollInterval, func() {
		if job.Accepted {
			w.world.Poll(job)
		}
		if !ended(job) {
			w.poll(job)
		}
	})
}

func ended(job *fake.Job) bool {
	return job.Status == protocol.StatusDone || job.Status == protocol.StatusCancelled
}

func (w *workload) submitService(accelerated bool) {
	service := w.newJob(serviceClass, protocol.Service, protocol.Production, replicasPerService)
	service.Types = []string{testbed.PlainType}
	if accelerated {
		service.Types, service.GPUs = []string{testbed.AcceleratedType}, gpusPerReplica
	}
	w.submit(service, 0)
}

// submitArray submits an array with a random number of tasks and a random run time. The mean number
// of tasks yields the configured rate of task starts. The mean run time yields the configured number
// of running tasks, less the share of the services.
func (w *workload) submitArray() {
	p := w.parameters
	meanTasks := p.Starts / p.Jobs
	tasks := max(1, int(math.Round(meanTasks*(0.5+w.random.Float64()))))
	runSeconds := float64(p.Running) * (1 - servicesShare) / p.Starts * (0.7 + 0.6*w.random.Float64())
	w.submit(w.newJob(arrayClass, protocol.Array, protocol.Low, tasks), time.Duration(runSeconds*float64(time.Second)))
}

func (w *workload) submitGang() {
	tasks := max(minGangTasks, w.parameters.LargestGang>>w.random.IntN(gangSizes))
	gang := w.newJob(gangClass, protocol.Gang, protocol.Normal, tasks)
	gang.CheckpointIntervalS, gang.CheckpointDurationS = checkpointIntervalS, checkpointDurationS
	w.submit(gang, gangRunTime)
}

func (w *workload) submitUrgent() {
	w.submit(w.newJob(testbed.UrgentClass, protocol.Array, protocol.High, 1+w.random.IntN(maxUrgentTasks)), urgentRunTime)
}

// taskStarted is called when a worker has executed a start command. It records the start and, for
// the first start of an urgent task, the latency since the submission.
func (w *workload) taskStarted(job *fake.Job, task int) {
	w.gaps.started(w.world.Now)
	id := taskID{job.Submission.ID, task}
	if job.Submission.Class == testbed.UrgentClass && !w.urgentStarted[id] {
		w.urgentStarted[id] = true
		w.meter.Latencies.Add(urgentStartReceived, w.world.Now-job.SubmittedAt)
	}
}

// imageReady is called when a task's image is present on its machine. For an urgent task, it records
// the latency since the submission.
func (w *workload) imageReady(job *fake.Job, task int) {
	if job.Submission.Class == testbed.UrgentClass && w.urgentStarted[taskID{job.Submission.ID, task}] {
		w.meter.Latencies.Add(urgentStartExecuted, w.world.Now-job.SubmittedAt)
	}
}

// unansweredJobs returns the IDs of the accepted, unfinished jobs whose acceptance and last answered
// poll are both longer ago than the timeout.
func (w *workload) unansweredJobs(timeout time.Duration) []string {
	var ids []string
	for id, job := range w.jobs {
		if job.Accepted && !ended(job) && w.world.Now-max(job.AnsweredAt, job.AcceptedAt) > timeout {
			ids = append(ids, id)
		}
	}
	return ids
}

// overdueSubmissions counts the jobs that haven't been accepted within submissionTimeout.
func (w *workload) overdueSubmissions() int {
	overdue := 0
	for _, job := range w.jobs {
		if !job.Accepted && w.world.Now-job.SubmittedAt > submissionTimeout {
			overdue++
		}
	}
	return overdue
}
