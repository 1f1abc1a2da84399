package transport

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/failsafe-go/failsafe-go/adaptivelimiter"

	"oakpick/internal/message"
)

// The bounds of the limit, as parts of the most that it may be.
const (
	leastMaxLimit = 8 // the most is never less
	leastMinLimit = 4
	minDivisor    = 16
	startDivisor  = 4
	windowDivisor = 10 // the shortest window of measured times, as a part of the longest
	minSamples    = 20 // of a window
	waitDivisor   = 4  // how long a request with priority waits, as a part of the window
)

// retryJitterS is over how many seconds the retries of shed requests are spread.
const retryJitterS = 4

// ConcurrencyLimit bounds the users' requests in progress. It adapts to measured latencies: it
// admits more while they hold and fewer once they grow with the load.
type ConcurrencyLimit struct {
	limiter adaptivelimiter.AdaptiveLimiter[any]
	maxWait time.Duration // of a request with priority
	onShed  func()
}

// NewConcurrencyLimit makes a limit that never exceeds most. Latencies are measured over up to
// window. onShed is called for every request that is refused, by the goroutine that asks.
func NewConcurrencyLimit(most int, window time.Duration, onShed func()) *ConcurrencyLimit {
	most = max(most, leastMaxLimit)
	atLeast, atFirst := max(leastMinLimit, most/minDivisor), max(leastMinLimit, most/startDivisor)
	limiter := adaptivelimiter.NewBuilder[any]().
		WithLimits(uint(atLeast), uint(most), uint(atFirst)).
		WithRecentWindow(window/windowDivisor, window, minSamples).
		Build()
	return &ConcurrencyLimit{limiter: limiter, maxWait: window / waitDivisor, onShed: onShed}
}

// Run answers a request if it is admitted, and refuses it at once if not. The Retry-After of a
// refusal is jittered, so that the retries don't come together.
func (l *ConcurrencyLimit) Run(answer func() message.Reply) message.Reply {
	permit, ok := l.limiter.TryAcquirePermit()
	if !ok {
		refusal := l.shed()
		refusal.RetryAfterS += rand.IntN(retryJitterS)
		return refusal
	}
	return runPermitted(permit, answer)
}

// RunWithPriority answers a request that goes before others: if it can't be admitted at once it
// waits for a while, and is admitted before any that comes to Run.
func (l *ConcurrencyLimit) RunWithPriority(answer func() message.Reply) message.Reply {
	// maxWait bounds the wait; the HTTP server has no context that would end any sooner.
	permit, err := l.limiter.AcquirePermitWithMaxWait(context.Background(), l.maxWait)
	if err != nil {
		return l.shed()
	}
	return runPermitted(permit, answer)
}

// Usage gives the present limit and how many requests are in progress.
func (l *ConcurrencyLimit) Usage() (limit, inFlight int) {
	metrics, ok := l.limiter.(adaptivelimiter.Metrics)
	if !ok {
		return 0, 0
	}
	return metrics.Limit(), metrics.Inflight()
}

// shed counts a request that isn't admitted, and refuses it.
func (l *ConcurrencyLimit) shed() message.Reply {
	l.onShed()
	return Unavailable("too much asked")
}

func runPermitted(permit adaptivelimiter.Permit, answer func() message.Reply) message.Reply {
	reply := answer()
	if reply.Status == http.StatusServiceUnavailable {
		permit.Drop() // a refusal's latency says nothing of the load
	} else {
		permit.Record()
	}
	return reply
}
