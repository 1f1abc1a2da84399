package transport

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/failsafe-go/failsafe-go/adaptivelimiter"

	"oakpick/internal/message"
)

// Limit bounds the users' requests in progress. It learns from measured times:
// it lets in more while they hold and fewer once they grow with the load.
type Limit struct {
	limiter  adaptivelimiter.AdaptiveLimiter[any]
	patience time.Duration
	shed     func()
}

// NewLimit makes a limit that never exceeds most; shed is called for every
// request that it refuses.
func NewLimit(most int, window time.Duration, shed func()) *Limit {
	most = max(most, 8)
	return &Limit{shed: shed, patience: window / 4, limiter: adaptivelimiter.NewBuilder[any]().
		WithLimits(uint(max(4, most/16)), uint(most), uint(max(4, most/4))).
		WithRecentWindow(window/10, window, 20).
		Build()}
}

// Run answers a request if it may be let in, and refuses it at once if not. What is
// refused so had better come back at a time of its own.
func (l *Limit) Run(answer func() message.Reply) message.Reply {
	permit, ok := l.limiter.TryAcquirePermit()
	if !ok {
		l.shed()
		r := Busy("too much asked")
		r.RetryAfterS += rand.IntN(retrySpread)
		return r
	}
	return run(permit, answer)
}

// RunFirst answers a request that goes before others: if it can't be let in at once it
// waits for a while, and is let in before any that comes to Run.
func (l *Limit) RunFirst(answer func() message.Reply) message.Reply {
	permit, err := l.limiter.AcquirePermitWithMaxWait(context.Background(), l.patience)
	if err != nil {
		l.shed()
		return Busy("too much asked")
	}
	return run(permit, answer)
}

func run(permit adaptivelimiter.Permit, answer func() message.Reply) message.Reply {
	r := answer()
	if r.Status == 503 {
		permit.Drop() // a refusal's time says nothing of the load
	} else {
		permit.Record()
	}
	return r
}

// retrySpread is over how many seconds refused questions are spread when they come back.
const retrySpread = 4

// Now gives the limit and what is in progress.
func (l *Limit) Now() (limit, inFlight int) {
	m, ok := l.limiter.(adaptivelimiter.Metrics)
	if !ok {
		return 0, 0
	}
	return m.Limit(), m.Inflight()
}
