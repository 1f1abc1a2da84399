// Package dependency implements the graph of jobs and their prerequisites. Only the edges are
// stored, with the dependent job. All other state follows from the edges and from how jobs ended,
// and a new leader recomputes it.
package dependency

import (
	"math"
	"slices"

	"oakpick/internal/protocol"
)

// NoDeadline is the deadline of a job that has none and that no job with a deadline depends on.
const NoDeadline = math.MaxInt64

// Job holds the properties of a job that the graph uses.
type Job struct {
	ID            string
	Priority      protocol.Priority
	DeadlineMs    int64 // wall-clock time, or NoDeadline
	ExpectedRunMs int64
}

// Graph holds the jobs that have not ended and that have prerequisites or dependents. It has no
// cycles: a job names only jobs accepted before it, and an edge of a damaged record that would
// close a cycle is counted as an unknown prerequisite.
type Graph struct {
	nodes  map[string]*Node
	visits int // number of nodes examined, for a test of its upper bound
}

// Node is a job in the graph.
type Node struct {
	job           Job
	prerequisites []*Node // prerequisites that have not ended
	dependents    []*Node
	unknown       int // number of prerequisites without a record; if not 0, the job never starts

	priority       protocol.Priority // highest priority among the job and all jobs that depend on it
	latestFinishMs int64             // latest end of the job that lets it and its dependents meet their deadlines
}

// NewGraph returns an empty graph.
func NewGraph() *Graph { return &Graph{nodes: map[string]*Node{}} }

// Node returns the node of a job, or nil if the job is not in the graph.
func (g *Graph) Node(id string) *Node { return g.nodes[id] }

// Insert adds a job without edges.
func (g *Graph) Insert(job Job) *Node {
	n := &Node{job: job, priority: job.Priority, latestFinishMs: job.DeadlineMs}
	g.nodes[job.ID] = n
	return n
}

// AddEdges adds edges from a job to its prerequisites, which have not ended, and counts those
// without a record. It returns how many of the edges were left out since they would close a cycle.
func (g *Graph) AddEdges(n *Node, prerequisites []*Node, unknown int) (cyclic int) {
	for _, p := range prerequisites {
		if g.reaches(p, n) {
			cyclic++
			continue
		}
		n.prerequisites = append(n.prerequisites, p)
		p.dependents = append(p.dependents, n)
	}
	n.unknown += unknown + cyclic
	g.propagateToPrerequisites(n)
	return cyclic
}

// reaches reports whether from and to are the same job, or from depends on to directly or
// transitively. A new job has no dependents, so no nodes are examined for it.
func (g *Graph) reaches(from, to *Node) bool {
	if from == to {
		return true
	}
	if len(to.dependents) == 0 {
		return false
	}
	seen := map[*Node]bool{from: true}
	next := []*Node{from}
	for len(next) > 0 {
		n := next[len(next)-1]
		next = next[:len(next)-1]
		for _, p := range n.prerequisites {
			g.visits++
			if p == to {
				return true
			}
			if !seen[p] {
				seen[p] = true
				next = append(next, p)
			}
		}
	}
	return false
}

// Blocked reports whether a prerequisite of the job is not done yet. A nil node has no prerequisites.
func (n *Node) Blocked() bool { return n != nil && (len(n.prerequisites) > 0 || n.unknown > 0) }

// Priority returns the highest priority among the job and all jobs that depend on it.
func (n *Node) Priority() protocol.Priority { return n.priority }

// LatestStartMs returns the latest start of the job that lets it and its dependents meet their
// deadlines.
func (n *Node) LatestStartMs() int64 {
	if n.latestFinishMs == NoDeadline {
		return NoDeadline
	}
	return n.latestFinishMs - n.job.ExpectedRunMs
}

// propagateToPrerequisites propagates a job's priority and deadline to its prerequisites,
// transitively. It follows only the edges of jobs whose values change.
func (g *Graph) propagateToPrerequisites(n *Node) {
	changed := []*Node{n}
	for len(changed) > 0 {
		n := changed[len(changed)-1]
		changed = changed[:len(changed)-1]
		for _, p := range n.prerequisites {
			g.visits++
			if n.priority > p.priority || n.LatestStartMs() < p.latestFinishMs {
				p.priority = max(p.priority, n.priority)
				p.latestFinishMs = min(p.latestFinishMs, n.LatestStartMs())
				changed = append(changed, p)
			}
		}
	}
}

// recompute recomputes a job's priority and deadline after a dependent was removed, and propagates changes.
func (g *Graph) recompute(n *Node) {
	changed := []*Node{n}
	for len(changed) > 0 {
		n := changed[len(changed)-1]
		changed = changed[:len(changed)-1]
		priority, latest := n.job.Priority, n.job.DeadlineMs
		for _, dependent := range n.dependents {
			g.visits++
			priority = max(priority, dependent.priority)
			latest = min(latest, dependent.LatestStartMs())
		}
		if priority != n.priority || latest != n.latestFinishMs {
			n.priority, n.latestFinishMs = priority, latest
			changed = append(changed, n.prerequisites...)
		}
	}
}

// Complete removes a job that is done, and returns the jobs whose last unfinished prerequisite it
// was.
func (g *Graph) Complete(id string) (ready []string) {
	n := g.nodes[id]
	if n == nil {
		return nil
	}
	delete(g.nodes, id)
	for _, dependent := range n.dependents {
		g.visits += len(dependent.prerequisites)
		dependent.prerequisites = without(dependent.prerequisites, n)
		if !dependent.Blocked() {
			ready = append(ready, dependent.job.ID)
		}
	}
	n.dependents = nil
	return ready
}

// Cancel removes a cancelled job and all jobs that depend on it directly or transitively. It returns
// the dependents, each after one that it depends on.
func (g *Graph) Cancel(id string) (dependents []string) {
	root := g.nodes[id]
	if root == nil {
		return nil
	}
	delete(g.nodes, id)
	removed := []*Node{root}
	for i := 0; i < len(removed); i++ {
		for _, dependent := range removed[i].dependents {
			g.visits++
			if g.nodes[dependent.job.ID] != nil {
				delete(g.nodes, dependent.job.ID)
				removed = append(removed, dependent)
				dependents = append(dependents, dependent.job.ID)
			}
		}
	}
	for _, n := range removed {
		g.detach(n)
	}
	return dependents
}

// detach removes a removed job from the dependents of its remaining prerequisites.
func (g *Graph) detach(n *Node) {
	for _, p := range n.prerequisites {
		if g.nodes[p.job.ID] == nil {
			continue // also removed
		}
		g.visits += len(p.dependents)
		p.dependents = without(p.dependents, n)
		g.recompute(p)
	}
}

func without(list []*Node, n *Node) []*Node {
	return slices.DeleteFunc(list, func(x *Node) bool { return x == n })
}
