package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"oakpick/internal/protocol"
)

type listener = net.Listener

// Loopback addresses of this run: the stand-ins have one, the controllers another, so that nothing takes a
// controller's port while it is away, and runs beside each other don't meet.
var (
	standInHost    = fmt.Sprintf("127.%d.%d.2", 20+os.Getpid()/250%200, 1+os.Getpid()%250)
	controllerHost = fmt.Sprintf("127.%d.%d.1", 20+os.Getpid()/250%200, 1+os.Getpid()%250)
)

// listenLoopback opens a free port for a stand-in.
func listenLoopback() (string, listener, error) { return listenOn(standInHost) }

func listenOn(host string) (string, listener, error) {
	l, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return "", nil, err
	}
	return l.Addr().String(), l, nil
}

// jobBook has what users have uploaded: the descriptions of all jobs, and how long a task really runs.
type jobBook struct {
	mu      sync.Mutex
	jobs    map[string]*jobEntry
	mistake map[string]bool // jobs whose tasks fail
}

// fail makes the tasks of a job fail that is to be submitted.
func (b *jobBook) fail(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mistake[id] = true
}

type jobEntry struct {
	protocol.Submission
	runs  time.Duration // of a task; 0 for services
	fails bool          // submitted with a mistake: every task fails after that time
}

func (b *jobBook) add(s protocol.Submission, runs time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs[s.ID] = &jobEntry{s, runs, b.mistake[s.ID]}
}

func (b *jobBook) get(id string) *jobEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.jobs[id]
}

var (
	book         = &jobBook{jobs: map[string]*jobEntry{}, mistake: map[string]bool{}}
	nodeNames    []string          // of the controllers
	nodeAddress  map[string]string // front, by name
	reportEvery  time.Duration
	leaseTime    time.Duration
	onStart      = func(attempt protocol.Attempt, machine string) {}
	reportClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
)

// workerTask is an attempt on a machine.
type workerTask struct {
	protocol.TaskStatus
	job     *jobEntry
	readyAt time.Time // the image is there
	endsAt  time.Time // it completes; zero for services
	savedAt time.Time // it has saved, while it is saving
	fails   bool      // it fails instead of completing
}

// worker is the worker of a machine. Gangs are not simulated.
type worker struct {
	rec     *record
	machine protocol.Machine
	kind    protocol.MachineType

	mu          sync.Mutex
	shift       int64
	tick        int64
	baton       int64
	leaseFrom   time.Time // when the last answered report was sent, or the session began
	tasks       []*workerTask
	images      map[string]time.Time
	changed     bool
	ended       bool
	faulty      bool // fails every task that it starts
	tokenToldAt time.Time
	server      *http.Server
	stop        context.CancelFunc
}

func newWorker(rec *record, m protocol.Machine, kind protocol.MachineType) *worker {
	return &worker{rec: rec, machine: m, kind: kind, shift: 1, leaseFrom: time.Now(), images: map[string]time.Time{}}
}

func (w *worker) run(l listener) {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.live(ctx)
	go w.reports(ctx)
}

// end ends the machine with everything on it.
func (w *worker) end() {
	w.mu.Lock()
	w.ended = true
	for _, t := range w.tasks {
		if t.State != protocol.Exited {
			w.rec.add(w.machine.Name, "%s/%d try %d is gone with the machine", t.Job, t.Task, t.Number)
		}
	}
	w.tasks = nil
	w.mu.Unlock()
	w.stop()
	_ = w.server.Close()
}

// live advances the tasks and ends the lease.
func (w *worker) live(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		w.advance()
		w.mu.Unlock()
	}
}

func (w *worker) advance() {
	now := time.Now()
	if now.Sub(w.leaseFrom) > leaseTime {
		w.rec.add(w.machine.Name, "lease over, %d tasks killed, session %d", len(w.tasks), w.shift+1)
		w.tasks, w.images = nil, map[string]time.Time{}
		w.shift++
		w.leaseFrom, w.changed = now, true
	}
	for _, t := range w.tasks {
		switch {
		case t.State == protocol.Fetching && now.After(t.readyAt):
			t.State = protocol.Running
			if t.job.runs > 0 {
				t.endsAt = now.Add(t.job.runs)
			}
			if t.fails = t.job.fails || w.faulty; t.fails {
				t.endsAt = now.Add(300 * time.Millisecond)
			}
			w.changed = true
		case t.State == protocol.Running && !t.endsAt.IsZero() && now.After(t.endsAt):
			cause := protocol.ExitDone
			if t.fails {
				cause = protocol.ExitFailed
			}
			w.exit(t, cause)
		case t.State == protocol.Checkpointing && now.After(t.savedAt):
			t.Checkpointed = true
			w.exit(t, protocol.ExitStopped)
		}
	}
}

func (w *worker) exit(t *workerTask, cause protocol.ExitCause) {
	t.State, t.ExitCause = protocol.Exited, cause
	w.changed = true
	w.rec.add(w.machine.Name, "%s/%d try %d ends: %v", t.Job, t.Task, t.Number, cause)
}

// heartbeat returns the report. The caller holds the lock.
func (w *worker) heartbeat() []byte {
	w.tick++
	h := &protocol.Heartbeat{
		Machine: w.machine.Name, Addr: w.machine.Addr, Type: w.machine.Type, Zone: w.machine.Zone, Spot: w.machine.Spot,
		Incarnation: w.shift, Sequence: w.tick, FencingToken: w.baton, InterruptionInS: -1, Tasks: []protocol.TaskStatus{},
	}
	for _, t := range w.tasks {
		h.Tasks = append(h.Tasks, t.TaskStatus)
	}
	return protocol.EncodeHeartbeat(h)
}

// reports sends the reports, one at a time, to one controller at a time.
func (w *worker) reports(ctx context.Context) {
	node := rand.IntN(len(nodeNames))
	for ctx.Err() == nil {
		w.mu.Lock()
		body, shift, sent := w.heartbeat(), w.shift, time.Now()
		w.changed = false
		w.mu.Unlock()
		status, answer, err := post(ctx, "http://"+nodeAddress[nodeNames[node]]+protocol.PathHeartbeat, body, 4*time.Second)
		switch {
		case err == nil && status == 200:
			w.handleResponse(answer, shift, sent)
			w.waitForNextReport(ctx, sent)
			continue
		case err == nil && status == 421:
			if next := nodeIndex(protocol.DecodeRedirect(answer)); next >= 0 && next != node {
				node = next
				sleep(ctx, time.Duration(rand.IntN(500))*time.Millisecond)
				continue
			}
		}
		node = (node + 1) % len(nodeNames)
		sleep(ctx, time.Second)
	}
}

func nodeIndex(name string) int {
	for i, n := range nodeNames {
		if n == name {
			return i
		}
	}
	return -1
}

// waitForNextReport waits for the interval, or for a change, though never less than half a second.
func (w *worker) waitForNextReport(ctx context.Context, sent time.Time) {
	next := sent.Add(time.Duration(float64(reportEvery) * (0.75 + rand.Float64()/2)))
	for ctx.Err() == nil && time.Now().Before(next) {
		w.mu.Lock()
		changed := w.changed
		w.mu.Unlock()
		if changed && time.Since(sent) >= 500*time.Millisecond {
			return
		}
		sleep(ctx, 20*time.Millisecond)
	}
}

func (w *worker) handleResponse(body []byte, shift int64, sent time.Time) {
	commands, err := protocol.DecodeCommands(body)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || shift != w.shift || commands.FencingToken < w.baton || w.ended {
		return
	}
	w.observe(commands.FencingToken)
	w.leaseFrom = sent
	w.execute(commands.Commands)
}

func (w *worker) observe(token int64) {
	if token > w.baton {
		w.baton = token
		if time.Since(w.tokenToldAt) > leaseTime/2 {
			w.tokenToldAt, w.changed = time.Now(), true
		}
	}
}

// ServeHTTP takes direct commands.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if r.URL.Path == "/show" {
		writeBody(rw, 200, w.heartbeat())
		return
	}
	commands, err := protocol.DecodeCommands(body)
	if r.URL.Path != protocol.PathCommands || err != nil || !commands.HasTokenAndIncarnation {
		writeBody(rw, 400, map[string]any{})
		return
	}
	if commands.FencingToken < w.baton || commands.Incarnation != w.shift || w.ended {
		w.rec.add(w.machine.Name, "409: token %d (seen %d), session %d (is %d)", commands.FencingToken, w.baton, commands.Incarnation, w.shift)
		writeBody(rw, 409, w.heartbeat())
		return
	}
	w.observe(commands.FencingToken)
	w.execute(commands.Commands)
	writeBody(rw, 200, w.heartbeat())
}

func (w *worker) execute(commands []protocol.Command) {
	for _, c := range commands {
		t := w.find(c.Attempt)
		switch {
		case c.Verb == protocol.Start && t == nil:
			w.startTask(c.Attempt)
		case c.Verb == protocol.Stop && t != nil && t.State != protocol.Exited:
			w.stopTask(t, c.GracePeriodS)
		case c.Verb == protocol.Forget && t != nil && t.State == protocol.Exited:
			w.forget(t)
		}
	}
}

func (w *worker) find(a protocol.Attempt) *workerTask {
	for _, t := range w.tasks {
		if t.Attempt == a {
			return t
		}
	}
	return nil
}

func (w *worker) forget(t *workerTask) {
	for i, x := range w.tasks {
		if x == t {
			w.tasks = append(w.tasks[:i], w.tasks[i+1:]...)
			w.changed = true
			return
		}
	}
}

func (w *worker) startTask(a protocol.Attempt) {
	t := &workerTask{TaskStatus: protocol.TaskStatus{Attempt: a, State: protocol.Fetching}, job: book.get(a.Job)}
	var cpus, gpus, mem float64
	busy := false
	for _, x := range w.tasks {
		if x.State == protocol.Exited {
			continue
		}
		cpus, gpus, mem = cpus+x.job.CPUs, gpus+x.job.GPUs, mem+x.job.MemoryGB
		busy = busy || x.Job == a.Job && x.Task == a.Task
	}
	w.tasks = append(w.tasks, t)
	w.changed = true
	const tolerance = 1e-6
	switch {
	case t.job == nil:
		w.exit(t, protocol.ExitUnknownJob)
	case busy:
		w.exit(t, protocol.ExitTaskAlreadyPresent)
	case cpus+t.job.CPUs > w.kind.CPUs+tolerance || gpus+t.job.GPUs > w.kind.GPUs+tolerance || mem+t.job.MemoryGB > w.kind.MemoryGB+tolerance:
		w.exit(t, protocol.ExitInsufficientResources)
	default:
		readyAt, cached := w.images[t.job.Image]
		if !cached {
			readyAt = time.Now().Add(time.Duration(t.job.ImageGB / w.kind.FetchGBPerS * float64(time.Second)))
			w.images[t.job.Image] = readyAt
		}
		t.readyAt = readyAt
		w.rec.add(w.machine.Name, "%s/%d try %d starts", a.Job, a.Task, a.Number)
		onStart(a, w.machine.Name)
	}
}

func (w *worker) stopTask(t *workerTask, grace float64) {
	if t.State == protocol.Running && t.job.CheckpointIntervalS > 0 && grace >= t.job.CheckpointDurationS {
		t.State = protocol.Checkpointing
		t.savedAt = time.Now().Add(time.Duration(t.job.CheckpointDurationS * float64(time.Second)))
		w.changed = true
		return
	}
	if t.State != protocol.Checkpointing || grace == 0 {
		w.exit(t, protocol.ExitStopped)
	}
}

// setFaulty makes the machine fail every task that it starts from now on, or ends that.
func (w *worker) setFaulty(faulty bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faulty = faulty
	w.rec.add(w.machine.Name, "faulty: %v", faulty)
}

// running counts a job's tasks that run.
func (w *worker) running(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, t := range w.tasks {
		if t.Job == job && t.State == protocol.Running {
			n++
		}
	}
	return n
}

// count counts the tasks on the machine that have not ended and for which the function holds.
func (w *worker) count(holds func(t *workerTask) bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, t := range w.tasks {
		if t.State != protocol.Exited && holds(t) {
			n++
		}
	}
	return n
}

// free returns the processors, accelerators and memory that no task has.
func (w *worker) free() (cpus, gpus, mem float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cpus, gpus, mem = w.kind.CPUs, w.kind.GPUs, w.kind.MemoryGB
	for _, t := range w.tasks {
		if t.State != protocol.Exited {
			cpus, gpus, mem = cpus-t.job.CPUs, gpus-t.job.GPUs, mem-t.job.MemoryGB
		}
	}
	return cpus, gpus, mem
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// post sends a request with a MessagePack body.
func post(ctx context.Context, url string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", protocol.ContentType)
	return do(reportClient, request)
}

func do(client *http.Client, request *http.Request) (int, []byte, error) {
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	return response.StatusCode, answer, err
}
