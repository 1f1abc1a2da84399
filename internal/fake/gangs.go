package fake

import (
	"time"
)

// gangComplete tells whether every task of the attempt waits or runs.
func (w *World) gangComplete(t *attempt) bool {
	n := 0
	for m := range t.job.attemptsOnMachines {
		if m.Number == t.Number {
			n++
		}
	}
	return n == t.job.Submission.Tasks
}

// gangWhole tells whether no task of a running gang has been lost; a moment is
// allowed for all to begin.
func (w *World) gangWhole(t *attempt) bool {
	return w.Now-t.startedAt < time.Second || w.gangComplete(t) || t.job.DoneTasks[t.Task]
}
