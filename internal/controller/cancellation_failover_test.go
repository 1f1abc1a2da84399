package controller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
)

// outageDuration is how long the state service is down for all: longer than a cancellation may
// take.
const outageDuration = 45 * time.Second

// failoverScenario is one in which the state service refuses the leader alone, jobs are
// cancelled through the others, and then the state service is down for all. Times count from
// the refusal; 0: it doesn't happen.
type failoverScenario struct {
	// phase is by how much the refusal comes after the workers' heartbeats.
	phase time.Duration
	// cancelAt is when the first job is cancelled, outageAt when the outage begins.
	cancelAt, outageAt time.Duration

	// peersPartitioned has the old leader reach no other controller, nor they it, until healAt;
	// 0: until all is over.
	peersPartitioned bool
	healAt           time.Duration
	// oneWay lets the old leader still reach the others, and hear their answers.
	oneWay bool
	// commandsLost drops all direct commands.
	commandsLost bool

	// slowResponses has answers of the state service take a second from before the refusal.
	slowResponses bool
	// recordsUnreadable loses what the state service says of the records to whoever takes over,
	// termUnknown its answers to whoever takes the term as well.
	recordsUnreadable, termUnknown bool

	// successorCrashAt is when the new leader crashes; it is back after successorDownFor.
	successorCrashAt, successorDownFor time.Duration
	// successorPauseAt is when the new leader is paused, for 12 s.
	successorPauseAt time.Duration
	// oldLeaderRestarts has the old leader crash and be back at once in the outage.
	oldLeaderRestarts bool
}

// String has the fields in one word.
func (s failoverScenario) String() string {
	type fields failoverScenario // without this method
	return strings.ReplaceAll(fmt.Sprintf("%+v", fields(s)), " ", ",")
}

// failover is a world in which a failoverScenario is played.
type failover struct {
	failoverScenario
	world *fake.World
	jobs  []*fake.Job // of which all but the last are cancelled
	start time.Duration

	counted map[*fake.Job]bool
	// confirmed counts the jobs whose user was told that they are cancelled,
	// confirmedOnMachine those of them that still had a task on a machine.
	confirmed, confirmedOnMachine int
}

// newFailover makes a world in which the jobs run and the refusal is about to begin.
func newFailover(t *testing.T, scenario failoverScenario) *failover {
	t.Helper()
	r := &failover{failoverScenario: scenario, world: newWorld(t), counted: map[*fake.Job]bool{}}
	for i := range 4 {
		s := service(i+1, 2)
		s.CPUs = 2
		r.jobs = append(r.jobs, r.world.Submit(s, 0))
	}
	for _, j := range r.jobs {
		waitRunning(t, r.world, j.Submission.ID, 2)
	}
	r.world.Run(4*time.Second + scenario.phase)
	r.start = r.world.Now
	return r
}

// toCancel are the jobs that are cancelled.
func (r *failover) toCancel() []*fake.Job { return r.jobs[:3] }

// kept is the job that nobody cancels.
func (r *failover) kept() *fake.Job { return r.jobs[3] }

// outageEnd is when the state service serves all again.
func (r *failover) outageEnd() time.Duration { return r.start + r.outageAt + outageDuration }

// deliver is the World's Network.
func (r *failover) deliver(kind, from, to string) fake.Delivery {
	delivery := fake.Reliable()
	if r.world.Now >= r.outageEnd() {
		return delivery
	}
	switch kind {
	case fake.KindPeer, fake.KindForward:
		partitioned := r.peersPartitioned && (r.healAt == 0 || r.world.Now < r.start+r.healAt)
		delivery.LoseRequest = partitioned && (from == "n0" && !r.oneWay || to == "n0")
	case fake.KindCommands:
		delivery.LoseRequest = r.commandsLost
	case fake.KindState:
		if r.slowResponses {
			delivery.ResponseDelay = 900 * time.Millisecond
		}
		delivery.LoseResponse = from != "n0" && r.losesStateResponse()
	}
	return delivery
}

// losesStateResponse tells whether the others don't hear from the state service at present.
func (r *failover) losesStateResponse() bool {
	since := r.world.Now - r.start
	return r.termUnknown && since > 500*time.Millisecond ||
		r.recordsUnreadable && r.world.Leader() == nil && since > 1500*time.Millisecond
}

// at plans a call, unless the time is 0.
func (r *failover) at(d time.Duration, call func()) {
	if d > 0 {
		r.world.After(d, call)
	}
}

// toSuccessor gives a call for whatever controller is the new leader by then.
func (r *failover) toSuccessor(call func(*fake.Controller)) func() {
	return func() {
		for _, c := range r.world.Controllers[1:] {
			if c.AnswersWorkers() {
				call(c)
				return
			}
		}
	}
}

// plan plans the cancellations and the faults.
func (r *failover) plan() {
	w := r.world
	w.Network = r.deliver
	w.State.Unreachable["n0"] = true
	for i, j := range r.toCancel() {
		r.at(r.cancelAt+time.Duration(i)*400*time.Millisecond, func() {
			if i == 0 {
				w.CancelEverywhere(j)
			} else {
				w.CancelJob(j)
			}
		})
	}
	r.at(r.outageAt, func() { w.State.SetOutage(true) })
	r.at(r.outageAt+outageDuration, func() {
		w.State.SetOutage(false)
		delete(w.State.Unreachable, "n0")
	})
	r.at(r.successorCrashAt, r.toSuccessor(func(c *fake.Controller) {
		c.Crash()
		r.at(r.successorDownFor, c.Start)
	}))
	r.at(r.successorPauseAt, r.toSuccessor(func(c *fake.Controller) { c.PausedUntil = w.Now + 12*time.Second }))
	if r.oldLeaderRestarts {
		r.at(r.outageAt+2*time.Second, func() {
			w.Controllers[0].Crash()
			w.Controllers[0].Start()
		})
	}
}

// play lets time pass until well after the outage, with queries for all jobs.
func (r *failover) play() {
	w := r.world
	for w.Now < r.outageEnd()+40*time.Second {
		w.Run(500 * time.Millisecond)
		for _, j := range r.jobs {
			if !r.peersPartitioned || int(w.Now/time.Second)%3 == 0 {
				w.QueryEverywhere(j)
			}
			r.countConfirmed(j)
		}
	}
	startCrashed(w)
	w.Run(30 * time.Second)
}

// countConfirmed counts a job once its user was told that it is cancelled.
func (r *failover) countConfirmed(j *fake.Job) {
	if !j.Cancelled || r.counted[j] {
		return
	}
	r.counted[j] = true
	r.confirmed++
	if len(r.world.MachinesOf(j.Submission.ID)) > 0 {
		r.confirmedOnMachine++
	}
}

// requireOutcome fails unless the cancelled jobs are gone and the other one runs.
func (r *failover) requireOutcome(t *testing.T) {
	t.Helper()
	w := r.world
	if len(w.Violations) > 0 {
		t.Fatalf("%s: %s\n%s", r.failoverScenario, strings.Join(w.Violations, "\n"), logTail(w, 60))
	}
	for _, j := range r.toCancel() {
		if !j.Cancelled || len(w.MachinesOf(j.Submission.ID)) > 0 {
			t.Fatalf("%s: %s status %q, on %v", r.failoverScenario, j.Submission.ID, j.Status, w.MachinesOf(j.Submission.ID))
		}
	}
	if n := w.Running(r.kept().Submission.ID); n != 2 {
		t.Fatalf("%s: %d of 2 replicas of the job that was not cancelled run\n%s", r.failoverScenario, n, logTail(w, 60))
	}
}

// failoverKinds are the scenarios that TestCancellationDuringFailover sweeps.
var failoverKinds = map[string]failoverScenario{
	"no other fault":                         {},
	"old leader partitioned":                 {peersPartitioned: true},
	"slow responses":                         {slowResponses: true},
	"records unreadable":                     {recordsUnreadable: true},
	"term unknown":                           {termUnknown: true},
	"term unknown, partitioned":              {termUnknown: true, peersPartitioned: true},
	"records unreadable, partitioned":        {recordsUnreadable: true, peersPartitioned: true},
	"successor crashes":                      {successorCrashAt: 6 * time.Second},
	"successor crashes, partitioned":         {successorCrashAt: 6 * time.Second, peersPartitioned: true},
	"successor restarts at once":             {successorCrashAt: 5 * time.Second, successorDownFor: 200 * time.Millisecond, peersPartitioned: true},
	"successor crashes early":                {successorCrashAt: 2200 * time.Millisecond, successorDownFor: 3 * time.Second, peersPartitioned: true},
	"successor paused":                       {successorPauseAt: 4 * time.Second, peersPartitioned: true},
	"old leader hears a restarted successor": {peersPartitioned: true, outageAt: 7 * time.Second, successorCrashAt: 9 * time.Second, successorDownFor: 200 * time.Millisecond, healAt: 10 * time.Second},
	"old leader can ask and not be asked":    {peersPartitioned: true, oneWay: true},
	"no direct commands":                     {commandsLost: true},
	"no direct commands, partitioned":        {commandsLost: true, peersPartitioned: true},
	"old leader restarts":                    {oldLeaderRestarts: true},
	"old leader restarts, successor crashes": {oldLeaderRestarts: true, successorCrashAt: 4 * time.Second, successorDownFor: time.Second},
}

// sweep gives the scenario at every offset of cancellation and outage from the refusal, and of
// the refusal from the workers' heartbeats.
func (s failoverScenario) sweep(phases, steps int) []failoverScenario {
	var scenarios []failoverScenario
	for phase := range phases {
		for cancel := range steps {
			for outage := range steps {
				swept := s
				swept.phase = 2 * time.Second * time.Duration(phase) / time.Duration(phases) // of the heartbeat interval
				swept.cancelAt = 100*time.Millisecond + 3*time.Second*time.Duration(cancel)/time.Duration(steps)
				part := float64(outage) / float64(steps-1)
				if s.outageAt > 0 {
					swept.outageAt += time.Duration(part * float64(time.Second))
				} else {
					swept.outageAt = 500*time.Millisecond + time.Duration(part*part*11.5*float64(time.Second))
				}
				scenarios = append(scenarios, swept)
			}
		}
	}
	return scenarios
}

// Cancellations during a failover, swept over the offsets of all that happens: whoever was told
// that a job is cancelled finds its tasks gone in time, by the world's own record.
func TestCancellationDuringFailover(t *testing.T) {
	t.Parallel()
	phases, steps := 2, 5
	if *fineSteps {
		phases, steps = 5, 16
	}
	for name, kind := range failoverKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			confirmed, confirmedOnMachine := 0, 0
			for _, scenario := range kind.sweep(phases, steps) {
				r := newFailover(t, scenario)
				r.plan()
				r.play()
				r.requireOutcome(t)
				confirmed += r.confirmed
				confirmedOnMachine += r.confirmedOnMachine
			}
			t.Logf("%d cancellations confirmed, %d while a task was on a machine", confirmed, confirmedOnMachine)
			if confirmed == 0 {
				t.Error("no cancellation was confirmed: this scenario shows nothing")
			}
		})
	}
}
