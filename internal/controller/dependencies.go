package controller

import (
	"math"
	"slices"

	"oakpick/internal/protocol"
)

// dependencies is the graph of jobs that need others to be done first. It knows
// jobs that aren't over, and of these only those that have prerequisites or
// dependents. It has no cycles: a job names only jobs accepted before it, and an edge of
// a damaged record that would close one is counted as an unknown prerequisite.
//
// What is recorded is the edges, with the dependent job. Everything else follows
// from them and from how jobs ended, and is computed anew by a new leader.
type dependencies struct {
	nodes  map[string]*dependency
	visits int // of jobs, for the test that counts what is looked at
}

// dependency is a job in the graph.
type dependency struct {
	job        string
	needs      []*dependency // prerequisites that aren't over
	dependents []*dependency
	unknown    int // prerequisites that nothing is known of: the job never starts

	own       protocol.Priority
	effective protocol.Priority // the highest of its own and of all jobs that need it
	dueMs     int64             // its own deadline; noDeadline: none
	latestMs  int64             // when it has to be done so that all that needs it can be in time
	runMs     int64             // how long it is expected to take
}

const noDeadline = math.MaxInt64

func newDependencies() *dependencies { return &dependencies{nodes: map[string]*dependency{}} }

// node finds or makes the record of a job that isn't over.
func (d *dependencies) node(j *job) *dependency {
	if n := d.nodes[j.ID]; n != nil {
		return n
	}
	n := &dependency{job: j.ID, own: j.Priority, effective: j.Priority, dueMs: noDeadline, runMs: int64(j.expectedRun() * 1000)}
	if j.DeadlineS > 0 {
		n.dueMs = j.SubmittedMs + int64(j.DeadlineS*1000)
	}
	n.latestMs = n.dueMs
	d.nodes[j.ID] = n
	j.dependency = n
	return n
}

// add notes that a job needs others, which aren't over, and so many that nothing is
// known of. It tells how many of the edges would have closed a cycle.
func (d *dependencies) add(j *job, needs []*job, unknown int) (cyclic int) {
	n := d.node(j)
	for _, p := range needs {
		need := d.node(p)
		if d.reaches(need, n) {
			cyclic++
			continue
		}
		n.needs = append(n.needs, need)
		need.dependents = append(need.dependents, n)
	}
	n.unknown += unknown + cyclic
	d.passBack(n)
	return cyclic
}

// reaches tells whether a job is another, or needs it, directly or through others. A new
// job has no dependents, so that nothing is looked at for it.
func (d *dependencies) reaches(from, to *dependency) bool {
	if from == to {
		return true
	}
	if len(to.dependents) == 0 {
		return false
	}
	seen := map[*dependency]bool{from: true}
	next := []*dependency{from}
	for len(next) > 0 {
		n := next[len(next)-1]
		next = next[:len(next)-1]
		for _, p := range n.needs {
			d.visits++
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

// waits tells whether a prerequisite of the job isn't done yet.
func (n *dependency) waits() bool { return n != nil && (len(n.needs) > 0 || n.unknown > 0) }

// latestStartMs is when the job has to begin so that it and all that needs it can
// be in time.
func (n *dependency) latestStartMs() int64 {
	if n.latestMs == noDeadline {
		return noDeadline
	}
	return n.latestMs - n.runMs
}

// passBack hands a job's priority and deadline on to its prerequisites, and so on.
// It only looks at jobs whose figures change.
func (d *dependencies) passBack(n *dependency) {
	changed := []*dependency{n}
	for len(changed) > 0 {
		n := changed[len(changed)-1]
		changed = changed[:len(changed)-1]
		for _, p := range n.needs {
			d.visits++
			if n.effective > p.effective || n.latestStartMs() < p.latestMs {
				p.effective = max(p.effective, n.effective)
				p.latestMs = min(p.latestMs, n.latestStartMs())
				changed = append(changed, p)
			}
		}
	}
}

// takeBack computes a job's figures anew after a dependent is gone, and so on back.
func (d *dependencies) takeBack(n *dependency) {
	changed := []*dependency{n}
	for len(changed) > 0 {
		n := changed[len(changed)-1]
		changed = changed[:len(changed)-1]
		effective, latest := n.own, n.dueMs
		for _, dependent := range n.dependents {
			d.visits++
			effective = max(effective, dependent.effective)
			latest = min(latest, dependent.latestStartMs())
		}
		if effective != n.effective || latest != n.latestMs {
			n.effective, n.latestMs = effective, latest
			changed = append(changed, n.needs...)
		}
	}
}

// done takes out a job that is done, and names the jobs that it was the last
// prerequisite of.
func (d *dependencies) done(job string) (ready []string) {
	n := d.nodes[job]
	if n == nil {
		return nil
	}
	delete(d.nodes, job)
	for _, dependent := range n.dependents {
		d.visits += len(dependent.needs)
		dependent.needs = remove(dependent.needs, n)
		if !dependent.waits() {
			ready = append(ready, dependent.job)
		}
	}
	n.dependents = nil
	return ready
}

// cancelled takes out a job that is cancelled, and all that need it, directly or
// through others: these are named, in an order in which each comes after one that
// it needs.
func (d *dependencies) cancelled(job string) (with []string) {
	root := d.nodes[job]
	if root == nil {
		return nil
	}
	delete(d.nodes, job)
	gone := []*dependency{root}
	for i := 0; i < len(gone); i++ {
		for _, dependent := range gone[i].dependents {
			d.visits++
			if d.nodes[dependent.job] != nil {
				delete(d.nodes, dependent.job)
				gone = append(gone, dependent)
				with = append(with, dependent.job)
			}
		}
	}
	for _, n := range gone {
		for _, need := range n.needs {
			if d.nodes[need.job] == nil {
				continue // it goes with this one
			}
			d.visits += len(need.dependents)
			need.dependents = remove(need.dependents, n)
			d.takeBack(need)
		}
	}
	return with
}

func remove(list []*dependency, n *dependency) []*dependency {
	return slices.DeleteFunc(list, func(x *dependency) bool { return x == n })
}
