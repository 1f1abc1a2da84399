package storage

import (
	"time"

	"golang.org/x/time/rate"
)

// writeBudget limits the number of keys written per second. It is a token bucket with a
// capacity of one second's worth of keys. Times are readings of the leader's monotonic clock.
type writeBudget struct {
	limiter *rate.Limiter
	// waitingSince is the time of the first refused write since the last admitted one; nil if
	// no write waits for the budget.
	waitingSince  *time.Duration
	lastRefusedAt time.Duration // time of the last refused write
	// nextRate is a rate that was set and is not in force yet; 0 if there is none.
	nextRate float64
	// rateSetAt is the time at which the current rate came into force.
	rateSetAt time.Duration
}

func newWriteBudget(keysPerS float64) writeBudget {
	return writeBudget{limiter: rate.NewLimiter(rate.Limit(keysPerS), budgetCapacity(keysPerS))}
}

// setRate changes the rate with effect from the next call that passes the time.
//
// It doesn't call the limiter's SetLimit and SetBurst, which use the wall clock, while the times
// passed to the budget begin at zero when the process starts. These methods would set the limiter's
// last update decades ahead: the change would fill the budget at once, and the budget would
// then not fill again until a write is admitted.
func (b *writeBudget) setRate(keysPerS float64) { b.nextRate = keysPerS }

// applyRate applies the rate last passed to setRate. Unused budget is kept, up to the new capacity.
func (b *writeBudget) applyRate(now time.Duration) {
	if b.nextRate == 0 {
		return
	}
	at := limiterTime(now)
	b.limiter.SetLimitAt(at, rate.Limit(b.nextRate))
	b.limiter.SetBurstAt(at, budgetCapacity(b.nextRate))
	b.nextRate, b.rateSetAt = 0, now
}

// budgetCapacity returns how many keys may be written at once.
func budgetCapacity(keysPerS float64) int { return max(1, int(keysPerS)) }

func (b *writeBudget) capacity() int { return b.limiter.Burst() }

// available returns how many keys may be written now.
func (b *writeBudget) available(now time.Duration) float64 {
	b.applyRate(now)
	return b.limiter.TokensAt(limiterTime(now))
}

func (b *writeBudget) halfAvailable(now time.Duration) bool {
	return b.available(now) >= float64(b.capacity())/2
}

// take takes the budget for a transaction that changes the given number of keys. If there is
// too little, it takes nothing and returns false. A transaction with more keys than the
// capacity, which was lowered after the transaction was built, takes the whole capacity;
// otherwise it could never be sent.
func (b *writeBudget) take(now time.Duration, keys int) bool {
	b.applyRate(now)
	if !b.limiter.AllowN(limiterTime(now), min(keys, b.capacity())) {
		b.recordRefusal(now)
		return false
	}
	b.waitingSince = nil
	return true
}

// recordRefusal records that a write was refused because the budget is exhausted.
func (b *writeBudget) recordRefusal(now time.Duration) {
	b.lastRefusedAt = now
	if b.waitingSince == nil {
		b.waitingSince = &now
	}
}

// waitingFor returns how long a write has been waiting for the budget; 0 if none is waiting.
func (b *writeBudget) waitingFor(now time.Duration) time.Duration {
	if b.waitingSince == nil {
		return 0
	}
	return now - *b.waitingSince
}

// stallFactor is the multiple of the fill time after which the rate can't explain a wait.
const stallFactor = 2

// stalled reports whether a write was refused at the time now and has been waiting for longer than
// the rate explains. Without a refusal at that time, the write may be waiting for something else.
func (b *writeBudget) stalled(now time.Duration) bool {
	if b.waitingSince == nil || b.lastRefusedAt != now {
		return false
	}
	return now-max(*b.waitingSince, b.rateSetAt) > stallFactor*b.fillTime()
}

// fillTime returns how long an empty budget takes to fill; a full budget admits any write.
func (b *writeBudget) fillTime() time.Duration {
	return time.Duration(float64(b.capacity()) / float64(b.limiter.Limit()) * float64(time.Second))
}

// WriteBudgetStatus is the state of the write budget, for operators.
type WriteBudgetStatus struct {
	// Fill is the unused fraction of the budget, from 0 to 1.
	Fill float64
	// KeysPerS is the rate at which the budget fills.
	KeysPerS float64
	// WaitingFor is how long a write has been waiting for the budget; 0 if none is waiting.
	WaitingFor time.Duration
}

// WriteBudget returns the status of the write budget.
func (s *Store) WriteBudget(now time.Duration) WriteBudgetStatus {
	return WriteBudgetStatus{
		Fill: s.budget.available(now) / float64(s.budget.capacity()), KeysPerS: float64(s.budget.limiter.Limit()),
		WaitingFor: s.budget.waitingFor(now),
	}
}

// WriteBudgetStalled reports whether the write budget refused a write at the time now although the
// write has been waiting for longer than the rate of the budget explains.
func (s *Store) WriteBudgetStalled(now time.Duration) bool { return s.budget.stalled(now) }

// limiterTime converts a monotonic time to a time for the limiter, which treats the zero time
// as a special value.
func limiterTime(now time.Duration) time.Time { return time.Unix(1, 0).Add(now) }
