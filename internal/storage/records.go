package storage

import (
	"oakpick/internal/protocol"
)

// StartRecord is a task that was started and may be on a machine.
type StartRecord struct {
	//lint:ignore U1000 read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	Task        int
	Attempt     int64
	Machine     string
	Incarnation int64
}

// JobRecord describes a job that isn't over.
type JobRecord struct {
	//lint:ignore U1000 read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	ID, Class, Team, Image, Zone                            string
	Kind                                                    protocol.JobKind
	Priority                                                protocol.Priority
	Tasks                                                   int
	CPUs, GPUs, MemoryGB                                    float64
	ImageGB                                                 float64
	AnyType                                                 bool
	Types                                                   []string
	OneZone, Spread, Spot                                   bool
	EstimatedRunS, CheckpointIntervalS, CheckpointDurationS float64
	DeadlineS                                               float64
	SubmittedMs                                             int64
	Cancelled                                               bool
	GangAttempt                                             int64  // a gang's attempt
	CompletedBlocks                                         string // blocks that are wholly done
}

// BlockRecord is what is known of a block of a job's tasks.
type BlockRecord struct {
	//lint:ignore U1000 read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	Job         string
	Block       int
	LastAttempt int64 // highest attempt given out in this block
	Done        string
	Starts      []StartRecord
}

// TerminalRecord is all that is kept of a job that is over.
type TerminalRecord struct {
	//lint:ignore U1000 read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	ID        string
	Cancelled bool
	Tasks     int
}

// ProvisioningRecord is a rental whose machines aren't all known from elsewhere yet.
type ProvisioningRecord struct {
	//lint:ignore U1000 read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	RequestID, Type, Zone string
	Spot                  bool
	Count                 int
	Answered              bool
	Machines              []string
	AtMs                  int64
}

// JobExtension is what is recorded of a job beside its JobRecord. Versions that
// don't know it ignore it, and drop it when they write the page.
type JobExtension struct {
	//lint:ignore U1000 read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	Job string
	// BlockTasks is how many tasks a block of the job has; 0: as many as follow
	// from the settings' value_kb (see BlockTasks).
	BlockTasks    int
	Prerequisites []string
}

// PrerequisitesRecord is a part of the prerequisites of a job that has more of them than
// fit its page: its extension has none then. The parts are written before the job is.
type PrerequisitesRecord struct {
	//lint:ignore U1000 read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	Job  string
	Part int
	IDs  []string
}

// PageValue is what a page's key holds.
type PageValue struct {
	WriteID      string               `msgpack:"id"` // of the write that made it
	Jobs         []JobRecord          `msgpack:"j,omitempty"`
	Blocks       []BlockRecord        `msgpack:"b,omitempty"`
	Terminal     []TerminalRecord     `msgpack:"f,omitempty"`
	Provisioning []ProvisioningRecord `msgpack:"r,omitempty"`
	Options      string               `msgpack:"o,omitempty"` // what operators have changed, as JSON

	Extensions []JobExtension `msgpack:"x,omitempty"`

	Prerequisites []PrerequisitesRecord `msgpack:"p,omitempty"`
}

// NewJobRecord describes a submission.
func NewJobRecord(s *protocol.Submission, submittedMs int64) JobRecord {
	return JobRecord{
		ID: s.ID, Class: s.Class, Team: s.Team, Image: s.Image, Zone: s.Zone, Kind: s.Kind, Priority: s.Priority,
		Tasks: s.Tasks, CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, ImageGB: s.ImageGB,
		AnyType: s.Types == nil, Types: s.Types, OneZone: s.OneZone, Spread: s.Spread, Spot: s.Spot,
		EstimatedRunS: s.EstimatedRunS, CheckpointIntervalS: s.CheckpointIntervalS, CheckpointDurationS: s.CheckpointDurationS, DeadlineS: s.DeadlineS, SubmittedMs: submittedMs,
	}
}
