package distributionrun

import (
	"context"
	"fmt"
	"time"
)

// controlTimeout is for how long the controllers may take to do what is asked of them, also
// while the leader changes.
const controlTimeout = time.Minute

// waitPollInterval is the time between looks whether something is so.
const waitPollInterval = 50 * time.Millisecond

// TimeoutError says that something didn't become so in time.
type TimeoutError struct {
	After   time.Duration
	Problem string
}

// Error names the problem and the time.
func (e *TimeoutError) Error() string { return fmt.Sprintf("after %v: %s", e.After, e.Problem) }

// waitUntil polls until a condition holds. The problem is what a timeout is reported as.
func waitUntil(ctx context.Context, timeout time.Duration, problem string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return &TimeoutError{After: timeout, Problem: problem}
		}
		if err := sleep(ctx, waitPollInterval); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits, and returns the context's error if that ends before.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}
