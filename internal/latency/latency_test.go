package latency

import (
	"testing"
	"time"
)

func TestSummariesByName(t *testing.T) {
	r := NewRecorder()
	for i := range 100 {
		r.Add("a", time.Duration(i+1)*time.Millisecond)
	}
	r.Add("b", time.Hour)
	s := r.Summaries()
	if a := s["a"]; a.Count != 100 || a.P50 < 49 || a.P50 > 52 || a.P99 < 98 || a.P99 > 101 || a.Max < 99 || a.Max > 101 {
		t.Errorf("%+v", a)
	}
	// An hour is beyond the range: it counts as ten minutes.
	if b := s["b"]; b.Count != 1 || b.Max < 590_000 || b.Max > 610_000 {
		t.Errorf("%+v", b)
	}
}

func TestResetDropsAllHistograms(t *testing.T) {
	r := NewRecorder()
	r.Add("a", time.Second)
	r.Reset()
	if s := r.Summaries(); len(s) > 0 {
		t.Errorf("%+v after the reset", s)
	}
}
