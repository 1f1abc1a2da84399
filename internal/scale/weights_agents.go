package scale

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/opencontainers/go-digest"
	"golang.org/x/sync/errgroup"

	"oakpick/internal/distribution/agent"
)

// agentProcess is a real agent.
type agentProcess struct {
	settings agent.Settings
	config   string // its file
	dir      string
	command  []string
	process  *process
	gone     atomic.Bool // killed or stopped for good: it need not be ready
	client   *http.Client
}

// newAgentProcess writes an agent's settings.
func newAgentProcess(command []string, dir string, s agent.Settings) (*agentProcess, error) {
	a := &agentProcess{settings: s, dir: dir, command: command, config: filepath.Join(dir, s.Agent+".toml"), client: &http.Client{}}
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(s); err != nil {
		return nil, err
	}
	return a, os.WriteFile(a.config, text.Bytes(), 0o600)
}

// start starts the process, and returns once it answers.
func (a *agentProcess) start(ctx context.Context) error {
	p, err := startProcess(append(a.command[:len(a.command):len(a.command)], "--config", a.config), filepath.Join(a.dir, a.settings.Agent+".log"))
	if err != nil {
		return err
	}
	if a.process != nil {
		p.spent = a.process.spent
	}
	a.process = p
	for {
		if res, err := a.client.Get("http://" + a.settings.Listen + "/healthz"); err == nil {
			res.Body.Close()
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("%s ended by itself, see its log", a.settings.Agent)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// kill ends the process, with no signal that it could handle.
func (a *agentProcess) kill() {
	if a.process != nil {
		a.process.kill()
	}
}

// stop has the process stand still without a word.
func (a *agentProcess) stop() { _ = a.process.cmd.Process.Signal(syscall.SIGSTOP) } // it may have ended

// active asks which manifest the agent serves a name from.
func (a *agentProcess) active(ctx context.Context, name string) digest.Digest {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+a.settings.Listen+agent.PathActive+name, nil)
	if err != nil {
		return ""
	}
	res, err := a.client.Do(req)
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	return digest.Digest(res.Header.Get(agent.HeaderManifest))
}

// sum reads all bytes that the agent serves.
func (a *agentProcess) sum(ctx context.Context, name string) (digest.Digest, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.settings.Listen+agent.PathActive+name, nil)
	if err != nil {
		return "", err
	}
	res, err := a.client.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return "", fmt.Errorf("%s: %s", a.settings.Agent, res.Status)
	}
	return digest.FromReader(res.Body)
}

// metrics reads what the agent counts, by the name and labels of each line.
func (a *agentProcess) metrics() (map[string]float64, error) {
	res, err := a.client.Get("http://" + a.settings.Listen + "/metrics")
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	out := map[string]float64{}
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if number, err := strconv.ParseFloat(value, 64); ok && err == nil {
			out[name] = number
		}
	}
	return out, lines.Err()
}

// each does something with all agents that are to be ready, at once.
func each(agents []*agentProcess, do func(a *agentProcess) error) error {
	var group errgroup.Group
	for _, a := range agents {
		if !a.gone.Load() {
			group.Go(func() error { return do(a) })
		}
	}
	return group.Wait()
}

// startProcess starts a program whose output goes to a file. It doesn't outlive this process,
// however that ends.
func startProcess(command []string, logFile string) (*process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // how it ended shows in killed, and in its log
		close(p.ended)
	}()
	return p, nil
}

// kill ends a process and waits until it has.
func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have ended already
	<-p.ended
}

// lastLine is the end of a log.
func lastLine(logFile string) string {
	text, err := os.ReadFile(logFile)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// errDiffers says that an agent serves other bytes than those of the version.
var errDiffers = errors.New("serves other bytes than the version's")
