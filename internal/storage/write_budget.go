package storage

import (
	"time"

	"golang.org/x/time/rate"
)

// writeBudget limits how many keys a second are written. It is a token bucket that
// holds one second's worth of keys. Times are the leader's monotonic clock.
type writeBudget struct {
	limiter *rate.Limiter
}

func newWriteBudget(keysPerS float64) writeBudget {
	return writeBudget{rate.NewLimiter(rate.Limit(keysPerS), budgetCapacity(keysPerS))}
}

func (b writeBudget) setRate(keysPerS float64) {
	b.limiter.SetLimit(rate.Limit(keysPerS))
	b.limiter.SetBurst(budgetCapacity(keysPerS))
}

// budgetCapacity is how many keys may be written at once.
func budgetCapacity(keysPerS float64) int { return max(1, int(keysPerS)) }

func (b writeBudget) capacity() int { return b.limiter.Burst() }

// available returns how many keys may be written now.
func (b writeBudget) available(now time.Duration) float64 {
	return b.limiter.TokensAt(limiterTime(now))
}

func (b writeBudget) halfAvailable(now time.Duration) bool {
	return b.available(now) >= float64(b.capacity())/2
}

// take spends the budget of a transaction that changes the given number of keys, or
// nothing and returns false if there is too little. A transaction that changes more keys
// than the capacity, because that was lowered since it was built, takes all of it: it
// could never be sent otherwise.
func (b writeBudget) take(now time.Duration, keys int) bool {
	return b.limiter.AllowN(limiterTime(now), min(keys, b.capacity()))
}

// limiterTime converts a monotonic time for the limiter, to which the zero time is special.
func limiterTime(now time.Duration) time.Time { return time.Unix(1, 0).Add(now) }
