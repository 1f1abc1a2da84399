package daemon

import (
	"context"
	"errors"
	"time"

	"oakpick/internal/message"
)

// Reasons why a request gets no reply. The texts are part of the responses to the senders.
var (
	errQueueFull = errors.New("too busy")
	errNoReply   = errors.New("not decided in time")
)

// submit queues an event and waits for its reply. The timeout covers both.
func submit[E any](queue chan<- E, event E, replies <-chan message.Reply, timeout time.Duration) (message.Reply, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case queue <- event:
	case <-timer.C:
		return message.Reply{}, errQueueFull
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-timer.C:
		return message.Reply{}, errNoReply
	}
}

// enqueue queues an event without waiting for a reply. It gives up when the context ends.
func enqueue[E any](ctx context.Context, queue chan<- E, event E) {
	select {
	case queue <- event:
	case <-ctx.Done():
	}
}

// pendingRequests holds the requests that wait for a reply, by ID. It isn't safe for concurrent
// use.
type pendingRequests[R any] struct {
	byID   map[uint64]R
	lastID uint64
}

func newPendingRequests[R any]() *pendingRequests[R] {
	return &pendingRequests[R]{byID: map[uint64]R{}}
}

// add stores a request under a new ID. The reply carries the same ID.
func (p *pendingRequests[R]) add(request R) (id uint64) {
	p.lastID++
	p.byID[p.lastID] = request
	return p.lastID
}

// take removes and returns a pending request; ok is false if it isn't pending.
func (p *pendingRequests[R]) take(id uint64) (request R, ok bool) {
	if request, ok = p.byID[id]; ok {
		delete(p.byID, id)
	}
	return request, ok
}
