package controller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oakpick/internal/config"
	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// TestInvariantsUnderRandomFaults draws worlds: jobs of all kinds, and crashes,
// partitions, outages, hangs, losses, late and repeated messages in any order. The
// rules hold throughout, and once the faults are over everything is served.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDrawnWorld(t)
		d.submit()
		d.submit()
		for range d.between("actions", 4, 14) {
			drawAction(t).run(d)
			d.runAndPoll()
			requireNoViolations(t, d.world)
		}
		faultsEndedAt := d.endFaults()
		d.serveAll()
		requireNoViolations(t, d.world)
		requireAllServed(t, d.world)
		d.requireRecentAnswers(faultsEndedAt)
	})
}

// maxDrawnJobs is how many jobs a drawn world has at most.
const maxDrawnJobs = 8

// drawnWorld is a world whose jobs and faults are drawn.
type drawnWorld struct {
	t       *rapid.T
	world   *fake.World
	network *drawnNetwork
	teams   []string
	jobs    int // submitted so far
	maxJobs int
	leader  string
	// onSubmit is called with every job that may need others; only worlds of pipelines have it.
	onSubmit func(*fake.Job)
	// recorded are copies of heartbeats, for the next leader.
	recorded []protocol.Heartbeat
}

// newDrawnWorld draws the settings, and whether the world begins with the version in
// production.
func newDrawnWorld(t *rapid.T) *drawnWorld {
	settings := fake.Settings()
	if rapid.Bool().Draw(t, "limits to come") {
		settings.State.Next = nextLimits(1, rapid.IntRange(1, 3).Draw(t, "changes to come"), 25)
	}
	teams := []string{"red", "blue"}
	if rapid.Bool().Draw(t, "guests") {
		settings.Teams = append(settings.Teams, config.Team{Name: "guests"})
		teams = append(teams, "guests")
	}
	return startDrawnWorld(t, settings, teams, maxDrawnJobs)
}

// startDrawnWorld draws whether a world begins with the version in production, and has every
// leader's dependency graph and effects checked after each of its steps.
func startDrawnWorld(t *rapid.T, settings config.Settings, teams []string, maxJobs int) *drawnWorld {
	w := fake.NewWorld(settings)
	w.RewriteAsProduction = roundTripProduction
	w.OnStep = func(c *fake.Controller, effects []message.Effect) {
		if err := c.Controller().CheckDependencies(); err != nil {
			t.Fatalf("%v: %s: %v", w.Now, c.Name, err)
		}
		if err := checkLeadersEffects(c, effects); err != nil {
			t.Fatalf("%v: %s: %v", w.Now, c.Name, err)
		}
	}
	production := rapid.Bool().Draw(t, "begins with production")
	for _, c := range w.Controllers {
		c.RunsProductionVersion = production
		if production {
			c.Crash()
			c.Start()
		}
	}
	d := &drawnWorld{t: t, world: w, teams: teams, maxJobs: maxJobs, network: newDrawnNetwork(t)}
	w.Network = d.network.deliver
	return d
}

// between draws a number.
func (d *drawnWorld) between(label string, least, most int) int {
	return rapid.IntRange(least, most).Draw(d.t, label)
}

// seconds draws a duration of whole seconds, one at least.
func (d *drawnWorld) seconds(label string, most int) time.Duration {
	return time.Duration(d.between(label, 1, most)) * time.Second
}

// millis draws a duration of whole milliseconds.
func (d *drawnWorld) millis(label string, least, most int) time.Duration {
	return time.Duration(d.between(label, least, most)) * time.Millisecond
}

// controller draws a controller.
func (d *drawnWorld) controller() *fake.Controller {
	return d.world.Controllers[d.between("controller", 0, 2)]
}

// worker draws a machine that is up; nil and "": there is none.
func (d *drawnWorld) worker() (*fake.Worker, string) {
	names := d.world.MachineNames()
	if len(names) == 0 {
		return nil, ""
	}
	name := rapid.SampledFrom(names).Draw(d.t, "machine")
	return d.world.Workers[name], name
}

// numbered is the job with a number.
func (d *drawnWorld) numbered(number int) *fake.Job {
	return d.world.Jobs[fmt.Sprintf("wk-%06d", number)]
}

// job draws a job that was submitted.
func (d *drawnWorld) job() *fake.Job { return d.numbered(d.between("job", 1, d.jobs)) }

// upgraded tells whether every controller has the new version.
func (d *drawnWorld) upgraded() bool {
	return !slices.ContainsFunc(d.world.Controllers, func(c *fake.Controller) bool { return c.RunsProductionVersion })
}

// submit draws a job and submits it, unless there are enough.
func (d *drawnWorld) submit() {
	if d.jobs >= d.maxJobs {
		return
	}
	d.jobs++
	s := d.submission()
	if s.Kind == protocol.Service {
		s.CheckpointIntervalS = 0
	}
	j := d.world.Submit(s, d.seconds("run", 15))
	j.AlwaysFails = d.between("always fails", 0, 19) == 0
}

// submission draws a submission.
func (d *drawnWorld) submission() protocol.Submission {
	kind := protocol.JobKind(d.between("kind", 0, 2))
	s := job(d.jobs, kind, d.between("tasks", 1, 4))
	s.Priority = protocol.Priority(d.between("priority", 0, 3))
	s.Team = rapid.SampledFrom(d.teams).Draw(d.t, "team")
	s.Spot = rapid.Bool().Draw(d.t, "spot")
	s.CPUs = float64(d.between("cpus", 1, 3))
	switch d.between("zones", 0, 5) {
	case 0:
		s.OneZone = true
	case 1:
		s.Spread = true
	case 2:
		s.Zone = "a"
	}
	s.Image = rapid.SampledFrom([]string{"x", "y"}).Draw(d.t, "image")
	for i := 1; i < d.jobs && d.upgraded(); i++ { // production knows of no prerequisites
		p := d.numbered(i)
		if p.Accepted && p.Submission.Kind != protocol.Service && d.between("needs", 0, 3) == 0 {
			s.Prerequisites = append(s.Prerequisites, p.Submission.ID)
		}
	}
	return s
}

// runAndPoll lets time pass, and has every job asked about as it does.
func (d *drawnWorld) runAndPoll() {
	for range d.between("polls", 1, 6) {
		d.world.Run(d.millis("run", 100, 4000))
		d.world.PollAll()
		if leader := d.world.Leader(); leader != nil && leader.Name != d.leader {
			d.leader = leader.Name
			d.replayHeartbeats()
		}
	}
}

// replayHeartbeats sends the recorded heartbeats to every controller, just as another leads.
func (d *drawnWorld) replayHeartbeats() {
	for _, heartbeat := range d.recorded {
		for _, c := range d.world.Controllers {
			c.Request(message.HeartbeatRequest{Heartbeat: &heartbeat}, func(message.Reply) {})
		}
	}
	d.recorded, d.world.OnHeartbeat = nil, nil
}

// endFaults lets no more faults begin, waits until the longest is over and gives that time.
func (d *drawnWorld) endFaults() time.Duration {
	d.network.recover()
	for _, c := range d.world.Controllers {
		if c.RunsProductionVersion {
			upgrade(d.world, c, time.Second)
		}
	}
	for _, c := range d.world.Controllers {
		c.StallBefore = nil
	}
	d.world.Run(65 * time.Second) // the longest fault is over
	return d.world.Now
}

// serveAll cancels what never ends where it can keep others from running (jobs that always
// fail, and services of the team with a limit), and waits until the rest is served.
func (d *drawnWorld) serveAll() {
	for i := range d.jobs {
		j := d.numbered(i + 1)
		neverEnds := j.AlwaysFails || j.Submission.Team == "red" && j.Submission.Kind == protocol.Service
		if !j.CancelRequested && j.Accepted && !d.world.CancelledByAncestor(j) && neverEnds {
			d.world.CancelJob(j)
		}
	}
	for range 40 {
		d.world.Run(6 * time.Second)
		d.world.PollAll()
	}
	d.world.Run(time.Second)
}

// requireRecentAnswers fails unless questions about every accepted job were answered lately.
func (d *drawnWorld) requireRecentAnswers(since time.Duration) {
	for id, j := range d.world.Jobs {
		if j.Accepted && j.AnsweredAt < max(since, d.world.Now-75*time.Second) {
			d.t.Fatalf("%s: no question was answered since %v", id, j.AnsweredAt)
		}
	}
}
