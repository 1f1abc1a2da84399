package transport

import (
	"time"

	"github.com/failsafe-go/failsafe-go/adaptivelimiter"

	"oakpick/internal/coordination"
)

// Limit bounds the users' requests in progress. It learns from measured times:
// it lets in more while they hold and fewer once they grow with the load.
type Limit struct {
	limiter adaptivelimiter.AdaptiveLimiter[any]
	shed    func()
}

// NewLimit makes a limit that never exceeds most; shed is called for every
// request that it refuses.
func NewLimit(most int, window time.Duration, shed func()) *Limit {
	most = max(most, 8)
	return &Limit{shed: shed, limiter: adaptivelimiter.NewBuilder[any]().
		WithLimits(uint(max(4, most/16)), uint(most), uint(max(4, most/4))).
		WithRecentWindow(window/10, window, 20).
		Build()}
}

// Run answers a request if it may be let in, and refuses it at once if not.
func (l *Limit) Run(answer func() coordination.Reply) coordination.Reply {
	permit, ok := l.limiter.TryAcquirePermit()
	if !ok {
		l.shed()
		return Busy("too much asked")
	}
	r := answer()
	if r.Status == 503 {
		permit.Drop() // a refusal's time says nothing of the load
	} else {
		permit.Record()
	}
	return r
}

// Now gives the limit and what is in progress.
func (l *Limit) Now() (limit, inFlight int) {
	m, ok := l.limiter.(adaptivelimiter.Metrics)
	if !ok {
		return 0, 0
	}
	return m.Limit(), m.Inflight()
}
