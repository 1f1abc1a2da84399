package fake

import (
	"time"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// RemoteSend carries a request to a controller that runs outside the world, and its reply back.
// Both are called by the world's owner.
type RemoteSend func(request message.Request, reply func(message.Reply))

// NewLive makes a world whose controllers run outside it, as real processes. Its time is
// what Advance is told. It has one owner: nothing of it may be used by two goroutines.
func NewLive(s config.Settings, types []protocol.MachineType, controllers []string, send func(controller int) RemoteSend) *World {
	w := newWorld(s, types)
	for i, name := range controllers {
		w.Controllers = append(w.Controllers, &Controller{world: w, Name: name, Index: i, remote: send(i)})
	}
	return w
}

// Advance lets time pass until a moment.
func (w *World) Advance(to time.Duration) {
	for w.Now < to {
		next := min(to, w.lastTick+step)
		w.runEvents(next)
		if next == w.lastTick+step {
			w.tick()
		}
	}
}

// NextEventAt is when something happens next in the world.
func (w *World) NextEventAt() time.Duration {
	next := w.lastTick + step
	if len(w.events) > 0 {
		next = min(next, w.events[0].at)
	}
	return next
}

// runEvents lets everything happen that was planned until a moment.
func (w *World) runEvents(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := w.events.next()
		w.Now = max(w.Now, e.at)
		e.run()
	}
	w.Now = until
}

// tick has everybody look at what time calls for.
func (w *World) tick() {
	w.lastTick = w.Now
	for _, name := range w.workerNames {
		w.Workers[name].tick()
	}
	for _, n := range w.Controllers {
		n.step(message.Tick{})
	}
	w.checkInvariants()
}

// ServeState executes a request to the state service, and answers it unless the network
// keeps that from happening.
func (w *World) ServeState(c storage.StateCall, answer func(storage.StateResult)) {
	serve(w, "state", "state", func() (storage.StateResult, bool) { return w.State.Execute(c), true }, answer)
}

// ServeCloud executes a request to the cloud.
func (w *World) ServeCloud(c message.CloudCall, answer func(message.CloudResult)) {
	serve(w, "cloud", "cloud", func() (message.CloudResult, bool) { return w.Cloud.execute(c), true }, answer)
}

// ServeCommands has a worker execute direct commands. A machine without power, one that
// hangs or one that is cut off answers nothing.
func (w *World) ServeCommands(c message.CommandsCall, answer func(message.CommandsResult)) {
	serve(w, "orders", c.Machine, func() (message.CommandsResult, bool) { return w.command(c) }, answer)
}

// serve has a request from outside executed and answered as the network will.
func serve[R any](w *World, kind, to string, execute func() (R, bool), answer func(R)) {
	f := w.deliveryOf(kind, "", to)
	if f.LoseRequest {
		return
	}
	w.After(f.RequestDelay, func() {
		if r, answered := execute(); answered && !f.LoseResponse {
			w.After(f.ResponseDelay, func() { answer(r) })
		}
	})
}

// command has a worker execute direct commands, when it resumes if it hangs.
func (w *World) command(c message.CommandsCall) (r message.CommandsResult, answered bool) {
	k := w.Workers[c.Machine]
	if k == nil || k.terminated {
		return r, false
	}
	if w.Now < k.HangUntil {
		w.After(k.HangUntil-w.Now, func() {
			if !k.terminated {
				k.executeDirect(c)
			}
		})
		return r, false
	}
	return k.executeDirect(c), true
}

// Poll asks some controller about a job.
func (w *World) Poll(j *Job) { w.poll(w.pickController(), j) }

// pickController chooses a controller for a user's request, as the load balancer does.
func (w *World) pickController() *Controller {
	for range w.Controllers {
		w.seq++
		if n := w.Controllers[w.seq%len(w.Controllers)]; !n.Unhealthy {
			return n
		}
	}
	return w.Controllers[w.seq%len(w.Controllers)]
}

// TasksOnMachines counts the tasks that are on machines.
func (w *World) TasksOnMachines() int {
	n := 0
	for _, name := range w.workerNames {
		n += w.Workers[name].attemptsOnMachine()
	}
	return n
}

// DuplicateStart has a task that runs on one machine start on another, too, behind the
// controllers' back: it breaks a rule on purpose, to show that this is found.
func (w *World) DuplicateStart() bool {
	for _, name := range w.workerNames {
		for _, t := range w.Workers[name].attempts {
			if t.State != protocol.Running {
				continue
			}
			for _, other := range w.workerNames {
				k := w.Workers[other]
				if other == name || k.terminated {
					continue
				}
				k.start(t.Attempt)
				if second := k.find(t.Attempt); second.State == protocol.Fetching {
					second.imageReadyAt = w.Now // before the controllers hear of it and have it stopped
					k.advance(second)
					return true
				}
			}
		}
	}
	return false
}
