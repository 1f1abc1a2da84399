package testbed

import (
	"context"
	"time"

	"oakpick/internal/fake"
)

// worldLoop is the goroutine that owns the simulated world. Code that reads or changes the world
// runs in functions that the loop calls.
type worldLoop struct {
	world   *fake.World
	calls   chan func()
	stopped chan struct{}
}

// maxQueuedCalls is the number of calls that can be queued for the loop before callers block.
const maxQueuedCalls = 4096

func newWorldLoop() *worldLoop {
	return &worldLoop{calls: make(chan func(), maxQueuedCalls), stopped: make(chan struct{})}
}

// run advances the world's clock in real time until the context ends.
func (l *worldLoop) run(ctx context.Context) {
	defer close(l.stopped)
	startedAt := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-l.calls:
			l.world.AdvanceTo(time.Since(startedAt))
			call()
		case <-timer.C:
			l.world.AdvanceTo(time.Since(startedAt))
		}
		timer.Reset(max(0, l.world.NextEventAt()-time.Since(startedAt)))
	}
}

// do queues a function for the loop. The function is dropped if the loop has stopped.
func (l *worldLoop) do(call func()) {
	select {
	case l.calls <- call:
	case <-l.stopped:
	}
}

// doAndWait queues a function and waits until it has been called or the loop has stopped.
func (l *worldLoop) doAndWait(call func()) {
	called := make(chan struct{})
	l.do(func() {
		call()
		close(called)
	})
	select {
	case <-called:
	case <-l.stopped:
	}
}

// callWorld passes a request to the world and waits for the result. It returns false if there was
// none within worldCallTimeout or the loop has stopped.
func callWorld[Result any](l *worldLoop, serve func(answer func(Result))) (Result, bool) {
	answers := make(chan Result, 1)
	l.do(func() { serve(func(result Result) { answers <- result }) })
	timer := time.NewTimer(worldCallTimeout)
	defer timer.Stop()
	select {
	case result := <-answers:
		return result, true
	case <-timer.C:
	case <-l.stopped:
	}
	var none Result
	return none, false
}

// worldCallTimeout limits how long a connection is held for a request without a result. The
// client times out long before.
const worldCallTimeout = 30 * time.Second
