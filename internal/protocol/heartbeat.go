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

func (a Attempt) piece() string { return a.Job + "/" + strconv.Itoa(a.Task) }

func parsePiece(s string) (string, int, bool) {
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
	Piece  string `msgpack:"piece"`
	Try    *int64 `msgpack:"try"`
	Status string `msgpack:"status"`
	Cause  string `msgpack:"cause,omitempty"`
	Kept   bool   `msgpack:"kept,omitempty"`
}

type wireHeartbeat struct {
	Host    *string     `msgpack:"host"`
	Address *string     `msgpack:"address"`
	Kind    *string     `msgpack:"host_kind"`
	Site    *string     `msgpack:"site"`
	Loaners *bool       `msgpack:"loaners"`
	Shift   *int64      `msgpack:"shift"`
	Tick    *int64      `msgpack:"tick"`
	Baton   *int64      `msgpack:"baton"`
	Recall  *float64    `msgpack:"recall_s"`
	Pieces  *[]wireTask `msgpack:"pieces"`
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
	if w.Host == nil || *w.Host == "" || len(*w.Host) > maxName || w.Address == nil || *w.Address == "" ||
		w.Kind == nil || w.Site == nil || w.Loaners == nil || w.Shift == nil || w.Tick == nil ||
		w.Baton == nil || w.Pieces == nil {
		return nil, malformed("a field is missing")
	}
	if *w.Shift < 0 || *w.Tick < 0 || *w.Baton < 0 {
		return nil, malformed("a count is out of range")
	}
	r := &Heartbeat{
		Machine: *w.Host, Addr: *w.Address, Type: *w.Kind, Zone: *w.Site, Spot: *w.Loaners,
		Incarnation: *w.Shift, Sequence: *w.Tick, FencingToken: *w.Baton, InterruptionInS: -1,
	}
	if w.Recall != nil && !math.IsNaN(*w.Recall) {
		r.InterruptionInS = max(0, *w.Recall)
	}
	r.Tasks = make([]TaskStatus, 0, len(*w.Pieces))
	for _, p := range *w.Pieces {
		job, idx, ok := parsePiece(p.Piece)
		state, known := stateWords[p.Status]
		if !ok || !known || p.Try == nil {
			return nil, malformed("pieces: %q", p.Piece)
		}
		r.Tasks = append(r.Tasks, TaskStatus{
			Attempt: Attempt{Job: job, Task: idx, Number: *p.Try}, State: state, ExitCause: causeWords[p.Cause], Checkpointed: p.Kept,
		})
	}
	return r, nil
}
