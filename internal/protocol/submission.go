package protocol

import (
	"strings"
)

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// A job ID consists of the prefix and 1 to maxJobIDDigits digits.
const (
	jobIDPrefix    = "wk-"
	maxJobIDDigits = 20
)

// Submission is a job as submitted by a user. CPUs, GPUs and memory are per task; times are in
// seconds.
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
	Types               []string // allowed machine types; nil allows any type
	Zone                string   // required zone; empty allows any zone
	OneZone             bool     // run all tasks in the same zone
	Spread              bool     // spread the tasks over the zones
	Spot                bool     // tasks may run on spot machines
	EstimatedRunS       float64  // estimated run time of one task
	CheckpointIntervalS float64
	CheckpointDurationS float64
	DeadlineS           float64 // counted from the submission; 0 if there is no deadline
	// Prerequisites are the jobs that have to be done before any task may start.
	Prerequisites []string
}

// wireSubmission is the wire format of Submission. A field that is absent or null is nil.
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

// DecodeSubmission decodes and checks a submission. If several fields are invalid, the error
// names the first in the order of the checks; senders see this error, so the order matters.
func DecodeSubmission(body []byte) (*Submission, error) {
	var wire wireSubmission
	if err := decodeRequest(body, &wire); err != nil {
		return nil, err
	}
	submission, err := wire.parse()
	if err != nil {
		return nil, err
	}
	if wire.Prerequisites != nil {
		if submission.Prerequisites, err = parsePrerequisites(*wire.Prerequisites); err != nil {
			return nil, err
		}
	}
	return submission, nil
}

// parse checks and converts every field except the prerequisites.
func (w *wireSubmission) parse() (*Submission, error) {
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
		Kind:                requiredEnum(&f, "shape", jobKindNames, w.Kind),
		Priority:            requiredEnum(&f, "rank", priorityNames, w.Priority),
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

// parsePrerequisites checks the job IDs of the prerequisites and removes duplicates.
func parsePrerequisites(ids []string) ([]string, error) {
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

// ValidJobID reports whether an ID has the form of the job IDs that users assign.
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
