package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/registry"
)

// trackerClient sends reports to the tracker that accepted the last one. If that tracker fails, it
// tries the others in turn.
type trackerClient struct {
	http     *http.Client
	trackers []string // addresses
	current  int      // index in trackers; needs no lock, since at most one report is in flight
}

func newTrackerClient(trackers []string, timeout time.Duration, count func(bytes int)) *trackerClient {
	dialer := &net.Dialer{Timeout: timeout}
	transport := &http.Transport{
		DialContext:         registry.CountingDial(dialer.DialContext, count),
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeoutFactor * timeout,
		DisableCompression:  true,
	}
	return &trackerClient{http: &http.Client{Timeout: timeout, Transport: transport}, trackers: trackers}
}

// refusedError means that a tracker responded with an error status, or with a body that is too long
// or can't be read.
type refusedError struct {
	tracker    string
	status     int
	retryAfter time.Duration
}

// Error returns the tracker and the status.
func (e *refusedError) Error() string {
	return fmt.Sprintf("tracker %s refused the inventory: status %d", e.tracker, e.status)
}

// report sends an inventory to one tracker after another until one accepts it.
func (t *trackerClient) report(ctx context.Context, inventory distribution.Inventory) Event {
	body, err := json.Marshal(inventory)
	if err != nil {
		return TrackerFailed{}
	}
	var failed TrackerFailed
	for range t.trackers {
		response, err := t.send(ctx, t.trackers[t.current], body)
		if err == nil {
			return TrackerResponse{response}
		}
		// The error isn't logged: the agent continues with its last known state, and during an outage
		// of a tracker every agent would log the error with every report.
		var refused *refusedError
		if errors.As(err, &refused) {
			failed.RetryAfter = max(failed.RetryAfter, refused.retryAfter)
		}
		t.current = (t.current + 1) % len(t.trackers)
	}
	return failed
}

// send posts an encoded inventory to one tracker and decodes the response.
func (t *trackerClient) send(ctx context.Context, tracker string, body []byte) (distribution.InventoryResponse, error) {
	var response distribution.InventoryResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+tracker+distribution.PathInventory, bytes.NewReader(body))
	if err != nil {
		return response, fmt.Errorf("tracker %s: %w", tracker, err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := t.http.Do(req)
	if err != nil {
		return response, fmt.Errorf("tracker %s: %w", tracker, err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(io.LimitReader(res.Body, distribution.MaxMessageBytes+1))
	if err != nil || len(data) > distribution.MaxMessageBytes || res.StatusCode != http.StatusOK {
		return response, &refusedError{tracker: tracker, status: res.StatusCode, retryAfter: retryAfter(res)}
	}
	if err := json.Unmarshal(data, &response); err != nil {
		return response, fmt.Errorf("tracker %s: decode response: %w", tracker, err)
	}
	return response, nil
}

// retryAfter returns the delay that a response requests in Retry-After, or 0 if it requests none.
func retryAfter(res *http.Response) time.Duration {
	seconds, err := strconv.Atoi(res.Header.Get("Retry-After"))
	if err != nil {
		return 0 // the header is missing or is a date, which controllers don't send
	}
	return time.Duration(seconds) * time.Second
}
