package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settings are those of a small deployment, as the platform hands them over.
type settings struct {
	Size       int           `json:"size"`
	Zones      []string      `json:"zones"`
	Teams      []team        `json:"teams"`
	Objectives []any         `json:"objectives"`
	Workers    workerTimes   `json:"workers"`
	State      stateLimits   `json:"state"`
	Cloud      cloudLimits   `json:"cloud"`
	Limits     processLimits `json:"limits"`
	ClockError float64       `json:"clock_error_ms"`
}

type team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

type workerTimes struct {
	ReportS   float64 `json:"report_s"`
	LeaseS    float64 `json:"lease_s"`
	GangWaitS float64 `json:"gang_wait_s"`
	GangPeerS float64 `json:"gang_peer_s"`
	CancelS   float64 `json:"cancel_s"`
}

type cloudLimits struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

type processLimits struct {
	CPU            float64 `json:"cpu"`
	MemMB          float64 `json:"mem_mb"`
	MaxConnections int     `json:"max_connections"`
}

// bench runs the controllers as processes among the stand-ins.
type bench struct {
	record      *recorder
	settings    settings
	trouble     bool
	directory   string // temporary
	run         []string
	state       *stateService
	cloud       *cloud
	controllers []*controller
	users       *http.Client

	mu      sync.Mutex
	jobs    map[string]*job
	broken  []string // what broke the rule
	cantRun []string
	runs    []*taskRun
	halted  map[string]int // tasks that were stopped by command, by job
	timers  []*time.Timer
	others  []*exec.Cmd // programs beside the controllers
	closed  bool
}

// taskRun is the time that an attempt was on a machine.
type taskRun struct {
	piece, machine string
	try            int64
	from, to       time.Time // to is zero while it is there
}

type controller struct {
	bench        *bench
	index        int
	name         string
	api, peer    string
	state, cloud string // as this controller reaches them
	extensions   string // file of extensions; empty: none
	tracker      string // address of its tracker of weights, if that is enabled
	command      *exec.Cmd
	exited       chan struct{}
	killed       bool
	crashes      int // how often it ended by itself
	mu           sync.Mutex
}

func newBench(record *recorder, s settings, trouble bool, flavors []flavor) (*bench, error) {
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "oakpick-review-")
	if err != nil {
		return nil, err
	}
	b := &bench{
		record: record, settings: s, trouble: trouble, directory: directory, run: run, users: newClient(), jobs: map[string]*job{}, halted: map[string]int{},
	}
	b.state = newStateService(b, s.State)
	b.cloud = newCloud(b, seconds(s.Cloud.ListLagS), flavors)
	for i := range s.Size {
		c := &controller{bench: b, index: i, name: fmt.Sprintf("ctl-%d", i)}
		for _, address := range []*string{&c.api, &c.peer} {
			if *address, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		if c.state, err = b.serve(b.state.handler(i)); err != nil {
			return nil, err
		}
		if c.cloud, err = b.serve(b.cloud.handler(i)); err != nil {
			return nil, err
		}
		b.controllers = append(b.controllers, c)
	}
	return b, nil
}

// runCommand returns the run command of the deploy file.
func runCommand() ([]string, error) {
	content, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(content)
	if found == nil {
		return nil, errors.New("the deploy file has no run command")
	}
	return strings.Fields(string(found[1])), nil
}

func (b *bench) serve(handler http.Handler) (address string, err error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, handler) }()
	return l.Addr().String(), nil
}

// after calls a function later, unless the bench has been closed.
func (b *bench) after(d time.Duration, f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.timers = append(b.timers, time.AfterFunc(d, f))
	}
}

func (b *bench) breach(format string, args ...any) {
	b.mu.Lock()
	b.broken = append(b.broken, fmt.Sprintf(format, args...))
	b.mu.Unlock()
	b.record.line("RULE BROKEN: "+format, args...)
}

func (b *bench) breaches() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.broken...)
}

func (b *bench) fail(format string, args ...any) {
	b.mu.Lock()
	b.cantRun = append(b.cantRun, fmt.Sprintf(format, args...))
	b.mu.Unlock()
	b.record.line("CAN'T RUN: "+format, args...)
}

func (b *bench) job(id string) *job {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.jobs[id]
}

func (b *bench) upload(message object, run time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs[text(message["id"])] = &job{message, run}
}

// started records that a task is on a machine. The caller holds the worker's lock.
func (b *bench) started(w *worker, t *task) {
	b.mu.Lock()
	var other *taskRun
	for _, run := range b.runs {
		if run.piece == t.piece && run.to.IsZero() {
			other = run
		}
	}
	b.runs = append(b.runs, &taskRun{piece: t.piece, machine: w.id, try: t.try, from: time.Now()})
	quiet := len(b.runs) > 500
	b.mu.Unlock()
	if !quiet {
		b.record.line("worker: %s: %s/%d runs", w.id, t.piece, t.try)
	}
	if other != nil {
		b.breach("ran_twice: %s starts on %s while it is on %s", t.piece, w.id, other.machine)
	}
}

func (b *bench) left(w *worker, t *task) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, run := range b.runs {
		if run.piece == t.piece && run.machine == w.id && run.try == t.try && run.to.IsZero() {
			run.to = time.Now()
		}
	}
}

// exited records that a task has exited, and why.
func (b *bench) exited(w *worker, t *task) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.cause == "halted" {
		id, _, _ := strings.Cut(t.piece, "/")
		b.halted[id]++
	}
	if len(b.runs) < 500 {
		b.record.line("worker: %s: %s/%d exits: %s", w.id, t.piece, t.try, t.cause)
	}
}

// stops returns how many tasks of a job were stopped by command.
func (b *bench) stops(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.halted[id]
}

// close ends all that was started.
func (b *bench) close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	for _, c := range b.controllers {
		c.kill()
	}
	b.mu.Lock()
	for _, t := range b.timers {
		t.Stop()
	}
	for _, command := range b.others {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	b.mu.Unlock()
	_ = os.RemoveAll(b.directory)
}

func (b *bench) controllerNamed(name string) int {
	for i, c := range b.controllers {
		if c.name == name {
			return i
		}
	}
	return -1
}

func (c *controller) front() string { return c.api }

func (c *controller) zone() string {
	zones := c.bench.settings.Zones
	return zones[c.index%len(zones)]
}

// start writes the settings file and starts the process.
func (c *controller) start() {
	others := []any{}
	for _, other := range c.bench.controllers {
		if other != c {
			others = append(others, object{"node_name": other.name, "zone": other.zone(), "peer_addr": other.peer})
		}
	}
	content, err := json.MarshalIndent(object{
		"node_name": c.name, "zone": c.zone(), "front": c.api, "cluster_listen": c.peer, "others": others,
		"services": object{"cloud": c.cloud, "state": c.state}, "settings": c.bench.settings,
	}, "", "  ")
	if err != nil {
		c.bench.fail("settings: %v", err)
		return
	}
	path := filepath.Join(c.bench.directory, c.name+".json")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		c.bench.fail("settings: %v", err)
		return
	}
	log, err := os.OpenFile(filepath.Join(c.bench.directory, c.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		c.bench.fail("log: %v", err)
		return
	}
	defer log.Close()
	arguments := append(append([]string(nil), c.bench.run[1:]...), path)
	if c.extensions != "" {
		arguments = append([]string{"--extensions", c.extensions}, arguments...)
	}
	command := exec.Command(c.bench.run[0], arguments...)
	command.Stderr, command.Stdout = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this process
	if err := command.Start(); err != nil {
		c.bench.fail("start %s: %v", c.name, err)
		return
	}
	exited := make(chan struct{})
	c.mu.Lock()
	c.command, c.exited, c.killed = command, exited, false
	c.mu.Unlock()
	c.bench.record.line("controller: %s starts", c.name)
	go func() {
		err := command.Wait()
		c.mu.Lock()
		killed := c.killed
		c.mu.Unlock()
		if !killed {
			if strings.Contains(c.logTail(), "address already in use") {
				c.bench.fail("a port of %s is taken", c.name)
			}
			c.mu.Lock()
			c.crashes++
			c.mu.Unlock()
			c.bench.record.line("controller: %s ENDED BY ITSELF: %v; the last lines of its log:\n%s", c.name, err, c.logTail())
		}
		close(exited)
	}()
}

// crashCount returns how often the process ended without having been killed.
func (c *controller) crashCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes
}

// revive starts a process that has ended by itself again, as the platform does, until the bench is
// closed.
func (c *controller) revive(after time.Duration) {
	for {
		time.Sleep(50 * time.Millisecond)
		c.bench.mu.Lock()
		closed := c.bench.closed
		c.bench.mu.Unlock()
		if closed {
			return
		}
		c.mu.Lock()
		killed := c.killed
		c.mu.Unlock()
		if !killed && !c.running() {
			time.Sleep(after)
			c.bench.mu.Lock()
			closed = c.bench.closed
			c.bench.mu.Unlock()
			if !closed {
				c.start()
			}
		}
	}
}

// running reports whether the process runs.
func (c *controller) running() bool {
	c.mu.Lock()
	exited := c.exited
	c.mu.Unlock()
	if exited == nil {
		return false
	}
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

func (c *controller) logTail() string {
	content, _ := os.ReadFile(filepath.Join(c.bench.directory, c.name+".log"))
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	if i := strings.LastIndex(string(content), "\npanic"); i >= 0 {
		lines = strings.Split(string(content[i:]), "\n")
		lines = lines[:min(len(lines), 12)]
	}
	return "    " + strings.Join(lines[max(0, len(lines)-12):], "\n    ")
}

func (c *controller) signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.command != nil {
		_ = c.command.Process.Signal(s)
	}
}

// kill kills the process and waits until it has ended.
func (c *controller) kill() {
	c.mu.Lock()
	command, exited := c.command, c.exited
	c.killed = true
	c.mu.Unlock()
	if command == nil {
		return
	}
	if c.running() {
		c.bench.record.line("controller: %s is killed", c.name)
	}
	_ = command.Process.Kill()
	<-exited
}

// status returns the controller's own status of its administration API.
func (c *controller) status() (role, leader string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	response, err := client.Get("http://" + c.peer + "/admin/status")
	if err != nil {
		return "", ""
	}
	defer response.Body.Close()
	var s struct {
		Role   string `json:"role"`
		Leader string `json:"leader"`
	}
	_ = json.NewDecoder(response.Body).Decode(&s)
	return s.Role, s.Leader
}

// adminStatus returns the whole status.
func (c *controller) adminStatus() object {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + c.peer + "/admin/status")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var s object
	_ = json.NewDecoder(response.Body).Decode(&s)
	return s
}

// awaitLeader waits until a running controller leads, and returns it.
func (b *bench) awaitLeader(limit time.Duration) *controller {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		for _, c := range b.controllers {
			if c.running() {
				if role, _ := c.status(); role == "leader" {
					b.record.line("controller: %s leads", c.name)
					return c
				}
			}
		}
	}
	return nil
}

func (b *bench) startAll() *controller {
	for _, c := range b.controllers {
		c.start()
	}
	leader := b.awaitLeader(20 * time.Second)
	if leader == nil {
		b.fail("no controller leads")
	}
	return leader
}

// ask sends one request of a user to a controller.
func (b *bench) ask(c *controller, method, path string, message any) answer {
	timeout := 5 * time.Second
	if method == http.MethodGet {
		timeout = 2 * time.Second
	}
	return call(b.users, timeout, method, "http://"+c.api+path, message)
}

// persist repeats a request as users do, at healthy controllers in turn, until it is answered
// otherwise than with 429, 503, 504 or not at all, or until the time is over.
func (b *bench) persist(method, path string, message any, limit time.Duration) answer {
	var result answer
	for n, until := 0, time.Now().Add(limit); time.Now().Before(until); n++ {
		c := b.controllers[n%len(b.controllers)]
		if !c.running() {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		result = b.ask(c, method, path, message)
		switch result.status {
		case 200, 201, 400, 404, 422:
			return result
		}
		time.Sleep(time.Second)
	}
	return result
}

// newJob returns a submission with the fields of a small array.
func newJob(id, owner string) object {
	return object{
		"id": id, "jobclass": "batch", "owner": owner, "shape": "batch", "rank": "standard", "pieces": 1,
		"vcpus": 1.0, "gpus": 0.0, "mem_gb": 1.0, "bundle": "img-01", "image_gb": 0.5, "kinds_of_host": nil, "site": nil,
		"together": false, "spread": false, "loaners": false, "expected_s": 10.0, "savepoint_s": 0.0, "saving_s": 0.0, "due_s": nil,
	}
}
