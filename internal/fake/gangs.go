package fake

import (
	"time"
)

func (w *World) members(t *work, f func(*work)) {
	w.each(func(_ *Worker, t2 *work) {
		if t2.Job == t.Job && t2.Try == t.Try {
			f(t2)
		}
	})
}

// gangComplete tells whether every task of the attempt waits or runs.
func (w *World) gangComplete(t *work) bool {
	n := 0
	w.members(t, func(*work) { n++ })
	return n == t.job.Sub.Tasks
}

// gangWhole tells whether no task of a running gang has been lost; a moment is
// allowed for all to begin.
func (w *World) gangWhole(t *work) bool {
	return w.Now-t.ran < time.Second || w.gangComplete(t) || t.job.DoneTasks[t.Task]
}
