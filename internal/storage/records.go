// Package storage keeps what cannot be recomputed: its records, how they are
// packed into versioned pages of the state service, the write budget, and the
// client that carries them there.
//
// The records are read by every version that may run beside this one. Their types
// only change by optional fields of PageValue that are absent while unused; the
// order of a record's fields and the names in tags are part of the format.
package storage

import (
	"encoding/hex"
	"math/bits"

	"oakpick/internal/protocol"
)

// Bitmap is a set of small numbers, written as hexadecimal text.
type Bitmap []byte

// Has tells whether i is in the set.
func (b Bitmap) Has(i int) bool { return i>>3 < len(b) && b[i>>3]&(1<<(i&7)) != 0 }

// Set adds i.
func (b *Bitmap) Set(i int) {
	for len(*b) <= i>>3 {
		*b = append(*b, 0)
	}
	(*b)[i>>3] |= 1 << (i & 7)
}

// Len is one more than the largest number in the set; 0: it is empty.
func (b Bitmap) Len() int {
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] != 0 {
			return i<<3 + bits.Len8(b[i])
		}
	}
	return 0
}

// Text is the set's durable form.
func (b Bitmap) Text() string { return hex.EncodeToString(b) }

// ParseBitmap reads the durable form.
func ParseBitmap(s string) (Bitmap, error) { return hex.DecodeString(s) }

// StartRecord is a task that was started and may be on a machine.
type StartRecord struct {
	//nolint:unused // read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	Task        int
	Attempt     int64
	Machine     string
	Incarnation int64
}

// JobRecord describes a job that isn't over.
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
	SubmittedMs                                             int64
	Cancelled                                               bool
	GangAttempt                                             int64  // a gang's attempt
	CompletedBlocks                                         string // blocks that are wholly done
}

// BlockRecord is what is known of a block of a job's tasks.
type BlockRecord struct {
	//nolint:unused // read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	Job         string
	Block       int
	LastAttempt int64 // highest attempt given out in this block
	Done        string
	Starts      []StartRecord
}

// TerminalRecord is all that is kept of a job that is over.
type TerminalRecord struct {
	//nolint:unused // read by the MessagePack library
	_msgpack struct{} `msgpack:",as_array"`

	ID        string
	Cancelled bool
	Tasks     int
}

// ProvisioningRecord is a rental whose machines aren't all known from elsewhere yet.
type ProvisioningRecord struct {
	//nolint:unused // read by the MessagePack library
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
	//nolint:unused // read by the MessagePack library
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
	//nolint:unused // read by the MessagePack library
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
