// Package protocol holds the wire words of every interface, their types, and
// the validation of what arrives. Nothing outside this package spells a wire
// word; the rest of the program uses the field's standard terms.
package protocol

// JobKind says how a job's tasks belong together.
type JobKind uint8

// The three shapes.
const (
	Array JobKind = iota
	Gang
	Service
)

var jobKindWords = map[string]JobKind{"batch": Array, "ensemble": Gang, "service": Service}

func (s JobKind) String() string { return [...]string{"array", "gang", "service"}[s] }

// Priority orders jobs; a higher value goes first.
type Priority uint8

// The four priorities.
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

// Task states of reports.
const (
	Fetching TaskState = iota
	Waiting
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
	ExitPeersGone
	ExitGangIncomplete
	ExitFailed
	ExitInsufficientResources
	ExitTaskAlreadyPresent
	ExitUnknownJob
)

var exitCauseWords = map[string]ExitCause{
	"done": ExitDone, "halted": ExitStopped, "mates_gone": ExitPeersGone, "alone": ExitGangIncomplete, "error": ExitFailed,
	"no_room": ExitInsufficientResources, "busy": ExitTaskAlreadyPresent, "unknown": ExitUnknownJob,
}

func (c ExitCause) String() string {
	return [...]string{"none", "done", "stopped", "peers gone", "alone", "failed", "no room", "busy", "unknown"}[c]
}
