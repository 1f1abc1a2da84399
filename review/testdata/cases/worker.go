package main

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// job is what users upload about a job: the workers fetch it by themselves.
type job struct {
	message object
	run     time.Duration // of a task, without the image fetch
}

// worker is a stand-in for a machine's worker. Gangs are not played.
type worker struct {
	bench    *bench
	id       string
	kind     *flavor
	site     string
	loaners  bool
	address  string
	listener net.Listener
	server   *http.Server
	client   *http.Client

	mu          sync.Mutex
	ended       bool
	session     int64
	tick        int64
	baton       int64
	answeredAt  time.Time // when the last answered report was sent, or the session began
	tasks       map[string]*task
	images      map[string]time.Time // by image, when it is there
	changed     chan struct{}
	node        int
	tokenChange time.Time
	reportSizes int // largest report, in bytes of JSON
}

// task is an attempt of a task on a machine.
type task struct {
	piece    string
	try      int64
	status   string
	cause    string
	kept     bool
	job      *job
	onSince  time.Time // when it had its image
	sequence int
}

func taskKey(piece string, try int64) string { return piece + "#" + strconv.FormatInt(try, 10) }

func newWorker(b *bench, id string, kind *flavor, site string, loaners bool) (*worker, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	w := &worker{
		bench: b, id: id, kind: kind, site: site, loaners: loaners, address: l.Addr().String(), listener: l, client: newClient(),
		session: 1, answeredAt: time.Now(), tasks: map[string]*task{}, images: map[string]time.Time{}, changed: make(chan struct{}, 1),
		node: rand.IntN(len(b.controllers)),
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(l) }()
	go w.reportLoop()
	go w.leaseLoop()
	b.record.line("worker: %s is up", id)
	return w, nil
}

// end ends the machine with all that is on it.
func (w *worker) end(why string) {
	go func() { _ = w.server.Close() }()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.killAll(why)
}

// freeCPUs returns the processors that no task on the machine takes.
func (w *worker) freeCPUs() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	free := w.kind.cpus
	for _, t := range w.tasks {
		if t.status != "ended" {
			free -= number(t.job.message["vcpus"])
		}
	}
	return free
}

func (w *worker) sessionNumber() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.session
}

func (w *worker) killAll(why string) {
	for _, t := range w.tasks {
		if t.status != "ended" {
			w.bench.record.line("worker: %s: %s/%d killed: %s", w.id, t.piece, t.try, why)
			w.leave(t)
		}
	}
	w.tasks = map[string]*task{}
}

func (w *worker) leaseLoop() {
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		if time.Since(w.answeredAt) > seconds(w.bench.settings.Workers.LeaseS) {
			w.bench.record.line("worker: %s: lease of session %d expired with %d tasks", w.id, w.session, len(w.tasks))
			w.killAll("lease expired")
			w.session++
			w.answeredAt = time.Now()
			w.notify()
		}
		w.mu.Unlock()
	}
}

func (w *worker) notify() {
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// report returns the worker's report, with the next tick.
func (w *worker) report() object {
	w.tick++
	pieces := []any{}
	keys := make([]string, 0, len(w.tasks))
	for key := range w.tasks {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		t := w.tasks[key]
		o := object{"piece": t.piece, "try": t.try, "status": t.status}
		if t.status == "ended" {
			o["cause"] = t.cause
			if t.kept {
				o["kept"] = true
			}
		}
		pieces = append(pieces, o)
	}
	return object{
		"host": w.id, "address": w.address, "host_kind": w.kind.name, "site": w.site, "loaners": w.loaners,
		"shift": w.session, "tick": w.tick, "baton": w.baton, "recall_s": nil, "pieces": pieces,
	}
}

func (w *worker) reportLoop() {
	interval := w.bench.settings.Workers.ReportS
	for {
		w.mu.Lock()
		if w.ended {
			w.mu.Unlock()
			return
		}
		sentAt, session, message, node := time.Now(), w.session, w.report(), w.node
		w.mu.Unlock()
		size := jsonSize(message)
		w.mu.Lock()
		w.reportSizes = max(w.reportSizes, size)
		w.mu.Unlock()
		result := call(w.client, 4*time.Second, http.MethodPost, "http://"+w.bench.controllers[node].front()+"/agent/beat", message)
		wait := seconds(interval * (0.75 + rand.Float64()/2))
		w.mu.Lock()
		switch result.status {
		case http.StatusOK:
			baton := integer(result.body["baton"])
			if w.session == session && baton >= w.baton {
				w.seeToken(baton)
				w.answeredAt = sentAt
				w.execute(list(result.body["orders"]))
			}
		case http.StatusMisdirectedRequest:
			named := w.bench.controllerNamed(text(result.body["foreman"]))
			w.client.CloseIdleConnections()
			if named >= 0 && named != node {
				w.node, wait = named, time.Duration(rand.Float64()*float64(500*time.Millisecond))
			} else {
				w.node, wait = (node+1)%len(w.bench.controllers), time.Second
			}
		default:
			if result.status != 0 && result.status != http.StatusServiceUnavailable {
				w.bench.record.line("worker: %s: report of %d bytes (JSON), %d tasks: answer %d %v", w.id, size, len(list(message["pieces"])), result.status, result.body)
			}
			w.client.CloseIdleConnections()
			w.node, wait = (node+1)%len(w.bench.controllers), time.Second
		}
		w.mu.Unlock()
		timer := time.NewTimer(wait)
		if result.status == http.StatusOK {
			time.Sleep(500 * time.Millisecond) // never more often than that
			select {
			case <-w.changed:
			case <-timer.C:
			}
			timer.Stop()
		} else {
			<-timer.C
		}
	}
}

// seeToken takes in a token. A higher one is a change no more than once in half of lease_s.
func (w *worker) seeToken(baton int64) {
	if baton <= w.baton {
		return
	}
	w.baton = baton
	if time.Since(w.tokenChange) > seconds(w.bench.settings.Workers.LeaseS/2) {
		w.tokenChange = time.Now()
		w.notify()
	}
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/show" {
		w.mu.Lock()
		message := w.report()
		w.mu.Unlock()
		respond(rw, http.StatusOK, message)
		return
	}
	m, ok := readBody(r, 16*maxBody)
	if size := jsonSize(m); ok && size > maxBody {
		w.bench.record.line("worker: %s: orders of %d bytes (JSON) refused", w.id, size)
		ok = false
	}
	if !ok || r.URL.Path != "/orders" || m["baton"] == nil || m["shift"] == nil {
		respond(rw, http.StatusBadRequest, object{"error": "malformed"})
		return
	}
	w.mu.Lock()
	status := http.StatusConflict
	if !w.ended && integer(m["baton"]) >= w.baton && integer(m["shift"]) == w.session {
		status = http.StatusOK
		w.seeToken(integer(m["baton"]))
		w.execute(list(m["orders"]))
	}
	message := w.report()
	w.mu.Unlock()
	respond(rw, status, message)
}

func (w *worker) execute(orders []any) {
	for _, o := range orders {
		order, ok := o.(map[string]any)
		if !ok {
			continue
		}
		piece, try := text(order["piece"]), integer(order["try"])
		t := w.tasks[taskKey(piece, try)]
		switch text(order["verb"]) {
		case "start":
			if t == nil {
				w.start(piece, try)
			}
		case "halt":
			if t != nil && t.status != "ended" {
				w.halt(t, number(order["wind_down_s"]))
			}
		case "forget":
			if t != nil && t.status == "ended" {
				delete(w.tasks, taskKey(piece, try))
			}
		}
	}
}

func (w *worker) start(piece string, try int64) {
	id, _, _ := strings.Cut(piece, "/")
	j := w.bench.job(id)
	t := &task{piece: piece, try: try, job: j, status: "fetching"}
	w.tasks[taskKey(piece, try)] = t
	if cause := w.refusal(t); cause != "" {
		t.status, t.cause = "ended", cause
		w.notify()
		return
	}
	image := text(j.message["bundle"])
	ready, ok := w.images[image]
	if !ok {
		ready = time.Now().Add(seconds(number(j.message["image_gb"]) / w.kind.fetch))
		w.images[image] = ready
	}
	session := w.session
	w.notify()
	w.bench.after(time.Until(ready), func() { w.begin(t, session) })
}

// refusal returns why a start is refused, or "".
func (w *worker) refusal(t *task) string {
	if t.job == nil {
		return "unknown"
	}
	var cpus, gpus, memory float64
	for _, other := range w.tasks {
		if other.status == "ended" || other == t && t.job == nil {
			continue
		}
		if other != t && other.piece == t.piece {
			return "busy"
		}
		m := other.job.message
		cpus, gpus, memory = cpus+number(m["vcpus"]), gpus+number(m["gpus"]), memory+number(m["mem_gb"])
	}
	const tolerance = 1e-6
	if cpus > w.kind.cpus+tolerance || gpus > w.kind.gpus+tolerance || memory > w.kind.memory+tolerance {
		return "no_room"
	}
	return ""
}

func (w *worker) isOn(t *task, session int64) bool {
	return !w.ended && w.session == session && w.tasks[taskKey(t.piece, t.try)] == t
}

// begin starts a task that has its image.
func (w *worker) begin(t *task, session int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isOn(t, session) || t.status != "fetching" {
		return
	}
	t.status, t.onSince = "running", time.Now()
	w.bench.started(w, t)
	w.notify()
	if t.job.run > 0 {
		w.bench.after(t.job.run, func() { w.finish(t, session) })
	}
}

func (w *worker) finish(t *task, session int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isOn(t, session) && t.status == "running" {
		w.exit(t, "done", false)
	}
}

func (w *worker) halt(t *task, windDown float64) {
	saving := number(t.job.message["saving_s"])
	if t.status == "running" && number(t.job.message["savepoint_s"]) > 0 && windDown >= saving {
		t.status = "saving"
		session := w.session
		w.bench.after(seconds(saving), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.isOn(t, session) && t.status == "saving" {
				w.exit(t, "halted", true)
			}
		})
		w.notify()
		return
	}
	if t.status == "saving" && windDown > 0 {
		return
	}
	w.exit(t, "halted", false)
}

func (w *worker) exit(t *task, cause string, kept bool) {
	w.leave(t)
	t.status, t.cause, t.kept = "ended", cause, kept
	w.bench.exited(w, t)
	w.notify()
}

func (w *worker) leave(t *task) {
	if !t.onSince.IsZero() && t.status != "ended" {
		w.bench.left(w, t)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
