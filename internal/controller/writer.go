package controller

import (
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// writer sends a leader's transactions to the state service and determines whether they were committed.
type writer struct {
	controller *Controller
	store      *storage.Store
	// stallLogged is set once the current stall of the write budget has been logged.
	stallLogged bool
}

// flush sends all writes that are due. Nothing is sent while the fencing token is being advanced,
// because writes are conditional on the token.
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

// logStall logs, once per stall, that a write has waited longer for the write budget than its rate
// explains.
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

// send sends a transaction to the state service.
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
		// An earlier attempt may have been committed; the write ID stored on the page shows whether it was.
		write.Rejected = result.Outcome == rpc.Invalid
		w.readBack(write)
	default:
		w.controller.context.Stats.WritesRetried++
		w.store.RetryLater(w.controller.context.Monotonic(), write)
	}
}

// readBack reads a page of a write to determine whether the write was committed.
func (w *writer) readBack(write *storage.Write) {
	w.controller.calls.Send(storage.StateCall{Op: storage.StateGet, Key: write.CommitCheckKey()}, func(result storage.StateResult) {
		w.handleReadBack(write, result)
	})
}

func (w *writer) handleReadBack(write *storage.Write, result storage.StateResult) {
	if result.Outcome != rpc.OK && result.Outcome != rpc.NotFound {
		w.readBack(write)
		return
	}
	var page storage.PageValue
	if result.Outcome == rpc.OK && protocol.Decode(result.Entry.Value, &page) == nil && page.WriteID == write.ID {
		w.store.MarkCommitted(write, result.Entry.Version)
		return
	}
	c := w.controller
	if write.Rejected {
		// The state service has lowered its limits, and this write exceeds them. An earlier attempt
		// of it may still be executed late. Only a new term rules that out, because the write is
		// conditional on the current term. The new term reads the pages again and writes nothing
		// above the new limits.
		c.limitsLowered = true
		c.elector.Restart("the state service has lowered its limits")
		return
	}
	c.elector.StepDown("write conflicts with a write of another leader")
}
