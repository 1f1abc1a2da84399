package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/prometheus/procfs"

	"oakpick/internal/config"
)

// controllers are the real processes.
type controllers struct {
	command   []string
	addresses addresses
	settings  config.Settings
	dir       string // for settings files and logs
	client    *http.Client

	mu        sync.Mutex
	processes []*process
}

// process is one controller's.
type process struct {
	cmd    *exec.Cmd
	ended  chan struct{}
	killed bool    // by this run
	spent  float64 // processor seconds of its earlier lives
}

// RunCommand is how the deploy file has a controller started.
func RunCommand(deployFile string) ([]string, error) {
	var deploy struct {
		Run string `toml:"run"`
	}
	if _, err := toml.DecodeFile(deployFile, &deploy); err != nil {
		return nil, fmt.Errorf("%s: %w", deployFile, err)
	}
	command := strings.Fields(deploy.Run)
	if len(command) == 0 {
		return nil, fmt.Errorf("%s: no run command", deployFile)
	}
	if _, err := exec.LookPath(command[0]); err != nil {
		return nil, fmt.Errorf("the controllers' program, which has to be built first: %w", err)
	}
	return command, nil
}

func newControllers(command []string, a addresses, s config.Settings, dir string) *controllers {
	return &controllers{
		command: command, addresses: a, settings: s, dir: dir,
		client: &http.Client{Timeout: time.Second}, processes: make([]*process, s.Size),
	}
}

// settingsFile writes a controller's settings, as the platform hands them over.
func (c *controllers) settingsFile(i int) (string, error) {
	cfg := config.Config{
		Node: controllerName(i), Zone: c.settings.Zones[i%len(c.settings.Zones)],
		FrontListen: c.addresses.front(i), PeerListen: c.addresses.cluster(i), Settings: c.settings,
	}
	cfg.Services.Cloud, cfg.Services.State = c.addresses.cloud(), c.addresses.state()
	for p := range c.settings.Size {
		if p != i {
			cfg.Peers = append(cfg.Peers, config.Peer{Name: controllerName(p), Zone: c.settings.Zones[p%len(c.settings.Zones)], Addr: c.addresses.cluster(p)})
		}
	}
	text, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(c.dir, controllerName(i)+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// start starts a controller's process.
func (c *controllers) start(i int) error {
	path, err := c.settingsFile(i)
	if err != nil {
		return err
	}
	p, err := startProcess(append(c.command[:len(c.command):len(c.command)], path), c.logFile(i))
	if err != nil {
		return err
	}
	c.mu.Lock()
	if old := c.processes[i]; old != nil {
		p.spent = old.spent
	}
	c.processes[i] = p
	c.mu.Unlock()
	return nil
}

// startAll starts every controller's process.
func (c *controllers) startAll() error {
	for i := range c.processes {
		if err := c.start(i); err != nil {
			return err
		}
	}
	return nil
}

func (c *controllers) process(i int) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[i]
}

// kill ends a controller's process, with no signal that it could handle.
func (c *controllers) kill(i int) {
	p := c.process(i)
	if p == nil {
		return
	}
	c.mu.Lock()
	p.killed = true
	if usage, ok := usageOf(p); ok {
		p.spent = usage.CPUSeconds
	}
	c.mu.Unlock()
	p.kill()
}

func (c *controllers) logFile(i int) string { return filepath.Join(c.dir, controllerName(i)+".log") }

// killAll ends every process that was started.
func (c *controllers) killAll() {
	for i := range c.processes {
		c.kill(i)
	}
}

// failed names the controllers that ended by themselves, with the end of their log.
func (c *controllers) failed() []string {
	var out []string
	for i := range c.processes {
		p := c.process(i)
		if p == nil {
			continue
		}
		select {
		case <-p.ended:
			c.mu.Lock()
			killed := p.killed
			c.mu.Unlock()
			if !killed {
				out = append(out, controllerName(i)+" ended by itself: "+lastLine(c.logFile(i)))
			}
		default:
		}
	}
	return out
}

// Usage is what a controller's process has taken.
type Usage struct {
	CPUSeconds float64 `json:"cpu_s"`
	MemoryMB   float64 `json:"memory_mb"` // resident
	Sockets    int     `json:"sockets"`
}

func usageOf(p *process) (Usage, bool) {
	proc, err := procfs.NewProc(p.cmd.Process.Pid)
	if err != nil {
		return Usage{}, false
	}
	stat, err := proc.Stat()
	if err != nil {
		return Usage{}, false
	}
	u := Usage{CPUSeconds: p.spent + stat.CPUTime(), MemoryMB: float64(stat.ResidentMemory()) / (1 << 20)}
	files, err := proc.FileDescriptorTargets()
	if err != nil {
		return Usage{}, false
	}
	for _, f := range files {
		if strings.HasPrefix(f, "socket:") {
			u.Sockets++
		}
	}
	return u, true
}

// usage is what each controller's process has taken; none for one that doesn't run.
func (c *controllers) usage() []Usage {
	out := make([]Usage, len(c.processes))
	for i := range c.processes {
		if p := c.process(i); p != nil {
			out[i], _ = usageOf(p)
		}
	}
	return out
}

// leader is the controller that leads; -1: none says so.
func (c *controllers) leader() int {
	for i := range c.processes {
		var status struct {
			Role string `json:"role"`
		}
		if c.ask(i, "/admin/status", &status) && status.Role == "leader" {
			return i
		}
	}
	return -1
}

// messages counts what a controller has handled in this life, by kind.
func (c *controllers) messages(i int) map[string]int64 {
	var metrics struct {
		Latency map[string]struct {
			Count int64 `json:"count"`
		} `json:"latency"`
	}
	out := map[string]int64{}
	if c.ask(i, "/admin/metrics", &metrics) {
		for what, l := range metrics.Latency {
			out[what] = l.Count
		}
	}
	return out
}

// ask asks a controller's administration API.
func (c *controllers) ask(i int, path string, answer any) bool {
	res, err := c.client.Get("http://" + c.addresses.cluster(i) + path)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return err == nil && res.StatusCode == http.StatusOK && json.Unmarshal(body, answer) == nil
}

// healthy asks a controller as the load balancer does.
func (c *controllers) healthy(i int) bool {
	res, err := c.client.Get("http://" + c.addresses.front(i) + "/healthz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}
