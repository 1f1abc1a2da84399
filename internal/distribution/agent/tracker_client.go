package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/registry"
)

// trackerClient reports to the controllers: to the one that answered last, or the next.
type trackerClient struct {
	http     *http.Client
	trackers []string
	at       int // the owner's; one report is under way at a time
}

func newTrackerClient(trackers []string, wait time.Duration, count func(bytes int)) *trackerClient {
	dialer := &net.Dialer{Timeout: wait}
	transport := &http.Transport{DialContext: registry.CountedDial(dialer.DialContext, count), MaxIdleConnsPerHost: 1, IdleConnTimeout: idleShare * wait, DisableCompression: true}
	return &trackerClient{http: &http.Client{Timeout: wait, Transport: transport}, trackers: trackers}
}

// report sends an inventory to one controller after another until one answers.
func (t *trackerClient) report(ctx context.Context, inventory distribution.Inventory) Event {
	body, err := json.Marshal(inventory)
	if err != nil {
		return TrackerFailed{}
	}
	failed := TrackerFailed{}
	for range t.trackers {
		answer, retryAfter, ok := t.ask(ctx, t.trackers[t.at], body)
		if ok {
			return TrackerAnswered{answer}
		}
		failed.RetryAfter = max(failed.RetryAfter, retryAfter)
		t.at = (t.at + 1) % len(t.trackers)
	}
	return failed
}

func (t *trackerClient) ask(ctx context.Context, tracker string, body []byte) (answer distribution.Answer, retryAfter time.Duration, ok bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+tracker+distribution.PathInventory, bytes.NewReader(body))
	if err != nil {
		return answer, 0, false
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := t.http.Do(req)
	if err != nil {
		return answer, 0, false
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, distribution.MaxMessageBytes+1))
	if err != nil || len(text) > distribution.MaxMessageBytes || res.StatusCode != http.StatusOK {
		seconds, err := strconv.Atoi(res.Header.Get("Retry-After"))
		if err != nil {
			return answer, 0, false
		}
		return answer, time.Duration(seconds) * time.Second, false
	}
	return answer, 0, json.Unmarshal(text, &answer) == nil
}
