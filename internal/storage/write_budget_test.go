package storage

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// referenceBudget is a token bucket written down as simply as possible: it fills at the rate, up to
// one second's worth of keys.
type referenceBudget struct {
	keysPerS, tokens float64
	at               time.Duration
}

func (r *referenceBudget) capacity() float64 { return math.Max(1, math.Floor(r.keysPerS)) }

func (r *referenceBudget) advance(now time.Duration) {
	r.tokens = math.Min(r.capacity(), r.tokens+r.keysPerS*(now-r.at).Seconds())
	r.at = now
}

// setRate keeps what was saved up, as far as the new capacity goes.
func (r *referenceBudget) setRate(now time.Duration, keysPerS float64) {
	r.advance(now)
	r.keysPerS = keysPerS
	r.tokens = math.Min(r.tokens, r.capacity())
}

// budgetComparison is a budget with its reference, and what both have let through.
type budgetComparison struct {
	t         *rapid.T
	budget    writeBudget
	reference referenceBudget
	now       time.Duration

	admitted        []admittedWrite
	accrued         float64 // keys that the rates have let in up to now
	highestCapacity float64
}

// admittedWrite is a transaction that was let through, and how many keys the rates had let in by then.
type admittedWrite struct{ keys, accrued float64 }

// drawKeysPerS draws a rate: below one key a second, small, or large.
func drawKeysPerS(t *rapid.T) float64 {
	return rapid.SampledFrom([]float64{0.25, 0.95, 1.25, 2, 3.8, 8, 19, 38, 76, 400}).Draw(t, "keys a second")
}

// newBudgetComparison makes a full budget, as a new leader has.
func newBudgetComparison(t *rapid.T) *budgetComparison {
	keysPerS := drawKeysPerS(t)
	d := &budgetComparison{t: t, budget: newWriteBudget(keysPerS), now: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "first step"))}
	d.reference = referenceBudget{keysPerS: keysPerS, at: d.now}
	d.reference.tokens = d.reference.capacity()
	d.highestCapacity = d.reference.capacity()
	return d
}

// advance lets time advance, or none: several things may happen in a step.
func (d *budgetComparison) advance() {
	passed := time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(d.t, "passed"))
	d.now += passed
	d.accrued += d.reference.keysPerS * passed.Seconds()
}

// changeRate changes the rate several times in a step, at the end of which the budget is asked:
// the last one counts.
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

// take asks for the budget of a transaction, also of one that is larger than the capacity.
func (d *budgetComparison) take() {
	const rounding = 1e-6 // of a key
	keys := rapid.IntRange(1, 32).Draw(d.t, "keys")
	d.reference.advance(d.now)
	needed := math.Min(float64(keys), d.reference.capacity())
	got := d.budget.take(d.now, keys)
	if want := d.reference.tokens >= needed; got != want && math.Abs(d.reference.tokens-needed) > rounding {
		d.t.Fatalf("%v: %d keys are let through: %t, with %v of %v saved up", d.now, keys, got, d.reference.tokens, d.reference.capacity())
	}
	if got {
		d.reference.tokens -= needed
		d.admitted = append(d.admitted, admittedWrite{needed, d.accrued})
	}
}

// requireWithinRate fails if in any time more was let through than the rates let in, beyond one
// full budget.
func (d *budgetComparison) requireWithinRate() {
	const rounding = 1e-3
	for first := range d.admitted {
		sum := 0.0
		for _, s := range d.admitted[first:] {
			sum += s.keys
			if allowed := d.highestCapacity + s.accrued - d.admitted[first].accrued; sum > allowed+rounding {
				d.t.Fatalf("%v keys were let through where the rates allow %v", sum, allowed)
			}
		}
	}
}

// requireFills fails unless the budget is full once its rate explains that, whatever was changed,
// and a stall is only told after that.
func (d *budgetComparison) requireFills() {
	d.now += d.budget.fillTime() + time.Millisecond
	if got, want := d.budget.available(d.now), d.reference.capacity(); math.Abs(got-want) > 1e-6 {
		d.t.Fatalf("%v of %v keys after the time in which it fills", got, want)
	}
	if !d.budget.take(d.now, math.MaxInt32) || d.budget.stalled(d.now) {
		d.t.Fatal("a full budget lets nothing through, or counts as stalled")
	}
}

// The rate is changed at any time: with a full, an empty and a partly used budget, several times in
// a step and in the first one, up and down. The budget lets through what a simple model of it does,
// never more than the rates let in beyond one full budget, and is full again as soon as its rate
// explains that. Before the mend of docs/incidents/2026-12-03-write-budget-never-fills.md it was
// filled at once by the change, and then not at all.
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

// A budget that is merely used up doesn't count as stalled, also while a transaction of nearly its
// whole capacity is sent again and again; one that the time passes by does, after twice the time in
// which it would have filled.
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
			t.Fatalf("%v: stalled, and it was only used up", now)
		}
	}
	if status := s.WriteBudget(now); status.WaitingFor == 0 || status.WaitingFor > time.Second || status.KeysPerS != 10 {
		t.Errorf("got %+v", status)
	}
	s.budget.limiter.AllowN(limiterTime(now), int(s.budget.available(now)))
	s.budget.limiter.SetLimitAt(limiterTime(now+time.Hour), s.budget.limiter.Limit()) // the fault
	s.budget.limiter.AllowN(limiterTime(now+time.Hour), s.budget.capacity())
	for from := now; !s.WriteBudgetStalled(now); {
		now += retryInterval
		if s.NextWrite(now, term, true) != nil || now > from+time.Minute {
			t.Fatalf("%v after the budget stopped filling: sent, or not called stalled", now-from)
		}
	}
	if waited := s.WriteBudget(now).WaitingFor; waited <= 2*time.Second || waited > 4*time.Second {
		t.Errorf("called stalled after %v", waited)
	}
}
