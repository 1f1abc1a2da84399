package controller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// An operator lowers write_share and raises it again while a transaction of several pages waits for
// its retry, because the state service refuses writes for a moment. Once writes are accepted again,
// the leader must continue at once: submissions are accepted, and the write budget is never reported
// as stalled.
//
// This guards against a write budget that no longer fills
// (docs/incidents/2026-12-03-write-budget-never-fills.md). The change of the rate used the wall clock
// instead of the time of the step, which begins at zero when the process starts, so the time of the
// last refill lay decades ahead. The budget was then too small for the transaction, which blocked all
// other writes until a setting was changed again or the leader ended.
func TestWriteShareChangedWhileWritesWaitForRetry(t *testing.T) {
	w := newWorld(t)
	provisionIdleMachines(t, w)
	first := submitAfter(t, w, job(1, protocol.Array, 1), 3*time.Second)
	for i := range 8 { // all of them start at the same time, and each has a page of its own
		s := job(100+i, protocol.Array, 1)
		s.Class, s.CPUs = strings.Repeat("c", 1400), 0.5
		submitAfter(t, w, s, time.Second, first)
	}
	refused := rejectFirstLargeWrite(w)
	if !w.RunUntil(20*time.Second, func() bool { return *refused }) {
		t.Fatal("no write of several pages was sent")
	}
	w.Run(100 * time.Millisecond)
	changeWriteShare(w, 0.05)
	changeWriteShare(w, 0.95)
	w.Run(100 * time.Millisecond)
	w.State.RejectPageWrites = false
	later := w.Submit(job(200, protocol.Array, 1), time.Second)
	if !w.RunUntil(3*time.Second, func() bool { return later.Accepted }) {
		t.Error("a submission is not accepted although writes are accepted again")
	}
	w.Run(10 * time.Second)
	if logContains(w, "write budget stalled") {
		t.Error(logTail(w, 20))
	}
	runAndPoll(w, 20*time.Second)
	requireNoViolations(t, w)
}

// rejectFirstLargeWrite makes the state service refuse page writes as soon as a write of several pages
// is sent. It returns a flag that becomes true at that time.
func rejectFirstLargeWrite(w *fake.World) (rejected *bool) {
	rejected = new(bool)
	w.OnEffect = func(_ string, effect message.Effect) {
		call, isCall := effect.(message.StateCall)
		if isCall && len(call.Txn.Then) > 2 && !*rejected {
			*rejected, w.State.RejectPageWrites = true, true
		}
	}
	return rejected
}

// changeWriteShare sends an operator's change of write_share to n0 and doesn't wait for the response.
func changeWriteShare(w *fake.World, share float64) {
	request := message.AdminRequest{Kind: message.AdminChangeOptions, Body: fmt.Appendf(nil, `{"write_share": %v}`, share)}
	w.Controllers[0].Request(request, func(message.Reply) {})
}
