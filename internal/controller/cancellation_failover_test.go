package controller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oakpick/internal/fake"
)

// outageDuration is how long the state service is down for all controllers. It is longer than a
// cancellation may take.
const outageDuration = 45 * time.Second

// failoverScenario is a failover in which the state service refuses the leader alone, jobs are
// cancelled through the other controllers, and then the state service is down for all of them.
// Times are relative to the start of the refusal. A fault whose time is 0 does not occur.
type failoverScenario struct {
	// phase is the time from the workers' heartbeats to the refusal.
	phase time.Duration
	// cancelAt is when the first job is cancelled, and outageAt when the outage begins.
	cancelAt, outageAt time.Duration

	// peersPartitioned disconnects the old leader from all other controllers until healAt, or until
	// the end of the outage if healAt is 0.
	peersPartitioned bool
	healAt           time.Duration
	// oneWay exempts the old leader's requests to the other controllers, and the responses to them,
	// from the partition.
	oneWay bool
	// commandsLost drops all direct commands.
	commandsLost bool

	// slowResponses delays the responses of the state service by 900 ms.
	slowResponses bool
	// recordsUnreadable drops the state service's responses while a successor loads the records.
	// termUnknown also drops the responses to the successor's attempts to acquire the term.
	recordsUnreadable, termUnknown bool

	// successorCrashAt is when the new leader crashes. It restarts after successorDownFor, or at the
	// end of the test if that is 0.
	successorCrashAt, successorDownFor time.Duration
	// successorPauseAt is when the new leader is paused for 12 s.
	successorPauseAt time.Duration
	// oldLeaderRestarts crashes the old leader during the outage and restarts it at once.
	oldLeaderRestarts bool
}

// String returns the fields without spaces.
func (s failoverScenario) String() string {
	type fields failoverScenario // without the String method, which would recurse
	return strings.ReplaceAll(fmt.Sprintf("%+v", fields(s)), " ", ",")
}

// failover runs a failoverScenario in a world.
type failover struct {
	failoverScenario
	world *fake.World
	jobs  []*fake.Job   // all but the last are cancelled
	start time.Duration // when the refusal begins

	counted map[*fake.Job]bool // jobs that are included in confirmed
	// confirmed counts the jobs whose cancellation was confirmed to the user, and confirmedOnMachine
	// those of them that still had a task on a machine at that time.
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

// toCancel returns the jobs that are cancelled.
func (r *failover) toCancel() []*fake.Job { return r.jobs[:3] }

// uncancelled returns the job that is not cancelled.
func (r *failover) uncancelled() *fake.Job { return r.jobs[3] }

// outageEnd returns when the state service is available to all controllers again.
func (r *failover) outageEnd() time.Duration { return r.start + r.outageAt + outageDuration }

// deliver is the scenario's World.Network function.
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

// losesStateResponse reports whether the state service's responses to the controllers other than
// n0 are currently lost.
func (r *failover) losesStateResponse() bool {
	since := r.world.Now - r.start
	return r.termUnknown && since > 500*time.Millisecond ||
		r.recordsUnreadable && r.world.Leader() == nil && since > 1500*time.Millisecond
}

// schedule schedules the call after a delay, unless the delay is 0.
func (r *failover) schedule(d time.Duration, call func()) {
	if d > 0 {
		r.world.After(d, call)
	}
}

// onSuccessor returns a function that passes the new leader, if there is one by then, to the call.
func (r *failover) onSuccessor(call func(*fake.Controller)) func() {
	return func() {
		for _, c := range r.world.Controllers[1:] {
			if c.AnswersWorkers() {
				call(c)
				return
			}
		}
	}
}

// scheduleFaults schedules the cancellations and the faults.
func (r *failover) scheduleFaults() {
	w := r.world
	w.Network = r.deliver
	w.State.Unreachable["n0"] = true
	for i, j := range r.toCancel() {
		r.schedule(r.cancelAt+time.Duration(i)*400*time.Millisecond, func() {
			if i == 0 {
				w.CancelEverywhere(j)
			} else {
				w.CancelJob(j)
			}
		})
	}
	r.schedule(r.outageAt, func() { w.State.SetOutage(true) })
	r.schedule(r.outageAt+outageDuration, func() {
		w.State.SetOutage(false)
		delete(w.State.Unreachable, "n0")
	})
	r.schedule(r.successorCrashAt, r.onSuccessor(func(c *fake.Controller) {
		c.Crash()
		r.schedule(r.successorDownFor, c.Start)
	}))
	r.schedule(r.successorPauseAt, r.onSuccessor(func(c *fake.Controller) { c.PausedUntil = w.Now + 12*time.Second }))
	if r.oldLeaderRestarts {
		r.schedule(r.outageAt+2*time.Second, func() {
			w.Controllers[0].Crash()
			w.Controllers[0].Start()
		})
	}
}

// run lets time pass until well after the outage, while users query all jobs.
func (r *failover) run() {
	w := r.world
	for w.Now < r.outageEnd()+40*time.Second {
		w.Run(500 * time.Millisecond)
		for _, j := range r.jobs {
			if !r.peersPartitioned || int(w.Now/time.Second)%3 == 0 {
				w.PollAndResubmitEverywhere(j)
			}
			r.countConfirmed(j)
		}
	}
	startCrashed(w)
	w.Run(30 * time.Second)
}

// countConfirmed counts a job once its cancellation was confirmed to its user.
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

// requireOutcome fails unless no rule was violated, the cancelled jobs have no tasks left and the
// other job runs.
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
	if n := w.RunningTasks(r.uncancelled().Submission.ID); n != 2 {
		t.Fatalf("%s: %d of 2 replicas of the uncancelled job run\n%s", r.failoverScenario, n, logTail(w, 60))
	}
}

// failoverScenarios are the scenarios that TestCancellationDuringFailover sweeps.
var failoverScenarios = map[string]failoverScenario{
	"no other fault":                          {},
	"old leader partitioned":                  {peersPartitioned: true},
	"slow responses":                          {slowResponses: true},
	"records unreadable":                      {recordsUnreadable: true},
	"term unknown":                            {termUnknown: true},
	"term unknown, partitioned":               {termUnknown: true, peersPartitioned: true},
	"records unreadable, partitioned":         {recordsUnreadable: true, peersPartitioned: true},
	"successor crashes":                       {successorCrashAt: 6 * time.Second},
	"successor crashes, partitioned":          {successorCrashAt: 6 * time.Second, peersPartitioned: true},
	"successor restarts at once":              {successorCrashAt: 5 * time.Second, successorDownFor: 200 * time.Millisecond, peersPartitioned: true},
	"successor crashes early":                 {successorCrashAt: 2200 * time.Millisecond, successorDownFor: 3 * time.Second, peersPartitioned: true},
	"successor paused":                        {successorPauseAt: 4 * time.Second, peersPartitioned: true},
	"partition heals after successor restart": {peersPartitioned: true, outageAt: 7 * time.Second, successorCrashAt: 9 * time.Second, successorDownFor: 200 * time.Millisecond, healAt: 10 * time.Second},
	"one-way partition":                       {peersPartitioned: true, oneWay: true},
	"no direct commands":                      {commandsLost: true},
	"no direct commands, partitioned":         {commandsLost: true, peersPartitioned: true},
	"old leader restarts":                     {oldLeaderRestarts: true},
	"old leader restarts, successor crashes":  {oldLeaderRestarts: true, successorCrashAt: 4 * time.Second, successorDownFor: time.Second},
}

// sweep returns variants of the scenario that differ in phase, cancelAt and outageAt.
func (s failoverScenario) sweep(phases, steps int) []failoverScenario {
	var scenarios []failoverScenario
	for phase := range phases {
		for cancel := range steps {
			for outage := range steps {
				swept := s
				swept.phase = 2 * time.Second * time.Duration(phase) / time.Duration(phases) // within the heartbeat interval
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

// Jobs are cancelled during a failover, with many combinations of the times of heartbeats, refusal,
// cancellation and outage. Once a user has been told that a job is cancelled, the job's tasks must
// end within the permitted time, which the world checks against its own record of running tasks.
func TestCancellationDuringFailover(t *testing.T) {
	t.Parallel()
	phases, steps := 2, 5
	if *fineSteps {
		phases, steps = 5, 16
	}
	for name, kind := range failoverScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			confirmed, confirmedOnMachine := 0, 0
			for _, scenario := range kind.sweep(phases, steps) {
				r := newFailover(t, scenario)
				r.scheduleFaults()
				r.run()
				r.requireOutcome(t)
				confirmed += r.confirmed
				confirmedOnMachine += r.confirmedOnMachine
			}
			t.Logf("%d cancellations confirmed, %d while a task was on a machine", confirmed, confirmedOnMachine)
			if confirmed == 0 {
				t.Error("no cancellation was confirmed: the scenario tests nothing")
			}
		})
	}
}
