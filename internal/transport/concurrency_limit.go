package transport

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/failsafe-go/failsafe-go/adaptivelimiter"

	"oakpick/internal/message"
)

// ConcurrencyLimit bounds the users' requests in progress. It learns from measured times:
// it lets in more while they hold and fewer once they grow with the load.
type ConcurrencyLimit struct {
	limiter adaptivelimiter.AdaptiveLimiter[any]
	maxWait time.Duration
	onShed  func()
}

// NewConcurrencyLimit makes a limit that never exceeds most; shed is called for every
// request that it refuses.
func NewConcurrencyLimit(most int, window time.Duration, shed func()) *ConcurrencyLimit {
	most = max(most, 8)
	return &ConcurrencyLimit{onShed: shed, maxWait: window / 4, limiter: adaptivelimiter.NewBuilder[any]().
		WithLimits(uint(max(4, most/16)), uint(most), uint(max(4, most/4))).
		WithRecentWindow(window/10, window, 20).
		Build()}
}

// Run answers a request if it may be let in, and refuses it at once if not. What is
// refused so had better come back at a time of its own.
func (l *ConcurrencyLimit) Run(answer func() message.Reply) message.Reply {
	permit, ok := l.limiter.TryAcquirePermit()
	if !ok {
		l.onShed()
		r := Unavailable("too much asked")
		r.RetryAfterS += rand.IntN(retryJitterS)
		return r
	}
	return runPermitted(permit, answer)
}

// RunWithPriority answers a request that goes before others: if it can't be let in at once it
// waits for a while, and is let in before any that comes to Run.
func (l *ConcurrencyLimit) RunWithPriority(answer func() message.Reply) message.Reply {
	permit, err := l.limiter.AcquirePermitWithMaxWait(context.Background(), l.maxWait)
	if err != nil {
		l.onShed()
		return Unavailable("too much asked")
	}
	return runPermitted(permit, answer)
}

func runPermitted(permit adaptivelimiter.Permit, answer func() message.Reply) message.Reply {
	r := answer()
	if r.Status == 503 {
		permit.Drop() // a refusal's time says nothing of the load
	} else {
		permit.Record()
	}
	return r
}

// retryJitterS is over how many seconds refused questions are spread when they come back.
const retryJitterS = 4

// Usage gives the limit and what is in progress.
func (l *ConcurrencyLimit) Usage() (limit, inFlight int) {
	m, ok := l.limiter.(adaptivelimiter.Metrics)
	if !ok {
		return 0, 0
	}
	return m.Limit(), m.Inflight()
}
