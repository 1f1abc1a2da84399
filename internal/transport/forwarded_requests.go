package transport

import (
	"context"
	"errors"
	"sync"
)

// ErrLeaderChanged is the cause with which a forwarded request ends early: another
// controller leads by now, and the request is better put to that one.
var ErrLeaderChanged = errors.New("another controller leads")

// ForwardedRequests are the users' requests that are in flight to other controllers. A peer that
// is paused takes requests and answers none; nobody has to wait for it any longer than until
// another controller leads.
type ForwardedRequests struct {
	mu       sync.Mutex
	lastID   uint64
	inFlight map[uint64]forwardedRequest
}

type forwardedRequest struct {
	peer   string
	cancel context.CancelCauseFunc
}

// NewForwardedRequests makes an empty set.
func NewForwardedRequests() *ForwardedRequests {
	return &ForwardedRequests{inFlight: map[uint64]forwardedRequest{}}
}

// Track notes that a request goes to a peer. The context that it gives ends with
// ErrLeaderChanged as its cause if another is found to lead; done has to be called when
// the request is over.
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

// CancelExcept ends the requests that are in flight to any controller but the leader.
func (f *ForwardedRequests) CancelExcept(leader string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, request := range f.inFlight {
		if request.peer != leader {
			request.cancel(ErrLeaderChanged)
		}
	}
}
