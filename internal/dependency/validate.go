package dependency

import (
	"fmt"
	"slices"
)

// HasPrerequisite reports whether the node has an unfinished prerequisite with the given ID. A nil
// node has none.
func (n *Node) HasPrerequisite(id string) bool {
	return n != nil && slices.ContainsFunc(n.prerequisites, func(p *Node) bool { return p.job.ID == id })
}

// Validate checks the invariants of the graph, for tests: every node is the one that its job refers
// to, edges are recorded in both directions and end at nodes of the graph, and the priority and
// latest finish of every node follow from the jobs in the graph. nodeOf returns the node of a job
// that has not ended, or nil if the job has ended or is unknown.
func (g *Graph) Validate(nodeOf func(id string) *Node) error {
	for id, n := range g.nodes {
		if n.job.ID != id || nodeOf(id) != n {
			return fmt.Errorf("%s is in the graph, but its job has ended, is unknown or refers to another node", id)
		}
		if err := g.validateEdges(n); err != nil {
			return err
		}
		if err := n.validatePropagation(); err != nil {
			return err
		}
	}
	return nil
}

func (g *Graph) validateEdges(n *Node) error {
	for _, p := range n.prerequisites {
		if g.nodes[p.job.ID] != p || !slices.Contains(p.dependents, n) {
			return fmt.Errorf("%s depends on %s, which is not in the graph or does not list it as a dependent", n.job.ID, p.job.ID)
		}
	}
	for _, dependent := range n.dependents {
		if g.nodes[dependent.job.ID] != dependent || !slices.Contains(dependent.prerequisites, n) {
			return fmt.Errorf("%s has the dependent %s, which is not in the graph or does not list it as a prerequisite", n.job.ID, dependent.job.ID)
		}
	}
	return nil
}

func (n *Node) validatePropagation() error {
	priority, latest := n.job.Priority, n.job.DeadlineMs
	for _, dependent := range n.dependents {
		priority = max(priority, dependent.priority)
		latest = min(latest, dependent.LatestStartMs())
	}
	if n.priority != priority || n.latestFinishMs != latest {
		return fmt.Errorf("%s has priority %v and latest finish %d, not %v and %d as computed from its dependents",
			n.job.ID, n.priority, n.latestFinishMs, priority, latest)
	}
	return nil
}
