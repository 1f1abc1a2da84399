package transport

import (
	"context"
	"errors"
	"sync"
)

// ErrLeaderChanged is the cause with which a forwarded request is cancelled when another
// controller becomes the leader. The request should then be sent to the new leader.
var ErrLeaderChanged = errors.New("another controller leads")

// ForwardedRequests tracks the requests that are in flight to other controllers. A paused peer
// accepts requests but doesn't answer them; tracking allows cancelling them as soon as another
// controller leads.
type ForwardedRequests struct {
	mu       sync.Mutex
	lastID   uint64
	inFlight map[uint64]forwardedRequest
}

type forwardedRequest struct {
	peer   string
	cancel context.CancelCauseFunc
}

// NewForwardedRequests creates an empty set.
func NewForwardedRequests() *ForwardedRequests {
	return &ForwardedRequests{inFlight: map[uint64]forwardedRequest{}}
}

// Track records a request that is forwarded to a peer. The returned context is cancelled, with
// ErrLeaderChanged as its cause, when another controller is found to lead. The caller must call
// done when the request has ended.
func (f *ForwardedRequests) Track(ctx context.Context, peer string) (_ context.Context, done func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	id := f.lastID
	f.inFlight[id] = forwardedRequest{peer, cancel}
	return ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.inFlight, id)
		cancel(nil)
	}
}

// CancelExcept cancels the requests in flight to controllers other than the leader.
func (f *ForwardedRequests) CancelExcept(leader string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, request := range f.inFlight {
		if request.peer != leader {
			request.cancel(ErrLeaderChanged)
		}
	}
}
