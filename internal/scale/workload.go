package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// workload is what the hollow users ask for: replicas that stay, arrays that make the starts,
// gangs, and urgent jobs. The world's owner calls it.
type workload struct {
	p     Parameters
	world *fake.World
	rng   *rand.Rand
	meter *meter
	times *answerTimes
	next  int

	jobs    map[string]*fake.Job
	started map[string]bool // tasks of urgent jobs whose start has been executed
}

// The classes of jobs.
const (
	serviceClass = "replicas"
	arrayClass   = "short-array"
	gangClass    = "large-gang"
	urgentClass  = "urgent"
)

// How the running tasks are shared out, and how often users ask.
const (
	servicesShare   = 0.25 // of the running tasks are replicas
	replicasEach    = 8
	gpusEach        = 2
	pollEvery       = 5 * time.Second
	gangEvery       = 20 * time.Second
	gangRuns        = 30 * time.Second
	urgentRuns      = 5 * time.Second
	urgentTasksMost = 4
	repeatedShare   = 0.02
	imageGB         = 0.1
	images          = 6
	rampUp          = 10 * time.Second
)

func newWorkload(p Parameters, w *fake.World, m *meter, times *answerTimes) *workload {
	l := &workload{
		p: p, world: w, meter: m, times: times, rng: rand.New(rand.NewPCG(p.Seed, 1)),
		jobs: map[string]*fake.Job{}, started: map[string]bool{},
	}
	w.OnStart = l.taskStarted
	w.OnTaskPresent = l.taskOnMachine
	return l
}

// begin hands in the replicas over a while, and the rest from then on.
func (l *workload) begin() {
	accelerated := l.p.accelerated() * acceleratorsEach / gpusEach
	plain := max(0, int(float64(l.p.Running)*servicesShare)-accelerated)
	count := (accelerated + plain + replicasEach - 1) / replicasEach
	for i := range count {
		l.world.After(rampUp*time.Duration(i)/time.Duration(count), func() { l.service(i*replicasEach < accelerated) })
	}
	l.world.After(rampUp, func() {
		l.every(func() time.Duration { return l.apart(l.p.Jobs) }, l.array)
		if l.p.Urgent > 0 {
			l.every(func() time.Duration { return l.apart(l.p.Urgent) }, l.urgent)
		}
		if l.p.Gang > 1 {
			l.every(func() time.Duration { return gangEvery }, l.gang)
		}
		l.every(func() time.Duration { return time.Second }, l.odd)
	})
}

// odd asks about a job that nobody submitted, and about one that ended long ago.
func (l *workload) odd() {
	l.world.PollUnknown()
	if l.p.Archived > 0 {
		l.world.PollEnded(endedRecord(archivedPrefix, l.rng.IntN(l.p.Archived)).ID)
	}
}

// apart is a time between two arrivals at so many a second.
func (l *workload) apart(rate float64) time.Duration {
	return time.Duration(l.rng.ExpFloat64() / rate * float64(time.Second))
}

func (l *workload) every(after func() time.Duration, do func()) {
	l.world.After(after(), func() {
		do()
		l.every(after, do)
	})
}

func (l *workload) job(class string, shape protocol.JobKind, rank protocol.Priority, tasks int) protocol.Submission {
	l.next++
	return protocol.Submission{
		ID: fmt.Sprintf("wk-%09d", l.next), Class: class, Team: fmt.Sprintf("team-%02d", l.next%l.p.Teams),
		Kind: shape, Priority: rank, Tasks: tasks, CPUs: 1, MemoryGB: 1, Image: fmt.Sprintf("img-%d", l.next%images), ImageGB: imageGB,
	}
}

// submit hands a job in, asks about it until it is over, and cancels it at times.
func (l *workload) submit(s protocol.Submission, run time.Duration) {
	s.EstimatedRunS = run.Seconds()
	j := l.world.Submit(s, run)
	l.jobs[s.ID] = j
	l.poll(j)
	if s.Class != serviceClass && l.rng.Float64() < l.p.Cancelled {
		l.world.After(time.Duration(l.rng.Float64()*float64(20*time.Second)), func() { l.world.CancelJob(j) })
	}
	if l.rng.Float64() < repeatedShare {
		l.world.After(time.Duration(l.rng.Float64()*float64(20*time.Second)), func() {
			if j.Accepted {
				l.world.Resubmit(j)
			}
		})
	}
}

func (l *workload) poll(j *fake.Job) {
	l.world.After(pollEvery, func() {
		if j.Accepted {
			l.world.Poll(j)
		}
		if j.Status != protocol.StatusDone && j.Status != protocol.StatusCancelled {
			l.poll(j)
		}
	})
}

func (l *workload) service(accelerated bool) {
	s := l.job(serviceClass, protocol.Service, protocol.Production, replicasEach)
	s.Types = []string{plainType}
	if accelerated {
		s.Types, s.GPUs = []string{acceleratedType}, gpusEach
	}
	l.submit(s, 0)
}

// array has about as many tasks as make the starts, each of which runs for so long that
// about as many run as there should.
func (l *workload) array() {
	mean := l.p.Starts / l.p.Jobs
	tasks := max(1, int(math.Round(mean*(0.5+l.rng.Float64()))))
	run := float64(l.p.Running) * (1 - servicesShare) / l.p.Starts * (0.7 + 0.6*l.rng.Float64())
	l.submit(l.job(arrayClass, protocol.Array, protocol.Low, tasks), time.Duration(run*float64(time.Second)))
}

func (l *workload) gang() {
	s := l.job(gangClass, protocol.Gang, protocol.Normal, max(2, l.p.Gang>>l.rng.IntN(4)))
	s.CheckpointIntervalS, s.CheckpointDurationS = 15, 2
	l.submit(s, gangRuns)
}

func (l *workload) urgent() {
	l.submit(l.job(urgentClass, protocol.Array, protocol.High, 1+l.rng.IntN(urgentTasksMost)), urgentRuns)
}

// taskStarted notes that a worker has executed a start.
func (l *workload) taskStarted(j *fake.Job, task int) {
	l.times.start(l.world.Now)
	if j.Submission.Class != urgentClass {
		return
	}
	name := fmt.Sprintf("%s/%d", j.Submission.ID, task)
	if !l.started[name] {
		l.started[name] = true
		l.meter.times.Add("urgent start received", l.world.Now-j.SubmittedAt)
	}
}

// taskOnMachine notes that a task has its image.
func (l *workload) taskOnMachine(j *fake.Job, task int) {
	if j.Submission.Class == urgentClass && l.started[fmt.Sprintf("%s/%d", j.Submission.ID, task)] {
		l.meter.times.Add("urgent start executed", l.world.Now-j.SubmittedAt)
	}
}

// unanswered names accepted jobs about which nobody has been told anything for so long.
func (l *workload) unanswered(within time.Duration) []string {
	var out []string
	for id, j := range l.jobs {
		over := j.Status == protocol.StatusDone || j.Status == protocol.StatusCancelled
		if j.Accepted && !over && l.world.Now-max(j.AnsweredAt, j.AcceptedAt) > within {
			out = append(out, id)
		}
	}
	return out
}

// endedEach is how many ended jobs a page takes: in JSON, which is what counts, one takes
// about forty bytes.
func endedEach(valueKB float64) int { return max(1, int(valueKB*1024*0.9/40)) }

// The ids of the jobs that ended before a run begin with these.
const archivedPrefix, endedPrefix = "wk-8", "wk-9"

func endedRecord(prefix string, i int) storage.TerminalRecord {
	return storage.TerminalRecord{ID: fmt.Sprintf("%s%010d", prefix, i), Tasks: 3}
}

// archivedPages are the pages of an archive of so many ended jobs.
func archivedPages(count int, valueKB float64) map[string][]byte {
	pages := map[string][]byte{}
	eachEndedPage(archivedPrefix, count, valueKB, func(end int, finals []storage.TerminalRecord) {
		bound := storage.LastUpperBound
		if end < count {
			bound = endedRecord(archivedPrefix, end).ID
		}
		pages[storage.ArchivePrefix+bound] = protocol.Encode(storage.ArchiveValue{WriteID: "0-0", Terminal: finals})
	})
	return pages
}

// endedPages are the pages of a state service that has so many ended jobs on record.
func endedPages(count int, valueKB float64) map[string][]byte {
	pages := map[string][]byte{}
	eachEndedPage(endedPrefix, count, valueKB, func(_ int, finals []storage.TerminalRecord) {
		pages[fmt.Sprintf("%s%06d", storage.PagePrefix, len(pages))] = protocol.Encode(storage.PageValue{WriteID: "0-0", Terminal: finals})
	})
	return pages
}

// eachEndedPage divides so many ended jobs into pages; end is the number behind a page's last.
func eachEndedPage(prefix string, count int, valueKB float64, page func(end int, finals []storage.TerminalRecord)) {
	each := endedEach(valueKB)
	for first := 0; first < count; first += each {
		var finals []storage.TerminalRecord
		for i := first; i < min(first+each, count); i++ {
			finals = append(finals, endedRecord(prefix, i))
		}
		page(first+len(finals), finals)
	}
}
