package daemon

import (
	"context"
	"errors"
	"time"

	"oakpick/internal/message"
)

// Why a request has no reply. Users are told the texts.
var (
	errQueueFull = errors.New("too busy")
	errNoReply   = errors.New("not decided in time")
)

// submit queues an event and waits for its reply, for timeout in all.
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

// enqueue queues an event that nobody waits for, unless the context ends before.
func enqueue[E any](ctx context.Context, queue chan<- E, event E) {
	select {
	case queue <- event:
	case <-ctx.Done():
	}
}

// pendingRequests are requests whose reply is awaited, by ID. Only one goroutine uses them.
type pendingRequests[R any] struct {
	byID   map[uint64]R
	lastID uint64
}

func newPendingRequests[R any]() *pendingRequests[R] {
	return &pendingRequests[R]{byID: map[uint64]R{}}
}

// add gives a request an ID, so that its reply finds the way back.
func (p *pendingRequests[R]) add(request R) (id uint64) {
	p.lastID++
	p.byID[p.lastID] = request
	return p.lastID
}

// take gives a request that is pending no longer; false: it wasn't any more.
func (p *pendingRequests[R]) take(id uint64) (request R, ok bool) {
	if request, ok = p.byID[id]; ok {
		delete(p.byID, id)
	}
	return request, ok
}
