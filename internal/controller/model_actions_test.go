package controller_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// action is a random action of users or operators, or a fault.
type action struct {
	name string
	run  func(*randomWorld)
}

// String returns the name, under which a failing draw is printed.
func (a action) String() string { return a.name }

// actions are drawn with equal probability. An action that is listed twice is drawn twice as often. The
// order and number of the actions determine the worlds that a seed generates.
var actions = []action{
	{"submit", (*randomWorld).submit},
	{"submit", (*randomWorld).submit},
	{"cancel", (*randomWorld).cancel},
	{"crash", (*randomWorld).crashOne},
	{"crash all", (*randomWorld).crashAll},
	{"state service outage", (*randomWorld).startStateOutage},
	{"state service unreachable", (*randomWorld).makeStateUnreachable},
	{"controller partitioned from all but workers", (*randomWorld).partitionController},
	{"machine partitioned", (*randomWorld).partitionMachine},
	{"machine unanswered", (*randomWorld).loseResponsesToMachine},
	{"worker hangs", (*randomWorld).hangWorker},
	{"controller paused", (*randomWorld).pauseController},
	{"controller paused before an effect", (*randomWorld).stallController},
	{"interruption notice", (*randomWorld).interruptMachine},
	{"machine fails", (*randomWorld).failMachine},
	{"cloud outage", (*randomWorld).startCloudOutage},
	{"unreliable network", (*randomWorld).makeNetworkUnreliable},
	{"machine fails tasks", (*randomWorld).failTasks},
	{"resubmit", (*randomWorld).resubmit},
	{"zone partitioned", (*randomWorld).partitionZone},
	{"heartbeats lost", (*randomWorld).loseHeartbeats},
	{"record heartbeats", (*randomWorld).recordHeartbeats},
	{"query rapidly", (*randomWorld).queryRapidly},
	{"cancel at the end", (*randomWorld).cancelAtEnd},
	{"invalid requests", func(d *randomWorld) { d.world.SubmitInvalidJobs() }},
	{"slow state service", (*randomWorld).slowStateService},
	{"upgrade", (*randomWorld).upgradeNext},
	{"upgrade", (*randomWorld).upgradeNext},
	{"lower limits", (*randomWorld).lowerLimits},
}

// drawAction draws the next action.
func drawAction(t *rapid.T) action { return rapid.SampledFrom(actions).Draw(t, "action") }

// Actions of users.

// cancel lets a user cancel a job.
func (d *randomWorld) cancel() {
	if j := d.drawJob(); j != nil && !j.CancelRequested && j.Accepted {
		d.world.CancelJob(j)
	}
}

// resubmit submits an accepted job again.
func (d *randomWorld) resubmit() {
	if j := d.drawJob(); j != nil && j.Accepted {
		d.world.Resubmit(j)
	}
}

// queryRapidly queries every job at every controller five times, 30 ms apart.
func (d *randomWorld) queryRapidly() {
	for range 5 {
		for i := range d.jobs {
			d.world.PollAndResubmitEverywhere(d.jobByNumber(i + 1))
		}
		d.world.Run(30 * time.Millisecond)
	}
}

// cancelAtEnd cancels a job just as its last task ends.
func (d *randomWorld) cancelAtEnd() {
	j := d.drawJob()
	if !j.CancelRequested && j.Accepted && j.Submission.Kind != protocol.Service {
		d.world.RunUntil(20*time.Second, func() bool { return len(j.DoneTasks) == j.Submission.Tasks })
		d.world.CancelEverywhere(j)
	}
}

// Actions of operators.

// upgradeNext upgrades the next controller to the new version.
func (d *randomWorld) upgradeNext() {
	for _, c := range d.world.Controllers {
		if c.RunsProductionVersion {
			upgrade(d.world, c, d.drawMillis("for", 100, 6000))
			return
		}
	}
}

// lowerLimits applies the announced limits of the state service if every controller runs the new
// version.
func (d *randomWorld) lowerLimits() {
	if d.upgraded() {
		d.world.State.LowerLimits()
	}
}

// Faults of controllers.

// crash crashes a controller and restarts it after a random time.
func (d *randomWorld) crash(c *fake.Controller) {
	if c.Up {
		crashFor(d.world, c, d.drawMillis("for", 0, 8000))
	}
}

// crashOne crashes one controller.
func (d *randomWorld) crashOne() { d.crash(d.drawController()) }

// crashAll crashes every controller.
func (d *randomWorld) crashAll() {
	for _, c := range d.world.Controllers {
		d.crash(c)
	}
}

// pauseController pauses the process of a controller for a random time.
func (d *randomWorld) pauseController() {
	c := d.drawController()
	c.PausedUntil = d.world.Now + d.drawMillis("for", 100, 6000)
}

// stallController pauses a controller before it executes one of its next effects.
func (d *randomWorld) stallController() {
	c := d.drawController()
	left := d.drawInt("effects", 0, 30)
	stall := d.drawMillis("for", 100, 30_000)
	c.StallBefore = func(message.Effect) time.Duration {
		left--
		if left != 0 {
			return 0
		}
		return stall
	}
}

// partitionController leaves a controller connected to the workers only.
func (d *randomWorld) partitionController() {
	c := d.drawController()
	others := []string{"state", "cloud", "n0", "n1", "n2"}
	d.network.partition(c.Name, others...)
	d.world.After(d.drawSeconds("for", 60), func() { d.network.heal(c.Name, others...) })
}

// partitionZone partitions a controller and a machine from the other controllers, and the controller
// from the state service and the cloud.
func (d *randomWorld) partitionZone() {
	c := d.drawController()
	_, machine := d.drawWorker()
	for _, other := range d.world.Controllers {
		if other != c {
			d.network.partition(other.Name, machine, c.Name)
		}
	}
	d.network.blocked[link{c.Name, "state"}], d.network.blocked[link{c.Name, "cloud"}] = true, true
	d.world.After(d.drawSeconds("for", 60), func() { clear(d.network.blocked) })
}

// Faults of the services.

// startStateOutage makes the state service fail for all controllers.
func (d *randomWorld) startStateOutage() {
	d.world.State.SetOutage(true)
	d.world.After(d.drawSeconds("for", 40), func() { d.world.State.SetOutage(false) })
}

// makeStateUnreachable makes the state service unreachable for one controller.
func (d *randomWorld) makeStateUnreachable() {
	c := d.drawController()
	d.world.State.Unreachable[c.Name] = true
	d.world.After(d.drawSeconds("for", 40), func() { d.world.State.Unreachable[c.Name] = false })
}

// slowStateService delays the responses of the state service.
func (d *randomWorld) slowStateService() {
	d.network.stateLatency = d.drawMillis("by", 50, 900)
	d.world.After(d.drawSeconds("for", 20), func() { d.network.stateLatency = 0 })
}

// startCloudOutage makes all requests to the cloud fail.
func (d *randomWorld) startCloudOutage() {
	d.world.Cloud.RefuseRequests = true
	d.world.After(d.drawSeconds("for", 30), func() { d.world.Cloud.RefuseRequests = false })
}

// makeNetworkUnreliable draws the percentages of messages that are lost, delayed and duplicated from
// now on.
func (d *randomWorld) makeNetworkUnreliable() {
	d.network.lossPercent = d.drawInt("loss", 0, 20)
	d.network.latePercent = d.drawInt("late", 0, 10)
	d.network.duplicatePercent = d.drawInt("duplicates", 0, 20)
}

// Faults of machines.

// partitionMachine partitions a machine from all controllers.
func (d *randomWorld) partitionMachine() {
	_, machine := d.drawWorker()
	var controllers []string
	for _, c := range d.world.Controllers {
		controllers = append(controllers, c.Name)
	}
	d.network.partition(machine, controllers...)
	d.world.After(d.drawSeconds("for", 40), func() { d.network.heal(machine, controllers...) })
}

// loseResponsesToMachine loses the responses and commands to a machine.
func (d *randomWorld) loseResponsesToMachine() {
	_, machine := d.drawWorker()
	d.network.responsesLost[machine] = true
	d.world.After(d.drawSeconds("for", 40), func() { delete(d.network.responsesLost, machine) })
}

// loseHeartbeats loses the heartbeats of a machine.
func (d *randomWorld) loseHeartbeats() {
	_, machine := d.drawWorker()
	d.network.heartbeatsLost[machine] = true
	d.world.After(d.drawSeconds("for", 40), func() { delete(d.network.heartbeatsLost, machine) })
}

// recordHeartbeats starts to record heartbeats, which replayHeartbeats sends again.
func (d *randomWorld) recordHeartbeats() {
	const most = 300
	d.world.OnHeartbeat = func(heartbeat protocol.Heartbeat) {
		if len(d.recordedHeartbeats) < most {
			heartbeat.Tasks = slices.Clone(heartbeat.Tasks)
			d.recordedHeartbeats = append(d.recordedHeartbeats, heartbeat)
		}
	}
}

// hangWorker makes a worker hang. The worker's lease may expire meanwhile.
func (d *randomWorld) hangWorker() {
	if worker, _ := d.drawWorker(); worker != nil {
		worker.HangUntil = d.world.Now + d.drawSeconds("for", 30)
	}
}

// interruptMachine lets the cloud announce the interruption of a machine.
func (d *randomWorld) interruptMachine() {
	_, machine := d.drawWorker()
	d.world.AnnounceInterruption(machine, d.drawSeconds("in", 15))
}

// failMachine makes a machine fail.
func (d *randomWorld) failMachine() {
	if _, machine := d.drawWorker(); machine != "" {
		d.world.Cloud.Fail(machine)
	}
}

// failTasks makes every task on a machine fail for a time.
func (d *randomWorld) failTasks() {
	if worker, _ := d.drawWorker(); worker != nil {
		worker.FailsTasks = true
		d.world.After(30*time.Second, func() { worker.FailsTasks = false })
	}
}
