package scale

import "time"

// serviceGaps measures the longest period without an answer to a user and the longest period without
// a task start. The testbed's loop owns it. Times are on the simulated world's clock.
type serviceGaps struct {
	answers, starts gap
	totalStarts     int64 // since the start of the step; reset doesn't change it
}

// gap measures the longest period between two consecutive events since the last reset.
type gap struct{ last, longest time.Duration }

func (g *gap) record(now time.Duration) {
	g.longest = g.longestUntil(now)
	g.last = now
}

// longestUntil returns the longest period without an event, including the one from the last event
// until now.
func (g *gap) longestUntil(now time.Duration) time.Duration { return max(g.longest, now-g.last) }

func (s *serviceGaps) answered(now time.Duration) { s.answers.record(now) }

func (s *serviceGaps) started(now time.Duration) {
	s.totalStarts++
	s.starts.record(now)
}

// reset starts a new measurement.
func (s *serviceGaps) reset(now time.Duration) {
	s.answers, s.starts = gap{last: now}, gap{last: now}
}
