package protocol

// JobKind determines how the tasks of a job are scheduled together.
type JobKind uint8

// Job kinds.
const (
	Array JobKind = iota
	Gang
	Service
)

var jobKindNames = map[string]JobKind{"batch": Array, "ensemble": Gang, "service": Service}

func (k JobKind) String() string { return [...]string{"array", "gang", "service"}[k] }

// Priority is the priority of a job; a higher value is scheduled first.
type Priority uint8

// Priorities in ascending order.
const (
	Low Priority = iota
	Normal
	High
	Production
)

var priorityNames = map[string]Priority{"low": Low, "standard": Normal, "urgent": High, "production": Production}

func (p Priority) String() string { return [...]string{"low", "normal", "high", "production"}[p] }

// TaskState is the state of a task that a worker reports.
type TaskState uint8

// Task states in heartbeats.
const (
	Fetching TaskState = iota // fetching the image
	Waiting                   // waiting for the other tasks of the gang
	Running
	Checkpointing
	Exited
)

var taskStateNames = map[string]TaskState{
	"fetching": Fetching, "gathering": Waiting, "running": Running, "saving": Checkpointing, "ended": Exited,
}

// ExitCause is the reason why a task exited or wasn't started.
type ExitCause uint8

// Exit causes.
const (
	ExitNone ExitCause = iota
	ExitDone
	ExitStopped
	ExitPeersGone             // another task of the gang has exited
	ExitGangIncomplete        // the gang was never complete
	ExitFailed                // the task itself failed
	ExitInsufficientResources // the machine has too few free resources
	ExitTaskAlreadyPresent    // another attempt of the task is on the machine
	ExitUnknownJob            // the worker doesn't know the job
)

var exitCauseNames = map[string]ExitCause{
	"done": ExitDone, "halted": ExitStopped, "mates_gone": ExitPeersGone, "alone": ExitGangIncomplete, "error": ExitFailed,
	"no_room": ExitInsufficientResources, "busy": ExitTaskAlreadyPresent, "unknown": ExitUnknownJob,
}

func (c ExitCause) String() string {
	return [...]string{"none", "done", "stopped", "peers gone", "alone", "failed", "no room", "busy", "unknown"}[c]
}
