package transport

import (
	"context"
	"errors"
	"testing"
)

// A leader is paused while requests are in flight to it. Once another controller is found to lead,
// these requests are cancelled with ErrLeaderChanged. Requests to the new leader and completed
// requests are unaffected.
func TestForwardedRequestsAreCancelledWhenLeaderChanges(t *testing.T) {
	forwarded := NewForwardedRequests()
	old, endOld := forwarded.Track(t.Context(), "a")
	defer endOld()
	current, endCurrent := forwarded.Track(t.Context(), "b")
	defer endCurrent()
	completed, endCompleted := forwarded.Track(t.Context(), "a")
	endCompleted()
	forwarded.CancelExcept("b")
	if !errors.Is(context.Cause(old), ErrLeaderChanged) {
		t.Errorf("the request to the old leader ends with %v", context.Cause(old))
	}
	if err := current.Err(); err != nil {
		t.Errorf("the request to the new leader ends with %v", err)
	}
	if err := context.Cause(completed); errors.Is(err, ErrLeaderChanged) {
		t.Errorf("the completed request ends with %v", err)
	}
}
