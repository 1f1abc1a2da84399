package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// NoLeader is what Leader returns if no controller leads.
const NoLeader = -1

// Leader returns the number of the controller that says it leads, or NoLeader.
func (c *Controllers) Leader(ctx context.Context) int {
	for controller := range c.processes {
		var status struct {
			Role string `json:"role"`
		}
		if c.queryAdmin(ctx, controller, "/admin/status", &status) && status.Role == "leader" {
			return controller
		}
	}
	return NoLeader
}

// HandledMessages returns how many messages of each kind a controller's process has handled
// since it started; none if it doesn't answer.
func (c *Controllers) HandledMessages(ctx context.Context, controller int) map[string]int64 {
	var metrics struct {
		Latency map[string]struct {
			Count int64 `json:"count"`
		} `json:"latency"`
	}
	handled := map[string]int64{}
	if c.queryAdmin(ctx, controller, "/admin/metrics", &metrics) {
		for kind, latency := range metrics.Latency {
			handled[kind] = latency.Count
		}
	}
	return handled
}

// SettingsError is an answer to a change of settings other than 200.
type SettingsError struct {
	Status int
	Body   string
}

func (e *SettingsError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// ChangeSettings has a controller change what operators may change; a follower asks the leader.
// It returns once the change is durable, an error otherwise.
func (c *Controllers) ChangeSettings(ctx context.Context, controller int, patch string) error {
	url := "http://" + c.addresses.Peer(controller) + "/admin/settings"
	request, err := http.NewRequestWithContext(ctx, http.MethodPatch, url, strings.NewReader(patch))
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // all of it has been read
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return &SettingsError{response.StatusCode, strings.TrimSpace(string(body))}
	}
	return nil
}

// Healthy tells whether a controller passes the load balancer's health check.
func (c *Controllers) Healthy(ctx context.Context, controller int) bool {
	_, ok := c.get(ctx, "http://"+c.addresses.API(controller)+"/healthz")
	return ok
}

// queryAdmin decodes an answer of a controller's administration API; false: there was none.
func (c *Controllers) queryAdmin(ctx context.Context, controller int, path string, answer any) bool {
	body, ok := c.get(ctx, "http://"+c.addresses.Peer(controller)+path)
	return ok && json.Unmarshal(body, answer) == nil
}

// get returns the body of an answer with status 200; false: there was none. Why doesn't matter
// here: controllers are killed on purpose.
func (c *Controllers) get(ctx context.Context, url string) ([]byte, bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, false
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, false
	}
	defer func() { _ = response.Body.Close() }() // all of it has been read
	body, err := io.ReadAll(response.Body)
	return body, err == nil && response.StatusCode == http.StatusOK
}
