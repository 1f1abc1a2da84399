package protocol

import (
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxTasks is the most tasks that a job may have.
const MaxTasks = 100_000

const (
	maxAmount       = 1e9
	maxNameBytes    = 128
	maxMachineTypes = 16
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

// DecodeSubmission reads and checks the body of a submission.
func DecodeSubmission(body []byte) (*Submission, error) {
	if err := checkBody(body); err != nil {
		return nil, err
	}
	var w wireSubmission
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, malformed("%v", err)
	}
	var f fieldReader
	s := &Submission{
		ID: f.requiredString("id", w.ID), Class: f.requiredString("jobclass", w.Class), Team: f.requiredString("owner", w.Team),
		CPUs: f.requiredNumber("vcpus", w.CPUs), GPUs: f.requiredNumber("gpus", w.GPUs), MemoryGB: f.requiredNumber("mem_gb", w.MemoryGB),
		Image: f.requiredString("bundle", w.Image), ImageGB: f.requiredNumber("image_gb", w.ImageGB),
		OneZone: f.requiredBool("together", w.OneZone), Spread: f.requiredBool("spread", w.Spread), Spot: f.requiredBool("loaners", w.Spot),
		EstimatedRunS: f.requiredNumber("expected_s", w.EstimatedRunS), CheckpointIntervalS: f.requiredNumber("savepoint_s", w.CheckpointIntervalS),
		CheckpointDurationS: f.requiredNumber("saving_s", w.CheckpointDurationS), Types: f.machineTypes(w.Types),
		Kind: requiredWord(&f, "shape", jobKindWords, w.Kind), Priority: requiredWord(&f, "rank", priorityWords, w.Priority),
	}
	if f.err == nil && !ValidJobID(s.ID) {
		f.fail("id: not a job id")
	}
	if w.Tasks == nil || *w.Tasks < 1 || *w.Tasks > MaxTasks {
		f.fail("pieces: missing or out of range")
	} else {
		s.Tasks = int(*w.Tasks)
	}
	if w.Zone != nil {
		s.Zone = f.requiredString("site", w.Zone)
	}
	if w.DeadlineS != nil {
		s.DeadlineS = f.requiredNumber("due_s", w.DeadlineS)
	}
	if f.err != nil {
		return nil, f.err
	}
	if w.Prerequisites != nil {
		var err error
		if s.Prerequisites, err = prerequisites(*w.Prerequisites); err != nil {
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
