package storage

import (
	"fmt"
	"slices"
	"time"

	"oakpick/internal/config"
)

// maxWritesInFlight limits the number of transactions in flight, which write disjoint pages.
// Two connections remain available for other calls to the state service.
const maxWritesInFlight = config.StateConnections - 2

// inFlightWrites holds the transactions that were built and are not committed yet,
// including those that wait for a retry.
type inFlightWrites struct {
	writes        []*Write
	idPrefix      string
	lastID        int64
	retryInterval time.Duration
	resumeAt      time.Duration  // after a failure, no new transaction is sent before this time
	stalledSince  *time.Duration // time of the first failure since the last commit; nil if there was none
}

// add registers a new transaction and assigns its ID.
func (f *inFlightWrites) add(w *Write) {
	f.lastID++
	w.ID = fmt.Sprintf("%s-%d", f.idPrefix, f.lastID)
	f.writes = append(f.writes, w)
}

// mayBegin reports whether a new transaction may be sent in addition to those in flight.
func (f *inFlightWrites) mayBegin(now time.Duration) bool {
	return len(f.writes) < maxWritesInFlight && now >= f.resumeAt
}

// committed removes a committed transaction and ends the stall.
func (f *inFlightWrites) committed(w *Write) {
	f.stalledSince = nil
	f.writes = slices.DeleteFunc(f.writes, func(x *Write) bool { return x == w })
}

// retryLater schedules the retry of a transaction and blocks new ones until then.
func (f *inFlightWrites) retryLater(now time.Duration, w *Write) {
	if f.stalledSince == nil {
		f.stalledSince = &now
	}
	w.awaitingResponse, w.retryAt = false, now+f.retryInterval
	f.resumeAt = max(f.resumeAt, w.retryAt)
}

// nextRetry returns the transaction whose retry is due. If a retry is due but the budget is
// exhausted, it returns nil and true, and the caller must not send anything else: a steady
// flow of small new transactions would otherwise use up the budget that a large one waits
// for, and its pages would never be written.
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
