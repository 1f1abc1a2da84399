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
		w.Controllers = append(w.Controllers, &Controller{w: w, Name: name, Index: i, remote: send(i)})
	}
	return w
}

// Advance lets time pass until a moment.
func (w *World) Advance(to time.Duration) {
	for w.Now < to {
		next := min(to, w.ticked+step)
		w.happen(next)
		if next == w.ticked+step {
			w.tick()
		}
	}
}

// NextAt is when something happens next in the world.
func (w *World) NextAt() time.Duration {
	next := w.ticked + step
	if len(w.queue) > 0 {
		next = min(next, w.queue[0].at)
	}
	return next
}

// happen lets everything happen that was planned until a moment.
func (w *World) happen(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := w.queue.next()
		w.Now = max(w.Now, e.at)
		e.do()
	}
	w.Now = until
}

// tick has everybody look at what time calls for.
func (w *World) tick() {
	w.ticked = w.Now
	for _, name := range w.workerNames {
		w.Workers[name].tick()
	}
	for _, n := range w.Controllers {
		n.step(message.Tick{})
	}
	w.checkAlways()
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
	f := w.fate(kind, "", to)
	if f.LoseRequest {
		return
	}
	w.After(f.Request, func() {
		if r, answered := execute(); answered && !f.LoseAnswer {
			w.After(f.Answer, func() { answer(r) })
		}
	})
}

// command has a worker execute direct commands, when it resumes if it hangs.
func (w *World) command(c message.CommandsCall) (r message.CommandsResult, answered bool) {
	k := w.Workers[c.Machine]
	if k == nil || k.gone {
		return r, false
	}
	if w.Now < k.HangUntil {
		w.After(k.HangUntil-w.Now, func() {
			if !k.gone {
				k.execute(c)
			}
		})
		return r, false
	}
	return k.execute(c), true
}

// Poll asks some controller about a job.
func (w *World) Poll(j *Job) { w.poll(w.pick(), j) }

// pick chooses a controller for a user's request, as the load balancer does.
func (w *World) pick() *Controller {
	for range w.Controllers {
		w.seq++
		if n := w.Controllers[w.seq%len(w.Controllers)]; !n.Unhealthy {
			return n
		}
	}
	return w.Controllers[w.seq%len(w.Controllers)]
}

// OnMachines counts the tasks that are on machines.
func (w *World) OnMachines() int {
	n := 0
	for _, name := range w.workerNames {
		n += w.Workers[name].onMachine()
	}
	return n
}

// DuplicateStart has a task that runs on one machine start on another, too, behind the
// controllers' back: it breaks a rule on purpose, to show that this is found.
func (w *World) DuplicateStart() bool {
	for _, name := range w.workerNames {
		for _, t := range w.Workers[name].tasks {
			if t.State != protocol.Running {
				continue
			}
			for _, other := range w.workerNames {
				k := w.Workers[other]
				if other == name || k.gone {
					continue
				}
				k.start(t.Attempt)
				if second := k.find(t.Attempt); second.State == protocol.Fetching {
					second.ready = w.Now // before the controllers hear of it and have it stopped
					k.advance(second)
					return true
				}
			}
		}
	}
	return false
}
