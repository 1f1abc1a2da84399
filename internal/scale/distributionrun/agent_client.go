package distributionrun

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution/agent"
)

// agentMetrics are an agent's metrics, by the name and labels of each line.
type agentMetrics map[string]float64

// The metrics that reports are made of.
const (
	metricFromPeers    = `oakpick_agent_downloaded_bytes{from="peers"}`
	metricFromStore    = `oakpick_agent_downloaded_bytes{from="store"}`
	metricControlBytes = `oakpick_agent_control_bytes_total`
	metricMemory       = `process_resident_memory_bytes`
	metricCPUSeconds   = `process_cpu_seconds_total`
)

// AgentStatusError says that an agent answered with another status than 200.
type AgentStatusError struct {
	Agent  string
	Status string // with its text: "404 Not Found"
}

// Error names the agent and the status.
func (e *AgentStatusError) Error() string { return e.Agent + ": " + e.Status }

// activeTimeout is for how long an agent may take to tell what it serves.
const activeTimeout = time.Second

// do sends a request without a body. The caller closes the answer's body.
func (a *agentProcess) do(ctx context.Context, method, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+a.settings.Listen+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	return a.client.Do(request)
}

// serves tells whether the agent answers at all.
func (a *agentProcess) serves(ctx context.Context) bool {
	response, err := a.do(ctx, http.MethodGet, "/healthz")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // that there was an answer is enough
	return true
}

// activeManifest returns the manifest that the agent serves a name from; none if it doesn't
// tell.
func (a *agentProcess) activeManifest(ctx context.Context, name string) digest.Digest {
	ctx, cancel := context.WithTimeout(ctx, activeTimeout)
	defer cancel()
	response, err := a.do(ctx, http.MethodHead, agent.PathActive+name)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }() // it has none
	return digest.Digest(response.Header.Get(agent.HeaderManifest))
}

// contentDigest reads all bytes that the agent serves for a name.
func (a *agentProcess) contentDigest(ctx context.Context, name string) (digest.Digest, error) {
	response, err := a.do(ctx, http.MethodGet, agent.PathActive+name)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // all of it has been read, or that failed
	if response.StatusCode != http.StatusOK {
		return "", &AgentStatusError{Agent: a.settings.Agent, Status: response.Status}
	}
	return digest.FromReader(response.Body)
}

// readMetrics reads the agent's metrics.
func (a *agentProcess) readMetrics(ctx context.Context) (agentMetrics, error) {
	response, err := a.do(ctx, http.MethodGet, "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // all of it has been read, or that failed
	metrics := agentMetrics{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, found := strings.Cut(lines.Text(), " ")
		if number, err := strconv.ParseFloat(value, 64); found && err == nil {
			metrics[name] = number // other lines are comments
		}
	}
	if err := lines.Err(); err != nil {
		return metrics, fmt.Errorf("metrics of %s: %w", a.settings.Agent, err)
	}
	return metrics, nil
}
