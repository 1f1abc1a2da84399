package fake

import (
	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// RemoteSend carries a request to a controller that runs outside the world, and its reply back.
// Both are called by the world's owner.
type RemoteSend func(request message.Request, reply func(message.Reply))

// NewWithRemoteControllers makes a world whose controllers run outside it, as real processes. Its time is
// what Advance is told. It has one owner: nothing of it may be used by two goroutines.
func NewWithRemoteControllers(s config.Settings, types []protocol.MachineType, controllers []string, send func(controller int) RemoteSend) *World {
	w := newWorld(s, types)
	for i, name := range controllers {
		w.Controllers = append(w.Controllers, &Controller{world: w, Name: name, Index: i, remote: send(i)})
	}
	return w
}

// ServeState executes a request to the state service, and answers it unless the network
// keeps that from happening.
func (w *World) ServeState(call storage.StateCall, answer func(storage.StateResult)) {
	serve(w, KindState, stateService, func() (storage.StateResult, bool) { return w.State.Execute(call), true }, answer)
}

// ServeCloud executes a request to the cloud.
func (w *World) ServeCloud(call message.CloudCall, answer func(message.CloudResult)) {
	serve(w, KindCloud, cloudService, func() (message.CloudResult, bool) { return w.Cloud.execute(call), true }, answer)
}

// ServeCommands has a worker execute direct commands. A machine without power, one that
// hangs or one that is partitioned answers nothing.
func (w *World) ServeCommands(call message.CommandsCall, answer func(message.CommandsResult)) {
	serve(w, KindCommands, call.Machine, func() (message.CommandsResult, bool) { return w.executeCommands(call) }, answer)
}

// serve has a request from outside executed and answered as the network will.
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

// executeCommands has a worker execute direct commands, when it resumes if it hangs.
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

// DuplicateStart has a task that runs on one machine start on another, too, behind the
// controllers' back: it breaks a rule on purpose, to show that this is found.
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

// startElsewhere has an attempt start on some other machine that has room for it.
func (w *World) startElsewhere(machine string, id protocol.Attempt) bool {
	for _, name := range w.workerNames {
		worker := w.Workers[name]
		if name == machine || worker.terminated {
			continue
		}
		worker.start(id)
		if second := worker.findAttempt(id); second.State == protocol.Fetching {
			second.imageReadyAt = w.Now // before the controllers hear of it and have it stopped
			worker.advance(second)
			return true
		}
	}
	return false
}
