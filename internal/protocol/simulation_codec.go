package protocol

import (
	"slices"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// This file implements the other side of each interface for simulators and tests: it encodes and
// decodes the messages that workers, users, the state service and the cloud send and receive.

// nameOf returns the wire name of a value, or "" if it has none.
func nameOf[V comparable](names map[string]V, value V) string {
	for w, v := range names {
		if v == value {
			return w
		}
	}
	return ""
}

// EncodeHeartbeat returns the body of a worker's heartbeat.
func EncodeHeartbeat(h *Heartbeat) []byte {
	tasks := make([]wireTask, len(h.Tasks))
	for i := range h.Tasks {
		task := &h.Tasks[i]
		tasks[i] = wireTask{
			Task: task.taskID(), Attempt: &task.Number,
			State: nameOf(taskStateNames, task.State), Checkpointed: task.Checkpointed,
		}
		if task.State == Exited {
			tasks[i].ExitCause = nameOf(exitCauseNames, task.ExitCause)
		}
	}
	wire := wireHeartbeat{
		Machine: &h.Machine, Addr: &h.Addr, Type: &h.Type, Zone: &h.Zone, Spot: &h.Spot,
		Incarnation: &h.Incarnation, Sequence: &h.Sequence, FencingToken: &h.FencingToken, Tasks: &tasks,
	}
	if h.InterruptionInS >= 0 {
		wire.InterruptionInS = &h.InterruptionInS
	}
	return Encode(wire)
}

// WorkerCommands holds the commands to a worker: the response to a heartbeat, or a request with
// direct commands.
type WorkerCommands struct {
	FencingToken           int64
	Incarnation            int64 // set only in direct commands
	Commands               []Command
	HasTokenAndIncarnation bool
}

// DecodeCommands decodes the commands to a worker.
func DecodeCommands(body []byte) (*WorkerCommands, error) {
	var wire struct {
		FencingToken *int64        `msgpack:"baton"`
		Incarnation  *int64        `msgpack:"shift"`
		Commands     []wireCommand `msgpack:"orders"`
	}
	if err := Decode(body, &wire); err != nil {
		return nil, wrapMalformed(err)
	}
	commands := &WorkerCommands{HasTokenAndIncarnation: wire.FencingToken != nil && wire.Incarnation != nil}
	if wire.FencingToken != nil {
		commands.FencingToken = *wire.FencingToken
	}
	if wire.Incarnation != nil {
		commands.Incarnation = *wire.Incarnation
	}
	for i := range wire.Commands {
		command, err := wire.Commands[i].parse()
		if err != nil {
			return nil, err
		}
		commands.Commands = append(commands.Commands, command)
	}
	return commands, nil
}

// parse converts a command from its wire format.
func (w *wireCommand) parse() (Command, error) {
	job, index, ok := parseTaskID(w.Task)
	verb := slices.Index(verbNames[:], w.Verb)
	if !ok || verb < 0 {
		return Command{}, malformed("a command %q for %q", w.Verb, w.Task)
	}
	command := Command{Verb: Verb(verb), Attempt: Attempt{Job: job, Task: index, Number: w.Attempt}}
	if w.GracePeriodS != nil {
		command.GracePeriodS = *w.GracePeriodS
	}
	return command, nil
}

// DecodeRedirect returns the node that a 421 response redirects a worker to, or "" if it names none.
func DecodeRedirect(body []byte) string {
	var redirect wireRedirect
	if Decode(body, &redirect) != nil {
		return ""
	}
	return redirect.Leader
}

// EncodeSubmission returns the body of a user's job submission.
func EncodeSubmission(s *Submission) []byte {
	kind, priority, tasks := nameOf(jobKindNames, s.Kind), nameOf(priorityNames, s.Priority), int64(s.Tasks)
	wire := wireSubmission{
		ID: &s.ID, Class: &s.Class, Team: &s.Team, Kind: &kind, Priority: &priority, Tasks: &tasks,
		CPUs: &s.CPUs, GPUs: &s.GPUs, MemoryGB: &s.MemoryGB, Image: &s.Image, ImageGB: &s.ImageGB,
		OneZone: &s.OneZone, Spread: &s.Spread, Spot: &s.Spot, EstimatedRunS: &s.EstimatedRunS,
		CheckpointIntervalS: &s.CheckpointIntervalS, CheckpointDurationS: &s.CheckpointDurationS,
	}
	if s.Types != nil {
		types := slices.Clone(s.Types)
		wire.Types = &types
	}
	if s.Zone != "" {
		wire.Zone = &s.Zone
	}
	if s.DeadlineS > 0 {
		wire.DeadlineS = &s.DeadlineS
	}
	if s.Prerequisites != nil {
		prerequisites := slices.Clone(s.Prerequisites)
		wire.Prerequisites = &prerequisites
	}
	return Encode(wire)
}

// JobPath returns the path of a job or, if cancel is true, the path that cancels it.
func JobPath(id string, cancel bool) string {
	path := PathJobs + "/" + id
	if cancel {
		path += cancelSuffix
	}
	return path
}

// DecodeTxn decodes a transaction sent to the state service. It leaves the values encoded.
func DecodeTxn(body []byte) (Txn, error) {
	var wire struct {
		If   []Condition  `msgpack:"if"`
		Then []wireChange `msgpack:"then"`
	}
	if err := Decode(body, &wire); err != nil {
		return Txn{}, wrapMalformed(err)
	}
	txn := Txn{If: wire.If}
	for i := range wire.Then {
		change, err := wire.Then[i].parse()
		if err != nil {
			return Txn{}, err
		}
		txn.Then = append(txn.Then, change)
	}
	return txn, nil
}

// wireChange is the wire format of Change, with the value still encoded.
type wireChange struct {
	Put    string             `msgpack:"write"`
	Value  msgpack.RawMessage `msgpack:"value"`
	Lease  int64              `msgpack:"permit"`
	Delete string             `msgpack:"drop"`
}

func (w *wireChange) parse() (Change, error) {
	if (w.Put == "") == (w.Delete == "") {
		return Change{}, malformed("a change of no key or of two")
	}
	if w.Delete != "" {
		return Change{Delete: w.Delete}, nil
	}
	return Change{Put: w.Put, Value: w.Value, Lease: w.Lease}, nil
}

// SplitLeasePath parses the path of a lease request: the lease's ID, and whether the request renews it.
func SplitLeasePath(path string) (lease int64, renew, ok bool) {
	rest, ok := strings.CutPrefix(path, PathLeases+"/")
	if !ok {
		return 0, false, false
	}
	rest, renew = strings.CutSuffix(rest, renewSuffix)
	lease, err := strconv.ParseInt(rest, 10, 64)
	return lease, renew, err == nil
}

// EncodeNoCapacity returns the cloud's error response when it has no machines available.
func EncodeNoCapacity() []byte { return EncodeError(noCapacity) }
