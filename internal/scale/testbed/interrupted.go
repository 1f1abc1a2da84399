package testbed

import (
	"context"
	"errors"
)

// Interrupted tells whether a run ended because its context did, so that its report is partial
// but in order.
func Interrupted(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
