package distributionrun

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/BurntSushi/toml"
	"golang.org/x/sync/errgroup"

	"oakpick/internal/distribution/agent"
	"oakpick/internal/scale/testbed"
)

// agentProcess is the process of a real agent, with a client of the agent's HTTP API.
type agentProcess struct {
	settings     agent.Settings
	settingsFile string
	logFile      string
	command      []string
	client       *http.Client
	process      *testbed.Process // nil before the first start
	failed       atomic.Bool      // a fault killed or suspended the agent permanently; the run continues without it
}

// newAgentProcess writes an agent's settings to the directory. It doesn't start the process. The
// command, followed by --config and the path of the settings file, starts the agent.
func newAgentProcess(command []string, directory string, settings agent.Settings) (*agentProcess, error) {
	a := &agentProcess{
		settings: settings, command: command, client: &http.Client{},
		settingsFile: filepath.Join(directory, settings.Agent+".toml"), logFile: filepath.Join(directory, settings.Agent+".log"),
	}
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(settings); err != nil {
		return nil, fmt.Errorf("encode settings of %s: %w", settings.Agent, err)
	}
	return a, os.WriteFile(a.settingsFile, text.Bytes(), 0o600)
}

// startPollInterval is the interval between checks whether a started agent responds.
const startPollInterval = 20 * time.Millisecond

// AgentExitError reports that an agent exited while it was starting.
type AgentExitError struct{ Agent string }

// Error names the agent.
func (e *AgentExitError) Error() string { return e.Agent + " exited unexpectedly; see its log" }

// start starts the process and waits until the agent responds to HTTP requests.
func (a *agentProcess) start(ctx context.Context) error {
	command := slices.Concat(a.command, []string{"--config", a.settingsFile})
	process, err := testbed.StartProcess(command, a.logFile)
	if err != nil {
		return fmt.Errorf("start %s: %w", a.settings.Agent, err)
	}
	a.process = process
	for !a.serves(ctx) {
		select {
		case <-process.Exited():
			return &AgentExitError{Agent: a.settings.Agent}
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(startPollInterval):
		}
	}
	return nil
}

// kill kills the process, if it was started, with a signal that it can't handle.
func (a *agentProcess) kill() {
	if a.process != nil {
		a.process.Kill()
	}
}

// forEachWorking calls a function concurrently for each agent that hasn't failed permanently. It
// returns the first error.
func forEachWorking(agents []*agentProcess, do func(a *agentProcess) error) error {
	var group errgroup.Group
	for _, a := range agents {
		if !a.failed.Load() {
			group.Go(func() error { return do(a) })
		}
	}
	return group.Wait()
}
