package election

import (
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// tokenAdvance is an advance of the fencing token: the leader key is written anew. Its new
// version is a higher token: once a worker has seen it, whatever was sent to it with the old
// one and never answered is certainly void.
type tokenAdvance struct {
	txn         *protocol.Txn // under way; nil: none is
	sent        bool
	retryAt     time.Duration
	count       int64 // in this term
	startedAt   time.Duration
	awaitsWrite bool // no new writes may begin: it waits for those in flight
}

// AdvancingToken reports whether the leader key is being written anew.
func (e *Elector) AdvancingToken() bool { return e.advance.txn != nil }

// AwaitsWrites reports whether an advance of the token waits for the writes in flight, which
// are conditional on the token as it is: no new one may begin.
func (e *Elector) AwaitsWrites() bool { return e.advance.awaitsWrite }

// AdvanceToken advances the token if that is needed, or goes on with an advance under way.
func (e *Elector) AdvanceToken(needed bool, writesInFlight func() bool) {
	if !needed && e.advance.txn == nil {
		e.advance.awaitsWrite = false
		return
	}
	now := e.context.Monotonic()
	if e.advance.txn == nil {
		if now < e.advance.startedAt+e.timing.TokenInterval || !e.HoldsLease() {
			return
		}
		if e.advance.awaitsWrite = writesInFlight(); e.advance.awaitsWrite {
			return
		}
		e.beginTokenAdvance()
	}
	if e.advance.sent || now < e.advance.retryAt {
		return
	}
	e.advance.sent = true
	e.calls.Send(storage.StateCall{Op: storage.StateTxn, Txn: *e.advance.txn}, e.tokenAdvanceResult)
}

func (e *Elector) beginTokenAdvance() {
	now := e.context.Monotonic()
	e.advance.count++
	e.advance.startedAt = now
	e.advance.txn = &protocol.Txn{
		If:   []protocol.Condition{e.TermCondition()},
		Then: []protocol.Change{e.leaderKeyChange(e.advance.count)},
	}
	e.advance.sent, e.advance.retryAt = false, now
}

func (e *Elector) tokenAdvanceResult(result storage.StateResult) {
	if e.advance.txn == nil {
		return
	}
	switch result.Outcome {
	case rpc.OK:
		e.tokenAdvanced(result.Revision)
	case rpc.Conflict, rpc.Invalid:
		e.readAdvancedToken()
	default:
		e.advance.sent, e.advance.retryAt = false, e.context.Monotonic()+e.timing.RetryInterval
	}
}

// readAdvancedToken reads the leader key: an earlier copy of the write may have been
// committed.
func (e *Elector) readAdvancedToken() {
	e.calls.Send(storage.StateCall{Op: storage.StateGet, Key: LeaderKey}, e.advancedTokenRead)
}

func (e *Elector) advancedTokenRead(result storage.StateResult) {
	if e.advance.txn == nil {
		return
	}
	if result.Outcome != rpc.OK && result.Outcome != rpc.NotFound {
		e.readAdvancedToken()
		return
	}
	var value leaderValue
	committed := result.Outcome == rpc.OK && protocol.Decode(result.Entry.Value, &value) == nil &&
		value.Process == e.process && value.Lease == e.held.lease && value.TokenAdvances == e.advance.count
	if !committed {
		e.StepDown("another node has the leader key")
		return
	}
	e.tokenAdvanced(result.Entry.Version)
}

func (e *Elector) tokenAdvanced(version int64) {
	e.advance.txn = nil
	e.held.token = version
	e.context.Stats.TokensAdvanced++
	e.context.Log(message.Info, "fencing token advanced", "token", version)
	e.delegate.TokenAdvanced()
}
