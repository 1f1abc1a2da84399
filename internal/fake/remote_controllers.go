package fake

import (
	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// RemoteSend sends a request to a controller that runs outside the world. Both the function and its
// reply callback are called in the goroutine that owns the world.
type RemoteSend func(request message.Request, reply func(message.Reply))

// NewWithRemoteControllers returns a world whose controllers run outside it, as real processes. The
// caller advances its time with AdvanceTo. A World is not safe for concurrent use.
func NewWithRemoteControllers(s config.Settings, types []protocol.MachineType, controllers []string, send func(controller int) RemoteSend) *World {
	w := newWorld(s, types)
	for i, name := range controllers {
		w.Controllers = append(w.Controllers, &Controller{world: w, Name: name, Index: i, remote: send(i)})
	}
	return w
}

// ServeState executes a request to the state service and passes the result to answer, unless the
// network loses the request or the result.
func (w *World) ServeState(call storage.StateCall, answer func(storage.StateResult)) {
	serve(w, KindState, stateService, func() (storage.StateResult, bool) { return w.State.Execute(call), true }, answer)
}

// ServeCloud executes a request to the cloud API and passes the result to answer, unless the network
// loses the request or the result.
func (w *World) ServeCloud(call message.CloudCall, answer func(message.CloudResult)) {
	serve(w, KindCloud, cloudService, func() (message.CloudResult, bool) { return w.Cloud.execute(call), true }, answer)
}

// ServeCommands lets a worker execute commands that were sent directly to it, and passes the result
// to answer. There is no answer if the machine is unknown or terminated, if its worker hangs, or if the network loses a message.
func (w *World) ServeCommands(call message.CommandsCall, answer func(message.CommandsResult)) {
	serve(w, KindCommands, call.Machine, func() (message.CommandsResult, bool) { return w.executeCommands(call) }, answer)
}

// serve executes a request from outside the world and answers it, subject to network faults.
func serve[R any](w *World, kind, to string, execute func() (R, bool), answer func(R)) {
	delivery := w.deliveryOf(kind, "", to)
	if delivery.LoseRequest {
		return
	}
	w.After(delivery.RequestDelay, func() {
		if result, answered := execute(); answered && !delivery.LoseResponse {
			w.After(delivery.ResponseDelay, func() { answer(result) })
		}
	})
}

// executeCommands lets a worker execute commands that were sent directly to it. A hung worker executes
// them when it resumes, without an answer.
func (w *World) executeCommands(call message.CommandsCall) (result message.CommandsResult, answered bool) {
	worker := w.Workers[call.Machine]
	if worker == nil || worker.terminated {
		return result, false
	}
	if worker.hangs() {
		w.After(worker.HangUntil-w.Now, func() {
			if !worker.terminated {
				worker.executeDirect(call)
			}
		})
		return result, false
	}
	return worker.executeDirect(call), true
}

// DuplicateStart starts a running task on a second machine without any controller's command. It
// breaks the rule ran_twice on purpose, to test that the violation is detected. It reports whether
// there was such a task and a machine with room for it.
func (w *World) DuplicateStart() bool {
	for _, name := range w.workerNames {
		for _, a := range w.Workers[name].attempts {
			if a.State == protocol.Running && w.startElsewhere(name, a.Attempt) {
				return true
			}
		}
	}
	return false
}

// startElsewhere starts an attempt on another machine that has room for it.
func (w *World) startElsewhere(machine string, id protocol.Attempt) bool {
	for _, name := range w.workerNames {
		worker := w.Workers[name]
		if name == machine || worker.terminated {
			continue
		}
		worker.start(id)
		if second := worker.findAttempt(id); second.State == protocol.Fetching {
			second.imageReadyAt = w.Now // starts the task before the controllers can stop it
			worker.advance(second)
			return true
		}
	}
	return false
}
