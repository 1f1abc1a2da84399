package controller

import "fmt"

// CheckCounts compares the counts that a leader keeps of each job with its tasks.
func (c *Controller) CheckCounts() error {
	if c.leader == nil {
		return nil
	}
	for _, j := range c.leader.state.JobOrder {
		unfinished, stopping := 0, 0
		for _, t := range j.ActiveTasks {
			if !j.IsDone(t.Index) {
				unfinished++
			}
			if t.Stopping {
				stopping++
			}
		}
		if unfinished != j.UnfinishedTasks() || stopping != j.StoppingTasks() {
			return fmt.Errorf("%s: %d unfinished and %d stopping tasks, counted as %d and %d",
				j.ID, unfinished, stopping, j.UnfinishedTasks(), j.StoppingTasks())
		}
	}
	return nil
}
