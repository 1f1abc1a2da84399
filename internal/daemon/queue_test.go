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
	d := &daemon{queue: make(chan item, 8), waits: map[uint64]waiter{}, metrics: newMetrics(), ctx: ctx}
	past, ahead := time.Now().Add(-time.Second), time.Now().Add(time.Hour)
	for _, it := range []item{
		{command: message.UserRequest{Kind: message.Poll, Job: "old"}, until: past},
		{command: message.UserRequest{Kind: message.Submit, Job: "submitted"}, until: past},
		{command: message.UserRequest{Kind: message.Cancel, Job: "cancelled"}, until: past},
		{command: message.UserRequest{Kind: message.Poll, Job: "new"}, until: ahead},
		{command: message.CloudResult{ID: 7}},
	} {
		d.queue <- it
	}
	commands, open := d.next(nil, nil)
	var jobs []string
	for _, c := range commands {
		if call, ok := c.(message.UserRequest); ok {
			jobs = append(jobs, call.Job)
		}
	}
	if !open || len(commands) != 4 || len(jobs) != 3 || jobs[0] != "submitted" || jobs[1] != "cancelled" || jobs[2] != "new" {
		t.Errorf("open %t, %d commands, of users %v", open, len(commands), jobs)
	}
	if n := d.metrics.outlived.Load(); n != 1 {
		t.Errorf("%d questions dropped", n)
	}
	cancel()
	if _, open := d.next(nil, nil); open {
		t.Error("open after the end")
	}
}
