package fake

import (
	"slices"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// resourceTolerance covers rounding errors in sums of resources.
const resourceTolerance = 1e-6

// executeDirect executes commands sent directly to the worker, regardless of their delay. A call
// with an outdated fencing token or for another incarnation is rejected.
func (worker *Worker) executeDirect(call message.CommandsCall) message.CommandsResult {
	result := message.CommandsResult{ID: call.ID, Machine: call.Machine}
	if call.FencingToken < worker.fencingToken || call.Incarnation != worker.incarnation {
		result.Outcome = rpc.Conflict
	} else {
		worker.observeToken(call.FencingToken)
		decoded, err := protocol.DecodeCommands(protocol.EncodeCommands(call.FencingToken, call.Incarnation, call.Commands))
		if err != nil {
			worker.world.RecordViolation(ruleWorker, "direct commands cannot be decoded: %v", err)
			return result
		}
		worker.runCommands(decoded.Commands)
	}
	result.Heartbeat = worker.newHeartbeat()
	return result
}

func (worker *Worker) runCommands(commands []protocol.Command) {
	for _, command := range commands {
		a := worker.findAttempt(command.Attempt)
		switch command.Verb {
		case protocol.Start:
			if a == nil {
				worker.start(command.Attempt)
			}
		case protocol.Stop:
			if a != nil && a.State != protocol.Exited {
				worker.stop(a, command.GracePeriodS)
			}
		case protocol.Forget:
			if a != nil && a.State == protocol.Exited {
				worker.attempts = slices.DeleteFunc(worker.attempts, func(other *attempt) bool { return other == a })
				worker.heartbeatSoon()
			}
		}
	}
}

// start begins to fetch a task's image, or makes the task exit if the worker refuses it.
func (worker *Worker) start(id protocol.Attempt) {
	w := worker.world
	a := &attempt{TaskStatus: protocol.TaskStatus{Attempt: id, State: protocol.Fetching}, job: w.Jobs[id.Job], worker: worker}
	worker.attempts = append(worker.attempts, a)
	worker.heartbeatSoon()
	if a.job == nil {
		worker.exit(a, protocol.ExitUnknownJob)
		return
	}
	if w.OnStart != nil {
		w.OnStart(a.job, a.Task)
	}
	if cause, refused := worker.refusal(a); refused {
		worker.exit(a, cause)
		return
	}
	a.imageReadyAt = w.Now
	submission := a.job.Submission
	if _, ok := worker.images[submission.Image]; !ok {
		a.imageReadyAt += seconds(submission.ImageGB / worker.machineType.FetchGBPerS)
	}
}

// refusal reports whether the worker must refuse a task, because it already has the task or lacks
// the resources. It also returns the exit cause.
func (worker *Worker) refusal(a *attempt) (cause protocol.ExitCause, refused bool) {
	submission := a.job.Submission
	cpus, gpus, memory := submission.CPUs, submission.GPUs, submission.MemoryGB
	for _, other := range worker.attempts {
		if other == a || other.State == protocol.Exited {
			continue
		}
		if other.Job == a.Job && other.Task == a.Task {
			return protocol.ExitTaskAlreadyPresent, true
		}
		cpus += other.job.Submission.CPUs
		gpus += other.job.Submission.GPUs
		memory += other.job.Submission.MemoryGB
	}
	has := worker.machineType
	if cpus > has.CPUs+resourceTolerance || gpus > has.GPUs+resourceTolerance || memory > has.MemoryGB+resourceTolerance {
		return protocol.ExitInsufficientResources, true
	}
	return cause, false
}

// stop makes a task exit. A running task saves a checkpoint first if the grace period is long
// enough.
func (worker *Worker) stop(a *attempt, gracePeriodS float64) {
	switch {
	case a.State == protocol.Checkpointing:
		if gracePeriodS == 0 {
			worker.exit(a, protocol.ExitStopped)
		}
	case a.State == protocol.Running && a.canCheckpoint(gracePeriodS):
		a.State = protocol.Checkpointing
		a.checkpointDoneAt = worker.world.Now + seconds(a.job.Submission.CheckpointDurationS)
		worker.heartbeatSoon()
	default:
		worker.exit(a, protocol.ExitStopped)
	}
}

func (a *attempt) canCheckpoint(gracePeriodS float64) bool {
	if a.job == nil {
		return false
	}
	s := a.job.Submission
	return s.CheckpointIntervalS > 0 && s.Kind != protocol.Gang && gracePeriodS >= s.CheckpointDurationS
}
