package daemon

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"oakpick/internal/message"
)

func TestSubmitWaitsForTheReplyUntilItsTimeout(t *testing.T) {
	const timeout = time.Second
	for name, c := range map[string]struct {
		capacity int  // of the queue
		replied  bool // at half the timeout
		want     error
	}{
		"replied":    {capacity: 1, replied: true},
		"queue full": {capacity: 0, replied: true, want: errQueueFull},
		"no reply":   {capacity: 1, want: errNoReply},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replies := make(chan message.Reply, 1)
				if c.replied {
					time.AfterFunc(timeout/2, func() { replies <- message.Reply{Status: 200} })
				}
				startedAt := time.Now()
				reply, err := submit(make(chan int, c.capacity), 1, replies, timeout)
				if !errors.Is(err, c.want) || (err == nil) != (reply.Status == 200) {
					t.Errorf("got %+v, %v", reply, err)
				}
				if waited := time.Since(startedAt); waited > timeout || err != nil && waited < timeout {
					t.Errorf("returned after %v", waited)
				}
			})
		})
	}
}

func TestEnqueueEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	full := make(chan int)
	enqueue(ctx, full, 1) // blocks forever if the ended context is ignored
	queue := make(chan int, 1)
	enqueue(t.Context(), queue, 2)
	if got := <-queue; got != 2 {
		t.Errorf("queued %d", got)
	}
}

func TestPendingRequestIsTakenOnce(t *testing.T) {
	pending := newPendingRequests[string]()
	first, second := pending.add("first"), pending.add("second")
	if first == second {
		t.Fatalf("both have the ID %d", first)
	}
	if request, ok := pending.take(first); !ok || request != "first" {
		t.Errorf("took %q, %v", request, ok)
	}
	if request, ok := pending.take(first); ok {
		t.Errorf("took %q again", request)
	}
	if request, ok := pending.take(second); !ok || request != "second" {
		t.Errorf("took %q, %v", request, ok)
	}
}
