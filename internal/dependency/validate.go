package dependency

import (
	"fmt"
	"slices"
)

// Needs reports whether a job is a prerequisite of this one that isn't over. A nil node needs
// none.
func (n *Node) Needs(id string) bool {
	return n != nil && slices.ContainsFunc(n.prerequisites, func(p *Node) bool { return p.job.ID == id })
}

// Validate checks what the graph promises, for tests: every node is the one that its job refers
// to, edges agree in both directions and end at nodes of the graph, and priorities and deadlines
// follow from the jobs that are in it. nodeOf returns the node of a job that isn't over; nil: the
// job is over, or unknown.
func (g *Graph) Validate(nodeOf func(id string) *Node) error {
	for id, n := range g.nodes {
		if n.job.ID != id || nodeOf(id) != n {
			return fmt.Errorf("%s is in the graph, and its job is over or refers to another node", id)
		}
		if err := g.validateEdges(n); err != nil {
			return err
		}
		if err := n.validateFigures(); err != nil {
			return err
		}
	}
	return nil
}

func (g *Graph) validateEdges(n *Node) error {
	for _, p := range n.prerequisites {
		if g.nodes[p.job.ID] != p || !slices.Contains(p.dependents, n) {
			return fmt.Errorf("%s needs %s, which is not in the graph or doesn't know it", n.job.ID, p.job.ID)
		}
	}
	for _, dependent := range n.dependents {
		if g.nodes[dependent.job.ID] != dependent || !slices.Contains(dependent.prerequisites, n) {
			return fmt.Errorf("%s is needed by %s, which is not in the graph or doesn't know it", n.job.ID, dependent.job.ID)
		}
	}
	return nil
}

func (n *Node) validateFigures() error {
	priority, latest := n.job.Priority, n.job.DeadlineMs
	for _, dependent := range n.dependents {
		priority = max(priority, dependent.priority)
		latest = min(latest, dependent.LatestStartMs())
	}
	if n.priority != priority || n.latestFinishMs != latest {
		return fmt.Errorf("%s has priority %v and latest finish %d, not %v and %d as its dependents say",
			n.job.ID, n.priority, n.latestFinishMs, priority, latest)
	}
	return nil
}
