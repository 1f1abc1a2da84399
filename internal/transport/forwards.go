package transport

import (
	"context"
	"errors"
	"sync"
)

// ErrLeaderChanged is the cause with which a forwarded request ends early: another
// controller leads by now, and the request is better put to that one.
var ErrLeaderChanged = errors.New("another controller leads")

// Forwards are the users' requests that are with other controllers. One that stands still
// takes requests and answers none; whoever waits for it need not wait any longer than
// until another leads.
type Forwards struct {
	mu   sync.Mutex
	next uint64
	out  map[uint64]forward
}

type forward struct {
	peer string
	end  context.CancelCauseFunc
}

// NewForwards makes an empty set.
func NewForwards() *Forwards { return &Forwards{out: map[uint64]forward{}} }

// Begin notes that a request goes to a peer. The context that it gives ends with
// ErrLeaderChanged as its cause if another is found to lead; done is to be called when
// the request is over.
func (f *Forwards) Begin(ctx context.Context, peer string) (_ context.Context, done func()) {
	ctx, end := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	id := f.next
	f.out[id] = forward{peer, end}
	return ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.out, id)
		end(nil)
	}
}

// LeaderIs ends the requests that are with any other controller.
func (f *Forwards) LeaderIs(leader string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.out {
		if w.peer != leader {
			w.end(ErrLeaderChanged)
		}
	}
}
