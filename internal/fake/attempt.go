package fake

import (
	"time"

	"oakpick/internal/protocol"
)

// attempt is an attempt to run a task on a worker.
type attempt struct {
	protocol.TaskStatus
	job              *Job
	worker           *Worker
	onMachine        bool          // the task occupies the machine, from the end of its image fetch until it exits
	imageReadyAt     time.Duration // when the image fetch ends
	startedAt        time.Duration // when the task entered its waiting or running state
	checkpointDoneAt time.Duration // when the checkpoint that is being saved is complete
}

// addToMachine records that a task occupies its machine.
func (worker *Worker) addToMachine(a *attempt) {
	a.onMachine = true
	if a.job.attemptsOnMachines == nil {
		a.job.attemptsOnMachines = map[*attempt]bool{}
	}
	a.job.attemptsOnMachines[a] = true
	worker.world.addUsage(a.job, 1)
}

// removeFromMachine records that a task no longer occupies its machine.
func (worker *Worker) removeFromMachine(a *attempt) {
	if !a.onMachine {
		return
	}
	a.onMachine = false
	delete(a.job.attemptsOnMachines, a)
	worker.world.addUsage(a.job, -1)
}

// advance moves a task to its next state if that is due.
func (worker *Worker) advance(a *attempt) {
	switch a.State {
	case protocol.Fetching:
		if worker.world.Now >= a.imageReadyAt {
			worker.handleImageReady(a)
		}
	case protocol.Waiting:
		worker.advanceWaiting(a)
	case protocol.Running:
		worker.advanceRunning(a)
	case protocol.Checkpointing:
		if worker.world.Now >= a.checkpointDoneAt {
			worker.endCheckpoint(a)
		}
	}
}

// handleImageReady starts a task whose image is present. A gang task waits for its peers first. A
// task that is configured to fail or is already done exits at once.
func (worker *Worker) handleImageReady(a *attempt) {
	w, job := worker.world, a.job
	worker.images[job.Submission.Image] = a.imageReadyAt
	worker.addToMachine(a)
	w.checkStart(worker, a)
	if w.OnImageReady != nil {
		w.OnImageReady(job, a.Task)
	}
	switch {
	case worker.FailsTasks || job.AlwaysFails:
		worker.exit(a, protocol.ExitFailed)
	case job.DoneTasks[a.Task]:
		worker.exit(a, protocol.ExitDone)
	case job.Submission.Kind == protocol.Gang:
		worker.enterState(a, protocol.Waiting)
	default:
		worker.enterState(a, protocol.Running)
	}
}

// enterState moves a task to the waiting or running state.
func (worker *Worker) enterState(a *attempt, state protocol.TaskState) {
	a.State, a.startedAt = state, worker.world.Now
	worker.heartbeatSoon()
}

func (worker *Worker) advanceWaiting(a *attempt) {
	timeout := seconds(worker.world.Cfg.Settings.Workers.GangStartTimeoutS)
	if a.gangComplete() {
		worker.enterState(a, protocol.Running)
	} else if worker.world.Now-a.startedAt > timeout {
		worker.exit(a, protocol.ExitGangIncomplete)
	}
}

func (worker *Worker) advanceRunning(a *attempt) {
	job := a.job
	if job.Submission.Kind == protocol.Gang && !worker.gangPeersPresent(a) {
		worker.exit(a, protocol.ExitPeersGone)
		return
	}
	ranFor := worker.world.Now - a.startedAt
	if job.Submission.Kind == protocol.Service || ranFor < job.RunTime-job.CheckpointedRunTime[a.Task] {
		return
	}
	job.DoneTasks[a.Task] = true
	if job.Submission.Kind == protocol.Gang {
		for i := range job.Submission.Tasks {
			job.DoneTasks[i] = true
		}
	}
	worker.exit(a, protocol.ExitDone)
}

func (worker *Worker) endCheckpoint(a *attempt) {
	job := a.job
	a.Checkpointed = true
	job.CheckpointedRunTime[a.Task] = min(job.RunTime, job.CheckpointedRunTime[a.Task]+a.checkpointDoneAt-a.startedAt)
	worker.exit(a, protocol.ExitStopped)
}

func (worker *Worker) exit(a *attempt, cause protocol.ExitCause) {
	worker.removeFromMachine(a)
	a.State, a.ExitCause = protocol.Exited, cause
	worker.heartbeatSoon()
}

// gangComplete reports whether all tasks of the gang are on machines with this attempt's number.
func (a *attempt) gangComplete() bool {
	present := 0
	for member := range a.job.attemptsOnMachines {
		if member.Number == a.Number {
			present++
		}
	}
	return present == a.job.Submission.Tasks
}

// gangStartSpread is the maximum time between the starts of a gang's tasks. A task ignores missing
// peers for that long after its own start.
const gangStartSpread = time.Second

// gangPeersPresent reports whether all tasks of a running task's gang are on machines. It also
// returns true if the task has just started or is done.
func (worker *Worker) gangPeersPresent(a *attempt) bool {
	return worker.world.Now-a.startedAt < gangStartSpread || a.gangComplete() || a.job.DoneTasks[a.Task]
}
