// Package pause finds out that a process has stood still while its clocks ran on: the
// machine was suspended, or gave it no processor time. It decides from the times at which
// the process's owner looks at the clock, which it does every few milliseconds while all
// is well. The package reads no clock itself.
package pause

import "time"

// Detector watches the times of one owner's steps.
type Detector struct {
	// Threshold is how long the owner may take from one step to the next.
	Threshold time.Duration

	stepped bool
	last    time.Duration
	totals  Totals
	resumed time.Duration
}

// Totals are the pauses since the process began.
type Totals struct {
	Count   int64
	Sum     time.Duration
	Longest time.Duration
}

// Step notes that the owner looks at the clock. It gives for how long the process has
// stood still since the step before; 0: it has not.
func (d *Detector) Step(now time.Duration) time.Duration {
	gap := now - d.last
	began := !d.stepped
	d.last, d.stepped = now, true
	if began || gap <= d.Threshold {
		return 0
	}
	d.resumed = now
	d.totals.Count++
	d.totals.Sum += gap
	d.totals.Longest = max(d.totals.Longest, gap)
	return gap
}

// Since gives the later of a moment and the end of the last pause: what was not heard
// while the process stood still says nothing of whoever was silent.
func (d *Detector) Since(at time.Duration) time.Duration {
	if d.totals.Count == 0 {
		return at
	}
	return max(at, d.resumed)
}

// Within tells whether the last pause ended no longer than so long ago.
func (d *Detector) Within(now, span time.Duration) bool {
	return d.totals.Count > 0 && now-d.resumed < span
}

// Totals gives what has been found so far.
func (d *Detector) Totals() Totals { return d.totals }
