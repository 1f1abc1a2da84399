package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestWaitsDoubleUpToABound(t *testing.T) {
	p := Policy{First: time.Second, Most: 10 * time.Second}
	random := rand.New(rand.NewPCG(1, 2))
	for failures, want := range []time.Duration{0, 1, 2, 4, 8, 10, 10} {
		if got := p.Wait(failures, random); got != want*time.Second {
			t.Errorf("after %d failures %v, not %v", failures, got, want*time.Second)
		}
	}
	if got := p.Wait(1_000_000, random); got != p.Most {
		t.Errorf("after a million failures %v", got)
	}
}

func TestWaitsAreDrawnApart(t *testing.T) {
	p := Policy{First: time.Second, Most: 8 * time.Second, Jitter: 0.25}
	random := rand.New(rand.NewPCG(1, 2))
	least, most := time.Hour, time.Duration(0)
	for range 1000 {
		w := p.Wait(9, random)
		least, most = min(least, w), max(most, w)
	}
	if least < 6*time.Second || most > 10*time.Second {
		t.Errorf("between %v and %v, outside a quarter of 8 s", least, most)
	}
	if most-least < 3*time.Second {
		t.Errorf("between %v and %v: hardly drawn apart", least, most)
	}
}
