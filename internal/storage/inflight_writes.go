package storage

import (
	"fmt"
	"slices"
	"time"

	"oakpick/internal/config"
)

// maxWritesInFlight bounds the transactions in flight, each for pages of its own. The
// other calls to the state service keep two connections.
const maxWritesInFlight = config.StateConnections - 2

// inFlightWrites holds the transactions that were built and not yet committed, those
// that wait for their retry included.
type inFlightWrites struct {
	writes        []*Write
	idPrefix      string
	lastID        int64
	retryInterval time.Duration
	resumeAt      time.Duration  // no new transaction before, after a refusal
	stalledSince  *time.Duration // first failure since the last commit; nil: none
}

// add takes in a new transaction and gives it its id.
func (f *inFlightWrites) add(w *Write) {
	f.lastID++
	w.ID = fmt.Sprintf("%s-%d", f.idPrefix, f.lastID)
	f.writes = append(f.writes, w)
}

// mayBegin tells whether another transaction may be sent beside those in flight.
func (f *inFlightWrites) mayBegin(now time.Duration) bool {
	return len(f.writes) < maxWritesInFlight && now >= f.resumeAt
}

// committed drops a transaction that was committed.
func (f *inFlightWrites) committed(w *Write) {
	f.stalledSince = nil
	f.writes = slices.DeleteFunc(f.writes, func(x *Write) bool { return x == w })
}

// retryLater schedules the retry of a transaction, and holds back new ones until then.
func (f *inFlightWrites) retryLater(now time.Duration, w *Write) {
	if f.stalledSince == nil {
		f.stalledSince = &now
	}
	w.awaitingResponse, w.retryAt = false, now+f.retryInterval
	f.resumeAt = max(f.resumeAt, w.retryAt)
}

// nextRetry returns the transaction to send again now. If one is due but the budget is
// used up, it returns nil and true, and nothing else may be sent either: newer
// transactions must not take the budget that this one waits for, or a steady flow of
// small ones would keep a large one, and its pages, waiting for ever.
func (f *inFlightWrites) nextRetry(now time.Duration, budget *writeBudget) (w *Write, due bool) {
	for _, w := range f.writes {
		if w.awaitingResponse || now < w.retryAt {
			continue
		}
		if !budget.take(now, w.keyCount()) {
			return nil, true
		}
		w.awaitingResponse = true
		return w, true
	}
	return nil, false
}
