package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"oakpick/internal/protocol"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// timeLimit is the longest that a case may run.
const timeLimit = 118 * time.Second

// rig is a deployment with stand-ins.
type rig struct {
	rec         *record
	state       *stateService
	cloud       *cloud
	controllers *controllers
	users       *users
	trouble     bool
	done        chan struct{}
}

var cases = map[string]func(*rig) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(couldNot)
	}
	code, err := run(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		code = couldNot
	}
	os.Exit(code)
}

func run(name, recordFile string) (int, error) {
	rec, err := newRecord(recordFile)
	if err != nil {
		return couldNot, err
	}
	folder, err := os.MkdirTemp("", "oakpick-review-")
	if err != nil {
		return couldNot, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	r := &rig{rec: rec, trouble: os.Getenv("TROUBLE") != "0", done: make(chan struct{})}
	if err := r.open(folder); err != nil {
		return couldNot, err
	}
	defer r.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		code int
		err  error
	}
	results := make(chan result, 1)
	go func() {
		code, err := cases[name](r)
		results <- result{code, err}
	}()
	select {
	case got := <-results:
		for _, n := range r.controllers.crashedNumbers() {
			rec.add("process", "%s ended by itself", nodeNames[n])
		}
		rec.add("result", "exit code %d, refusals of the state service: %v", got.code, r.state.refused)
		return got.code, got.err
	case <-stop:
		return couldNot, errors.New("stopped by a signal")
	case <-time.After(timeLimit):
		return couldNot, errors.New("the time is over")
	}
}

// deployment is a small deployment: the first users' standing-replica fleet of the brief, with three
// controllers and the 15 machines that are up at its start.
func (r *rig) open(folder string) error {
	zones := []string{"aarhus-a", "aarhus-b", "odense-own", "kbh-edge"}
	reportEvery, leaseTime = 3*time.Second, 14*time.Second
	nodeNames = []string{"ctl-0", "ctl-1", "ctl-2"}
	nodeAddress = map[string]string{}
	command, err := runCommand("deploy/service.toml")
	if err != nil {
		return err
	}
	r.state = newStateService(r.rec, stateLimits{rps: 120, writeRPS: 25, valueKB: 4, txnOps: 8})
	stateAddress, err := serve(r.state)
	if err != nil {
		return err
	}
	go r.state.sweep(r.done)
	r.cloud = &cloud{
		rec: r.rec, listLag: 10 * time.Second, machines: map[string]*cloudMachine{}, answers: map[string][]string{},
		types: []protocol.MachineType{
			{Name: "hal-32", CPUs: 32, GPUs: 4, MemoryGB: 256, CacheGB: 800, FetchGBPerS: 9, Price: 14.06, SpotPrice: 4.46, BootS: 50, Zones: zones[:3]},
			{Name: "sal-48", CPUs: 48, GPUs: 8, MemoryGB: 192, CacheGB: 800, FetchGBPerS: 2.3, Price: 18.86, SpotPrice: 5.09, BootS: 40, Zones: []string{zones[0], zones[2]}},
		},
		capacity: func(string, string, bool) int { return 11 },
	}
	cloudAddress, err := serve(r.cloud)
	if err != nil {
		return err
	}
	r.controllers = &controllers{
		rec: r.rec, command: command, folder: folder, state: stateAddress, cloud: cloudAddress, zones: zones,
		processes: make([]*process, len(nodeNames)),
		settings: map[string]any{
			"size": len(nodeNames), "zones": zones,
			"teams": []map[string]any{
				team("platform", 32, 120), team("member-care", 56, 152), team("coaching", 72, 120),
				team("retention", 32, 72), team("fitlinje", 48, 152), team("kraftvaerk", 32, 72),
			},
			"objectives": []map[string]any{
				{"kind": "wait", "class": "frontdesk-large", "within_s": 20.0, "share": 0.85},
				{"kind": "finished", "class": "churn-digest", "within_s": 120.0, "share": 0.9},
			},
			"workers":        map[string]any{"report_s": 3.0, "lease_s": 14.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 34.0},
			"state":          map[string]any{"rps": 120.0, "write_rps": 25.0, "value_kb": 4.0, "txn_ops": 8},
			"cloud":          map[string]any{"rps": 2.0, "list_lag_s": 10.0},
			"limits":         map[string]any{"cpu": 0.12, "mem_mb": 98.0, "max_connections": 700},
			"clock_error_ms": 5.0,
		},
	}
	for _, name := range nodeNames {
		front, err := freePort()
		if err != nil {
			return err
		}
		peer, err := freePort()
		if err != nil {
			return err
		}
		nodeAddress[name] = front
		r.controllers.fronts = append(r.controllers.fronts, front)
		r.controllers.peers = append(r.controllers.peers, peer)
	}
	r.users = newUsers(r.rec)
	return nil
}

func team(name string, gpus, most float64) map[string]any {
	return map[string]any{"name": name, "cpus": 0.0, "cpus_max": 0.0, "gpus": gpus, "gpus_max": most}
}

// begin starts the controllers and the machines that are up at the start, and waits for a leader.
func (r *rig) begin() error {
	for n := range nodeNames {
		if err := r.controllers.start(n); err != nil {
			return err
		}
	}
	up := []struct {
		kind, zone string
		count      int
	}{{"hal-32", "aarhus-a", 4}, {"hal-32", "aarhus-b", 3}, {"hal-32", "odense-own", 4}, {"sal-48", "aarhus-a", 2}, {"sal-48", "odense-own", 2}}
	r.cloud.mu.Lock()
	for _, u := range up {
		for range u.count {
			if _, err := r.cloud.add(u.kind, u.zone, false, true); err != nil {
				r.cloud.mu.Unlock()
				return err
			}
		}
	}
	r.cloud.mu.Unlock()
	if r.controllers.waitLeader(15*time.Second) < 0 {
		return errors.New("no controller leads at the start")
	}
	return nil
}

func (r *rig) close() {
	for n := range nodeNames {
		if r.controllers.process(n) != nil {
			r.controllers.kill(n)
		}
	}
	close(r.done)
	for _, w := range r.cloud.workers() {
		w.end()
	}
}

func serve(h http.Handler) (string, error) {
	address, l, err := listenLoopback()
	if err != nil {
		return "", err
	}
	go func(l net.Listener) { _ = http.Serve(l, h) }(l)
	return address, nil
}

// digest is a job of the class churn-digest: an array of tasks.
func digest(id string, tasks int) protocol.Submission {
	return protocol.Submission{
		ID: id, Class: "churn-digest", Team: "platform", Kind: protocol.Array, Priority: protocol.Normal, Tasks: tasks,
		CPUs: 8, GPUs: 2, MemoryGB: 25, Image: "img-digest", ImageGB: 34.3, Spot: true, EstimatedRunS: 50,
		CheckpointIntervalS: 10, CheckpointDurationS: 2,
	}
}

// replicas is a job of the class coach-mid: standing replicas.
func replicas(id string, tasks int) protocol.Submission {
	return protocol.Submission{
		ID: id, Class: "coach-mid", Team: "coaching", Kind: protocol.Service, Priority: protocol.Production, Tasks: tasks,
		CPUs: 4, GPUs: 1, MemoryGB: 12, Image: "img-coach", ImageGB: 42.7, Spread: true,
	}
}

// scrub is a small job of the class visit-scrub.
func scrub(id string) protocol.Submission {
	return protocol.Submission{
		ID: id, Class: "visit-scrub", Team: "retention", Kind: protocol.Array, Priority: protocol.Low, Tasks: 1,
		CPUs: 1, MemoryGB: 3.2, Image: "img-scrub", ImageGB: 1, Spot: true, EstimatedRunS: 15,
	}
}

// waitUntil waits until a condition holds, or for the given time.
func waitUntil(d time.Duration, condition func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// running counts a job's tasks that run.
func (r *rig) running(job string) int {
	n := 0
	for _, w := range r.cloud.workers() {
		n += w.running(job)
	}
	return n
}
