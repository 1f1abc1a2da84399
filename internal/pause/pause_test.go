package pause

import (
	"testing"
	"time"
)

func TestPausesAreFoundBetweenSteps(t *testing.T) {
	d := Detector{Threshold: time.Second}
	steps := []struct{ at, stood time.Duration }{
		{5 * time.Second, 0}, // the first step: nothing is known of before
		{6 * time.Second, 0},
		{7*time.Second + time.Millisecond, time.Second + time.Millisecond},
		{8 * time.Second, 0},
		{33 * time.Second, 25 * time.Second},
	}
	for _, s := range steps {
		if stood := d.Step(s.at); stood != s.stood {
			t.Errorf("at %v it stood still for %v, not %v", s.at, stood, s.stood)
		}
	}
	want := Totals{Count: 2, Sum: 26*time.Second + time.Millisecond, Longest: 25 * time.Second}
	if got := d.Totals(); got != want {
		t.Errorf("totals %+v, not %+v", got, want)
	}
}

func TestSilenceCountsFromTheEndOfAPause(t *testing.T) {
	d := Detector{Threshold: time.Second}
	d.Step(0)
	if d.Since(0) != 0 || d.Within(0, time.Hour) {
		t.Error("a pause is known before there was one")
	}
	d.Step(10 * time.Second)
	if got := d.Since(3 * time.Second); got != 10*time.Second {
		t.Errorf("silent since %v", got)
	}
	if got := d.Since(12 * time.Second); got != 12*time.Second {
		t.Errorf("silent since %v", got)
	}
	if !d.Within(12*time.Second, 3*time.Second) || d.Within(13*time.Second, 3*time.Second) {
		t.Error("a span after the pause has the wrong end")
	}
}
