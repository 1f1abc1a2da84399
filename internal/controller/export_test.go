package controller

import (
	"fmt"

	"oakpick/internal/cluster"
	"oakpick/internal/dependency"
)

// CheckCounts compares the leader's task counts of each job with the job's tasks.
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
		if unfinished != j.UnfinishedActiveTasks() || stopping != j.StoppingTasks() {
			return fmt.Errorf("%s: %d unfinished and %d stopping tasks, counted as %d and %d",
				j.ID, unfinished, stopping, j.UnfinishedActiveTasks(), j.StoppingTasks())
		}
	}
	return nil
}

// CheckDependencies compares the leader's dependency graph and job order with its jobs. Both may
// contain only jobs that have not ended, and every job that is not cancelled must wait for exactly
// those of its prerequisites that have not ended.
func (c *Controller) CheckDependencies() error {
	if c.leader == nil {
		return nil
	}
	state := c.leader.state
	unfinishedNode := func(id string) *dependency.Node {
		j := state.Jobs[id]
		if j == nil || j.IsDurablyCancelled() {
			return nil
		}
		return j.Prerequisites.Node
	}
	if err := state.Dependencies.Validate(unfinishedNode); err != nil {
		return err
	}
	for _, j := range state.Jobs {
		if err := checkPrerequisites(state, j); err != nil {
			return err
		}
	}
	return checkJobOrder(state)
}

func checkPrerequisites(state *cluster.State, j *cluster.Job) error {
	if j.IsDurablyCancelled() {
		return nil
	}
	if node := j.Prerequisites.Node; node != state.Dependencies.Node(j.ID) {
		return fmt.Errorf("%s is not cancelled, but its node is not in the dependency graph", j.ID)
	}
	for _, id := range j.Prerequisites.IDs {
		if end := state.EndedJobs[id]; end != nil && end.Cancelled && !j.Cancelled {
			return fmt.Errorf("%s is not cancelled, but its prerequisite %s is", j.ID, id)
		}
		// A job that is cancelled on submission does not wait for its prerequisites.
		if waits := j.Prerequisites.Node.HasPrerequisite(id); waits != (state.Jobs[id] != nil) && !j.Cancelled {
			return fmt.Errorf("%s waits for %s: %t; that prerequisite is unfinished: %t", j.ID, id, waits, state.Jobs[id] != nil)
		}
	}
	return nil
}

func checkJobOrder(state *cluster.State) error {
	seen := map[string]bool{}
	for _, j := range state.JobOrder {
		if seen[j.ID] || j.Lifecycle.Ended || state.Jobs[j.ID] != j {
			return fmt.Errorf("%s has ended but is still in the job order, or is in it twice", j.ID)
		}
		seen[j.ID] = true
	}
	return nil
}

// Kinds of prerequisites, by the information that the leader keeps about them.
const (
	PrerequisiteUnfinished = "unfinished"
	PrerequisiteCancelled  = "cancelled, not ended"
	PrerequisiteEnded      = "ended"
	PrerequisiteArchived   = "archived"
)

// PrerequisiteKind returns the kind of prerequisite that an accepted job would be, or an empty string
// if the controller does not lead.
func (c *Controller) PrerequisiteKind(id string) string {
	if c.leader == nil {
		return ""
	}
	state := c.leader.state
	switch j := state.Jobs[id]; {
	case j != nil && j.Cancelled:
		return PrerequisiteCancelled
	case j != nil:
		return PrerequisiteUnfinished
	case state.EndedJobs[id] != nil:
		return PrerequisiteEnded
	}
	return PrerequisiteArchived
}

// HasPrerequisiteParts reports whether the leader stores a job's prerequisites in separate records.
func (c *Controller) HasPrerequisiteParts(id string) bool {
	return c.leader != nil && c.leader.state.Jobs[id] != nil && len(c.leader.state.Jobs[id].Prerequisites.Parts) > 0
}
