package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
)

// controllers starts and ends the controllers' processes.
type controllers struct {
	rec      *record
	command  []string
	folder   string
	state    string // addresses
	cloud    string
	fronts   []string
	peers    []string
	zones    []string
	settings map[string]any // the part of the settings that all share

	mu        sync.Mutex
	processes []*process
}

type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
	killed bool
}

var errNoRunCommand = errors.New("the deploy file has no run command")

func runCommand(deployFile string) ([]string, error) {
	var deploy struct {
		Run string `toml:"run"`
	}
	if _, err := toml.DecodeFile(deployFile, &deploy); err != nil {
		return nil, err
	}
	command := strings.Fields(deploy.Run)
	if len(command) == 0 {
		return nil, errNoRunCommand
	}
	_, err := exec.LookPath(command[0])
	return command, err
}

// freePort returns an address with a free port for a controller. No one else uses that host.
func freePort() (string, error) {
	address, l, err := listenOn(controllerHost)
	if err != nil {
		return "", err
	}
	return address, l.Close()
}

// start starts a controller with the present settings.
func (c *controllers) start(n int) error {
	others := []map[string]any{}
	for i, name := range nodeNames {
		if i != n {
			others = append(others, map[string]any{"node_name": name, "zone": c.zones[i%len(c.zones)], "peer_addr": c.peers[i]})
		}
	}
	text, err := json.MarshalIndent(map[string]any{
		"node_name": nodeNames[n], "zone": c.zones[n%len(c.zones)], "front": c.fronts[n], "cluster_listen": c.peers[n], "others": others,
		"services": map[string]any{"cloud": c.cloud, "state": c.state}, "settings": c.settings,
	}, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(c.folder, nodeNames[n]+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.folder, nodeNames[n]+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(c.command[0], append(append([]string{}, c.command[1:]...), path)...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	c.mu.Lock()
	c.processes[n] = p
	c.mu.Unlock()
	state, _ := json.Marshal(c.settings["state"])
	c.rec.add("process", "%s started, pid %d, settings.state %s", nodeNames[n], cmd.Process.Pid, state)
	return nil
}

func (c *controllers) process(n int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[n]
}

// kill kills a controller and waits until it has ended.
func (c *controllers) kill(n int) {
	p := c.process(n)
	if p == nil {
		return
	}
	p.killed = true
	_ = p.cmd.Process.Kill()
	<-p.exited
	c.rec.add("process", "%s killed", nodeNames[n])
}

func (c *controllers) signal(n int, s syscall.Signal) {
	_ = c.process(n).cmd.Process.Signal(s)
	c.rec.add("process", "%s gets signal %v", nodeNames[n], s)
}

// crashedNumbers returns the controllers that ended by themselves.
func (c *controllers) crashedNumbers() []int {
	var numbers []int
	for n := range nodeNames {
		p := c.process(n)
		if p == nil || p.killed {
			continue
		}
		select {
		case <-p.exited:
			numbers = append(numbers, n)
		default:
		}
	}
	return numbers
}

// adminStatus is the part of /admin/status that the cases read.
type adminStatus struct {
	Role   string `json:"role"`
	Leader string `json:"leader"`
	Leads  *struct {
		Jobs      int `json:"jobs"`
		Over      int `json:"over"`
		Oversized int `json:"pages_above_limits_to_come"`
		Archive   struct {
			Used       bool `json:"used"`
			BeingMoved int  `json:"jobs_being_moved"`
			Kept       int  `json:"kept"`
		} `json:"archive"`
	} `json:"leads"`
}

var adminClient = &http.Client{Timeout: time.Second}

// status reads a controller's status from the administration API.
func (c *controllers) status(n int) (adminStatus, bool) {
	var s adminStatus
	response, err := adminClient.Get("http://" + c.peers[n] + "/admin/status")
	if err != nil {
		return s, false
	}
	defer func() { _ = response.Body.Close() }()
	return s, json.NewDecoder(response.Body).Decode(&s) == nil
}

// leader returns the number of the controller that leads, or -1.
func (c *controllers) leader() int {
	for n := range nodeNames {
		if s, ok := c.status(n); ok && s.Role == "leader" {
			return n
		}
	}
	return -1
}

func (c *controllers) waitLeader(timeout time.Duration) int {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n := c.leader(); n >= 0 {
			return n
		}
	}
	return -1
}

// restartAll restarts all controllers one after the other. Each is down for the given time, and the
// next one follows once it names a leader, as the operators' page says, or after the patience.
func (c *controllers) restartAll(down, patience time.Duration, order []int) error {
	for _, n := range order {
		c.kill(n)
		time.Sleep(down)
		if err := c.start(n); err != nil {
			return err
		}
		for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if s, ok := c.status(n); ok && s.Leader != "" {
				c.rec.add("process", "%s names %s as leader", nodeNames[n], s.Leader)
				break
			}
		}
	}
	return nil
}

// rollAll restarts all controllers, one at each interval, the present leader last. Each is down for the given time.
func (c *controllers) rollAll(every, down time.Duration) error {
	begun, leader := time.Now(), max(0, c.leader())
	for i := range nodeNames {
		time.Sleep(time.Until(begun.Add(time.Duration(i) * every)))
		n := (leader + 1 + i) % len(nodeNames)
		if err := c.restartAll(down, 4*time.Second, []int{n}); err != nil {
			return err
		}
	}
	return nil
}

// logLines returns the lines of all controllers' logs that hold a text.
func (c *controllers) logLines(text string, most int) []string {
	var lines []string
	for _, name := range nodeNames {
		content, _ := os.ReadFile(filepath.Join(c.folder, name+".log"))
		for _, line := range strings.Split(string(content), "\n") {
			if strings.Contains(line, text) && len(lines) < most {
				lines = append(lines, fmt.Sprintf("%s: %s", name, line))
			}
		}
	}
	return lines
}
