// Package dependency is the graph of jobs that need others to be done first. What is stored
// are the edges, with the dependent job. Everything else follows from them and from how jobs
// ended, and is computed anew by a new leader.
package dependency

import (
	"math"
	"slices"

	"oakpick/internal/protocol"
)

// NoDeadline is the deadline of a job that neither has one nor is needed by one that has.
const NoDeadline = math.MaxInt64

// Job is what the graph has to know of a job.
type Job struct {
	ID            string
	Priority      protocol.Priority
	DeadlineMs    int64 // time of day; NoDeadline: none
	ExpectedRunMs int64
}

// Graph knows jobs that aren't over, and of these only those that have prerequisites or
// dependents. It has no cycles: a job names only jobs accepted before it, and an edge of a
// damaged record that would close one is counted as an unknown prerequisite.
type Graph struct {
	nodes  map[string]*Node
	visits int // of nodes, for the test that counts what is examined
}

// Node is a job in the graph.
type Node struct {
	job           Job
	prerequisites []*Node // that aren't over
	dependents    []*Node
	unknown       int // prerequisites that nothing is known of: the job never starts

	priority       protocol.Priority // the highest of its own and of all jobs that need it
	latestFinishMs int64             // when it has to be done so that all that needs it can be in time
}

// NewGraph returns an empty graph.
func NewGraph() *Graph { return &Graph{nodes: map[string]*Node{}} }

// Node returns the node of a job, or nil.
func (g *Graph) Node(id string) *Node { return g.nodes[id] }

// Insert adds a job without edges.
func (g *Graph) Insert(job Job) *Node {
	n := &Node{job: job, priority: job.Priority, latestFinishMs: job.DeadlineMs}
	g.nodes[job.ID] = n
	return n
}

// AddEdges notes that a job needs others, which aren't over, and a number of jobs that
// nothing is known of. It returns how many of the edges would have closed a cycle.
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
	g.raisePrerequisites(n)
	return cyclic
}

// reaches reports whether a job is another, or needs it, directly or through others. A new
// job has no dependents, so that nothing is examined for it.
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

// Blocked reports whether a prerequisite of the job isn't done yet. A nil node has none.
func (n *Node) Blocked() bool { return n != nil && (len(n.prerequisites) > 0 || n.unknown > 0) }

// Priority is the highest of the job's own and of all jobs that need it.
func (n *Node) Priority() protocol.Priority { return n.priority }

// LatestStartMs is when the job has to begin so that it and all that needs it can be in
// time.
func (n *Node) LatestStartMs() int64 {
	if n.latestFinishMs == NoDeadline {
		return NoDeadline
	}
	return n.latestFinishMs - n.job.ExpectedRunMs
}

// raisePrerequisites hands a job's priority and deadline on to its prerequisites, and so on.
// It only examines jobs whose figures change.
func (g *Graph) raisePrerequisites(n *Node) {
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

// recompute computes a job's figures anew after a dependent is gone, and so on back.
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

// Complete removes a job that is done, and returns the jobs that it was the last
// prerequisite of.
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

// Cancel removes a job that is cancelled, and all that need it, directly or through others:
// these are returned, in an order in which each comes after one that it needs.
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

// detach takes a removed job off the prerequisites that stay.
func (g *Graph) detach(n *Node) {
	for _, p := range n.prerequisites {
		if g.nodes[p.job.ID] == nil {
			continue // it is removed, too
		}
		g.visits += len(p.dependents)
		p.dependents = without(p.dependents, n)
		g.recompute(p)
	}
}

func without(list []*Node, n *Node) []*Node {
	return slices.DeleteFunc(list, func(x *Node) bool { return x == n })
}
