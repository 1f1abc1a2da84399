package distributionrun

import (
	"context"
	"errors"
	"testing"
	"time"
)

func TestWaitUntil(t *testing.T) {
	const short = 10 * time.Millisecond
	never := func() bool { return false }
	t.Run("condition holds", func(t *testing.T) {
		if err := waitUntil(t.Context(), short, "it doesn't hold", func() bool { return true }); err != nil {
			t.Error(err)
		}
	})
	t.Run("timeout", func(t *testing.T) {
		var timeout *TimeoutError
		if err := waitUntil(t.Context(), short, "it doesn't hold", never); !errors.As(err, &timeout) || err.Error() != "after 10ms: it doesn't hold" {
			t.Errorf("error is %v, want a TimeoutError", err)
		}
	})
	t.Run("context ends", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := waitUntil(ctx, time.Hour, "it doesn't hold", never); !errors.Is(err, context.Canceled) {
			t.Errorf("error is %v, want context.Canceled", err)
		}
	})
}
