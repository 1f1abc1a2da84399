package controller

import (
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// writer sends a leader's transactions to the state service and finds out how they ended.
type writer struct {
	controller *Controller
	store      *storage.Store
	// stallLogged is whether the present stall of the write budget is logged.
	stallLogged bool
}

// flush sends what may be written now. While the fencing token is being advanced nothing is:
// it is conditional on the token.
func (w *writer) flush() {
	c := w.controller
	for !c.elector.AdvancingToken() && c.elector.HoldsLease() {
		write := w.store.NextWrite(c.context.Monotonic(), c.elector.TermCondition(), !c.elector.AwaitsWrites())
		if write == nil {
			w.logStall()
			return
		}
		w.send(write)
	}
}

// logStall logs that a write waits for the budget for longer than its rate explains, once until
// writes go on.
func (w *writer) logStall() {
	now := w.controller.context.Monotonic()
	stalled := w.store.WriteBudgetStalled(now)
	if stalled && !w.stallLogged {
		budget := w.store.WriteBudget(now)
		w.controller.context.Log(message.Error, "write budget stalled", "waited_s", budget.WaitingFor.Seconds(),
			"fill", budget.Fill, "keys_per_s", budget.KeysPerS)
	}
	w.stallLogged = stalled
}

// send sends a transaction.
func (w *writer) send(write *storage.Write) {
	w.controller.context.Stats.Writes++
	w.controller.calls.Send(storage.StateCall{Op: storage.StateTxn, Txn: write.Txn}, func(result storage.StateResult) {
		w.handleResult(write, result)
	})
}

func (w *writer) handleResult(write *storage.Write, result storage.StateResult) {
	switch result.Outcome {
	case rpc.OK:
		w.store.MarkCommitted(write, result.Revision)
	case rpc.Conflict, rpc.Invalid:
		// An earlier copy may have been committed: the page tells by the write's id.
		write.Rejected = result.Outcome == rpc.Invalid
		w.check(write)
	default:
		w.controller.context.Stats.WritesRetried++
		w.store.RetryLater(w.controller.context.Monotonic(), write)
	}
}

// check reads a page of a write, to find out whether the write was committed.
func (w *writer) check(write *storage.Write) {
	w.controller.calls.Send(storage.StateCall{Op: storage.StateGet, Key: write.CommitCheckKey()}, func(result storage.StateResult) {
		w.checked(write, result)
	})
}

func (w *writer) checked(write *storage.Write, result storage.StateResult) {
	if result.Outcome != rpc.OK && result.Outcome != rpc.NotFound {
		w.check(write)
		return
	}
	var page storage.PageValue
	if result.Outcome == rpc.OK && protocol.Decode(result.Entry.Value, &page) == nil && page.WriteID == write.ID {
		w.store.MarkCommitted(write, result.Entry.Version)
		return
	}
	c := w.controller
	if write.Rejected {
		// The state service has lowered its limits, and the rest of a large page was on its
		// way. An earlier copy of it may be carried out late: only a new term, to which it
		// doesn't belong, is safe from that. The pages are read again, and this time nothing
		// above the new limits is written.
		c.limitsLowered = true
		c.elector.Restart("the state service has lowered its limits")
		return
	}
	c.elector.StepDown("a write met another leader's")
}
