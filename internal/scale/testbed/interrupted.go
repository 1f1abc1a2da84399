package testbed

import (
	"context"
	"errors"
)

// Interrupted reports whether a run ended because its context was cancelled or timed out. The
// report of such a run is partial but valid.
func Interrupted(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
