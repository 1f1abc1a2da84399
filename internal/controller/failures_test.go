package controller_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"oakpick/internal/controller"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// submitFailing submits a job that fails on every machine.
func submitFailing(w *fake.World, s protocol.Submission) *fake.Job {
	j := w.Submit(s, 0)
	j.AlwaysFails = true
	return j
}

// countStarts returns a map that counts, by job ID, the task starts that workers execute from now on.
func countStarts(w *fake.World) map[string]int {
	starts := map[string]int{}
	w.OnStart = func(j *fake.Job, _ int) { starts[j.Submission.ID]++ }
	return starts
}

// submitFailingJobs submits arrays, a gang and a service that fail on every machine.
func submitFailingJobs(w *fake.World) []*fake.Job {
	array := job(1, protocol.Array, 3000)
	array.CPUs, array.MemoryGB, array.Team = 0.01, 0.01, "red"
	gang := job(2, protocol.Gang, 64)
	gang.CPUs, gang.MemoryGB = 0.05, 0.1
	alone := job(10, protocol.Array, 3) // on machines that no other job needs
	alone.GPUs = 2
	jobs := []*fake.Job{submitFailing(w, array), submitFailing(w, gang), submitFailing(w, service(3, 2)), submitFailing(w, alone)}
	for i := range 6 {
		jobs = append(jobs, submitFailing(w, job(4+i, protocol.Array, 1)))
	}
	return jobs
}

// Two teams submit jobs that always fail. After the first attempts, each job is retried with a
// growing backoff, and an array only one task at a time. No machine is provisioned or cordoned for
// these jobs, other jobs proceed, and cancelling the failing ones takes no longer than usual.
func TestFailingJobsBackOff(t *testing.T) {
	without, _ := runBesideFailingJobs(t, func(*fake.World) []*fake.Job { return nil })
	with, starts := runBesideFailingJobs(t, submitFailingJobs)
	if with > without+2 {
		t.Errorf("%d machines were provisioned, %d without failing jobs", with, without)
	}
	// A job that waits for two lease durations between attempts starts six or seven times in two
	// minutes.
	for id, n := range starts {
		if most := 8; n > most {
			t.Errorf("%s was started %d times, expected at most %d", id, n, most)
		}
	}
}

// runBesideFailingJobs submits failing jobs and, half a minute later, runs other jobs for two minutes.
// It returns the number of machines provisioned in these two minutes and the starts of each failing
// job. Starts of all tasks of a gang count as one start.
func runBesideFailingJobs(t *testing.T, submit func(*fake.World) []*fake.Job) (scaledOut int64, starts map[string]int) {
	t.Helper()
	w := newWorld(t)
	w.Submit(service(50, 2), 0)
	w.Run(15 * time.Second)
	jobs := submit(w)
	w.Run(30 * time.Second)
	scaledOut = -w.Leader().Stats().MachinesProvisioned
	all := countStarts(w)
	for i := range 8 {
		w.Submit(job(60+i, protocol.Array, 2), 2*time.Second)
		w.Run(15 * time.Second)
		w.PollAll()
	}
	scaledOut += w.Leader().Stats().MachinesProvisioned
	starts = map[string]int{}
	for _, j := range jobs {
		starts[j.Submission.ID] = all[j.Submission.ID]
		if j.Submission.Kind == protocol.Gang {
			starts[j.Submission.ID] /= j.Submission.Tasks
		}
	}
	if len(jobs) > 0 && starts[jobs[0].Submission.ID] == 0 {
		t.Error("the array is no longer retried")
	}
	if logContains(w, "machine cordoned") {
		t.Error("a machine is cordoned")
	}
	for _, j := range jobs {
		w.CancelEverywhere(j)
	}
	w.Run(4 * time.Second)
	for _, j := range jobs {
		if j.Status != protocol.StatusCancelled {
			t.Errorf("%s has status %q", j.Submission.ID, j.Status)
		}
	}
	runAndPoll(w, 30*time.Second)
	requireNoViolations(t, w)
	requireAllServed(t, w)
	return scaledOut, starts
}

// The leader changes while failing jobs are retried with a growing backoff. The new leader does not
// know of their failures, only how often the jobs were started. It must not start all of their tasks
// again.
func TestFailureBackoffSurvivesFailover(t *testing.T) {
	w := newWorld(t)
	w.Submit(service(50, 2), 0)
	w.Run(15 * time.Second)
	jobs := submitFailingJobs(w)
	w.Run(60 * time.Second)
	for range 3 {
		starts := countStarts(w)
		restartLeader(w, 3*time.Second)
		w.Run(20 * time.Second)
		if n := starts[jobs[0].Submission.ID]; n > 5 {
			t.Errorf("the array of %d tasks was started %d times after a change of leader", jobs[0].Submission.Tasks, n)
		}
	}
	good := w.Submit(job(70, protocol.Array, 6), 2*time.Second)
	runAndPoll(w, 40*time.Second)
	if good.Status != protocol.StatusDone {
		t.Errorf("another job of the team is %q", good.Status)
	}
	requireNoViolations(t, w)
}

// A faulty machine must be cordoned even while many jobs always fail, and no other machine may be
// cordoned.
func TestFaultyMachineCordonedAmongFailingJobs(t *testing.T) {
	w := newWorld(t)
	a := w.Submit(service(50, 1), 0)
	waitRunning(t, w, a.Submission.ID, 1)
	faulty := w.MachinesOf(a.Submission.ID)[0]
	w.Workers[faulty].FailsTasks = true
	submitFailingJobs(w)
	for i := range 10 {
		w.Submit(job(60+i, protocol.Array, 2), 2*time.Second)
		w.Run(4 * time.Second)
	}
	runAndPoll(w, 60*time.Second)
	for _, line := range w.Log {
		if strings.Contains(line, "machine cordoned") && !strings.Contains(line, faulty) {
			t.Errorf("another machine is cordoned: %s", line)
		}
	}
	if !logContains(w, "machine cordoned [machine "+faulty) {
		t.Error("the faulty machine isn't cordoned")
	}
	requireNoViolations(t, w)
	requireAllServed(t, w)
}

// The tasks of a job fail on several faulty machines, and the leader attributes the failures to the
// job. Once an attempt succeeds, the remaining tasks must start without further backoff.
func TestMisattributedFailuresDoNotDelayJob(t *testing.T) {
	w := newWorld(t)
	s := job(1, protocol.Array, 12)
	s.CPUs = 2
	j := submitFailing(w, s) // as if every machine that runs one of its tasks were faulty
	w.Run(40 * time.Second)
	if !logContains(w, "job fails on every machine") {
		t.Fatal("the failures are not attributed to the job")
	}
	status := adminJobStatus(t, w, s.ID)
	if status.Failures == nil || status.Failures.Fault != "job" || len(status.Failures.Machines) < 3 || status.Failures.Reason == "" {
		t.Errorf("the job's admin status has failures %+v", status.Failures)
	}
	j.AlwaysFails = false
	runAndPoll(w, 60*time.Second)
	if j.Status != protocol.StatusDone {
		t.Errorf("the job has status %q, %d of %d tasks done", j.Status, len(j.DoneTasks), s.Tasks)
	}
	requireNoViolations(t, w)
}

// A machine fails every task while other machines do not. It is cordoned and scaled in.
func TestFailingMachineIsCordoned(t *testing.T) {
	w := newWorld(t)
	a := w.Submit(service(1, 1), 0)
	waitRunning(t, w, a.Submission.ID, 1)
	faulty := w.MachinesOf(a.Submission.ID)[0]
	w.Workers[faulty].FailsTasks = true
	for i := range 5 {
		w.Submit(job(i+2, protocol.Array, 2), time.Second)
	}
	for range 25 {
		w.Run(2 * time.Second)
		w.PollAll()
	}
	if !logContains(w, "machine cordoned [machine "+faulty) {
		t.Errorf("not cordoned\n%s", strings.Join(w.Log, "\n"))
	}
	requireAllServed(t, w)
	requireNoViolations(t, w)
}

// A job that fails on every machine is retried with a backoff, and no machine is cordoned.
func TestFailingJobCordonsNoMachine(t *testing.T) {
	w := newWorld(t)
	for i := range 3 {
		j := w.Submit(service(i+1, 1), 0)
		j.AlwaysFails = true
	}
	w.Run(90 * time.Second)
	st := w.Controllers[0].Stats()
	if st.TasksFailed < 6 || st.TasksFailed > 60 {
		t.Errorf("%d failures in 90 s", st.TasksFailed)
	}
	good := w.Submit(service(9, 1), 0)
	waitRunning(t, w, good.Submission.ID, 1)
	requireNoViolations(t, w)
}

// adminJobStatus returns the job status that the leader reports to operators.
func adminJobStatus(t *testing.T, w *fake.World, id string) controller.JobStatus {
	t.Helper()
	var s controller.JobStatus
	w.Leader().Request(message.AdminRequest{Kind: message.AdminJob, Job: id}, func(r message.Reply) {
		if err := json.Unmarshal(r.Body, &s); err != nil || r.Status != 200 {
			t.Errorf("status %d, %v: %s", r.Status, err, r.Body)
		}
	})
	return s
}
