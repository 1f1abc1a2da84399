package transport

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/failsafe-go/failsafe-go/adaptivelimiter"

	"oakpick/internal/message"
)

// Parameters of the limit. Each divisor is the ratio given in its comment.
const (
	maxLimitFloor       = 8  // lower bound of the maximum limit
	minLimitFloor       = 4  // lower bound of the minimum limit and of the initial limit
	minLimitDivisor     = 16 // maximum limit / minimum limit
	initialLimitDivisor = 4  // maximum limit / initial limit
	minWindowDivisor    = 10 // longest measurement window / shortest window
	minSamples          = 20 // per measurement window
	maxWaitDivisor      = 4  // longest measurement window / longest wait of a request with priority
)

// retryJitterS is the number of seconds over which the retries of shed requests are spread.
const retryJitterS = 4

// ConcurrencyLimit bounds the number of requests in progress. It adapts to the measured latencies:
// the limit rises while they are stable and falls once they grow with the load.
type ConcurrencyLimit struct {
	limiter adaptivelimiter.AdaptiveLimiter[any]
	maxWait time.Duration // of a request with priority
	onShed  func()
}

// NewConcurrencyLimit creates a limit that never exceeds maxLimit (or maxLimitFloor, if greater).
// Latencies are measured over windows of at most the given length. onShed is called for every
// refused request, by the goroutine that called Run or RunWithPriority.
func NewConcurrencyLimit(maxLimit int, window time.Duration, onShed func()) *ConcurrencyLimit {
	maxLimit = max(maxLimit, maxLimitFloor)
	minLimit, initialLimit := max(minLimitFloor, maxLimit/minLimitDivisor), max(minLimitFloor, maxLimit/initialLimitDivisor)
	limiter := adaptivelimiter.NewBuilder[any]().
		WithLimits(uint(minLimit), uint(maxLimit), uint(initialLimit)).
		WithRecentWindow(window/minWindowDivisor, window, minSamples).
		Build()
	return &ConcurrencyLimit{limiter: limiter, maxWait: window / maxWaitDivisor, onShed: onShed}
}

// Run answers a request if it is admitted at once, and refuses it otherwise. The Retry-After of
// refusals is jittered to spread the retries.
func (l *ConcurrencyLimit) Run(answer func() message.Reply) message.Reply {
	permit, ok := l.limiter.TryAcquirePermit()
	if !ok {
		refusal := l.shed()
		refusal.RetryAfterS += rand.IntN(retryJitterS)
		return refusal
	}
	return runPermitted(permit, answer)
}

// RunWithPriority answers a request with priority. A request that can't be admitted at once waits
// for up to maxWait and takes precedence over the requests passed to Run.
func (l *ConcurrencyLimit) RunWithPriority(answer func() message.Reply) message.Reply {
	// The HTTP server has no context that could end the wait before maxWait.
	permit, err := l.limiter.AcquirePermitWithMaxWait(context.Background(), l.maxWait)
	if err != nil {
		return l.shed()
	}
	return runPermitted(permit, answer)
}

// Usage returns the current limit and the number of requests in progress.
func (l *ConcurrencyLimit) Usage() (limit, inFlight int) {
	metrics, ok := l.limiter.(adaptivelimiter.Metrics)
	if !ok {
		return 0, 0
	}
	return metrics.Limit(), metrics.Inflight()
}

// shed counts and refuses a request that isn't admitted.
func (l *ConcurrencyLimit) shed() message.Reply {
	l.onShed()
	return Unavailable("too much asked")
}

func runPermitted(permit adaptivelimiter.Permit, answer func() message.Reply) message.Reply {
	reply := answer()
	if reply.Status == http.StatusServiceUnavailable {
		permit.Drop() // the latency of a refusal says nothing about the load
	} else {
		permit.Record()
	}
	return reply
}
