// Package retry computes the delay before a failed operation is retried: exponential backoff up
// to a maximum, with jitter, so that operations that failed together aren't retried together. It
// reads no clock and has no random source of its own.
package retry

import (
	"math/rand/v2"
	"time"
)

// Policy is an exponential backoff: the delay doubles with every consecutive failure.
type Policy struct {
	InitialDelay time.Duration // after the first failure
	MaxDelay     time.Duration // upper bound, before jitter
	// Jitter is the maximum deviation from the computed delay, as a fraction of it.
	Jitter float64
}

// Backoff returns the delay after the given number of consecutive failures, or 0 if there are
// none.
func (p Policy) Backoff(failures int, random *rand.Rand) time.Duration {
	if failures <= 0 {
		return 0
	}
	wait := p.InitialDelay
	for range failures - 1 {
		if wait >= p.MaxDelay {
			break
		}
		wait *= 2
	}
	wait = min(wait, p.MaxDelay)
	jitter := (2*random.Float64() - 1) * p.Jitter // uniform in [-Jitter, Jitter)
	return wait + time.Duration(jitter*float64(wait))
}
