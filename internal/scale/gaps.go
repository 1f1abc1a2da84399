package scale

import "time"

// answerTimes knows for how long users have gone without an answer, and workers without a
// start. The world's owner calls it.
type answerTimes struct {
	answers, starts gap
	startsSeen      int64
}

// gap is the longest time between two events since it was watched.
type gap struct{ last, longest time.Duration }

func (g *gap) event(now time.Duration) {
	g.longest = max(g.longest, now-g.last)
	g.last = now
}

func (t *answerTimes) answer(now time.Duration) { t.answers.event(now) }

func (t *answerTimes) start(now time.Duration) {
	t.startsSeen++
	t.starts.event(now)
}

// watch begins anew.
func (t *answerTimes) watch(now time.Duration) {
	t.answers, t.starts = gap{last: now}, gap{last: now}
}

// seen gives the longest times until now.
func (t *answerTimes) seen(now time.Duration) (answers, starts time.Duration) {
	return max(t.answers.longest, now-t.answers.last), max(t.starts.longest, now-t.starts.last)
}
