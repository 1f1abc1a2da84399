package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

func graphJob(id string, p protocol.Priority, deadline, run float64) *job {
	return &job{
		JobRecord: storage.JobRecord{ID: id, Priority: p, DeadlineS: deadline, EstimatedRunS: run, SubmittedMs: 1000, Class: "c"},
		e:         &engine{},
	}
}

// The end of a chain hands its priority and its deadline back: to what it needs
// directly, to what that needs, and not to anything else.
func TestPriorityAndDeadlinePropagateToPrerequisites(t *testing.T) {
	d := newDependencies()
	scrub, split := graphJob("scrub", protocol.Low, 0, 15), graphJob("split", protocol.Low, 0, 25)
	push, other := graphJob("push", protocol.High, 200, 8), graphJob("other", protocol.Normal, 0, 50)
	d.add(split, []*job{scrub}, 0)
	if scrub.priority() != protocol.Low || scrub.dependency.latestStartMs() != noDeadline {
		t.Errorf("before anything urgent: %v, %d", scrub.priority(), scrub.dependency.latestStartMs())
	}
	d.add(other, []*job{scrub}, 0)
	d.add(push, []*job{split}, 0)
	if scrub.priority() != protocol.High || split.priority() != protocol.High || other.priority() != protocol.Normal {
		t.Errorf("got %v, %v, %v", scrub.priority(), split.priority(), other.priority())
	}
	// 1 s of submission, 200 s of deadline, less what runs until then.
	if got, want := split.dependency.latestStartMs(), int64(1000+200_000-8_000-25_000); got != want {
		t.Errorf("split has to begin by %d, not %d", got, want)
	}
	if got, want := scrub.dependency.latestStartMs(), int64(1000+200_000-8_000-25_000-15_000); got != want {
		t.Errorf("scrub has to begin by %d, not %d", got, want)
	}
	// The urgent end is cancelled: nothing is left that would hurry the others.
	if with := d.cancelled("push"); len(with) != 0 {
		t.Errorf("%v cancelled with the last job", with)
	}
	if split.priority() != protocol.Low || scrub.priority() != protocol.Normal || scrub.dependency.latestStartMs() != noDeadline {
		t.Errorf("after it was cancelled: %v, %v, %d", split.priority(), scrub.priority(), scrub.dependency.latestStartMs())
	}
}

// A diamond: the last job waits for both branches, and is cancelled once with either.
func TestDiamondDependency(t *testing.T) {
	build := func() (*dependencies, []*job) {
		d := newDependencies()
		var jobs []*job
		for _, id := range []string{"top", "left", "right", "bottom"} {
			jobs = append(jobs, graphJob(id, protocol.Low, 0, 1))
		}
		d.add(jobs[1], jobs[:1], 0)
		d.add(jobs[2], jobs[:1], 0)
		d.add(jobs[3], jobs[1:3], 0)
		return d, jobs
	}
	d, jobs := build()
	if ready := d.done("top"); !slices.Equal(ready, []string{"left", "right"}) {
		t.Errorf("ready after the top: %v", ready)
	}
	if ready := d.done("left"); len(ready) != 0 || !jobs[3].waits() {
		t.Errorf("ready after one branch: %v", ready)
	}
	if ready := d.done("right"); !slices.Equal(ready, []string{"bottom"}) || jobs[3].waits() {
		t.Errorf("ready after both: %v", ready)
	}
	d, _ = build()
	if with := d.cancelled("left"); !slices.Equal(with, []string{"bottom"}) {
		t.Errorf("cancelled with a branch: %v", with)
	}
	if with := d.cancelled("top"); !slices.Equal(with, []string{"right"}) {
		t.Errorf("cancelled with the top later: %v", with)
	}
	d, _ = build()
	if with := d.cancelled("top"); !slices.Equal(with, []string{"left", "right", "bottom"}) {
		t.Errorf("cancelled with the top: %v", with)
	}
	if len(d.nodes) != 0 {
		t.Errorf("%d jobs are left in the graph", len(d.nodes))
	}
}

// A prerequisite that nothing is known of holds its dependent back for good.
func TestUnknownPrerequisiteBlocksDependent(t *testing.T) {
	d := newDependencies()
	known, j := graphJob("known", protocol.Low, 0, 1), graphJob("job", protocol.Low, 0, 1)
	d.add(j, []*job{known}, 1)
	if ready := d.done("known"); len(ready) != 0 || !j.waits() {
		t.Errorf("ready: %v", ready)
	}
}

// Damaged records name jobs in a circle. Every job of it waits for good, and handing a
// deadline back comes to an end.
func TestCyclicDependenciesNeverBecomeReady(t *testing.T) {
	d := newDependencies()
	a, b, c := graphJob("a", protocol.Low, 50, 1), graphJob("b", protocol.High, 0, 1), graphJob("c", protocol.Low, 9, 1)
	if n := d.add(a, []*job{a}, 0); n != 1 || !a.waits() {
		t.Errorf("a job that needs itself: %d cyclic edges", n)
	}
	d.add(b, []*job{a}, 0)
	d.add(c, []*job{b}, 0)
	if n := d.add(a, []*job{c, c}, 0); n != 2 {
		t.Errorf("a circle of three: %d cyclic edges", n)
	}
	for _, j := range []*job{a, b, c} {
		if !j.waits() {
			t.Errorf("%s does not wait", j.ID)
		}
	}
	if with := d.cancelled("a"); !slices.Equal(with, []string{"b", "c"}) {
		t.Errorf("cancelled with the first: %v", with)
	}
}

// Thousands of jobs, as a chain, a fan and a ladder: adding, finishing and cancelling
// cost what they touch, without recursion over what users name.
func TestLargeGraphCostIsProportionalToVisits(t *testing.T) {
	const n = 20_000
	d := newDependencies()
	chain := []*job{graphJob("chain-0", protocol.Low, 0, 1)}
	for i := 1; i < n; i++ {
		j := graphJob(fmt.Sprint("chain-", i), protocol.Low, 0, 1)
		d.add(j, chain[i-1:i], 0)
		chain = append(chain, j)
	}
	last := graphJob("chain-last", protocol.High, 1e6, 1)
	d.add(last, chain[n-1:], 0) // touches the whole chain, once
	if chain[0].priority() != protocol.High {
		t.Error("the priority did not reach the beginning of the chain")
	}
	hub := graphJob("hub", protocol.Low, 0, 1)
	for i := range n {
		d.add(graphJob(fmt.Sprint("fan-", i), protocol.Low, 0, 1), []*job{hub}, 0)
	}
	if ready := d.done("hub"); len(ready) != n {
		t.Errorf("%d of %d are ready", len(ready), n)
	}
	for i := range n / 2 {
		if ready := d.done(fmt.Sprint("chain-", i)); len(ready) != 1 {
			t.Fatalf("after %d: %v", i, ready)
		}
	}
	if with := d.cancelled(fmt.Sprint("chain-", n/2)); len(with) != n/2 {
		t.Errorf("%d of %d were cancelled with the middle of the chain", len(with), n/2)
	}
	if d.visits > 8*2*n {
		t.Errorf("%d jobs were looked at for %d", d.visits, 2*n)
	}
}

// A job waits long for what it needs: its times count from the end of the last of these,
// but for its deadline, which counts from its submission.
func TestReadyTimeStartsAtLastPrerequisite(t *testing.T) {
	const submittedMs, doneMs = 1000, 90_000
	for _, c := range []struct {
		deadline float64
		queuedAt int64
	}{
		{0, doneMs},
		{500, doneMs},                      // there is time enough
		{60, submittedMs + 60_000 - 8_000}, // it had to begin before
	} {
		e := &engine{
			n:    &Controller{now: message.Now{WallMs: doneMs, Monotonic: 89 * time.Second}},
			jobs: map[string]*job{}, classes: map[string]*class{}, dependencies: newDependencies(),
		}
		first, last := graphJob("first", protocol.Low, 0, 15), graphJob("last", protocol.High, c.deadline, 8)
		for _, j := range []*job{first, last} {
			j.e, j.readyMs = e, j.SubmittedMs
			e.jobs[j.ID] = j
			e.order = append(e.order, j)
		}
		e.dependencies.add(last, []*job{first}, 0)
		e.prerequisiteDone("first")
		if last.waits() || last.readyMs != doneMs || last.idleSince != e.n.now.Monotonic {
			t.Errorf("deadline %v: waits %t, its times count from %d ms", c.deadline, last.waits(), last.readyMs)
		}
		if got := e.queuedAtMs(last); got != c.queuedAt {
			t.Errorf("deadline %v: queued as of %d ms, not %d", c.deadline, got, c.queuedAt)
		}
	}
}
