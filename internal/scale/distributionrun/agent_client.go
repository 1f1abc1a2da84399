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

// agentMetrics holds the values of an agent's metrics by name and labels.
type agentMetrics map[string]float64

// Metrics that reports use.
const (
	metricFromPeers    = `oakpick_agent_downloaded_bytes{from="peers"}`
	metricFromStore    = `oakpick_agent_downloaded_bytes{from="store"}`
	metricControlBytes = `oakpick_agent_control_bytes_total`
	metricMemory       = `process_resident_memory_bytes`
	metricCPUSeconds   = `process_cpu_seconds_total`
)

// AgentStatusError reports that an agent responded with a status other than 200.
type AgentStatusError struct {
	Agent  string
	Status string // with its text: "404 Not Found"
}

// Error names the agent and the status.
func (e *AgentStatusError) Error() string { return e.Agent + ": " + e.Status }

// activeTimeout is the timeout of a request for an agent's active manifest.
const activeTimeout = time.Second

// do sends a request without a body. The caller closes the response's body.
func (a *agentProcess) do(ctx context.Context, method, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+a.settings.Listen+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	return a.client.Do(request)
}

// serves reports whether the agent responds to HTTP requests.
func (a *agentProcess) serves(ctx context.Context) bool {
	response, err := a.do(ctx, http.MethodGet, "/healthz")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // a response of any kind is sufficient
	return true
}

// activeManifest returns the digest of the manifest that the agent serves under a name, or "" if
// the agent doesn't report one.
func (a *agentProcess) activeManifest(ctx context.Context, name string) digest.Digest {
	ctx, cancel := context.WithTimeout(ctx, activeTimeout)
	defer cancel()
	response, err := a.do(ctx, http.MethodHead, agent.PathActive+name)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }() // a response to HEAD has no body
	return digest.Digest(response.Header.Get(agent.HeaderManifest))
}

// contentDigest reads the content that the agent serves under a name and returns its digest.
func (a *agentProcess) contentDigest(ctx context.Context, name string) (digest.Digest, error) {
	response, err := a.do(ctx, http.MethodGet, agent.PathActive+name)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }() // nothing more is read, so an error of Close doesn't matter
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
	defer func() { _ = response.Body.Close() }() // nothing more is read, so an error of Close doesn't matter
	metrics := agentMetrics{}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, found := strings.Cut(lines.Text(), " ")
		if number, err := strconv.ParseFloat(value, 64); found && err == nil {
			metrics[name] = number // lines without a number are comments
		}
	}
	if err := lines.Err(); err != nil {
		return metrics, fmt.Errorf("read metrics of %s: %w", a.settings.Agent, err)
	}
	return metrics, nil
}
