package protocol

// JobKind says how a job's tasks belong together.
type JobKind uint8

// The kinds of jobs.
const (
	Array JobKind = iota
	Gang
	Service
)

var jobKindWords = map[string]JobKind{"batch": Array, "ensemble": Gang, "service": Service}

func (k JobKind) String() string { return [...]string{"array", "gang", "service"}[k] }

// Priority orders jobs; a higher value goes first.
type Priority uint8

// The priorities, from the lowest.
const (
	Low Priority = iota
	Normal
	High
	Production
)

var priorityWords = map[string]Priority{"low": Low, "standard": Normal, "urgent": High, "production": Production}

func (p Priority) String() string { return [...]string{"low", "normal", "high", "production"}[p] }

// TaskState is what a worker says of a task on its machine.
type TaskState uint8

// Task states of heartbeats.
const (
	Fetching TaskState = iota // the image
	Waiting                   // for the other tasks of the gang
	Running
	Checkpointing
	Exited
)

var taskStateWords = map[string]TaskState{
	"fetching": Fetching, "gathering": Waiting, "running": Running, "saving": Checkpointing, "ended": Exited,
}

// ExitCause is why a task exited.
type ExitCause uint8

// Causes of an exit.
const (
	ExitNone ExitCause = iota
	ExitDone
	ExitStopped
	ExitPeersGone             // another task of the gang is gone
	ExitGangIncomplete        // the gang never was complete
	ExitFailed                // by itself
	ExitInsufficientResources // the machine has no room for it
	ExitTaskAlreadyPresent    // another attempt of the task is on the machine
	ExitUnknownJob            // the worker doesn't know the job
)

var exitCauseWords = map[string]ExitCause{
	"done": ExitDone, "halted": ExitStopped, "mates_gone": ExitPeersGone, "alone": ExitGangIncomplete, "error": ExitFailed,
	"no_room": ExitInsufficientResources, "busy": ExitTaskAlreadyPresent, "unknown": ExitUnknownJob,
}

func (c ExitCause) String() string {
	return [...]string{"none", "done", "stopped", "peers gone", "alone", "failed", "no room", "busy", "unknown"}[c]
}
