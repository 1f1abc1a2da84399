// Package retry decides when something that has failed is tried again: ever later, up to a
// bound, and at times drawn apart, so that what failed together isn't tried again together.
// It reads no clock and draws nothing by itself.
package retry

import (
	"math/rand/v2"
	"time"
)

// Policy says how the waits between tries grow.
type Policy struct {
	First time.Duration // after the first failure
	Most  time.Duration // at most
	// Jitter is by what part of itself a wait may be longer or shorter.
	Jitter float64
}

// Wait is how long to wait after so many failures in a row.
func (p Policy) Wait(failures int, random *rand.Rand) time.Duration {
	if failures <= 0 {
		return 0
	}
	wait := p.First
	for range failures - 1 {
		if wait >= p.Most {
			break
		}
		wait *= 2
	}
	wait = min(wait, p.Most)
	return wait + time.Duration((2*random.Float64()-1)*p.Jitter*float64(wait))
}
