package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func TestBackoffDoublesUpToMaxDelay(t *testing.T) {
	p := Policy{InitialDelay: time.Second, MaxDelay: 10 * time.Second}
	random := rand.New(rand.NewPCG(1, 2))
	for failures, want := range map[int]time.Duration{0: 0, 1: 1, 2: 2, 3: 4, 4: 8, 5: 10, 6: 10, 1_000_000: 10} {
		t.Run(fmt.Sprintf("%d failures", failures), func(t *testing.T) {
			if got := p.Backoff(failures, random); got != want*time.Second {
				t.Errorf("wait %v, want %v", got, want*time.Second)
			}
		})
	}
}

func TestBackoffIsSpreadByJitter(t *testing.T) {
	p := Policy{InitialDelay: time.Second, MaxDelay: 8 * time.Second, Jitter: 0.25}
	random := rand.New(rand.NewPCG(1, 2))
	least, most := time.Hour, time.Duration(0)
	for range 1000 {
		wait := p.Backoff(9, random)
		least, most = min(least, wait), max(most, wait)
	}
	if least < 6*time.Second || most > 10*time.Second {
		t.Errorf("between %v and %v, outside a quarter of 8 s", least, most)
	}
	if most-least < 3*time.Second {
		t.Errorf("between %v and %v: hardly spread", least, most)
	}
}
