package daemon

import (
	"context"
	"slices"
	"testing"
	"time"

	"oakpick/internal/message"
)

// When the event loop falls behind, polls that have already been refused are dropped. Requests
// that change something and results of effects are not.
func TestEventLoopDropsExpiredPolls(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	loop := &eventLoop{
		process: &process{ctx: ctx}, queue: make(chan queuedEvent, 8),
		pending: newPendingRequests[queuedEvent](), metrics: newMetrics(),
	}
	past, future := time.Now().Add(-time.Second), time.Now().Add(time.Hour)
	for _, event := range []queuedEvent{
		{event: message.UserRequest{Kind: message.Poll, Job: "old"}, deadline: past},
		{event: message.UserRequest{Kind: message.Submit, Job: "submitted"}, deadline: past},
		{event: message.UserRequest{Kind: message.Cancel, Job: "cancelled"}, deadline: past},
		{event: message.UserRequest{Kind: message.Poll, Job: "new"}, deadline: future},
		{event: message.CloudResult{ID: 7}},
	} {
		loop.queue <- event
	}
	events, open := loop.nextBatch(nil, nil)
	var jobs []string
	for _, event := range events {
		if request, ok := event.(message.UserRequest); ok {
			jobs = append(jobs, request.Job)
		}
	}
	if !open || len(events) != 4 || !slices.Equal(jobs, []string{"submitted", "cancelled", "new"}) {
		t.Errorf("open %t, %d events, of jobs %v", open, len(events), jobs)
	}
	if n := loop.metrics.expiredPolls.Load(); n != 1 {
		t.Errorf("%d polls dropped", n)
	}
	cancel()
	if _, open := loop.nextBatch(nil, nil); open {
		t.Error("open after the context has ended")
	}
}
