package storage

import "oakpick/internal/protocol"

// Records that are encoded as arrays have a field _msgpack, which only the MessagePack
// library reads.

// StartRecord is a task that was started and may be on a machine.
type StartRecord struct {
	//nolint:unused // read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	Task        int
	Attempt     int64
	Machine     string
	Incarnation int64 // of the machine's agent
}

// JobRecord describes a job that isn't terminal.
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
	GangAttempt                                             int64  // of a gang; others have attempts in their blocks
	CompletedBlocks                                         string // Bitmap of the blocks whose tasks are all done
}

// amountNames are the names of JobRecord.amounts in errors.
var amountNames = [...]string{
	"CPUs", "GPUs", "MemoryGB", "ImageGB",
	"EstimatedRunS", "CheckpointIntervalS", "CheckpointDurationS", "DeadlineS",
}

// amounts are the fields that are finite numbers of at least 0.
func (r *JobRecord) amounts() [len(amountNames)]float64 {
	return [...]float64{
		r.CPUs, r.GPUs, r.MemoryGB, r.ImageGB,
		r.EstimatedRunS, r.CheckpointIntervalS, r.CheckpointDurationS, r.DeadlineS,
	}
}

// NewJobRecord describes a submission that was accepted at the given Unix time.
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
	LastAttempt int64  // the highest attempt number given out in this block
	Done        string // Bitmap of the block's tasks, from 0
	Starts      []StartRecord
}

// TerminalRecord is all that is kept of a job that is done or cancelled.
type TerminalRecord struct {
	//nolint:unused // read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	ID        string
	Cancelled bool
	Tasks     int
}

// ProvisioningRecord is a request for machines that aren't all known from elsewhere yet.
type ProvisioningRecord struct {
	//nolint:unused // read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	RequestID, Type, Zone string
	Spot                  bool
	Count                 int      // machines asked for
	Answered              bool     // by the cloud
	Machines              []string // those of the answer
	AtMs                  int64    // Unix time of the request
}

// JobExtension is what is recorded of a job beside its JobRecord. Versions that
// don't know it ignore it, and drop it when they write the page.
type JobExtension struct {
	//nolint:unused // read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	Job string
	// BlockTasks is how many tasks a block of the job has; 0: as many as follow
	// from the settings' value_kb (see the function BlockTasks).
	BlockTasks    int
	Prerequisites []string // ids of jobs
}

// PrerequisitesRecord is a part of the prerequisites of a job that has more of them than
// fit its page: its extension has none then. The parts are written before the job is.
type PrerequisitesRecord struct {
	//nolint:unused // read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	Job  string
	Part int // from 0
	IDs  []string
}

// PageValue is the stored form of a page.
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
