package scale

import (
	"testing"
	"time"
)

func TestGapIsLongestTimeWithoutEvents(t *testing.T) {
	var gaps serviceGaps
	gaps.reset(10 * time.Second)
	for _, at := range []time.Duration{11, 15, 17} {
		gaps.answered(at * time.Second)
	}
	gaps.started(12 * time.Second)
	for _, test := range []struct {
		name string
		gap  gap
		now  time.Duration
		want time.Duration
	}{
		{"between events", gaps.answers, 18 * time.Second, 4 * time.Second},
		{"since the last event", gaps.answers, 30 * time.Second, 13 * time.Second},
		{"another kind of event", gaps.starts, 13 * time.Second, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.gap.longestUntil(test.now); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
	gaps.reset(20 * time.Second)
	if got := gaps.answers.longestUntil(21 * time.Second); got != time.Second || gaps.totalStarts != 1 {
		t.Errorf("after a reset: gap %v, %d starts in total", got, gaps.totalStarts)
	}
}
