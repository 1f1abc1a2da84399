package storage

import "oakpick/internal/protocol"

// The field _msgpack of a record only tells the MessagePack library to encode the record as an
// array.

// StartRecord is a task that was started and may be running on a machine.
type StartRecord struct {
	//nolint:unused // read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	Task        int
	Attempt     int64
	Machine     string
	Incarnation int64 // incarnation of the worker process on the machine
}

// JobRecord describes a job that has not reached a terminal state.
type JobRecord struct {
	//nolint:unused // read by the MessagePack library
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
	SubmittedMs                                             int64 // Unix time
	Cancelled                                               bool
	GangAttempt                                             int64  // attempt of a gang; other jobs have attempts in their blocks
	CompletedBlocks                                         string // Bitmap of the blocks in which all tasks are done
}

// amountNames are the field names for JobRecord.amounts, used in errors.
var amountNames = [...]string{
	"CPUs", "GPUs", "MemoryGB", "ImageGB",
	"EstimatedRunS", "CheckpointIntervalS", "CheckpointDurationS", "DeadlineS",
}

// amounts returns the fields that must be finite and not negative.
func (r *JobRecord) amounts() [len(amountNames)]float64 {
	return [...]float64{
		r.CPUs, r.GPUs, r.MemoryGB, r.ImageGB,
		r.EstimatedRunS, r.CheckpointIntervalS, r.CheckpointDurationS, r.DeadlineS,
	}
}

// NewJobRecord returns the record of a submission that was accepted at the given Unix time.
func NewJobRecord(s *protocol.Submission, submittedMs int64) JobRecord {
	return JobRecord{
		ID:                  s.ID,
		Class:               s.Class,
		Team:                s.Team,
		Image:               s.Image,
		Zone:                s.Zone,
		Kind:                s.Kind,
		Priority:            s.Priority,
		Tasks:               s.Tasks,
		CPUs:                s.CPUs,
		GPUs:                s.GPUs,
		MemoryGB:            s.MemoryGB,
		ImageGB:             s.ImageGB,
		AnyType:             s.Types == nil,
		Types:               s.Types,
		OneZone:             s.OneZone,
		Spread:              s.Spread,
		Spot:                s.Spot,
		EstimatedRunS:       s.EstimatedRunS,
		CheckpointIntervalS: s.CheckpointIntervalS,
		CheckpointDurationS: s.CheckpointDurationS,
		DeadlineS:           s.DeadlineS,
		SubmittedMs:         submittedMs,
	}
}

// BlockRecord is the state of one block of a job's tasks.
type BlockRecord struct {
	//nolint:unused // read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	Job         string
	Block       int    // from 0
	LastAttempt int64  // highest attempt number assigned in this block
	Done        string // Bitmap of the done tasks, indexed from the block's first task
	Starts      []StartRecord
}

// TerminalRecord is the record of a job that is done or cancelled. It replaces the job's other
// records.
type TerminalRecord struct {
	//nolint:unused // read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	ID        string
	Cancelled bool
	Tasks     int
}

// ProvisioningRecord is a request for machines. It is kept until all of its machines are known
// from another source.
type ProvisioningRecord struct {
	//nolint:unused // read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	RequestID, Type, Zone string
	Spot                  bool
	Count                 int      // number of requested machines
	Answered              bool     // the cloud has responded
	Machines              []string // machines named in the response
	AtMs                  int64    // Unix time of the request
}

// JobExtension holds the fields of a job that JobRecord doesn't have. Versions that don't support
// it ignore it, and drop it when they write the page.
type JobExtension struct {
	//nolint:unused // read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	Job string
	// BlockTasks is the number of tasks in a block of the job; 0 means the number that the
	// function BlockTasks derives from the setting value_kb.
	BlockTasks    int
	Prerequisites []string // job IDs
}

// PrerequisitesRecord is one part of a job's prerequisites, used if they don't fit on the
// job's page; JobExtension.Prerequisites is then empty. All parts are written before the job.
type PrerequisitesRecord struct {
	//nolint:unused // read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	Job  string
	Part int // from 0
	IDs  []string
}

// PageValue is the stored form of a page.
type PageValue struct {
	WriteID      string               `msgpack:"id"` // ID of the write that stored this value
	Jobs         []JobRecord          `msgpack:"j,omitempty"`
	Blocks       []BlockRecord        `msgpack:"b,omitempty"`
	Terminal     []TerminalRecord     `msgpack:"f,omitempty"`
	Provisioning []ProvisioningRecord `msgpack:"r,omitempty"`
	Options      string               `msgpack:"o,omitempty"` // options changed by operators, as JSON

	Extensions []JobExtension `msgpack:"x,omitempty"`

	Prerequisites []PrerequisitesRecord `msgpack:"p,omitempty"`
}
