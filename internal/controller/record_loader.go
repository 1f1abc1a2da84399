package controller

import (
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// recordLoader reads what is recorded when a term begins. The first transaction of the term is
// a barrier: no write of an earlier term is carried out behind it.
type recordLoader struct {
	controller    *Controller
	barrierPassed bool
	entries       []protocol.Entry
	complete      bool // all pages are read
}

// readOn sends the next request: the barrier, then the pages, a part at a time, then a
// question whether anything is in the archive.
func (r *recordLoader) readOn() {
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

// failed handles a request that brought nothing, and reports whether it was one.
func (r *recordLoader) failed(result storage.StateResult) bool {
	switch result.Outcome {
	case rpc.OK:
		return false
	case rpc.Conflict:
		r.controller.elector.StepDown("another node has taken the leader key")
	default:
		r.readOn()
	}
	return true
}

func (r *recordLoader) handleBarrier(result storage.StateResult) {
	if r.failed(result) {
		return
	}
	r.barrierPassed = true
	r.readOn()
}

func (r *recordLoader) handlePages(result storage.StateResult) {
	if r.failed(result) {
		return
	}
	r.entries = append(r.entries, result.List.Entries...)
	r.complete = !result.List.More
	r.readOn()
}

func (r *recordLoader) handleArchive(result storage.StateResult) {
	if r.failed(result) {
		return
	}
	r.controller.lead(r.entries, len(result.List.Entries) > 0)
}
