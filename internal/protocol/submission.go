package protocol

import (
	"strings"
)

// MaxTasks is the most tasks that a job may have.
const MaxTasks = 100_000

// A job id is the prefix and up to so many digits.
const (
	jobIDPrefix    = "wk-"
	maxJobIDDigits = 20
)

// Submission is a job as its user describes it. CPUs, GPUs and memory are those of one task;
// times are in seconds.
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
	OneZone             bool     // all tasks in one zone
	Spread              bool     // over the zones
	Spot                bool     // may run on spot machines
	EstimatedRunS       float64  // of one task
	CheckpointIntervalS float64
	CheckpointDurationS float64
	DeadlineS           float64 // after the submission; 0: none
	// Prerequisites are jobs that have to be done before any task may start.
	Prerequisites []string
}

// wireSubmission is a submission as it is sent; nil: the field is absent or null.
type wireSubmission struct {
	ID                  *string   `msgpack:"id"`
	Class               *string   `msgpack:"jobclass"`
	Team                *string   `msgpack:"owner"`
	Kind                *string   `msgpack:"shape"`
	Priority            *string   `msgpack:"rank"`
	Tasks               *int64    `msgpack:"pieces"`
	CPUs                *float64  `msgpack:"vcpus"`
	GPUs                *float64  `msgpack:"gpus"`
	MemoryGB            *float64  `msgpack:"mem_gb"`
	Image               *string   `msgpack:"bundle"`
	ImageGB             *float64  `msgpack:"image_gb"`
	Types               *[]string `msgpack:"kinds_of_host"`
	Zone                *string   `msgpack:"site"`
	OneZone             *bool     `msgpack:"together"`
	Spread              *bool     `msgpack:"spread"`
	Spot                *bool     `msgpack:"loaners"`
	EstimatedRunS       *float64  `msgpack:"expected_s"`
	CheckpointIntervalS *float64  `msgpack:"savepoint_s"`
	CheckpointDurationS *float64  `msgpack:"saving_s"`
	DeadlineS           *float64  `msgpack:"due_s"`
	Prerequisites       *[]string `msgpack:"prereqs"`
}

// DecodeSubmission reads and checks the body of a submission. Of several problems the error
// names the first in the order of the checks, which senders see.
func DecodeSubmission(body []byte) (*Submission, error) {
	var wire wireSubmission
	if err := decodeRequest(body, &wire); err != nil {
		return nil, err
	}
	submission, err := wire.submission()
	if err != nil {
		return nil, err
	}
	if wire.Prerequisites != nil {
		if submission.Prerequisites, err = prerequisites(*wire.Prerequisites); err != nil {
			return nil, err
		}
	}
	return submission, nil
}

// submission checks every field but the prerequisites.
func (w *wireSubmission) submission() (*Submission, error) {
	var f fieldReader
	s := &Submission{
		ID:                  f.requiredString("id", w.ID),
		Class:               f.requiredString("jobclass", w.Class),
		Team:                f.requiredString("owner", w.Team),
		CPUs:                f.requiredNumber("vcpus", w.CPUs),
		GPUs:                f.requiredNumber("gpus", w.GPUs),
		MemoryGB:            f.requiredNumber("mem_gb", w.MemoryGB),
		Image:               f.requiredString("bundle", w.Image),
		ImageGB:             f.requiredNumber("image_gb", w.ImageGB),
		OneZone:             f.requiredBool("together", w.OneZone),
		Spread:              f.requiredBool("spread", w.Spread),
		Spot:                f.requiredBool("loaners", w.Spot),
		EstimatedRunS:       f.requiredNumber("expected_s", w.EstimatedRunS),
		CheckpointIntervalS: f.requiredNumber("savepoint_s", w.CheckpointIntervalS),
		CheckpointDurationS: f.requiredNumber("saving_s", w.CheckpointDurationS),
		Types:               f.machineTypes(w.Types),
		Kind:                requiredWord(&f, "shape", jobKindWords, w.Kind),
		Priority:            requiredWord(&f, "rank", priorityWords, w.Priority),
	}
	if f.err == nil && !ValidJobID(s.ID) {
		f.fail("id", "not a job id")
	}
	if w.Tasks == nil || *w.Tasks < 1 || *w.Tasks > MaxTasks {
		f.fail("pieces", "missing or out of range")
	} else {
		s.Tasks = int(*w.Tasks)
	}
	if w.Zone != nil {
		s.Zone = f.requiredString("site", w.Zone)
	}
	if w.DeadlineS != nil {
		s.DeadlineS = f.requiredNumber("due_s", w.DeadlineS)
	}
	return s, f.err
}

// prerequisites checks the jobs that a submission names. The same one named twice
// counts once.
func prerequisites(ids []string) ([]string, error) {
	var unique []string
	seen := make(map[string]bool, len(ids))
	for _, id := range ids {
		if !ValidJobID(id) {
			return nil, &FieldError{Field: "prereqs", Problem: "not a job id"}
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
	digits, ok := strings.CutPrefix(id, jobIDPrefix)
	if !ok || len(digits) < 1 || len(digits) > maxJobIDDigits {
		return false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}
