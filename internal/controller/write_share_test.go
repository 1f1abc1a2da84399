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

// An operator lowers write_share and raises it again while a transaction of several pages waits
// for its retry, since the state service refuses writes for a moment. Once it takes them again, the
// leader goes on at once: submissions are accepted, and the write budget is never called stalled.
//
// What happened: Store.SetWriteRate read the clock of the process, where everything else is given
// the step's time, which begins with the process. The budget's last fill then lay decades ahead, so
// nothing flowed in; what the lowered capacity had left was too little for the transaction, which
// keeps all others waiting. No submission was accepted until somebody changed a setting again or
// the leader ended. The line that showed it: "write budget stalled waited_s 2.002 fill 0.053
// keys_per_s 38"; write_budget_waits_s in /admin/status grows by a second each second.
func TestWriteShareChangedWhileWritesWaitForRetry(t *testing.T) {
	w := newWorld(t)
	provisionIdleMachines(t, w)
	first := submitAfter(t, w, job(1, protocol.Array, 1), 3*time.Second)
	for i := range 8 { // all of them begin at the same time, each on a page of its own
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
	w.State.RejectWrites = false
	later := w.Submit(job(200, protocol.Array, 1), time.Second)
	if !w.RunUntil(3*time.Second, func() bool { return later.Accepted }) {
		t.Error("a submission is not accepted, though writes are taken again")
	}
	w.Run(10 * time.Second)
	if logContains(w, "write budget stalled") {
		t.Error(logTail(w, 20))
	}
	runAndPoll(w, 20*time.Second)
	requireNoViolations(t, w)
}

// rejectFirstLargeWrite has the state service refuse writes as soon as one of several pages is
// sent, and tells when.
func rejectFirstLargeWrite(w *fake.World) (rejected *bool) {
	rejected = new(bool)
	w.OnEffect = func(_ string, effect message.Effect) {
		call, isCall := effect.(message.StateCall)
		if isCall && len(call.Txn.Then) > 2 && !*rejected {
			*rejected, w.State.RejectWrites = true, true
		}
	}
	return rejected
}

// changeWriteShare has an operator change write_share at n0, and doesn't wait for the answer.
func changeWriteShare(w *fake.World, share float64) {
	request := message.AdminRequest{Kind: message.AdminChangeOptions, Body: fmt.Appendf(nil, `{"write_share": %v}`, share)}
	w.Controllers[0].Request(request, func(message.Reply) {})
}
