// Package retry computes when something that failed is tried again: exponential backoff
// up to a bound, with jitter, so that what failed together isn't retried together. It
// reads no clock and has no random source of its own.
package retry

import (
	"math/rand/v2"
	"time"
)

// Policy is an exponential backoff: the wait doubles with every failure in a row.
type Policy struct {
	InitialDelay time.Duration // after the first failure
	MaxDelay     time.Duration // upper bound, before jitter
	// Jitter is by what fraction of itself a wait may be longer or shorter.
	Jitter float64
}

// Backoff returns how long to wait after the given number of failures in a row; 0 if there is
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
