package election

import (
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// tokenAdvance is the state of an advance of the fencing token, which rewrites the leader key to
// obtain a higher version. Once a worker has seen the higher token, it rejects all commands that
// carry the old one, so any unanswered command sent with the old token can no longer take effect.
type tokenAdvance struct {
	txn            *protocol.Txn // transaction in progress; nil if none
	sent           bool          // the result of an attempt is awaited
	retryAt        time.Duration
	count          int64 // number of advances in this term
	startedAt      time.Duration
	awaitingWrites bool // the advance waits for writes in flight, and no new write may start
}

// AdvancingToken reports whether an advance of the token is in progress.
func (e *Elector) AdvancingToken() bool { return e.advance.txn != nil }

// AwaitsWrites reports whether a token advance is waiting for writes in flight. Those writes are
// conditional on the current token, so no new write may start.
func (e *Elector) AwaitsWrites() bool { return e.advance.awaitingWrites }

// AdvanceToken starts an advance of the token if one is needed, or continues the one in progress.
func (e *Elector) AdvanceToken(needed bool, writesInFlight func() bool) {
	if !needed && e.advance.txn == nil {
		e.advance.awaitingWrites = false
		return
	}
	now := e.context.Monotonic()
	if e.advance.txn == nil {
		if now < e.advance.startedAt+e.timing.TokenInterval || !e.HoldsLease() {
			return
		}
		if e.advance.awaitingWrites = writesInFlight(); e.advance.awaitingWrites {
			return
		}
		e.beginTokenAdvance()
	}
	if e.advance.sent || now < e.advance.retryAt {
		return
	}
	e.advance.sent = true
	e.calls.Send(storage.StateCall{Op: storage.StateTxn, Txn: *e.advance.txn}, e.handleTokenAdvanceResult)
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

func (e *Elector) handleTokenAdvanceResult(result storage.StateResult) {
	if e.advance.txn == nil {
		return
	}
	switch result.Outcome {
	case rpc.OK:
		e.completeTokenAdvance(result.Revision)
	case rpc.Conflict, rpc.Invalid:
		e.readAdvancedToken()
	default:
		e.advance.sent, e.advance.retryAt = false, e.context.Monotonic()+e.timing.RetryInterval
	}
}

// readAdvancedToken reads the leader key after a rejected advance, because an earlier attempt of
// the same transaction may have been committed.
func (e *Elector) readAdvancedToken() {
	e.calls.Send(storage.StateCall{Op: storage.StateGet, Key: LeaderKey}, e.handleAdvancedTokenRead)
}

func (e *Elector) handleAdvancedTokenRead(result storage.StateResult) {
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
		e.StepDown("another node holds the leader key")
		return
	}
	e.completeTokenAdvance(result.Entry.Version)
}

func (e *Elector) completeTokenAdvance(version int64) {
	e.advance.txn = nil
	e.held.token = version
	e.context.Stats.TokensAdvanced++
	e.context.Log(message.Info, "fencing token advanced", "token", version)
	e.delegate.TokenAdvanced()
}
