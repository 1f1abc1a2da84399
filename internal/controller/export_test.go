package controller

// What the stories need to see of the inside.

import "fmt"

// CheckCounts compares the counts that a leader keeps of each job with its tasks.
func (n *Controller) CheckCounts() error {
	if n.engine == nil {
		return nil
	}
	for _, j := range n.engine.order {
		unfinished, stopping := 0, 0
		for _, t := range j.tasks {
			if !j.isDone(t.index) {
				unfinished++
			}
			if t.stopping {
				stopping++
			}
		}
		if unfinished != j.unfinished || stopping != j.stopping {
			return fmt.Errorf("%s: %d unfinished and %d stopping tasks, counted as %d and %d", j.ID, unfinished, stopping, j.unfinished, j.stopping)
		}
	}
	return nil
}
