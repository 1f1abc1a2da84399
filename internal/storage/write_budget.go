package storage

import (
	"time"

	"golang.org/x/time/rate"
)

// writeBudget limits how many keys a second are written. It is a token bucket that
// holds one second's worth of keys. Times are the leader's monotonic clock.
type writeBudget struct {
	limiter *rate.Limiter
	// waitingSince is when a write was first refused since one was last let through; nil:
	// none waits for the budget.
	waitingSince  *time.Duration
	lastRefusedAt time.Duration // the last such refusal
	// nextRate is a rate that was set and isn't in force yet; 0: there is none.
	nextRate float64
	// rateSetAt is since when the rate is in force.
	rateSetAt time.Duration
}

func newWriteBudget(keysPerS float64) writeBudget {
	return writeBudget{limiter: rate.NewLimiter(rate.Limit(keysPerS), budgetCapacity(keysPerS))}
}

// setRate changes the rate from the time on for which the budget is asked next.
//
// The limiter's own SetLimit and SetBurst take the time from the clock of the process. Everything
// else here is given the time of the step, which begins with the process: the last fill would
// then lie decades ahead, the budget would be filled at once by the change, and afterwards not at
// all until a write gets through.
func (b *writeBudget) setRate(keysPerS float64) { b.nextRate = keysPerS }

// applyRate puts a changed rate in force. What was saved up so far stays, up to the new capacity.
func (b *writeBudget) applyRate(now time.Duration) {
	if b.nextRate == 0 {
		return
	}
	at := limiterTime(now)
	b.limiter.SetLimitAt(at, rate.Limit(b.nextRate))
	b.limiter.SetBurstAt(at, budgetCapacity(b.nextRate))
	b.nextRate, b.rateSetAt = 0, now
}

// budgetCapacity is how many keys may be written at once.
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

// take spends the budget of a transaction that changes the given number of keys, or
// nothing and returns false if there is too little. A transaction that changes more keys
// than the capacity, because that was lowered since it was built, takes all of it: it
// could never be sent otherwise.
func (b *writeBudget) take(now time.Duration, keys int) bool {
	b.applyRate(now)
	if !b.limiter.AllowN(limiterTime(now), min(keys, b.capacity())) {
		b.recordRefusal(now)
		return false
	}
	b.waitingSince = nil
	return true
}

// recordRefusal notes that a write is refused for want of budget.
func (b *writeBudget) recordRefusal(now time.Duration) {
	b.lastRefusedAt = now
	if b.waitingSince == nil {
		b.waitingSince = &now
	}
}

// waitingFor returns for how long a write has waited for the budget; 0: none does.
func (b *writeBudget) waitingFor(now time.Duration) time.Duration {
	if b.waitingSince == nil {
		return 0
	}
	return now - *b.waitingSince
}

// stallFactor is after how many times the fill time a wait can't be explained by the rate.
const stallFactor = 2

// stalled reports whether a write was refused just now, and has waited for longer than the rate
// explains. Without a refusal at this very time the write may wait for something else.
func (b *writeBudget) stalled(now time.Duration) bool {
	if b.waitingSince == nil || b.lastRefusedAt != now {
		return false
	}
	return now-max(*b.waitingSince, b.rateSetAt) > stallFactor*b.fillTime()
}

// fillTime is how long an empty budget takes to fill, after which it lets any write through.
func (b *writeBudget) fillTime() time.Duration {
	return time.Duration(float64(b.capacity()) / float64(b.limiter.Limit()) * float64(time.Second))
}

// WriteBudgetStatus says how much may be written, for operators.
type WriteBudgetStatus struct {
	// Fill is how much of the budget is unused, from 0 to 1.
	Fill float64
	// KeysPerS is its rate.
	KeysPerS float64
	// WaitingFor is for how long a write has waited for it; 0: none does.
	WaitingFor time.Duration
}

// WriteBudget returns the status of the write budget.
func (s *Store) WriteBudget(now time.Duration) WriteBudgetStatus {
	return WriteBudgetStatus{
		Fill: s.budget.available(now) / float64(s.budget.capacity()), KeysPerS: float64(s.budget.limiter.Limit()),
		WaitingFor: s.budget.waitingFor(now),
	}
}

// WriteBudgetStalled reports whether the write budget has just refused a write that has waited
// for longer than its rate explains.
func (s *Store) WriteBudgetStalled(now time.Duration) bool { return s.budget.stalled(now) }

// limiterTime converts a monotonic time for the limiter, to which the zero time is special.
func limiterTime(now time.Duration) time.Time { return time.Unix(1, 0).Add(now) }
