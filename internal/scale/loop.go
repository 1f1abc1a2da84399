package scale

import (
	"context"
	"time"

	"oakpick/internal/fake"
)

// loop owns the world: everything that touches it is a function that the loop calls.
type loop struct {
	world *fake.World
	calls chan func()
	began time.Time
	over  chan struct{}
}

const callsWaiting = 4096

func newLoop() *loop {
	return &loop{calls: make(chan func(), callsWaiting), over: make(chan struct{})}
}

// run lets the world's time pass as the clock's does, until the context ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.over)
	l.began = time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-l.calls:
			l.world.Advance(time.Since(l.began))
			call()
		case <-timer.C:
			l.world.Advance(time.Since(l.began))
		}
		timer.Reset(max(0, l.world.NextEventAt()-time.Since(l.began)))
	}
}

// do has a function called by the owner, if the loop still runs.
func (l *loop) do(call func()) {
	select {
	case l.calls <- call:
	case <-l.over:
	}
}

// wait is do, and returns once the function has been called.
func (l *loop) wait(call func()) {
	done := make(chan struct{})
	l.do(func() {
		call()
		close(done)
	})
	select {
	case <-done:
	case <-l.over:
	}
}
