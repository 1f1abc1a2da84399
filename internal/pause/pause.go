// Package pause detects that a process was paused while its clocks ran on: the machine was
// suspended, or gave it no processor time. It concludes that from the times of the steps of
// the process's event loop, which follow within milliseconds in normal operation. The
// package reads no clock itself; all times are of one monotonic clock of the caller.
package pause

import "time"

// Detector detects pauses between the steps of one event loop. It belongs to the goroutine
// of that loop.
type Detector struct {
	// Threshold is how long the loop may take from one step to the next without that
	// counting as a pause.
	Threshold time.Duration

	stepped   bool // at least once
	lastStep  time.Duration
	resumedAt time.Duration // end of the last pause
	totals    Totals
}

// Totals sum up the pauses since the process began.
type Totals struct {
	Count   int64
	Sum     time.Duration
	Longest time.Duration
}

// Step notes a step of the event loop. It returns how long the process was paused since the
// step before, or 0 if it was not.
func (d *Detector) Step(now time.Duration) time.Duration {
	gap := now - d.lastStep
	first := !d.stepped
	d.lastStep, d.stepped = now, true
	if first || gap <= d.Threshold {
		return 0
	}
	d.resumedAt = now
	d.totals.Count++
	d.totals.Sum += gap
	d.totals.Longest = max(d.totals.Longest, gap)
	return gap
}

// ClampToResume returns the later of a time and the end of the last pause. Timeouts count from it:
// what was not received during a pause says nothing about the sender.
func (d *Detector) ClampToResume(at time.Duration) time.Duration {
	if d.totals.Count == 0 {
		return at
	}
	return max(at, d.resumedAt)
}

// ResumedWithin tells whether the last pause ended less than span ago.
func (d *Detector) ResumedWithin(now, span time.Duration) bool {
	return d.totals.Count > 0 && now-d.resumedAt < span
}

// Totals returns the sums so far.
func (d *Detector) Totals() Totals { return d.totals }
