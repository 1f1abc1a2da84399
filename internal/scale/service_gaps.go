package scale

import "time"

// serviceGaps measures for how long users get no answer, and workers start no task. The
// testbed's loop owns it; moments are the simulated world's.
type serviceGaps struct {
	answers, starts gap
	totalStarts     int64 // never reset
}

// gap is the longest time between two events since it was reset.
type gap struct{ last, longest time.Duration }

func (g *gap) record(now time.Duration) {
	g.longest = g.longestUntil(now)
	g.last = now
}

// longestUntil is the longest time without an event, if that lasts longestUntil now.
func (g *gap) longestUntil(now time.Duration) time.Duration { return max(g.longest, now-g.last) }

func (s *serviceGaps) answered(now time.Duration) { s.answers.record(now) }

func (s *serviceGaps) started(now time.Duration) {
	s.totalStarts++
	s.starts.record(now)
}

// reset begins a measurement.
func (s *serviceGaps) reset(now time.Duration) {
	s.answers, s.starts = gap{last: now}, gap{last: now}
}
