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

// TestPrerequisiteInvariantsUnderRandomFaults runs random pipelines. Jobs name archived, ended,
// cancelled and unfinished jobs in any combination, several levels deep, also with prerequisites in
// separate records, while controllers crash and are upgraded and responses of the state service
// are late or lost. After every step of a controller, the dependency graph contains only unfinished
// jobs, and at the end all controllers report the same.
//
// This guards against a job that is cancelled on submission and still gets an edge to an unfinished
// prerequisite (docs/incidents/2026-12-03-cancelled-job-in-dependency-graph.md). With that fault, the
// second world of the test failed.
func TestPrerequisiteInvariantsUnderRandomFaults(t *testing.T) {
	coverage := &pipelineCoverage{byPrerequisiteKinds: map[string]int{}, jobsWithParts: map[string]bool{}}
	rapid.Check(t, func(t *rapid.T) {
		d := newPipelineWorld(t)
		coverage.observe(d)
		d.submitShortJobs()
		for range d.drawInt("actions", 6, 18) {
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
	coverage.requireCovered(t)
}

// maxPipelineJobs is the maximum number of jobs in a world of newPipelineWorld.
const maxPipelineJobs = 16

// pipelineActions are drawn with equal probability. An action that is listed twice is drawn twice as
// often.
var pipelineActions = []action{
	{"submit a job that needs others", (*randomWorld).submitDependent},
	{"submit a job that needs others", (*randomWorld).submitDependent},
	{"submit a job that needs others", (*randomWorld).submitDependent},
	{"submit a job that needs others", (*randomWorld).submitDependent},
	{"submit short jobs", (*randomWorld).submitShortJobs},
	{"submit short jobs", (*randomWorld).submitShortJobs},
	{"cancel", (*randomWorld).cancel},
	{"cancel", (*randomWorld).cancel},
	{"cancel at the end", (*randomWorld).cancelAtEnd},
	{"resubmit", (*randomWorld).resubmit},
	{"query rapidly", (*randomWorld).queryRapidly},
	{"crash", (*randomWorld).crashOne},
	{"crash all", (*randomWorld).crashAll},
	{"controller paused before an effect", (*randomWorld).stallController},
	{"state service outage", (*randomWorld).startStateOutage},
	{"state service unreachable", (*randomWorld).makeStateUnreachable},
	{"slow state service", (*randomWorld).slowStateService},
	{"unreliable network", (*randomWorld).makeNetworkUnreliable},
	{"worker hangs and a job is cancelled", (*randomWorld).cancelOnHungWorker},
	{"upgrade", (*randomWorld).upgradeNext},
	{"upgrade all", (*randomWorld).upgradeAll},
	{"upgrade all", (*randomWorld).upgradeAll},
}

// newPipelineWorld draws a world whose leader keeps few ended jobs in memory and the others in the
// archive.
func newPipelineWorld(t *rapid.T) *randomWorld {
	settings := fake.Settings()
	settings.State.TxnOps = rapid.IntRange(2, 4).Draw(t, "keys in a transaction")
	settings.Limits.MemoryMB = 0.02 * float64(rapid.IntRange(1, 3).Draw(t, "ended jobs in memory"))
	settings.Teams[1].GuaranteedCPUs = 1000
	return startRandomWorld(t, settings, []string{"blue"}, maxPipelineJobs)
}

// longClass is a class so long that the job's record leaves no space for prerequisites on its page.
var longClass = strings.Repeat("c", 1560)

// submitDependent submits a job that names a random share of the accepted jobs.
func (d *randomWorld) submitDependent() {
	if d.jobs >= d.maxJobs {
		return
	}
	d.jobs++
	s := job(d.jobs, protocol.JobKind(d.drawInt("kind", 0, 1)), d.drawInt("tasks", 1, 2))
	s.CPUs = 0.5
	s.Priority = protocol.Priority(d.drawInt("priority", 0, 3))
	if rapid.Bool().Draw(d.t, "deadline") {
		s.DeadlineS = float64(d.drawInt("deadline in s", 10, 200))
	}
	if d.drawInt("long record", 0, 3) == 0 {
		s.Class = longClass
	}
	share := d.drawInt("share named", 1, 3) // in quarters
	for i := 1; i < d.jobs && d.upgraded(); i++ {
		if p := d.jobByNumber(i); p.Accepted && d.drawInt("needs", 0, 3) < share {
			s.Prerequisites = append(s.Prerequisites, p.Submission.ID)
		}
	}
	d.onSubmit(d.world.Submit(s, d.drawSeconds("run", 40)))
}

// submitShortJobs submits a few short jobs, most of which are archived, and may cancel some of them.
func (d *randomWorld) submitShortJobs() {
	for range d.drawInt("short jobs", 1, 3) {
		if d.jobs >= d.maxJobs {
			return
		}
		d.jobs++
		s := job(d.jobs, protocol.Array, 1)
		s.CPUs, s.ImageGB = 0.1, 0.01
		j := d.world.Submit(s, 500*time.Millisecond)
		if d.drawInt("cancelled", 0, 2) == 0 {
			d.world.RunUntil(2*time.Second, func() bool { return j.Accepted })
			d.world.CancelJob(j)
		}
	}
}

// cancelOnHungWorker makes a worker hang and cancels a job that runs on it. The end of the job can't
// be recorded until the worker resumes.
func (d *randomWorld) cancelOnHungWorker() {
	for i := range d.jobs {
		j := d.jobByNumber(i + 1)
		if machines := d.world.MachinesOf(j.Submission.ID); len(machines) > 0 && !j.CancelRequested && j.Accepted {
			d.world.Workers[machines[0]].HangUntil = d.world.Now + d.drawSeconds("hangs for", 9)
			d.world.CancelJob(j)
			return
		}
	}
}

// upgradeAll upgrades all controllers to the new version, one after the other.
func (d *randomWorld) upgradeAll() {
	for !d.upgraded() {
		d.upgradeNext()
		d.world.Run(2 * time.Second)
	}
}

// pipelineCoverage counts the cases that the random submissions have covered.
type pipelineCoverage struct {
	worlds, submissions int
	byPrerequisiteKinds map[string]int  // submissions by the kinds of their prerequisites
	maxDepth            int             // number of edges on the longest path from a job to a job without prerequisites
	jobsWithParts       map[string]bool // jobs whose prerequisites are in separate records
	afterUpgrade        int             // submissions with prerequisites in worlds that started with the version in production
}

// observe adds the submissions of a world to the counts.
func (c *pipelineCoverage) observe(d *randomWorld) {
	c.worlds++
	production := !d.upgraded()
	depth := map[string]int{}
	d.onSubmit = func(j *fake.Job) {
		c.submissions++
		for _, id := range j.Submission.Prerequisites {
			depth[j.Submission.ID] = max(depth[j.Submission.ID], depth[id]+1)
		}
		c.maxDepth = max(c.maxDepth, depth[j.Submission.ID])
		if leader := d.world.Leader(); leader != nil && len(j.Submission.Prerequisites) > 0 {
			c.byPrerequisiteKinds[prerequisiteKinds(d.world, leader, j)]++
			if production {
				c.afterUpgrade++
			}
		}
	}
	checkStep, world := d.world.OnStep, c.worlds
	d.world.OnStep = func(controller *fake.Controller, effects []message.Effect) {
		checkStep(controller, effects)
		for i := range d.jobs {
			j := d.jobByNumber(i + 1)
			if j != nil && controller.Controller().HasPrerequisiteParts(j.Submission.ID) {
				c.jobsWithParts[fmt.Sprint(world, j.Submission.ID)] = true
			}
		}
	}
}

// prerequisiteKinds returns the kinds of a submission's prerequisites as one sorted text.
func prerequisiteKinds(w *fake.World, leader *fake.Controller, j *fake.Job) string {
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

// requireCovered fails unless the important cases were covered, and logs how often each combination
// of kinds was drawn.
func (c *pipelineCoverage) requireCovered(t *testing.T) {
	t.Helper()
	archivedCancelledAndUnfinished := 0
	for kinds, count := range c.byPrerequisiteKinds {
		t.Logf("%5d submissions name %s", count, kinds)
		if strings.Contains(kinds, "archived, cancelled") && strings.Contains(kinds, "unfinished") {
			archivedCancelledAndUnfinished += count
		}
	}
	t.Logf("%d worlds, %d submissions of pipelines, %d levels deep at most, %d with prerequisites in parts, %d after the version in production has led",
		c.worlds, c.submissions, c.maxDepth, len(c.jobsWithParts), c.afterUpgrade)
	if archivedCancelledAndUnfinished == 0 || c.maxDepth < 3 || len(c.jobsWithParts) == 0 || c.afterUpgrade == 0 {
		t.Errorf("%d submissions name an archived cancelled job and an unfinished one; not all required cases were covered",
			archivedCancelledAndUnfinished)
	}
}
