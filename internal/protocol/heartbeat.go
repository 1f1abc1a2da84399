package protocol

import (
	"math"
	"strconv"
	"strings"
)

// Attempt names one start of one task.
type Attempt struct {
	Job    string
	Task   int   // index within the job, from 0
	Number int64 // of the task's starts
}

// taskID is the task as messages name it: the job and the task's index.
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

// TaskStatus is what a heartbeat says of one task.
type TaskStatus struct {
	Attempt
	State        TaskState
	ExitCause    ExitCause // of an Exited task
	Checkpointed bool      // there is a checkpoint to go on from
}

// Heartbeat is a worker's status of its machine and the tasks on it. Of two heartbeats of a
// machine the one with the higher (Incarnation, Sequence) is the newer.
type Heartbeat struct {
	Machine         string
	Addr            string
	Type            string
	Zone            string
	Spot            bool
	Incarnation     int64
	Sequence        int64
	FencingToken    int64   // the highest that the worker has seen
	InterruptionInS float64 // seconds until the machine is taken; negative: none
	Tasks           []TaskStatus
}

// Newer tells whether the heartbeat is newer than a message numbered (incarnation, sequence).
func (h *Heartbeat) Newer(incarnation, sequence int64) bool {
	return h.Incarnation > incarnation || h.Incarnation == incarnation && h.Sequence > sequence
}

// wireTask is a task of a heartbeat as it is sent.
type wireTask struct {
	Task         string `msgpack:"piece"`
	Attempt      *int64 `msgpack:"try"`
	State        string `msgpack:"status"`
	ExitCause    string `msgpack:"cause,omitempty"`
	Checkpointed bool   `msgpack:"kept,omitempty"`
}

// wireHeartbeat is a heartbeat as it is sent; nil: the field is absent or null.
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

// DecodeHeartbeat reads and checks a worker's heartbeat.
func DecodeHeartbeat(body []byte) (*Heartbeat, error) {
	var wire wireHeartbeat
	if err := decodeRequest(body, &wire); err != nil {
		return nil, err
	}
	if err := wire.check(); err != nil {
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
		status, ok := task.status()
		if !ok {
			return nil, &FieldError{Field: "pieces", Problem: strconv.Quote(task.Task)}
		}
		heartbeat.Tasks = append(heartbeat.Tasks, status)
	}
	return heartbeat, nil
}

// check insists on every field but the interruption notice.
func (w *wireHeartbeat) check() error {
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

// status reads a task. An exit cause that this version doesn't know is ExitNone.
func (w *wireTask) status() (_ TaskStatus, ok bool) {
	job, index, ok := parseTaskID(w.Task)
	state, known := taskStateWords[w.State]
	if !ok || !known || w.Attempt == nil {
		return TaskStatus{}, false
	}
	return TaskStatus{
		Attempt: Attempt{Job: job, Task: index, Number: *w.Attempt},
		State:   state, ExitCause: exitCauseWords[w.ExitCause], Checkpointed: w.Checkpointed,
	}, true
}
