package controller

import (
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

func (e *engine) stateResult(why purpose, r storage.StateResult) {
	n := e.n
	switch why {
	case forPageTxn:
		f := e.writes[r.ID]
		delete(e.writes, r.ID)
		switch r.Outcome {
		case rpc.OK:
			e.store.MarkCommitted(f, r.Revision)
		case rpc.Conflict, rpc.Invalid:
			// An earlier copy may have been committed: the page tells by the write's id.
			f.Rejected = r.Outcome == rpc.Invalid
			e.checkWrite(f)
		default:
			n.Stats.WritesRetried++
			e.store.RetryLater(n.now.Monotonic, f)
		}
	case forPageCheck:
		f := e.writes[r.ID]
		delete(e.writes, r.ID)
		if r.Outcome != rpc.OK && r.Outcome != rpc.NotFound {
			e.checkWrite(f)
			return
		}
		var v storage.PageValue
		if r.Outcome == rpc.OK && protocol.Decode(r.Entry.Value, &v) == nil && v.WriteID == f.ID {
			e.store.MarkCommitted(f, r.Entry.Version)
			return
		}
		if f.Rejected {
			// The state service has lowered its limits, and the rest of a large page
			// was on its way. An earlier copy of it may be carried out late: only a
			// new term, to which it doesn't belong, is safe from that. The pages are
			// read again, and this time nothing above the new limits is written.
			n.limitsLowered = true
			n.restartTerm("the state service has lowered its limits")
			return
		}
		n.stepDown("a write met another leader's")
	case forArchivePage:
		e.archive.pageRead(r)
	case forRaise, forRaiseCheck:
		e.raiseResult(why, r)
	}
}

func (e *engine) flush() {
	n := e.n
	for e.raising == nil && n.certain() {
		f := e.store.NextWrite(n.now.Monotonic, e.termCondition(), !e.drain)
		if f == nil {
			return
		}
		e.send(f)
	}
}

// send sends a transaction.
func (e *engine) send(w *storage.Write) {
	n := e.n
	n.Stats.Writes++
	n.state(forPageTxn, storage.StateCall{Op: storage.StateTxn, Txn: w.Txn})
	e.writes[n.nextID] = w
}

// termCondition is what every write is conditional on.
func (e *engine) termCondition() protocol.Condition {
	return protocol.Condition{Key: LeaderKey, Version: e.token}
}

func (e *engine) checkWrite(f *storage.Write) {
	e.n.state(forPageCheck, storage.StateCall{Op: storage.StateGet, Key: f.Key()})
	e.writes[e.n.nextID] = f
}

// raiseToken writes the leader's key anew. Its new version is a higher token:
// once a worker has seen it, whatever was sent to it with the old one and never
// answered is certainly void.
func (e *engine) raiseToken() {
	n := e.n
	now := n.now.Monotonic
	if e.raising == nil {
		if now < e.raisedAt+e.rules.raise || !n.certain() {
			return
		}
		if e.drain = e.store.HasWritesInFlight(); e.drain {
			return // what is under way is conditional on the token as it is
		}
		e.raiseRev++
		e.raisedAt = now
		e.raising = &protocol.Txn{
			If: []protocol.Condition{{Key: LeaderKey, Version: e.token}},
			Then: []protocol.Change{{
				Put:   LeaderKey,
				Value: leaderValue{Node: n.cfg.Node, Boot: n.boot, Lease: n.term.lease, Raise: e.raiseRev},
				Lease: n.term.lease,
			}},
		}
		e.raiseSent, e.raiseNext = false, now
	}
	if e.raiseSent || now < e.raiseNext {
		return
	}
	e.raiseSent = true
	n.state(forRaise, storage.StateCall{Op: storage.StateTxn, Txn: *e.raising})
}

func (e *engine) raiseResult(why purpose, r storage.StateResult) {
	n := e.n
	if e.raising == nil {
		return
	}
	if why == forRaise {
		if r.Outcome == rpc.OK {
			e.raised(r.Revision)
			return
		}
		if r.Outcome != rpc.Conflict && r.Outcome != rpc.Invalid {
			e.raiseSent, e.raiseNext = false, n.now.Monotonic+e.rules.retry
			return
		}
		n.state(forRaiseCheck, storage.StateCall{Op: storage.StateGet, Key: LeaderKey})
		return
	}
	if r.Outcome != rpc.OK && r.Outcome != rpc.NotFound {
		n.state(forRaiseCheck, storage.StateCall{Op: storage.StateGet, Key: LeaderKey})
		return
	}
	var v leaderValue
	if r.Outcome == rpc.OK && protocol.Decode(r.Entry.Value, &v) == nil && v.Boot == n.boot && v.Lease == n.term.lease && v.Raise == e.raiseRev {
		e.raised(r.Entry.Version)
		return
	}
	n.stepDown("the leader's key is another's")
}

func (e *engine) raised(version int64) {
	e.raising = nil
	e.token, e.n.term.own = version, version
	e.n.Stats.TokensAdvanced++
	e.n.log(message.Info, "token raised", "token", version)
	for _, h := range e.byName {
		e.queueCommands(h)
	}
}
