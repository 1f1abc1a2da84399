// Package pause detects that a process was paused while its clocks ran on: the machine was
// suspended, or gave it no processor time. A pause shows as a gap between two steps of the
// process's event loop, which follow each other within milliseconds in normal operation. The
// package reads no clock itself; all times are of one monotonic clock of the caller.
package pause

import "time"

// Detector detects pauses between the steps of one event loop. Only the goroutine of that loop
// may use it.
type Detector struct {
	// Threshold is the longest time from one step to the next that doesn't count as a pause.
	Threshold time.Duration

	stepped   bool // Step has been called
	lastStep  time.Duration
	resumedAt time.Duration // end of the last pause
	totals    Totals
}

// Totals holds the number and the durations of the pauses since the process began.
type Totals struct {
	Count   int64
	Sum     time.Duration
	Longest time.Duration
}

// Step records a step of the event loop. It returns how long the process was paused since the
// previous step, or 0 if it was not.
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

// ClampToResume returns the later of a time and the end of the last pause. Timeouts count from the
// result: a missing message says nothing about its sender if the receiver was paused.
func (d *Detector) ClampToResume(at time.Duration) time.Duration {
	if d.totals.Count == 0 {
		return at
	}
	return max(at, d.resumedAt)
}

// ResumedWithin reports whether the last pause ended less than span ago.
func (d *Detector) ResumedWithin(now, span time.Duration) bool {
	return d.totals.Count > 0 && now-d.resumedAt < span
}

// Totals returns the totals so far.
func (d *Detector) Totals() Totals { return d.totals }
