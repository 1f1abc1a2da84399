package transport

import (
	"context"
	"errors"
	"testing"
)

// Requests are in flight to a leader that is paused when another is found to lead: they end, and
// say why. Those that are with the new leader, or are over, are left alone.
func TestForwardedRequestsEndWhenAnotherLeads(t *testing.T) {
	forwarded := NewForwardedRequests()
	old, endOld := forwarded.Track(t.Context(), "a")
	defer endOld()
	fresh, endFresh := forwarded.Track(t.Context(), "b")
	defer endFresh()
	over, endOver := forwarded.Track(t.Context(), "a")
	endOver()
	forwarded.CancelExcept("b")
	if !errors.Is(context.Cause(old), ErrLeaderChanged) {
		t.Errorf("the request to the old leader ends with %v", context.Cause(old))
	}
	if err := fresh.Err(); err != nil {
		t.Errorf("the request to the new leader ends with %v", err)
	}
	if err := context.Cause(over); errors.Is(err, ErrLeaderChanged) {
		t.Errorf("the request that was over ends with %v", err)
	}
}
