package latency

import (
	"testing"
	"time"
)

// Times are summed up by name, those beyond the range as the longest, and forgotten when
// that is asked for.
func TestSummaries(t *testing.T) {
	r := NewRecorder()
	for i := range 100 {
		r.Add("a", time.Duration(i+1)*time.Millisecond)
	}
	r.Add("b", time.Hour)
	s := r.Summaries()
	if a := s["a"]; a.Count != 100 || a.P50 < 49 || a.P50 > 52 || a.P99 < 98 || a.P99 > 101 || a.Max < 99 || a.Max > 101 {
		t.Errorf("%+v", a)
	}
	if b := s["b"]; b.Count != 1 || b.Max < 590_000 || b.Max > 610_000 {
		t.Errorf("%+v", b)
	}
	r.Reset()
	if len(r.Summaries()) > 0 {
		t.Error("something is left")
	}
}
