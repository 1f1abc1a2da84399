package controller_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oakpick/internal/controller"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// Drawn pipelines: jobs that name archived, ended, cancelled and unfinished ones in any mixture,
// several levels deep, also with prerequisites in records of their own, while controllers end and
// are upgraded and answers of the state service are late or lost. After every step of every
// controller the dependency graph holds only jobs that aren't over, and in the end everybody is
// told the same.
//
// It was written for the fault of TestArchivedCancelledPrerequisiteBesideAnUnfinishedOne: a job
// that is cancelled as it is submitted got an edge to an unfinished prerequisite. On that code its
// second world fails with "wk-000004 is in the graph, and its job is over or refers to another
// node".
func TestPrerequisiteInvariantsUnderRandomFaults(t *testing.T) {
	reached := &pipelineCoverage{mixtures: map[string]int{}, parts: map[string]bool{}}
	rapid.Check(t, func(t *rapid.T) {
		d := newPipelineWorld(t)
		reached.watch(d)
		d.submitShort()
		for range d.between("actions", 6, 18) {
			rapid.SampledFrom(pipelineActions).Draw(t, "action").run(d)
			d.runAndPoll()
			requireNoViolations(t, d.world)
		}
		faultsEndedAt := d.endFaults()
		d.serveAll()
		requireNoViolations(t, d.world)
		requireAllServed(t, d.world)
		d.requireRecentAnswers(faultsEndedAt)
	})
	reached.require(t)
}

// maxPipelineJobs is how many jobs a drawn world of pipelines has at most.
const maxPipelineJobs = 16

// pipelineActions are drawn with equal chance; what is there twice is drawn twice as often.
var pipelineActions = []action{
	{"submit a job that needs others", (*drawnWorld).submitNeedingOthers},
	{"submit a job that needs others", (*drawnWorld).submitNeedingOthers},
	{"submit a job that needs others", (*drawnWorld).submitNeedingOthers},
	{"submit a job that needs others", (*drawnWorld).submitNeedingOthers},
	{"submit short jobs", (*drawnWorld).submitShort},
	{"submit short jobs", (*drawnWorld).submitShort},
	{"cancel", (*drawnWorld).cancel},
	{"cancel", (*drawnWorld).cancel},
	{"cancel at the end", (*drawnWorld).cancelAtEnd},
	{"resubmit", (*drawnWorld).resubmit},
	{"query rapidly", (*drawnWorld).queryRapidly},
	{"crash", (*drawnWorld).crashOne},
	{"crash all", (*drawnWorld).crashAll},
	{"controller paused before an effect", (*drawnWorld).stallController},
	{"state service outage", (*drawnWorld).stateOutage},
	{"state service unreachable", (*drawnWorld).stateUnreachable},
	{"slow state service", (*drawnWorld).slowState},
	{"unreliable network", (*drawnWorld).disturbNetwork},
	{"worker hangs and a job is cancelled", (*drawnWorld).cancelOnHungWorker},
	{"upgrade", (*drawnWorld).upgradeNext},
	{"upgrade all", (*drawnWorld).upgradeAll},
	{"upgrade all", (*drawnWorld).upgradeAll},
}

// newPipelineWorld draws a world whose leader keeps few ended jobs out of the archive.
func newPipelineWorld(t *rapid.T) *drawnWorld {
	settings := fake.Settings()
	settings.State.TxnOps = rapid.IntRange(2, 4).Draw(t, "keys in a transaction")
	settings.Limits.MemoryMB = 0.02 * float64(rapid.IntRange(1, 3).Draw(t, "ended jobs in memory"))
	settings.Teams[1].GuaranteedCPUs = 1000
	return startDrawnWorld(t, settings, []string{"blue"}, maxPipelineJobs)
}

// longClass is the class of a job whose record leaves no space for prerequisites on its page.
var longClass = strings.Repeat("c", 1560)

// submitNeedingOthers submits a job that names several of the accepted ones, or just the last.
func (d *drawnWorld) submitNeedingOthers() {
	if d.jobs >= d.maxJobs {
		return
	}
	d.jobs++
	s := job(d.jobs, protocol.JobKind(d.between("kind", 0, 1)), d.between("tasks", 1, 2))
	s.CPUs = 0.5
	s.Priority = protocol.Priority(d.between("priority", 0, 3))
	if rapid.Bool().Draw(d.t, "deadline") {
		s.DeadlineS = float64(d.between("deadline in s", 10, 200))
	}
	if d.between("long record", 0, 3) == 0 {
		s.Class = longClass
	}
	share := d.between("share named", 1, 3) // of four
	for i := 1; i < d.jobs && d.upgraded(); i++ {
		if p := d.numbered(i); p.Accepted && d.between("needs", 0, 3) < share {
			s.Prerequisites = append(s.Prerequisites, p.Submission.ID)
		}
	}
	d.onSubmit(d.world.Submit(s, d.seconds("run", 40)))
}

// submitShort submits a few jobs that are over soon, of which most go to the archive, and may
// cancel one of them.
func (d *drawnWorld) submitShort() {
	for range d.between("short jobs", 1, 3) {
		if d.jobs >= d.maxJobs {
			return
		}
		d.jobs++
		s := job(d.jobs, protocol.Array, 1)
		s.CPUs, s.ImageGB = 0.1, 0.01
		j := d.world.Submit(s, 500*time.Millisecond)
		if d.between("cancelled", 0, 2) == 0 {
			d.world.RunUntil(2*time.Second, func() bool { return j.Accepted })
			d.world.CancelJob(j)
		}
	}
}

// cancelOnHungWorker cancels a job whose end can't be recorded before its machine goes on.
func (d *drawnWorld) cancelOnHungWorker() {
	for i := range d.jobs {
		j := d.numbered(i + 1)
		if machines := d.world.MachinesOf(j.Submission.ID); len(machines) > 0 && !j.CancelRequested && j.Accepted {
			d.world.Workers[machines[0]].HangUntil = d.world.Now + d.seconds("hangs for", 9)
			d.world.CancelJob(j)
			return
		}
	}
}

// upgradeAll gives every controller the new version, one after the other.
func (d *drawnWorld) upgradeAll() {
	for !d.upgraded() {
		d.upgradeNext()
		d.world.Run(2 * time.Second)
	}
}

// pipelineCoverage counts what the drawn submissions reached.
type pipelineCoverage struct {
	worlds, submissions int
	mixtures            map[string]int // submissions by the kinds of their prerequisites
	deepest             int            // how many jobs are on the longest way from one to its first ancestor
	parts               map[string]bool
	upgraded            int // submissions with prerequisites in a world that began with production
}

// watch counts a world's submissions.
func (c *pipelineCoverage) watch(d *drawnWorld) {
	c.worlds++
	production := !d.upgraded()
	depth := map[string]int{}
	d.onSubmit = func(j *fake.Job) {
		c.submissions++
		for _, id := range j.Submission.Prerequisites {
			depth[j.Submission.ID] = max(depth[j.Submission.ID], depth[id]+1)
		}
		c.deepest = max(c.deepest, depth[j.Submission.ID])
		if leader := d.world.Leader(); leader != nil && len(j.Submission.Prerequisites) > 0 {
			c.mixtures[mixture(d.world, leader, j)]++
			if production {
				c.upgraded++
			}
		}
	}
	checkStep, world := d.world.OnStep, c.worlds
	d.world.OnStep = func(controller *fake.Controller, effects []message.Effect) {
		checkStep(controller, effects)
		for i := range d.jobs {
			j := d.numbered(i + 1)
			if j != nil && controller.Controller().HasPrerequisiteParts(j.Submission.ID) {
				c.parts[fmt.Sprint(world, j.Submission.ID)] = true
			}
		}
	}
}

// mixture names the kinds of a submission's prerequisites.
func mixture(w *fake.World, leader *fake.Controller, j *fake.Job) string {
	var kinds []string
	for _, id := range j.Submission.Prerequisites {
		kind := leader.Controller().PrerequisiteKind(id)
		if kind == controller.PrerequisiteArchived || kind == controller.PrerequisiteEnded {
			kind += map[bool]string{true: ", cancelled", false: ", done"}[w.Jobs[id].Status == protocol.StatusCancelled]
		}
		if !slices.Contains(kinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return strings.Join(kinds, " + ")
}

// require fails unless the mixtures that matter came, and logs how often each did.
func (c *pipelineCoverage) require(t *testing.T) {
	t.Helper()
	archivedCancelledAndUnfinished := 0
	for kinds, count := range c.mixtures {
		t.Logf("%5d submissions name %s", count, kinds)
		if strings.Contains(kinds, "archived, cancelled") && strings.Contains(kinds, "unfinished") {
			archivedCancelledAndUnfinished += count
		}
	}
	t.Logf("%d worlds, %d submissions of pipelines, %d levels deep at most, %d with prerequisites in parts, %d after production has led",
		c.worlds, c.submissions, c.deepest, len(c.parts), c.upgraded)
	if archivedCancelledAndUnfinished == 0 || c.deepest < 3 || len(c.parts) == 0 || c.upgraded == 0 {
		t.Errorf("%d submissions name an archived cancelled job and an unfinished one: not all that is to be drawn was",
			archivedCancelledAndUnfinished)
	}
}
