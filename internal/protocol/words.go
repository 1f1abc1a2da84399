// Package protocol holds the wire words of every interface, their types, and
// the validation of what arrives. Nothing outside this package spells a wire
// word; the rest of the program uses the field's standard terms.
package protocol

// Shape says how a job's tasks belong together.
type Shape uint8

// The three shapes.
const (
	Array Shape = iota
	Gang
	Service
)

var shapeWords = map[string]Shape{"batch": Array, "ensemble": Gang, "service": Service}

func (s Shape) String() string { return [...]string{"array", "gang", "service"}[s] }

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
	Saving
	Exited
)

var stateWords = map[string]TaskState{
	"fetching": Fetching, "gathering": Waiting, "running": Running, "saving": Saving, "ended": Exited,
}

// Cause is why a task exited.
type Cause uint8

// Causes of an exit.
const (
	NoCause Cause = iota
	Done
	Stopped
	PeersGone
	Alone
	Failed
	NoRoom
	Busy
	Unknown
)

var causeWords = map[string]Cause{
	"done": Done, "halted": Stopped, "mates_gone": PeersGone, "alone": Alone, "error": Failed,
	"no_room": NoRoom, "busy": Busy, "unknown": Unknown,
}

func (c Cause) String() string {
	return [...]string{"none", "done", "stopped", "peers gone", "alone", "failed", "no room", "busy", "unknown"}[c]
}

// Words of the commands to workers.
const (
	verbStart  = "start"
	verbStop   = "halt"
	verbForget = "forget"
)

// What users are told of a job.
const (
	StatusQueued    = "queued"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "withdrawn"
)

// Paths of the interfaces.
const (
	PathJobs    = "/v2/runs"
	PathHealth  = "/healthz"
	PathReport  = "/agent/beat"
	PathOrders  = "/orders"
	PathTypes   = "/flavors"
	PathRent    = "/rentals"
	PathReturn  = "/rentals/return"
	PathKV      = "/kv"
	PathTxn     = "/txn"
	PathGrants  = "/grants"
	abortSuffix = "/abort"
	renewSuffix = "/renew"

	// PathStepDown and PathPeerStatus are the project's own, between controllers.
	PathStepDown = "/peer/let-go"
	PathAdmin    = "/admin/"
)

// MaxBody is the limit on request bodies, and on answers to users and workers.
const MaxBody = 64 << 10

// ContentType is what bodies are labelled.
const ContentType = "application/msgpack"

// How long users wait for an answer, in seconds.
const (
	SubmitWaitS = 5
	PollWaitS   = 2
)

// MaxListed is the most machines of one answer.
const MaxListed = 500

// The most machines of one rental and of one return.
const (
	MaxRented   = 50
	MaxReturned = 100
)

const noCapacity = "no capacity"

// NoCapacity tells a refusal for want of machines from the cloud's troubles.
func NoCapacity(body []byte) bool {
	var a struct {
		Error string `msgpack:"error"`
	}
	return Decode(body, &a) == nil && a.Error == noCapacity
}

// StartCountsS is how long a task has to be left alone for its start to count.
const StartCountsS = 30
