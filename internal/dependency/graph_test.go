package dependency

import (
	"fmt"
	"slices"
	"testing"

	"oakpick/internal/protocol"
)

// submittedMs is the submission time of the jobs in these tests.
const submittedMs = 1000

// graphJob returns a job with a deadline and an expected run time in seconds; 0 is no deadline.
func graphJob(id string, priority protocol.Priority, deadlineS, runS int64) Job {
	j := Job{ID: id, Priority: priority, DeadlineMs: NoDeadline, ExpectedRunMs: runS * 1000}
	if deadlineS > 0 {
		j.DeadlineMs = submittedMs + deadlineS*1000
	}
	return j
}

// add adds jobs, if they are new, and the edges from one to its prerequisites.
func (g *Graph) add(job Job, prerequisites []Job, unknown int) (cyclic int) {
	n := g.findOrInsert(job)
	nodes := make([]*Node, len(prerequisites))
	for i, p := range prerequisites {
		nodes[i] = g.findOrInsert(p)
	}
	return g.AddEdges(n, nodes, unknown)
}

func (g *Graph) findOrInsert(job Job) *Node {
	if n := g.Node(job.ID); n != nil {
		return n
	}
	return g.Insert(job)
}

// The priority and deadline of the last job in a chain propagate to its direct and transitive
// prerequisites, and to no other job.
func TestPriorityAndDeadlinePropagateToPrerequisites(t *testing.T) {
	graph := NewGraph()
	scrub, split := graphJob("scrub", protocol.Low, 0, 15), graphJob("split", protocol.Low, 0, 25)
	push, other := graphJob("push", protocol.High, 200, 8), graphJob("other", protocol.Normal, 0, 50)
	graph.add(split, []Job{scrub}, 0)
	if graph.Node(scrub.ID).Priority() != protocol.Low || graph.Node(scrub.ID).LatestStartMs() != NoDeadline {
		t.Errorf("before an urgent job was added: %v, %d", graph.Node(scrub.ID).Priority(), graph.Node(scrub.ID).LatestStartMs())
	}
	graph.add(other, []Job{scrub}, 0)
	graph.add(push, []Job{split}, 0)
	if graph.Node(scrub.ID).Priority() != protocol.High || graph.Node(split.ID).Priority() != protocol.High || graph.Node(other.ID).Priority() != protocol.Normal {
		t.Errorf("got %v, %v, %v", graph.Node(scrub.ID).Priority(), graph.Node(split.ID).Priority(), graph.Node(other.ID).Priority())
	}
	// 1 s of submission time plus 200 s of deadline, minus the run times up to the end.
	if got, want := graph.Node(split.ID).LatestStartMs(), int64(1000+200_000-8_000-25_000); got != want {
		t.Errorf("latest start of split is %d, not %d", got, want)
	}
	if got, want := graph.Node(scrub.ID).LatestStartMs(), int64(1000+200_000-8_000-25_000-15_000); got != want {
		t.Errorf("latest start of scrub is %d, not %d", got, want)
	}
	// After the urgent job is cancelled, its priority and deadline no longer apply to the others.
	if with := graph.Cancel("push"); len(with) != 0 {
		t.Errorf("%v cancelled with the last job", with)
	}
	if graph.Node(split.ID).Priority() != protocol.Low || graph.Node(scrub.ID).Priority() != protocol.Normal || graph.Node(scrub.ID).LatestStartMs() != NoDeadline {
		t.Errorf("after it was cancelled: %v, %v, %d", graph.Node(split.ID).Priority(), graph.Node(scrub.ID).Priority(), graph.Node(scrub.ID).LatestStartMs())
	}
}

// In a diamond, the last job waits for both branches and is cancelled only once if either is.
func TestDiamondWaitsForBothAndIsCancelledOnce(t *testing.T) {
	build := func() (*Graph, []Job) {
		graph := NewGraph()
		var jobs []Job
		for _, id := range []string{"top", "left", "right", "bottom"} {
			jobs = append(jobs, graphJob(id, protocol.Low, 0, 1))
		}
		graph.add(jobs[1], jobs[:1], 0)
		graph.add(jobs[2], jobs[:1], 0)
		graph.add(jobs[3], jobs[1:3], 0)
		return graph, jobs
	}
	graph, jobs := build()
	if ready := graph.Complete("top"); !slices.Equal(ready, []string{"left", "right"}) {
		t.Errorf("ready after the top: %v", ready)
	}
	if ready := graph.Complete("left"); len(ready) != 0 || !graph.Node(jobs[3].ID).Blocked() {
		t.Errorf("ready after one branch: %v", ready)
	}
	if ready := graph.Complete("right"); !slices.Equal(ready, []string{"bottom"}) || graph.Node(jobs[3].ID).Blocked() {
		t.Errorf("ready after both: %v", ready)
	}
	graph, _ = build()
	if with := graph.Cancel("left"); !slices.Equal(with, []string{"bottom"}) {
		t.Errorf("cancelled with a branch: %v", with)
	}
	if with := graph.Cancel("top"); !slices.Equal(with, []string{"right"}) {
		t.Errorf("cancelled with the top later: %v", with)
	}
	graph, _ = build()
	if with := graph.Cancel("top"); !slices.Equal(with, []string{"left", "right", "bottom"}) {
		t.Errorf("cancelled with the top: %v", with)
	}
	if len(graph.nodes) != 0 {
		t.Errorf("%d jobs are left in the graph", len(graph.nodes))
	}
}

// A prerequisite without a record blocks its dependent permanently.
func TestUnknownPrerequisiteBlocks(t *testing.T) {
	graph := NewGraph()
	known, j := graphJob("known", protocol.Low, 0, 1), graphJob("job", protocol.Low, 0, 1)
	graph.add(j, []Job{known}, 1)
	if ready := graph.Complete("known"); len(ready) != 0 || !graph.Node(j.ID).Blocked() {
		t.Errorf("ready: %v", ready)
	}
}

// Damaged records may name jobs in a cycle. Every job of the cycle stays blocked, and the
// propagation of a deadline terminates.
func TestCyclicEdgesBlock(t *testing.T) {
	graph := NewGraph()
	a, b, c := graphJob("a", protocol.Low, 50, 1), graphJob("b", protocol.High, 0, 1), graphJob("c", protocol.Low, 9, 1)
	if n := graph.add(a, []Job{a}, 0); n != 1 || !graph.Node(a.ID).Blocked() {
		t.Errorf("a job that depends on itself: %d cyclic edges", n)
	}
	graph.add(b, []Job{a}, 0)
	graph.add(c, []Job{b}, 0)
	if n := graph.add(a, []Job{c, c}, 0); n != 2 {
		t.Errorf("a cycle of three: %d cyclic edges", n)
	}
	for _, j := range []Job{a, b, c} {
		if !graph.Node(j.ID).Blocked() {
			t.Errorf("%s is not blocked", j.ID)
		}
	}
	if with := graph.Cancel("a"); !slices.Equal(with, []string{"b", "c"}) {
		t.Errorf("cancelled with the first: %v", with)
	}
}

// In chains and fans of thousands of jobs, the cost of adding, completing and cancelling jobs is
// proportional to the nodes affected, and no recursion depth depends on user input.
func TestLargeGraphVisitsOnlyAffectedNodes(t *testing.T) {
	const n = 20_000
	graph := NewGraph()
	chain := []Job{graphJob("chain-0", protocol.Low, 0, 1)}
	for i := 1; i < n; i++ {
		j := graphJob(fmt.Sprint("chain-", i), protocol.Low, 0, 1)
		graph.add(j, chain[i-1:i], 0)
		chain = append(chain, j)
	}
	last := graphJob("chain-last", protocol.High, 1e6, 1)
	graph.add(last, chain[n-1:], 0) // visits the whole chain, once
	if graph.Node(chain[0].ID).Priority() != protocol.High {
		t.Error("the priority did not reach the beginning of the chain")
	}
	hub := graphJob("hub", protocol.Low, 0, 1)
	for i := range n {
		graph.add(graphJob(fmt.Sprint("fan-", i), protocol.Low, 0, 1), []Job{hub}, 0)
	}
	if ready := graph.Complete("hub"); len(ready) != n {
		t.Errorf("%d of %d are ready", len(ready), n)
	}
	for i := range n / 2 {
		if ready := graph.Complete(fmt.Sprint("chain-", i)); len(ready) != 1 {
			t.Fatalf("after %d: %v", i, ready)
		}
	}
	if with := graph.Cancel(fmt.Sprint("chain-", n/2)); len(with) != n/2 {
		t.Errorf("%d of %d were cancelled with the middle of the chain", len(with), n/2)
	}
	if graph.visits > 8*2*n {
		t.Errorf("%d nodes were examined for %d jobs", graph.visits, 2*n)
	}
}
