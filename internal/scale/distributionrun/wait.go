package distributionrun

import (
	"context"
	"fmt"
	"time"
)

// controlTimeout is the time within which the controllers have to complete a request, including a
// change of leader.
const controlTimeout = time.Minute

// waitPollInterval is the interval between checks of a condition.
const waitPollInterval = 50 * time.Millisecond

// TimeoutError reports that a condition didn't hold in time.
type TimeoutError struct {
	After   time.Duration
	Problem string
}

// Error names the problem and the time.
func (e *TimeoutError) Error() string { return fmt.Sprintf("after %v: %s", e.After, e.Problem) }

// waitUntil polls until a condition holds. After the timeout it returns a TimeoutError with the
// given problem.
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

// sleep waits for a duration. It returns the context's error if the context ends earlier.
func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}
