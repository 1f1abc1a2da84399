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

// TestInvariantsUnderRandomFaults runs worlds with random jobs of all kinds, and with crashes,
// partitions, outages, hangs, and lost, late and duplicated messages in any order. The invariants hold
// throughout, and once the faults have ended, every job is served.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newRandomWorld(t)
		d.submit()
		d.submit()
		for range d.drawInt("actions", 4, 14) {
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

// maxRandomJobs is the maximum number of jobs in a random world.
const maxRandomJobs = 8

// randomWorld is a world with random jobs and faults.
type randomWorld struct {
	t       *rapid.T
	world   *fake.World
	network *randomNetwork
	teams   []string
	jobs    int // submitted so far
	maxJobs int
	leader  string // name of the last known leader
	// onSubmit is called with every job from submitDependent. Only pipeline worlds set it.
	onSubmit func(*fake.Job)
	// recordedHeartbeats holds copies of heartbeats to replay when another controller leads.
	recordedHeartbeats []protocol.Heartbeat
}

// newRandomWorld draws the settings, and whether the controllers start with the version in
// production.
func newRandomWorld(t *rapid.T) *randomWorld {
	settings := fake.Settings()
	if rapid.Bool().Draw(t, "limits to come") {
		settings.State.Next = nextLimits(1, rapid.IntRange(1, 3).Draw(t, "changes to come"), 25)
	}
	teams := []string{"red", "blue"}
	if rapid.Bool().Draw(t, "guests") {
		settings.Teams = append(settings.Teams, config.Team{Name: "guests"})
		teams = append(teams, "guests")
	}
	return startRandomWorld(t, settings, teams, maxRandomJobs)
}

// startRandomWorld makes a world whose controllers start with either the version in production or
// the new one, as drawn. The dependency graph and the effects of a controller are checked after each
// of its steps.
func startRandomWorld(t *rapid.T, settings config.Settings, teams []string, maxJobs int) *randomWorld {
	w := fake.NewWorld(settings)
	w.RewriteAsProduction = roundTripProduction
	w.OnStep = func(c *fake.Controller, effects []message.Effect) {
		if err := c.Controller().CheckDependencies(); err != nil {
			t.Fatalf("%v: %s: %v", w.Now, c.Name, err)
		}
		if err := checkLeaderEffects(c, effects); err != nil {
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
	d := &randomWorld{t: t, world: w, teams: teams, maxJobs: maxJobs, network: newRandomNetwork(t)}
	w.Network = d.network.deliver
	return d
}

// drawInt draws a number from least to most.
func (d *randomWorld) drawInt(label string, least, most int) int {
	return rapid.IntRange(least, most).Draw(d.t, label)
}

// drawSeconds draws a duration of 1 to most seconds.
func (d *randomWorld) drawSeconds(label string, most int) time.Duration {
	return time.Duration(d.drawInt(label, 1, most)) * time.Second
}

// drawMillis draws a duration of least to most milliseconds.
func (d *randomWorld) drawMillis(label string, least, most int) time.Duration {
	return time.Duration(d.drawInt(label, least, most)) * time.Millisecond
}

// drawController draws one of the controllers.
func (d *randomWorld) drawController() *fake.Controller {
	return d.world.Controllers[d.drawInt("controller", 0, 2)]
}

// drawWorker draws a machine that is up. It returns nil and "" if there is none.
func (d *randomWorld) drawWorker() (*fake.Worker, string) {
	names := d.world.MachineNames()
	if len(names) == 0 {
		return nil, ""
	}
	name := rapid.SampledFrom(names).Draw(d.t, "machine")
	return d.world.Workers[name], name
}

// jobByNumber returns the job with a number.
func (d *randomWorld) jobByNumber(number int) *fake.Job {
	return d.world.Jobs[fmt.Sprintf("wk-%06d", number)]
}

// drawJob draws one of the submitted jobs.
func (d *randomWorld) drawJob() *fake.Job { return d.jobByNumber(d.drawInt("job", 1, d.jobs)) }

// upgraded reports whether every controller runs the new version.
func (d *randomWorld) upgraded() bool {
	return !slices.ContainsFunc(d.world.Controllers, func(c *fake.Controller) bool { return c.RunsProductionVersion })
}

// submit draws a job and submits it, unless the maximum number of jobs is reached.
func (d *randomWorld) submit() {
	if d.jobs >= d.maxJobs {
		return
	}
	d.jobs++
	s := d.drawSubmission()
	if s.Kind == protocol.Service {
		s.CheckpointIntervalS = 0
	}
	j := d.world.Submit(s, d.drawSeconds("run", 15))
	j.AlwaysFails = d.drawInt("always fails", 0, 19) == 0
}

// drawSubmission draws the submission of a job.
func (d *randomWorld) drawSubmission() protocol.Submission {
	kind := protocol.JobKind(d.drawInt("kind", 0, 2))
	s := job(d.jobs, kind, d.drawInt("tasks", 1, 4))
	s.Priority = protocol.Priority(d.drawInt("priority", 0, 3))
	s.Team = rapid.SampledFrom(d.teams).Draw(d.t, "team")
	s.Spot = rapid.Bool().Draw(d.t, "spot")
	s.CPUs = float64(d.drawInt("cpus", 1, 3))
	switch d.drawInt("zones", 0, 5) {
	case 0:
		s.OneZone = true
	case 1:
		s.Spread = true
	case 2:
		s.Zone = "a"
	}
	s.Image = rapid.SampledFrom([]string{"x", "y"}).Draw(d.t, "image")
	for i := 1; i < d.jobs && d.upgraded(); i++ { // the version in production has no prerequisites
		p := d.jobByNumber(i)
		if p.Accepted && p.Submission.Kind != protocol.Service && d.drawInt("needs", 0, 3) == 0 {
			s.Prerequisites = append(s.Prerequisites, p.Submission.ID)
		}
	}
	return s
}

// runAndPoll lets time pass and polls every job meanwhile.
func (d *randomWorld) runAndPoll() {
	for range d.drawInt("polls", 1, 6) {
		d.world.Run(d.drawMillis("run", 100, 4000))
		d.world.PollAll()
		if leader := d.world.Leader(); leader != nil && leader.Name != d.leader {
			d.leader = leader.Name
			d.replayHeartbeats()
		}
	}
}

// replayHeartbeats sends the recorded heartbeats to every controller and stops recording.
func (d *randomWorld) replayHeartbeats() {
	for _, heartbeat := range d.recordedHeartbeats {
		for _, c := range d.world.Controllers {
			c.Request(message.HeartbeatRequest{Heartbeat: &heartbeat}, func(message.Reply) {})
		}
	}
	d.recordedHeartbeats, d.world.OnHeartbeat = nil, nil
}

// endFaults stops injecting faults into messages and effects, upgrades all controllers, waits until
// the other faults have ended, and returns the time at that point.
func (d *randomWorld) endFaults() time.Duration {
	d.network.recover()
	for _, c := range d.world.Controllers {
		if c.RunsProductionVersion {
			upgrade(d.world, c, time.Second)
		}
	}
	for _, c := range d.world.Controllers {
		c.StallBefore = nil
	}
	d.world.Run(65 * time.Second) // longer than any fault
	return d.world.Now
}

// serveAll cancels jobs that never end and may keep others from running (jobs that always fail, and
// services of the team with a limit), and gives the other jobs time to be served.
func (d *randomWorld) serveAll() {
	for i := range d.jobs {
		j := d.jobByNumber(i + 1)
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

// requireRecentAnswers fails unless a query for every accepted job was answered after the given time
// and within the last 75 seconds.
func (d *randomWorld) requireRecentAnswers(since time.Duration) {
	for id, j := range d.world.Jobs {
		if j.Accepted && j.AnsweredAt < max(since, d.world.Now-75*time.Second) {
			d.t.Fatalf("%s: no query was answered since %v", id, j.AnsweredAt)
		}
	}
}
