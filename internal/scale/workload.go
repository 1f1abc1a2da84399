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

// workload is what the simulated users submit: replicas that stay, arrays that make up the
// starts, gangs, and urgent jobs. The testbed's loop owns it.
type workload struct {
	parameters Parameters
	world      *fake.World
	random     *rand.Rand
	meter      *testbed.Meter
	gaps       *serviceGaps

	submitted     int         // jobs so far
	recent        []*fake.Job // that a pipeline may name, the latest last
	jobs          map[string]*fake.Job
	urgentStarted map[taskID]bool // tasks of urgent jobs whose start has been executed
}

// taskID names a task of a job.
type taskID struct {
	job  string
	task int
}

// Names of the latencies of urgent starts in reports.
const (
	urgentStartReceived = "urgent start received"
	urgentStartExecuted = "urgent start executed"
)

// The classes of jobs, next to testbed.UrgentClass.
const (
	serviceClass = "replicas"
	arrayClass   = "short-array"
	gangClass    = "large-gang"
)

// How the running tasks are shared out, and how often users submit and ask.
const (
	servicesShare       = 0.25 // of the running tasks are replicas
	replicasPerService  = 8
	gpusPerReplica      = 2
	pollInterval        = 5 * time.Second
	otherPollInterval   = time.Second // about unknown and long ended jobs
	gangInterval        = 20 * time.Second
	gangRunTime         = 30 * time.Second
	gangSizes           = 4 // halvings of the largest
	minGangTasks        = 2
	checkpointIntervalS = 15
	checkpointDurationS = 2
	urgentRunTime       = 5 * time.Second
	maxUrgentTasks      = 4
	repeatedShare       = 0.02             // of the jobs are submitted again
	changeWithin        = 20 * time.Second // after a submission it is repeated or cancelled, if at all
	imageGB             = 0.1
	images              = 6
	rampUp              = 10 * time.Second
	submissionTimeout   = 5 * time.Second // a submission that isn't accepted by then counts as such
)

// workloadStream is the stream of random numbers; the network draws from another.
const workloadStream = 1

func newWorkload(p Parameters, world *fake.World, meter *testbed.Meter, gaps *serviceGaps) *workload {
	w := &workload{
		parameters: p, world: world, meter: meter, gaps: gaps, random: rand.New(rand.NewPCG(p.Seed, workloadStream)),
		jobs: map[string]*fake.Job{}, urgentStarted: map[taskID]bool{},
	}
	world.OnStart = w.taskStarted
	world.OnTaskPresent = w.taskPresent
	return w
}

// begin submits the replicas over a while, and the rest from then on.
func (w *workload) begin() {
	accelerated := w.parameters.testbed().AcceleratedMachines() * testbed.AcceleratorsPerMachine / gpusPerReplica
	plain := max(0, int(float64(w.parameters.Running)*servicesShare)-accelerated)
	services := (accelerated + plain + replicasPerService - 1) / replicasPerService
	for i := range services {
		w.world.After(rampUp*time.Duration(i)/time.Duration(services), func() { w.submitService(i*replicasPerService < accelerated) })
	}
	w.world.After(rampUp, w.beginArrivals)
}

// beginArrivals begins what goes on until the end.
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
	w.repeat(func() time.Duration { return otherPollInterval }, w.pollUnknownAndEnded)
}

// interarrivalTime draws the time between two arrivals at a rate per second.
func (w *workload) interarrivalTime(rate float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
}

func (w *workload) repeat(interval func() time.Duration, action func()) {
	w.world.After(interval(), func() {
		action()
		w.repeat(interval, action)
	})
}

// pollUnknownAndEnded asks about a job that nobody submitted, and about one that ended long ago.
func (w *workload) pollUnknownAndEnded() {
	w.world.PollUnknown()
	if w.parameters.Archived == 0 {
		return
	}
	if record := archivedRecord(w.random.IntN(w.parameters.Archived)); !record.Cancelled {
		w.world.PollEnded(record.ID)
	}
}

func (w *workload) newJob(class string, kind protocol.JobKind, priority protocol.Priority, tasks int) protocol.Submission {
	w.submitted++
	return protocol.Submission{
		ID: fmt.Sprintf("wk-%09d", w.submitted), Class: class, Team: testbed.TeamName(w.submitted % w.parameters.Teams),
		Kind: kind, Priority: priority, Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: fmt.Sprintf("img-%d", w.submitted%images), ImageGB: imageGB,
	}
}

// submit submits a job and asks about it until it has ended. Some jobs are cancelled, and some
// submitted again.
func (w *workload) submit(submission protocol.Submission, runTime time.Duration) {
	submission.EstimatedRunS = runTime.Seconds()
	job := w.world.Submit(submission, runTime)
	w.jobs[submission.ID] = job
	w.noteRecent(job)
	w.poll(job)
	if submission.Class != serviceClass && w.random.Float64() < w.parameters.Cancelled {
		w.world.After(w.changeDelay(), func() { w.world.CancelJob(job) })
	}
	if w.random.Float64() < repeatedShare {
		w.world.After(w.changeDelay(), func() {
			if job.Accepted {
				w.world.Resubmit(job)
			}
		})
	}
}

// changeDelay draws the time from a submission until it is repeated or cancelled.
func (w *workload) changeDelay() time.Duration {
	return time.Duration(w.random.Float64() * float64(changeWithin))
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

// submitArray submits an array with the tasks that make up the starts, on average, each of which
// runs for so long that as many run as there should, on average.
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

// taskStarted records that a worker has executed a start.
func (w *workload) taskStarted(job *fake.Job, task int) {
	w.gaps.started(w.world.Now)
	id := taskID{job.Submission.ID, task}
	if job.Submission.Class == testbed.UrgentClass && !w.urgentStarted[id] {
		w.urgentStarted[id] = true
		w.meter.Latencies.Add(urgentStartReceived, w.world.Now-job.SubmittedAt)
	}
}

// taskPresent records that a task has its image.
func (w *workload) taskPresent(job *fake.Job, task int) {
	if job.Submission.Class == testbed.UrgentClass && w.urgentStarted[taskID{job.Submission.ID, task}] {
		w.meter.Latencies.Add(urgentStartExecuted, w.world.Now-job.SubmittedAt)
	}
}

// unansweredJobs returns the ids of accepted jobs that haven't ended and about which nobody has
// been told anything for so long.
func (w *workload) unansweredJobs(timeout time.Duration) []string {
	var ids []string
	for id, job := range w.jobs {
		if job.Accepted && !ended(job) && w.world.Now-max(job.AnsweredAt, job.AcceptedAt) > timeout {
			ids = append(ids, id)
		}
	}
	return ids
}

// overdueSubmissions is how many jobs should have been accepted and aren't.
func (w *workload) overdueSubmissions() int {
	overdue := 0
	for _, job := range w.jobs {
		if !job.Accepted && w.world.Now-job.SubmittedAt > submissionTimeout {
			overdue++
		}
	}
	return overdue
}
