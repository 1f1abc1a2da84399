package testbed

import (
	"context"
	"testing"

	"oakpick/internal/config"
	"oakpick/internal/fake"
)

// startLoop starts a loop for a world without controllers. The loop runs until the context ends.
func startLoop(ctx context.Context) *worldLoop {
	loop := newWorldLoop()
	loop.world = fake.NewWithRemoteControllers(config.Settings{}, nil, nil, nil)
	go loop.run(ctx)
	return loop
}

func TestCallWorldReturnsAnswer(t *testing.T) {
	loop := startLoop(t.Context())
	if got, ok := callWorld(loop, func(answer func(int)) { answer(3) }); !ok || got != 3 {
		t.Errorf("got %d, ok: %v", got, ok)
	}
}

func TestStoppedLoopReleasesCallers(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	loop := startLoop(ctx)
	called := false
	loop.doAndWait(func() { called = true })
	if !called {
		t.Error("a running loop dropped a call")
	}
	stop()
	<-loop.stopped
	loop.doAndWait(func() { t.Error("a stopped loop called a function") })
	if _, ok := callWorld(loop, func(func(int)) {}); ok {
		t.Error("callWorld returned a result from a stopped loop")
	}
}
