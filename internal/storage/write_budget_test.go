package storage

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// referenceBudget is a minimal token bucket. It fills at its rate, up to one second's worth of
// keys.
type referenceBudget struct {
	keysPerS, tokens float64
	at               time.Duration
}

func (r *referenceBudget) capacity() float64 { return math.Max(1, math.Floor(r.keysPerS)) }

func (r *referenceBudget) advance(now time.Duration) {
	r.tokens = math.Min(r.capacity(), r.tokens+r.keysPerS*(now-r.at).Seconds())
	r.at = now
}

// setRate changes the rate and keeps unused tokens, up to the new capacity.
func (r *referenceBudget) setRate(now time.Duration, keysPerS float64) {
	r.advance(now)
	r.keysPerS = keysPerS
	r.tokens = math.Min(r.tokens, r.capacity())
}

// budgetComparison is a budget, its reference and the writes that both admitted.
type budgetComparison struct {
	t         *rapid.T
	budget    writeBudget
	reference referenceBudget
	now       time.Duration

	admitted        []admittedWrite
	accrued         float64 // sum of the keys that the rates allowed up to now
	highestCapacity float64
}

// admittedWrite is an admitted transaction, and the accrued keys at that time.
type admittedWrite struct{ keys, accrued float64 }

// drawKeysPerS draws a rate: less than one key per second, small or large.
func drawKeysPerS(t *rapid.T) float64 {
	return rapid.SampledFrom([]float64{0.25, 0.95, 1.25, 2, 3.8, 8, 19, 38, 76, 400}).Draw(t, "keys a second")
}

// newBudgetComparison starts with a full budget, as a new leader does.
func newBudgetComparison(t *rapid.T) *budgetComparison {
	keysPerS := drawKeysPerS(t)
	d := &budgetComparison{t: t, budget: newWriteBudget(keysPerS), now: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "first step"))}
	d.reference = referenceBudget{keysPerS: keysPerS, at: d.now}
	d.reference.tokens = d.reference.capacity()
	d.highestCapacity = d.reference.capacity()
	return d
}

// advance advances the time, possibly by zero, since several actions may occur in one step.
func (d *budgetComparison) advance() {
	passed := time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(d.t, "passed"))
	d.now += passed
	d.accrued += d.reference.keysPerS * passed.Seconds()
}

// changeRate sets the rate one to three times before the budget is used again. Only the last
// rate takes effect.
func (d *budgetComparison) changeRate() {
	var last float64
	for range rapid.IntRange(1, 3).Draw(d.t, "changes") {
		last = drawKeysPerS(d.t)
		d.budget.setRate(last)
	}
	d.budget.available(d.now)
	d.reference.setRate(d.now, last)
	d.highestCapacity = math.Max(d.highestCapacity, d.reference.capacity())
}

// take takes the budget for a transaction, which may be larger than the capacity.
func (d *budgetComparison) take() {
	const rounding = 1e-6 // of a key
	keys := rapid.IntRange(1, 32).Draw(d.t, "keys")
	d.reference.advance(d.now)
	needed := math.Min(float64(keys), d.reference.capacity())
	got := d.budget.take(d.now, keys)
	if want := d.reference.tokens >= needed; got != want && math.Abs(d.reference.tokens-needed) > rounding {
		d.t.Fatalf("%v: %d keys admitted: %t, with %v of %v tokens available", d.now, keys, got, d.reference.tokens, d.reference.capacity())
	}
	if got {
		d.reference.tokens -= needed
		d.admitted = append(d.admitted, admittedWrite{needed, d.accrued})
	}
}

// requireWithinRate fails if more keys were admitted in any period than the rates allow, plus
// the capacity of one full budget.
func (d *budgetComparison) requireWithinRate() {
	const rounding = 1e-3
	for first := range d.admitted {
		sum := 0.0
		for _, s := range d.admitted[first:] {
			sum += s.keys
			if allowed := d.highestCapacity + s.accrued - d.admitted[first].accrued; sum > allowed+rounding {
				d.t.Fatalf("%v keys were admitted, but the rates allow only %v", sum, allowed)
			}
		}
	}
}

// requireFills fails unless the budget is full after its fill time, regardless of earlier changes
// of the rate, and is not reported as stalled then.
func (d *budgetComparison) requireFills() {
	d.now += d.budget.fillTime() + time.Millisecond
	if got, want := d.budget.available(d.now), d.reference.capacity(); math.Abs(got-want) > 1e-6 {
		d.t.Fatalf("%v of %v keys available after the fill time", got, want)
	}
	if !d.budget.take(d.now, math.MaxInt32) || d.budget.stalled(d.now) {
		d.t.Fatal("a full budget admits no write, or is reported as stalled")
	}
}

// The rate is changed at arbitrary times: with a full, empty or partly used budget, several times
// in a step, in the first step, up and down. The budget must admit the same writes as a simple
// model, never more than the rates allow plus one full budget, and must be full after its fill
// time. This guards against the fault in docs/incidents/2026-12-03-write-budget-never-fills.md:
// a change of the rate filled the budget at once and then stopped it from filling.
func TestWriteBudgetFollowsItsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newBudgetComparison(t)
		actions := []func(){d.advance, d.advance, d.take, d.take, d.take, d.changeRate}
		for range rapid.IntRange(1, 60).Draw(t, "actions") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
		}
		d.requireWithinRate()
		d.requireFills()
	})
}

// A budget that is merely exhausted is not reported as stalled, even while a transaction of nearly
// its whole capacity is retried repeatedly. A budget that no longer fills is reported as stalled
// after twice its fill time.
func TestWriteBudgetDetectsStalls(t *testing.T) {
	s := NewStore(Limits{PageBytes(1), 8, 10}, "t", retryInterval)
	for i := range 8 {
		s.MarkDirty(0, &testItem{fmt.Sprint("large", i), 800}, nil)
	}
	large := s.NextWrite(0, term, true)
	s.RetryLater(0, large)
	now := retryInterval
	for ; now < 10*time.Second; now += retryInterval {
		if s.NextWrite(now, term, true) != nil {
			s.RetryLater(now, large)
		}
		if s.WriteBudgetStalled(now) {
			t.Fatalf("%v: reported as stalled, but the budget is only exhausted", now)
		}
	}
	if status := s.WriteBudget(now); status.WaitingFor == 0 || status.WaitingFor > time.Second || status.KeysPerS != 10 {
		t.Errorf("got %+v", status)
	}
	s.budget.limiter.AllowN(limiterTime(now), int(s.budget.available(now)))
	s.budget.limiter.SetLimitAt(limiterTime(now+time.Hour), s.budget.limiter.Limit()) // stops the budget from filling
	s.budget.limiter.AllowN(limiterTime(now+time.Hour), s.budget.capacity())
	for from := now; !s.WriteBudgetStalled(now); {
		now += retryInterval
		if s.NextWrite(now, term, true) != nil || now > from+time.Minute {
			t.Fatalf("%v after the budget stopped filling: a write was sent, or no stall was reported", now-from)
		}
	}
	if waited := s.WriteBudget(now).WaitingFor; waited <= 2*time.Second || waited > 4*time.Second {
		t.Errorf("stall reported after %v", waited)
	}
}
