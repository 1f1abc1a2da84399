package protocol

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// ErrMalformed is wrapped by every error that a sender could have avoided by
// following the protocol.
var ErrMalformed = errors.New("malformed")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

const maxDepth = 8

// checkBody walks a body without recursion deeper than maxDepth, so that
// neither nesting nor huge declared lengths cost memory, and insists on one
// map with nothing behind it.
func checkBody(body []byte) error {
	if len(body) > MaxBody {
		return malformed("body over %d bytes", MaxBody)
	}
	r := bytes.NewReader(body)
	d := msgpack.NewDecoder(r)
	c, err := d.PeekCode()
	if err != nil || !(msgpcode.IsFixedMap(c) || c == msgpcode.Map16 || c == msgpcode.Map32) {
		return malformed("body is not a map")
	}
	if err := walk(d, r, maxDepth); err != nil {
		return err
	}
	if _, err := d.PeekCode(); err == nil {
		return malformed("bytes behind the map")
	}
	return nil
}

func walk(d *msgpack.Decoder, r *bytes.Reader, depth int) error {
	if depth == 0 {
		return malformed("nested too deeply")
	}
	c, err := d.PeekCode()
	if err != nil {
		return malformed("cut short")
	}
	items := 0
	switch {
	case msgpcode.IsFixedMap(c) || c == msgpcode.Map16 || c == msgpcode.Map32:
		if items, err = d.DecodeMapLen(); err == nil {
			if items > r.Len() {
				return malformed("cut short")
			}
			items *= 2
		}
	case msgpcode.IsFixedArray(c) || c == msgpcode.Array16 || c == msgpcode.Array32:
		items, err = d.DecodeArrayLen()
	default:
		if length := declared(c, d); length > r.Len() {
			return malformed("cut short")
		}
		err = d.Skip()
	}
	if err != nil {
		return malformed("%v", err)
	}
	if items > 2*r.Len()+2 {
		return malformed("cut short")
	}
	for range items {
		if err := walk(d, r, depth-1); err != nil {
			return err
		}
	}
	return nil
}

// declared is a scalar's length where its first byte alone tells it; longer
// forms are bounded by the library, which reads in steps.
func declared(c byte, _ *msgpack.Decoder) int {
	if msgpcode.IsFixedString(c) {
		return int(c & msgpcode.FixedStrMask)
	}
	return 0
}

// Submission is a job as its user describes it.
type Submission struct {
	ID                  string
	Class               string
	Team                string
	Kind                JobKind
	Priority            Priority
	Tasks               int
	CPUs                float64
	GPUs                float64
	MemoryGB            float64
	Image               string
	ImageGB             float64
	Types               []string // nil: any
	Zone                string   // empty: any
	OneZone             bool
	Spread              bool
	Spot                bool
	EstimatedRunS       float64
	CheckpointIntervalS float64
	CheckpointDurationS float64
	DeadlineS           float64 // 0: none
	// Prerequisites are jobs that have to be done before any task may start.
	Prerequisites []string
}

type wireSubmission struct {
	ID        *string   `msgpack:"id"`
	JobClass  *string   `msgpack:"jobclass"`
	Owner     *string   `msgpack:"owner"`
	Shape     *string   `msgpack:"shape"`
	Rank      *string   `msgpack:"rank"`
	Pieces    *int64    `msgpack:"pieces"`
	VCPUs     *float64  `msgpack:"vcpus"`
	GPUs      *float64  `msgpack:"gpus"`
	MemGB     *float64  `msgpack:"mem_gb"`
	Bundle    *string   `msgpack:"bundle"`
	ImageGB   *float64  `msgpack:"image_gb"`
	Kinds     *[]string `msgpack:"kinds_of_host"`
	Site      *string   `msgpack:"site"`
	Together  *bool     `msgpack:"together"`
	Spread    *bool     `msgpack:"spread"`
	Loaners   *bool     `msgpack:"loaners"`
	Expected  *float64  `msgpack:"expected_s"`
	Savepoint *float64  `msgpack:"savepoint_s"`
	Saving    *float64  `msgpack:"saving_s"`
	Due       *float64  `msgpack:"due_s"`
	Prereqs   *[]string `msgpack:"prereqs"`
}

// MaxTasks is the most tasks that a job may have.
const MaxTasks = 100_000

const (
	maxAmount = 1e9
	maxName   = 128
	maxTypes  = 16
)

// fields reads required fields, and keeps what is wrong with the first that is.
type fields struct{ bad error }

func (f *fields) fail(format string, args ...any) {
	if f.bad == nil {
		f.bad = malformed(format, args...)
	}
}

func (f *fields) text(name string, v *string) string {
	if v == nil || *v == "" || len(*v) > maxName {
		f.fail("%s: missing, empty or too long", name)
	}
	if v == nil {
		return ""
	}
	return *v
}

func (f *fields) amount(name string, v *float64) float64 {
	if v == nil || math.IsNaN(*v) || *v < 0 || *v > maxAmount {
		f.fail("%s: missing or out of range", name)
	}
	if v == nil {
		return 0
	}
	return *v
}

func (f *fields) flag(name string, v *bool) bool {
	if v == nil {
		f.fail("%s: missing", name)
	}
	return v != nil && *v
}

// wordOf reads one of a field's words.
func wordOf[V any](f *fields, name string, words map[string]V, v *string) V {
	value, ok := words[f.text(name, v)]
	if !ok {
		f.fail("%s: unknown word", name)
	}
	return value
}

// kinds reads the allowed machine types; nil: any.
func (f *fields) kinds(v *[]string) []string {
	if v == nil {
		return nil
	}
	if len(*v) > maxTypes {
		f.fail("kinds_of_host: too many")
	}
	types := []string{}
	for _, k := range *v {
		if k == "" || len(k) > maxName {
			f.fail("kinds_of_host: empty or too long")
		}
		types = append(types, k)
	}
	return types
}

// DecodeSubmission reads and checks the body of a submission.
func DecodeSubmission(body []byte) (*Submission, error) {
	if err := checkBody(body); err != nil {
		return nil, err
	}
	var w wireSubmission
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, malformed("%v", err)
	}
	var f fields
	s := &Submission{
		ID: f.text("id", w.ID), Class: f.text("jobclass", w.JobClass), Team: f.text("owner", w.Owner),
		CPUs: f.amount("vcpus", w.VCPUs), GPUs: f.amount("gpus", w.GPUs), MemoryGB: f.amount("mem_gb", w.MemGB),
		Image: f.text("bundle", w.Bundle), ImageGB: f.amount("image_gb", w.ImageGB),
		OneZone: f.flag("together", w.Together), Spread: f.flag("spread", w.Spread), Spot: f.flag("loaners", w.Loaners),
		EstimatedRunS: f.amount("expected_s", w.Expected), CheckpointIntervalS: f.amount("savepoint_s", w.Savepoint),
		CheckpointDurationS: f.amount("saving_s", w.Saving), Types: f.kinds(w.Kinds),
		Kind: wordOf(&f, "shape", jobKindWords, w.Shape), Priority: wordOf(&f, "rank", priorityWords, w.Rank),
	}
	if f.bad == nil && !ValidJobID(s.ID) {
		f.fail("id: not a job id")
	}
	if w.Pieces == nil || *w.Pieces < 1 || *w.Pieces > MaxTasks {
		f.fail("pieces: missing or out of range")
	} else {
		s.Tasks = int(*w.Pieces)
	}
	if w.Site != nil {
		s.Zone = f.text("site", w.Site)
	}
	if w.Due != nil {
		s.DeadlineS = f.amount("due_s", w.Due)
	}
	if f.bad != nil {
		return nil, f.bad
	}
	if w.Prereqs != nil {
		var err error
		if s.Prerequisites, err = prerequisites(*w.Prereqs); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// prerequisites checks the jobs that a submission names. The same one named twice
// counts once.
func prerequisites(ids []string) ([]string, error) {
	var unique []string
	seen := make(map[string]bool, len(ids))
	for _, id := range ids {
		if !ValidJobID(id) {
			return nil, malformed("prereqs: not a job id")
		}
		if !seen[id] {
			seen[id] = true
			unique = append(unique, id)
		}
	}
	return unique, nil
}

// ValidJobID tells whether an id has the form that users' ids always have.
func ValidJobID(id string) bool {
	rest, ok := strings.CutPrefix(id, "wk-")
	if !ok || len(rest) < 1 || len(rest) > 20 {
		return false
	}
	for _, c := range rest {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

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
