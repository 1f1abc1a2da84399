package controller_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// action is something that users, operators or faults do in a drawn world.
type action struct {
	name string
	run  func(*drawnWorld)
}

// String is the name, under which a failing draw is printed.
func (a action) String() string { return a.name }

// actions are drawn with equal chance. What is there twice is drawn twice as often. Their
// order and number decide which worlds a seed gives.
var actions = []action{
	{"submit", (*drawnWorld).submit},
	{"submit", (*drawnWorld).submit},
	{"cancel", (*drawnWorld).cancel},
	{"crash", (*drawnWorld).crashOne},
	{"crash all", (*drawnWorld).crashAll},
	{"state service outage", (*drawnWorld).stateOutage},
	{"state service unreachable", (*drawnWorld).stateUnreachable},
	{"controller partitioned from all but workers", (*drawnWorld).partitionController},
	{"machine partitioned", (*drawnWorld).partitionMachine},
	{"machine unanswered", (*drawnWorld).loseResponsesToMachine},
	{"worker hangs", (*drawnWorld).hangWorker},
	{"controller paused", (*drawnWorld).pauseController},
	{"controller paused before an effect", (*drawnWorld).stallController},
	{"interruption notice", (*drawnWorld).interruptMachine},
	{"machine fails", (*drawnWorld).failMachine},
	{"cloud outage", (*drawnWorld).cloudOutage},
	{"unreliable network", (*drawnWorld).disturbNetwork},
	{"machine fails tasks", (*drawnWorld).failTasks},
	{"resubmit", (*drawnWorld).resubmit},
	{"zone partitioned", (*drawnWorld).partitionZone},
	{"heartbeats lost", (*drawnWorld).loseHeartbeats},
	{"record heartbeats", (*drawnWorld).recordHeartbeats},
	{"query rapidly", (*drawnWorld).queryRapidly},
	{"cancel at the end", (*drawnWorld).cancelAtEnd},
	{"invalid requests", func(d *drawnWorld) { d.world.SubmitInvalidJobs() }},
	{"slow state service", (*drawnWorld).slowState},
	{"upgrade", (*drawnWorld).upgradeNext},
	{"upgrade", (*drawnWorld).upgradeNext},
	{"lower limits", (*drawnWorld).lowerLimits},
}

// drawAction draws the next action.
func drawAction(t *rapid.T) action { return rapid.SampledFrom(actions).Draw(t, "action") }

// What users do.

// cancel has a job cancelled by its user.
func (d *drawnWorld) cancel() {
	if j := d.job(); j != nil && !j.CancelRequested && j.Accepted {
		d.world.CancelJob(j)
	}
}

// resubmit has an accepted job submitted once more.
func (d *drawnWorld) resubmit() {
	if j := d.job(); j != nil && j.Accepted {
		d.world.Resubmit(j)
	}
}

// queryRapidly has every job queried at every controller, milliseconds apart.
func (d *drawnWorld) queryRapidly() {
	for range 5 {
		for i := range d.jobs {
			d.world.QueryEverywhere(d.numbered(i + 1))
		}
		d.world.Run(30 * time.Millisecond)
	}
}

// cancelAtEnd cancels a job just as its last task ends.
func (d *drawnWorld) cancelAtEnd() {
	j := d.job()
	if !j.CancelRequested && j.Accepted && j.Submission.Kind != protocol.Service {
		d.world.RunUntil(20*time.Second, func() bool { return len(j.DoneTasks) == j.Submission.Tasks })
		d.world.CancelEverywhere(j)
	}
}

// What operators do.

// upgradeNext gives the next controller the new version.
func (d *drawnWorld) upgradeNext() {
	for _, c := range d.world.Controllers {
		if c.RunsProductionVersion {
			upgrade(d.world, c, d.millis("for", 100, 6000))
			return
		}
	}
}

// lowerLimits lowers the limits of the state service once every controller has the new version.
func (d *drawnWorld) lowerLimits() {
	if d.upgraded() {
		d.world.State.LowerLimits()
	}
}

// Faults of controllers.

// crash crashes a controller for a time.
func (d *drawnWorld) crash(c *fake.Controller) {
	if c.Up {
		crashFor(d.world, c, d.millis("for", 0, 8000))
	}
}

// crashOne crashes some controller.
func (d *drawnWorld) crashOne() { d.crash(d.controller()) }

// crashAll crashes every controller.
func (d *drawnWorld) crashAll() {
	for _, c := range d.world.Controllers {
		d.crash(c)
	}
}

// pauseController leaves a controller without processor time.
func (d *drawnWorld) pauseController() {
	c := d.controller()
	c.PausedUntil = d.world.Now + d.millis("for", 100, 6000)
}

// stallController pauses a controller before it performs one of its next effects.
func (d *drawnWorld) stallController() {
	c := d.controller()
	left := d.between("effects", 0, 30)
	stall := d.millis("for", 100, 30_000)
	c.StallBefore = func(message.Effect) time.Duration {
		left--
		if left != 0 {
			return 0
		}
		return stall
	}
}

// partitionController leaves a controller nothing but the workers.
func (d *drawnWorld) partitionController() {
	c := d.controller()
	others := []string{"state", "cloud", "n0", "n1", "n2"}
	d.network.partition(c.Name, others...)
	d.world.After(d.seconds("for", 60), func() { d.network.heal(c.Name, others...) })
}

// partitionZone leaves a controller and a machine to themselves.
func (d *drawnWorld) partitionZone() {
	c := d.controller()
	_, machine := d.worker()
	for _, other := range d.world.Controllers {
		if other != c {
			d.network.partition(other.Name, machine, c.Name)
		}
	}
	d.network.blocked[link{c.Name, "state"}], d.network.blocked[link{c.Name, "cloud"}] = true, true
	d.world.After(d.seconds("for", 60), func() { clear(d.network.blocked) })
}

// Faults of the services.

// stateOutage has the state service refuse everybody.
func (d *drawnWorld) stateOutage() {
	d.world.State.SetOutage(true)
	d.world.After(d.seconds("for", 40), func() { d.world.State.SetOutage(false) })
}

// stateUnreachable has the state service refuse one controller.
func (d *drawnWorld) stateUnreachable() {
	c := d.controller()
	d.world.State.Unreachable[c.Name] = true
	d.world.After(d.seconds("for", 40), func() { d.world.State.Unreachable[c.Name] = false })
}

// slowState delays the responses of the state service.
func (d *drawnWorld) slowState() {
	d.network.stateLatency = d.millis("by", 50, 900)
	d.world.After(d.seconds("for", 20), func() { d.network.stateLatency = 0 })
}

// cloudOutage has the cloud refuse everything.
func (d *drawnWorld) cloudOutage() {
	d.world.Cloud.Down = true
	d.world.After(d.seconds("for", 30), func() { d.world.Cloud.Down = false })
}

// disturbNetwork draws how many messages are lost, late and duplicated from now on.
func (d *drawnWorld) disturbNetwork() {
	d.network.loss = d.between("loss", 0, 20)
	d.network.late = d.between("late", 0, 10)
	d.network.duplicates = d.between("duplicates", 0, 20)
}

// Faults of machines.

// partitionMachine cuts a machine off from every controller.
func (d *drawnWorld) partitionMachine() {
	_, machine := d.worker()
	var controllers []string
	for _, c := range d.world.Controllers {
		controllers = append(controllers, c.Name)
	}
	d.network.partition(machine, controllers...)
	d.world.After(d.seconds("for", 40), func() { d.network.heal(machine, controllers...) })
}

// loseResponsesToMachine keeps responses and commands from a machine.
func (d *drawnWorld) loseResponsesToMachine() {
	_, machine := d.worker()
	d.network.unanswered[machine] = true
	d.world.After(d.seconds("for", 40), func() { delete(d.network.unanswered, machine) })
}

// loseHeartbeats loses the heartbeats of a machine.
func (d *drawnWorld) loseHeartbeats() {
	_, machine := d.worker()
	d.network.noHeartbeats[machine] = true
	d.world.After(d.seconds("for", 40), func() { delete(d.network.noHeartbeats, machine) })
}

// recordHeartbeats keeps copies of heartbeats, see drawnWorld.replayHeartbeats.
func (d *drawnWorld) recordHeartbeats() {
	const most = 300
	d.world.OnHeartbeat = func(heartbeat protocol.Heartbeat) {
		if len(d.recorded) < most {
			heartbeat.Tasks = slices.Clone(heartbeat.Tasks)
			d.recorded = append(d.recorded, heartbeat)
		}
	}
}

// hangWorker has a worker hang, while its lease goes on.
func (d *drawnWorld) hangWorker() {
	if worker, _ := d.worker(); worker != nil {
		worker.HangUntil = d.world.Now + d.seconds("for", 30)
	}
}

// interruptMachine has the cloud announce that it takes a machine.
func (d *drawnWorld) interruptMachine() {
	_, machine := d.worker()
	d.world.AnnounceInterruption(machine, d.seconds("in", 15))
}

// failMachine ends a machine.
func (d *drawnWorld) failMachine() {
	if _, machine := d.worker(); machine != "" {
		d.world.Cloud.Fail(machine)
	}
}

// failTasks has a machine fail every task for a time.
func (d *drawnWorld) failTasks() {
	if worker, _ := d.worker(); worker != nil {
		worker.FailsTasks = true
		d.world.After(30*time.Second, func() { worker.FailsTasks = false })
	}
}
