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

// EncodeHeartbeat is the body of a worker's heartbeat.
func EncodeHeartbeat(h *Heartbeat) []byte {
	tasks := make([]wireTask, len(h.Tasks))
	for i := range h.Tasks {
		task := &h.Tasks[i]
		tasks[i] = wireTask{
			Task: task.taskID(), Attempt: &task.Number,
			State: wordFor(taskStateWords, task.State), Checkpointed: task.Checkpointed,
		}
		if task.State == Exited {
			tasks[i].ExitCause = wordFor(exitCauseWords, task.ExitCause)
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

// WorkerCommands are the commands to a worker: the answer to a heartbeat, or the body of a
// request with direct commands.
type WorkerCommands struct {
	FencingToken int64
	Incarnation  int64 // of direct commands
	Commands     []Command
	// HasTokenAndIncarnation tells whether both the fencing token and the incarnation are there.
	HasTokenAndIncarnation bool
}

// DecodeCommands reads the commands to a worker.
func DecodeCommands(body []byte) (*WorkerCommands, error) {
	var wire struct {
		FencingToken *int64        `msgpack:"baton"`
		Incarnation  *int64        `msgpack:"shift"`
		Commands     []wireCommand `msgpack:"orders"`
	}
	if err := Decode(body, &wire); err != nil {
		return nil, malformedBy(err)
	}
	commands := &WorkerCommands{HasTokenAndIncarnation: wire.FencingToken != nil && wire.Incarnation != nil}
	if wire.FencingToken != nil {
		commands.FencingToken = *wire.FencingToken
	}
	if wire.Incarnation != nil {
		commands.Incarnation = *wire.Incarnation
	}
	for i := range wire.Commands {
		command, err := wire.Commands[i].command()
		if err != nil {
			return nil, err
		}
		commands.Commands = append(commands.Commands, command)
	}
	return commands, nil
}

// command reads one command.
func (w *wireCommand) command() (Command, error) {
	job, index, ok := parseTaskID(w.Task)
	verb := slices.Index(verbWords[:], w.Verb)
	if !ok || verb < 0 {
		return Command{}, malformed("a command %q for %q", w.Verb, w.Task)
	}
	command := Command{Verb: Verb(verb), Attempt: Attempt{Job: job, Task: index, Number: w.Attempt}}
	if w.GracePeriodS != nil {
		command.GracePeriodS = *w.GracePeriodS
	}
	return command, nil
}

// DecodeRedirect reads which node a 421 sends a worker to; empty: none.
func DecodeRedirect(body []byte) string {
	var redirect wireRedirect
	if Decode(body, &redirect) != nil {
		return ""
	}
	return redirect.Leader
}

// EncodeSubmission is the body of a user's submission.
func EncodeSubmission(s *Submission) []byte {
	kind, priority, tasks := wordFor(jobKindWords, s.Kind), wordFor(priorityWords, s.Priority), int64(s.Tasks)
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

// JobPath is the path of a job, and with cancel the one for cancelling it.
func JobPath(id string, cancel bool) string {
	path := PathJobs + "/" + id
	if cancel {
		path += cancelSuffix
	}
	return path
}

// DecodeTxn reads a transaction as the state service gets it. Values stay encoded.
func DecodeTxn(body []byte) (Txn, error) {
	var wire struct {
		If   []Condition  `msgpack:"if"`
		Then []wireChange `msgpack:"then"`
	}
	if err := Decode(body, &wire); err != nil {
		return Txn{}, malformedBy(err)
	}
	txn := Txn{If: wire.If}
	for i := range wire.Then {
		change, err := wire.Then[i].change()
		if err != nil {
			return Txn{}, err
		}
		txn.Then = append(txn.Then, change)
	}
	return txn, nil
}

// wireChange is a change as it is sent, its value still encoded.
type wireChange struct {
	Put    string             `msgpack:"write"`
	Value  msgpack.RawMessage `msgpack:"value"`
	Lease  int64              `msgpack:"permit"`
	Delete string             `msgpack:"drop"`
}

func (w *wireChange) change() (Change, error) {
	if (w.Put == "") == (w.Delete == "") {
		return Change{}, malformed("a change of no key or of two")
	}
	if w.Delete != "" {
		return Change{Delete: w.Delete}, nil
	}
	return Change{Put: w.Put, Value: w.Value, Lease: w.Lease}, nil
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
