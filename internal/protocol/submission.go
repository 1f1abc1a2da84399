package protocol

import (
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxTasks is the most tasks that a job may have.
const MaxTasks = 100_000

const (
	maxAmount = 1e9
	maxName   = 128
	maxTypes  = 16
)

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
