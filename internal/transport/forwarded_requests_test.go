package transport

import (
	"context"
	"errors"
	"testing"
)

// Requests are with a leader that stands still when another is found to lead: they end, and
// say why. Those that are with the new leader, or are over, are left alone.
func TestForwardsEndWhenAnotherLeads(t *testing.T) {
	f := NewForwardedRequests()
	old, endOld := f.Begin(t.Context(), "a")
	defer endOld()
	fresh, endFresh := f.Begin(t.Context(), "b")
	defer endFresh()
	over, endOver := f.Begin(t.Context(), "a")
	endOver()
	f.CancelExcept("b")
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
