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

// trackerClient reports to the tracker that answered last, or if it fails, to the next one.
type trackerClient struct {
	http     *http.Client
	trackers []string // addresses
	current  int      // index in trackers; at most one report is under way at a time
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

// refusedError says that a tracker answered, but not with what was asked for.
type refusedError struct {
	tracker    string
	status     int
	retryAfter time.Duration
}

// Error returns the tracker and the status.
func (e *refusedError) Error() string {
	return fmt.Sprintf("tracker %s refused the inventory: status %d", e.tracker, e.status)
}

// report sends an inventory to one tracker after another until one answers.
func (t *trackerClient) report(ctx context.Context, inventory distribution.Inventory) Event {
	body, err := json.Marshal(inventory)
	if err != nil {
		return TrackerFailed{}
	}
	var failed TrackerFailed
	for range t.trackers {
		answer, err := t.send(ctx, t.trackers[t.current], body)
		if err == nil {
			return TrackerAnswered{answer}
		}
		// The reason isn't logged: the agent goes on with what it knows, and while a tracker is
		// down every agent would log it with every report.
		var refused *refusedError
		if errors.As(err, &refused) {
			failed.RetryAfter = max(failed.RetryAfter, refused.retryAfter)
		}
		t.current = (t.current + 1) % len(t.trackers)
	}
	return failed
}

// send posts an encoded inventory to one tracker and decodes the answer.
func (t *trackerClient) send(ctx context.Context, tracker string, body []byte) (distribution.InventoryResponse, error) {
	var answer distribution.InventoryResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+tracker+distribution.PathInventory, bytes.NewReader(body))
	if err != nil {
		return answer, fmt.Errorf("tracker %s: %w", tracker, err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := t.http.Do(req)
	if err != nil {
		return answer, fmt.Errorf("tracker %s: %w", tracker, err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, distribution.MaxMessageBytes+1))
	if err != nil || len(text) > distribution.MaxMessageBytes || res.StatusCode != http.StatusOK {
		return answer, &refusedError{tracker: tracker, status: res.StatusCode, retryAfter: retryAfter(res)}
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return answer, fmt.Errorf("tracker %s: answer: %w", tracker, err)
	}
	return answer, nil
}

// retryAfter returns the pause that an answer asks for, or 0 if it names none.
func retryAfter(res *http.Response) time.Duration {
	seconds, err := strconv.Atoi(res.Header.Get("Retry-After"))
	if err != nil {
		return 0 // there is none, or it is a date, which controllers don't send
	}
	return time.Duration(seconds) * time.Second
}
