package daemon

import (
	"context"
	"testing"
	"time"

	"oakpick/internal/message"
)

// The owner wakes to a full queue. Questions whose users have been told to come back are
// dropped; what changes something, and answers of other components, are not.
func TestOwnerDropsQuestionsThatAreOutlived(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	d := &daemon{queue: make(chan queuedEvent, 8), pending: map[uint64]pendingRequest{}, metrics: newMetrics(), ctx: ctx}
	past, ahead := time.Now().Add(-time.Second), time.Now().Add(time.Hour)
	for _, it := range []queuedEvent{
		{event: message.UserRequest{Kind: message.Poll, Job: "old"}, deadline: past},
		{event: message.UserRequest{Kind: message.Submit, Job: "submitted"}, deadline: past},
		{event: message.UserRequest{Kind: message.Cancel, Job: "cancelled"}, deadline: past},
		{event: message.UserRequest{Kind: message.Poll, Job: "new"}, deadline: ahead},
		{event: message.CloudResult{ID: 7}},
	} {
		d.queue <- it
	}
	commands, open := d.nextBatch(nil, nil)
	var jobs []string
	for _, c := range commands {
		if call, ok := c.(message.UserRequest); ok {
			jobs = append(jobs, call.Job)
		}
	}
	if !open || len(commands) != 4 || len(jobs) != 3 || jobs[0] != "submitted" || jobs[1] != "cancelled" || jobs[2] != "new" {
		t.Errorf("open %t, %d commands, of users %v", open, len(commands), jobs)
	}
	if n := d.metrics.expired.Load(); n != 1 {
		t.Errorf("%d questions dropped", n)
	}
	cancel()
	if _, open := d.nextBatch(nil, nil); open {
		t.Error("open after the end")
	}
}
