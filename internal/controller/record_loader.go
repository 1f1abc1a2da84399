package controller

import (
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// recordLoader reads the stored records at the start of a term. The first transaction of the term
// is a barrier: no write of an earlier term can be committed after it.
type recordLoader struct {
	controller    *Controller
	barrierPassed bool
	entries       []protocol.Entry
	complete      bool // all pages have been read
}

// sendNextRequest sends the next request: first the barrier, then reads of the pages in batches,
// then a query for whether the archive contains any entries.
func (r *recordLoader) sendNextRequest() {
	c := r.controller
	switch {
	case !r.barrierPassed:
		barrier := protocol.Txn{If: []protocol.Condition{c.elector.TermCondition()}}
		c.calls.Send(storage.StateCall{Op: storage.StateTxn, Txn: barrier}, r.handleBarrier)
	case !r.complete:
		c.calls.Send(storage.StateCall{Op: storage.StateList, Key: storage.RecordsPrefix, StartAfter: r.lastKey()}, r.handlePages)
	default:
		c.calls.Send(storage.StateCall{Op: storage.StateList, Key: storage.ArchivePrefix, Limit: 1}, r.handleArchive)
	}
}

func (r *recordLoader) lastKey() string {
	if len(r.entries) == 0 {
		return ""
	}
	return r.entries[len(r.entries)-1].Key
}

// handleFailure reports whether a request failed. It steps down after a conflict and otherwise retries.
func (r *recordLoader) handleFailure(result storage.StateResult) bool {
	switch result.Outcome {
	case rpc.OK:
		return false
	case rpc.Conflict:
		r.controller.elector.StepDown("another node has taken the leader key")
	default:
		r.sendNextRequest()
	}
	return true
}

func (r *recordLoader) handleBarrier(result storage.StateResult) {
	if r.handleFailure(result) {
		return
	}
	r.barrierPassed = true
	r.sendNextRequest()
}

func (r *recordLoader) handlePages(result storage.StateResult) {
	if r.handleFailure(result) {
		return
	}
	r.entries = append(r.entries, result.List.Entries...)
	r.complete = !result.List.More
	r.sendNextRequest()
}

func (r *recordLoader) handleArchive(result storage.StateResult) {
	if r.handleFailure(result) {
		return
	}
	r.controller.startLeading(r.entries, len(result.List.Entries) > 0)
}
