package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// NoLeader is the result of Leader if no controller is the leader.
const NoLeader = -1

// Leader returns the number of the first controller that reports the leader role, or NoLeader.
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

// HandledMessages returns the number of messages that a controller's process has handled since it
// started, by kind. The map is empty if the controller doesn't respond.
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

// SettingsError is a response other than 200 to a settings change.
type SettingsError struct {
	Status int
	Body   string
}

func (e *SettingsError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// ChangeSettings sends a controller a patch of the settings that operators may change; a follower
// forwards it to the leader. ChangeSettings returns nil only if the change is durable.
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
	defer func() { _ = response.Body.Close() }() // the whole body has been read
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return &SettingsError{response.StatusCode, strings.TrimSpace(string(body))}
	}
	return nil
}

// Healthy reports whether a controller passes the load balancer's health check.
func (c *Controllers) Healthy(ctx context.Context, controller int) bool {
	_, ok := c.get(ctx, "http://"+c.addresses.API(controller)+"/healthz")
	return ok
}

// queryAdmin sends a GET request to a controller's administration API and decodes the response
// into answer. It returns false if there was no valid response.
func (c *Controllers) queryAdmin(ctx context.Context, controller int, path string, answer any) bool {
	body, ok := c.get(ctx, "http://"+c.addresses.Peer(controller)+path)
	return ok && json.Unmarshal(body, answer) == nil
}

// get returns the body of a response with status 200, or false if there was none. The cause is not
// returned: controllers are killed on purpose, so failures are expected.
func (c *Controllers) get(ctx context.Context, url string) ([]byte, bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, false
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, false
	}
	defer func() { _ = response.Body.Close() }() // the whole body has been read
	body, err := io.ReadAll(response.Body)
	return body, err == nil && response.StatusCode == http.StatusOK
}
