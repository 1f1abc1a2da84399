package protocol

import (
	"math"
	"strconv"
	"strings"
)

// Attempt identifies one attempt to run a task.
type Attempt struct {
	Job    string
	Task   int   // index within the job, from 0
	Number int64 // sequence number among the task's attempts
}

// taskID returns the task's ID in messages: the job's ID and the task's index.
func (a Attempt) taskID() string { return a.Job + "/" + strconv.Itoa(a.Task) }

func parseTaskID(id string) (job string, index int, ok bool) {
	job, digits, ok := strings.Cut(id, "/")
	if !ok {
		return "", 0, false
	}
	index, err := strconv.Atoi(digits)
	if err != nil || index < 0 || index >= MaxTasks {
		return "", 0, false
	}
	return job, index, true
}

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	Attempt
	State        TaskState
	ExitCause    ExitCause // set only if State is Exited
	Checkpointed bool      // the task has a checkpoint to resume from
}

// Heartbeat is a worker's report on its machine and the tasks on it. Of two heartbeats from one
// machine, the one with the higher (Incarnation, Sequence) is newer.
type Heartbeat struct {
	Machine         string
	Addr            string
	Type            string
	Zone            string
	Spot            bool
	Incarnation     int64
	Sequence        int64
	FencingToken    int64   // highest token that the worker has seen
	InterruptionInS float64 // seconds until the spot machine is interrupted; negative if there is no notice
	Tasks           []TaskStatus
}

// Newer reports whether the heartbeat is newer than a message with the given incarnation and
// sequence number.
func (h *Heartbeat) Newer(incarnation, sequence int64) bool {
	return h.Incarnation > incarnation || h.Incarnation == incarnation && h.Sequence > sequence
}

// wireTask is the wire format of a task in a heartbeat.
type wireTask struct {
	Task         string `msgpack:"piece"`
	Attempt      *int64 `msgpack:"try"`
	State        string `msgpack:"status"`
	ExitCause    string `msgpack:"cause,omitempty"`
	Checkpointed bool   `msgpack:"kept,omitempty"`
}

// wireHeartbeat is the wire format of Heartbeat. A field that is absent or null is nil.
type wireHeartbeat struct {
	Machine         *string     `msgpack:"host"`
	Addr            *string     `msgpack:"address"`
	Type            *string     `msgpack:"host_kind"`
	Zone            *string     `msgpack:"site"`
	Spot            *bool       `msgpack:"loaners"`
	Incarnation     *int64      `msgpack:"shift"`
	Sequence        *int64      `msgpack:"tick"`
	FencingToken    *int64      `msgpack:"baton"`
	InterruptionInS *float64    `msgpack:"recall_s"`
	Tasks           *[]wireTask `msgpack:"pieces"`
}

// DecodeHeartbeat decodes and checks a worker's heartbeat.
func DecodeHeartbeat(body []byte) (*Heartbeat, error) {
	var wire wireHeartbeat
	if err := decodeRequest(body, &wire); err != nil {
		return nil, err
	}
	if err := wire.validate(); err != nil {
		return nil, err
	}
	heartbeat := &Heartbeat{
		Machine: *wire.Machine, Addr: *wire.Addr, Type: *wire.Type, Zone: *wire.Zone, Spot: *wire.Spot,
		Incarnation: *wire.Incarnation, Sequence: *wire.Sequence, FencingToken: *wire.FencingToken,
		InterruptionInS: -1, Tasks: make([]TaskStatus, 0, len(*wire.Tasks)),
	}
	if wire.InterruptionInS != nil && !math.IsNaN(*wire.InterruptionInS) {
		heartbeat.InterruptionInS = max(0, *wire.InterruptionInS)
	}
	for _, task := range *wire.Tasks {
		status, ok := task.parse()
		if !ok {
			return nil, &FieldError{Field: "pieces", Problem: strconv.Quote(task.Task)}
		}
		heartbeat.Tasks = append(heartbeat.Tasks, status)
	}
	return heartbeat, nil
}

// validate requires every field except the interruption notice.
func (w *wireHeartbeat) validate() error {
	if w.Machine == nil || *w.Machine == "" || len(*w.Machine) > maxNameBytes || w.Addr == nil || *w.Addr == "" ||
		w.Type == nil || w.Zone == nil || w.Spot == nil || w.Incarnation == nil || w.Sequence == nil ||
		w.FencingToken == nil || w.Tasks == nil {
		return malformed("a field is missing")
	}
	if *w.Incarnation < 0 || *w.Sequence < 0 || *w.FencingToken < 0 {
		return malformed("a count is out of range")
	}
	return nil
}

// parse converts a task from its wire format. Exit causes unknown to this version become ExitNone.
func (w *wireTask) parse() (_ TaskStatus, ok bool) {
	job, index, ok := parseTaskID(w.Task)
	state, known := taskStateNames[w.State]
	if !ok || !known || w.Attempt == nil {
		return TaskStatus{}, false
	}
	return TaskStatus{
		Attempt: Attempt{Job: job, Task: index, Number: *w.Attempt},
		State:   state, ExitCause: exitCauseNames[w.ExitCause], Checkpointed: w.Checkpointed,
	}, true
}
