package pause

import (
	"testing"
	"time"
)

func TestPausesAreDetectedBetweenSteps(t *testing.T) {
	d := Detector{Threshold: time.Second}
	steps := []struct{ at, want time.Duration }{
		{5 * time.Second, 0}, // the first step has no previous one
		{6 * time.Second, 0},
		{7*time.Second + time.Millisecond, time.Second + time.Millisecond},
		{8 * time.Second, 0},
		{33 * time.Second, 25 * time.Second},
	}
	for _, s := range steps {
		if paused := d.Step(s.at); paused != s.want {
			t.Errorf("at %v: paused for %v, want %v", s.at, paused, s.want)
		}
	}
	want := Totals{Count: 2, Sum: 26*time.Second + time.Millisecond, Longest: 25 * time.Second}
	if got := d.Totals(); got != want {
		t.Errorf("totals %+v, want %+v", got, want)
	}
}

func TestDetectorBeforeFirstPause(t *testing.T) {
	d := Detector{Threshold: time.Second}
	d.Step(0)
	if d.ClampToResume(0) != 0 || d.ResumedWithin(0, time.Hour) {
		t.Error("a pause is reported before the first one")
	}
}

func TestTimeoutsCountFromEndOfPause(t *testing.T) {
	d := Detector{Threshold: time.Second}
	d.Step(0)
	d.Step(10 * time.Second)
	if got := d.ClampToResume(3 * time.Second); got != 10*time.Second {
		t.Errorf("got %v, want the end of the pause, 10s", got)
	}
	if got := d.ClampToResume(12 * time.Second); got != 12*time.Second {
		t.Errorf("got %v, want 12s", got)
	}
	if !d.ResumedWithin(12*time.Second, 3*time.Second) || d.ResumedWithin(13*time.Second, 3*time.Second) {
		t.Error("ResumedWithin is wrong at the end of the span")
	}
}
