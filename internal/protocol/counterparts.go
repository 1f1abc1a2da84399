package protocol

import (
	"slices"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// This file is the other components' side of the interfaces, for stand-ins: what workers,
// users, the state service and the cloud read and write.

// wordFor finds the wire word of a value.
func wordFor[V comparable](words map[string]V, value V) string {
	for w, v := range words {
		if v == value {
			return w
		}
	}
	return ""
}

// EncodeHeartbeat is a worker's report.
func EncodeHeartbeat(r *Heartbeat) []byte {
	pieces := make([]wireTask, len(r.Tasks))
	for i := range r.Tasks {
		t := &r.Tasks[i]
		pieces[i] = wireTask{Task: t.taskID(), Attempt: &t.Number, State: wordFor(taskStateWords, t.State), Checkpointed: t.Checkpointed}
		if t.State == Exited {
			pieces[i].ExitCause = wordFor(exitCauseWords, t.ExitCause)
		}
	}
	w := wireHeartbeat{
		Machine: &r.Machine, Addr: &r.Addr, Type: &r.Type, Zone: &r.Zone, Spot: &r.Spot,
		Incarnation: &r.Incarnation, Sequence: &r.Sequence, FencingToken: &r.FencingToken, Tasks: &pieces,
	}
	if r.InterruptionInS >= 0 {
		w.InterruptionInS = &r.InterruptionInS
	}
	return Encode(w)
}

// WorkerCommands are a worker's commands: the answer to a report, or the body of a direct command.
type WorkerCommands struct {
	FencingToken int64
	Incarnation  int64 // of direct commands
	Commands     []Command
	// Complete tells whether both token and session are there.
	Complete bool
}

// DecodeCommands reads commands to a worker.
func DecodeCommands(body []byte) (*WorkerCommands, error) {
	var w struct {
		Baton  *int64        `msgpack:"baton"`
		Shift  *int64        `msgpack:"shift"`
		Orders []wireCommand `msgpack:"orders"`
	}
	if err := Decode(body, &w); err != nil {
		return nil, malformed("%v", err)
	}
	o := &WorkerCommands{Complete: w.Baton != nil && w.Shift != nil}
	if w.Baton != nil {
		o.FencingToken = *w.Baton
	}
	if w.Shift != nil {
		o.Incarnation = *w.Shift
	}
	verbs := map[string]Verb{verbStart: Start, verbStop: Stop, verbForget: Forget}
	for _, c := range w.Orders {
		job, index, ok := parseTaskID(c.Task)
		verb, known := verbs[c.Verb]
		if !ok || !known {
			return nil, malformed("a command %q for %q", c.Verb, c.Task)
		}
		command := Command{Verb: verb, Attempt: Attempt{Job: job, Task: index, Number: c.Attempt}}
		if c.GracePeriodS != nil {
			command.GracePeriodS = *c.GracePeriodS
		}
		o.Commands = append(o.Commands, command)
	}
	return o, nil
}

// DecodeRedirect reads which node a 421 sends a worker to; empty: none.
func DecodeRedirect(body []byte) string {
	var w struct {
		Foreman string `msgpack:"foreman"`
	}
	if Decode(body, &w) != nil {
		return ""
	}
	return w.Foreman
}

// EncodeSubmission is a user's submission.
func EncodeSubmission(s *Submission) []byte {
	shape, rank, pieces := wordFor(jobKindWords, s.Kind), wordFor(priorityWords, s.Priority), int64(s.Tasks)
	w := wireSubmission{
		ID: &s.ID, Class: &s.Class, Team: &s.Team, Kind: &shape, Priority: &rank, Tasks: &pieces,
		CPUs: &s.CPUs, GPUs: &s.GPUs, MemoryGB: &s.MemoryGB, Image: &s.Image, ImageGB: &s.ImageGB,
		OneZone: &s.OneZone, Spread: &s.Spread, Spot: &s.Spot, EstimatedRunS: &s.EstimatedRunS,
		CheckpointIntervalS: &s.CheckpointIntervalS, CheckpointDurationS: &s.CheckpointDurationS,
	}
	if s.Types != nil {
		kinds := slices.Clone(s.Types)
		w.Types = &kinds
	}
	if s.Zone != "" {
		w.Zone = &s.Zone
	}
	if s.DeadlineS > 0 {
		w.DeadlineS = &s.DeadlineS
	}
	if s.Prerequisites != nil {
		needs := slices.Clone(s.Prerequisites)
		w.Prerequisites = &needs
	}
	return Encode(w)
}

// JobPath is where a job is, and with cancel where it is cancelled.
func JobPath(id string, cancel bool) string {
	path := PathJobs + "/" + id
	if cancel {
		path += abortSuffix
	}
	return path
}

// DecodeTxn reads a transaction as the state service gets it. Values stay as they came.
func DecodeTxn(body []byte) (Txn, error) {
	var w struct {
		If   []Condition `msgpack:"if"`
		Then []struct {
			Put   string             `msgpack:"write"`
			Value msgpack.RawMessage `msgpack:"value"`
			Lease int64              `msgpack:"permit"`
			Drop  string             `msgpack:"drop"`
		} `msgpack:"then"`
	}
	if err := Decode(body, &w); err != nil {
		return Txn{}, malformed("%v", err)
	}
	txn := Txn{If: w.If}
	for _, c := range w.Then {
		switch {
		case (c.Put == "") == (c.Drop == ""):
			return Txn{}, malformed("a change of no key or of two")
		case c.Drop != "":
			txn.Then = append(txn.Then, Change{Delete: c.Drop})
		default:
			txn.Then = append(txn.Then, Change{Put: c.Put, Value: c.Value, Lease: c.Lease})
		}
	}
	return txn, nil
}

// SplitLeasePath takes apart the path of a request about a lease.
func SplitLeasePath(path string) (lease int64, renew, ok bool) {
	rest, ok := strings.CutPrefix(path, PathLeases+"/")
	if !ok {
		return 0, false, false
	}
	rest, renew = strings.CutSuffix(rest, renewSuffix)
	lease, err := strconv.ParseInt(rest, 10, 64)
	return lease, renew, err == nil
}

// EncodeNoCapacity is the cloud's refusal for want of machines.
func EncodeNoCapacity() []byte { return EncodeError(noCapacity) }
