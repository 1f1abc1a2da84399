package protocol

import (
	"math"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// Attempt names one start of one task.
type Attempt struct {
	Job    string
	Task   int
	Number int64
}

func (a Attempt) taskID() string { return a.Job + "/" + strconv.Itoa(a.Task) }

func parseTaskID(s string) (string, int, bool) {
	job, idx, ok := strings.Cut(s, "/")
	if !ok {
		return "", 0, false
	}
	n, err := strconv.Atoi(idx)
	if err != nil || n < 0 || n >= MaxTasks {
		return "", 0, false
	}
	return job, n, true
}

// TaskStatus is one task of a report.
type TaskStatus struct {
	Attempt
	State        TaskState
	ExitCause    ExitCause
	Checkpointed bool
}

// Heartbeat is a worker's account of its machine.
type Heartbeat struct {
	Machine         string
	Addr            string
	Type            string
	Zone            string
	Spot            bool
	Incarnation     int64
	Sequence        int64
	FencingToken    int64
	InterruptionInS float64 // seconds until the machine is taken; negative: none
	Tasks           []TaskStatus
}

// Newer tells whether the report is newer than a message numbered (session, seq).
func (r *Heartbeat) Newer(session, seq int64) bool {
	return r.Incarnation > session || r.Incarnation == session && r.Sequence > seq
}

type wireTask struct {
	Task         string `msgpack:"piece"`
	Attempt      *int64 `msgpack:"try"`
	State        string `msgpack:"status"`
	ExitCause    string `msgpack:"cause,omitempty"`
	Checkpointed bool   `msgpack:"kept,omitempty"`
}

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

// DecodeHeartbeat reads and checks a worker's report.
func DecodeHeartbeat(body []byte) (*Heartbeat, error) {
	if err := checkBody(body); err != nil {
		return nil, err
	}
	var w wireHeartbeat
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, malformed("%v", err)
	}
	if w.Machine == nil || *w.Machine == "" || len(*w.Machine) > maxNameBytes || w.Addr == nil || *w.Addr == "" ||
		w.Type == nil || w.Zone == nil || w.Spot == nil || w.Incarnation == nil || w.Sequence == nil ||
		w.FencingToken == nil || w.Tasks == nil {
		return nil, malformed("a field is missing")
	}
	if *w.Incarnation < 0 || *w.Sequence < 0 || *w.FencingToken < 0 {
		return nil, malformed("a count is out of range")
	}
	r := &Heartbeat{
		Machine: *w.Machine, Addr: *w.Addr, Type: *w.Type, Zone: *w.Zone, Spot: *w.Spot,
		Incarnation: *w.Incarnation, Sequence: *w.Sequence, FencingToken: *w.FencingToken, InterruptionInS: -1,
	}
	if w.InterruptionInS != nil && !math.IsNaN(*w.InterruptionInS) {
		r.InterruptionInS = max(0, *w.InterruptionInS)
	}
	r.Tasks = make([]TaskStatus, 0, len(*w.Tasks))
	for _, p := range *w.Tasks {
		job, idx, ok := parseTaskID(p.Task)
		state, known := taskStateWords[p.State]
		if !ok || !known || p.Attempt == nil {
			return nil, malformed("pieces: %q", p.Task)
		}
		r.Tasks = append(r.Tasks, TaskStatus{
			Attempt: Attempt{Job: job, Task: idx, Number: *p.Attempt}, State: state, ExitCause: exitCauseWords[p.ExitCause], Checkpointed: p.Checkpointed,
		})
	}
	return r, nil
}
