package testbed

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/BurntSushi/toml"

	"oakpick/internal/config"
)

// Controllers manages the controllers of a run, one process each, numbered from 0.
type Controllers struct {
	command   []string
	addresses Addresses
	settings  config.Settings
	directory string // for settings files and logs
	client    *http.Client

	mu                sync.Mutex
	processes         []*Process // by controller; nil before the first start
	earlierCPUSeconds []float64  // by controller: CPU time of its killed processes
}

// ErrNoRunCommand is returned for a deploy file that has no command to start a controller.
var ErrNoRunCommand = errors.New("no run command")

// ControllerCommand returns the command that starts a controller according to the deploy file. It
// returns an error if the program doesn't exist.
func ControllerCommand(deployFile string) ([]string, error) {
	var deploy struct {
		Run string `toml:"run"`
	}
	if _, err := toml.DecodeFile(deployFile, &deploy); err != nil {
		return nil, fmt.Errorf("%s: %w", deployFile, err)
	}
	command := strings.Fields(deploy.Run)
	if len(command) == 0 {
		return nil, fmt.Errorf("%s: %w", deployFile, ErrNoRunCommand)
	}
	if _, err := exec.LookPath(command[0]); err != nil {
		return nil, fmt.Errorf("controller program (build it first): %w", err)
	}
	return command, nil
}

// adminTimeout is the timeout of a health check or a request to a controller's administration API.
const adminTimeout = time.Second

func newControllers(command []string, addresses Addresses, settings config.Settings, directory string) *Controllers {
	return &Controllers{
		command: command, addresses: addresses, settings: settings, directory: directory, client: &http.Client{Timeout: adminTimeout},
		processes: make([]*Process, settings.ControllerCount), earlierCPUSeconds: make([]float64, settings.ControllerCount),
	}
}

// Start writes a controller's settings file and starts its process.
func (c *Controllers) Start(controller int) error {
	settingsFile, err := c.writeSettings(controller)
	if err != nil {
		return fmt.Errorf("write settings of %s: %w", ControllerName(controller), err)
	}
	command := slices.Concat(c.command, []string{settingsFile})
	process, err := StartProcess(command, c.logFile(controller))
	if err != nil {
		return fmt.Errorf("start %s: %w", ControllerName(controller), err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[controller] = process
	return nil
}

// StartAll starts every controller's process.
func (c *Controllers) StartAll() error {
	for controller := range c.processes {
		if err := c.Start(controller); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes a controller's settings file in the format that the platform uses and returns its path.
func (c *Controllers) writeSettings(controller int) (string, error) {
	settings := config.Config{
		Node: ControllerName(controller), Zone: c.zone(controller),
		APIListen: c.addresses.API(controller), PeerListen: c.addresses.Peer(controller), Settings: c.settings,
	}
	settings.Services.Cloud, settings.Services.State = c.addresses.Cloud(), c.addresses.StateService()
	for peer := range c.settings.ControllerCount {
		if peer != controller {
			settings.Peers = append(settings.Peers, config.Peer{Name: ControllerName(peer), Zone: c.zone(peer), Addr: c.addresses.Peer(peer)})
		}
	}
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(c.directory, ControllerName(controller)+".json")
	return path, os.WriteFile(path, text, 0o600)
}

func (c *Controllers) zone(controller int) string {
	return c.settings.Zones[controller%len(c.settings.Zones)]
}

func (c *Controllers) logFile(controller int) string {
	return filepath.Join(c.directory, ControllerName(controller)+".log")
}

func (c *Controllers) process(controller int) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[controller]
}

// Kill kills a controller's process with a signal that it can't handle, and waits until the
// process has exited. It does nothing if the controller was never started.
func (c *Controllers) Kill(controller int) {
	process := c.process(controller)
	if process == nil {
		return
	}
	if usage, running := process.usage(); running {
		c.mu.Lock()
		c.earlierCPUSeconds[controller] += usage.CPUSeconds
		c.mu.Unlock()
	}
	process.Kill()
}

// KillAll kills every controller's process.
func (c *Controllers) KillAll() {
	for controller := range c.processes {
		c.Kill(controller)
	}
}

// Crashed describes each controller that exited without having been killed, with the last line of
// its log.
func (c *Controllers) Crashed() []string {
	var crashed []string
	for controller := range c.processes {
		if process := c.process(controller); process != nil && process.crashed() {
			crashed = append(crashed, ControllerName(controller)+" exited unexpectedly: "+lastLine(c.logFile(controller)))
		}
	}
	return crashed
}

// Usage returns the resource usage of each controller. The CPU time includes that of the
// controller's killed processes. A controller that isn't running has zero usage.
func (c *Controllers) Usage() []Usage {
	usages := make([]Usage, len(c.processes))
	for controller := range c.processes {
		process := c.process(controller)
		if process == nil {
			continue
		}
		usage, running := process.usage()
		if !running {
			continue
		}
		c.mu.Lock()
		usage.CPUSeconds += c.earlierCPUSeconds[controller]
		c.mu.Unlock()
		usages[controller] = usage
	}
	return usages
}
