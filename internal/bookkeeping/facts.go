// Package bookkeeping keeps the facts that cannot be recomputed: their records,
// how they are packed into versioned pages of the state service, the write
// budget, and the client that carries them there.
package bookkeeping

import (
	"encoding/hex"

	"oakpick/internal/protocol"
)

// Bits is a set of small numbers, written as hexadecimal text.
type Bits []byte

// Has tells whether i is in the set.
func (b Bits) Has(i int) bool { return i>>3 < len(b) && b[i>>3]&(1<<(i&7)) != 0 }

// Set adds i.
func (b *Bits) Set(i int) {
	for len(*b) <= i>>3 {
		*b = append(*b, 0)
	}
	(*b)[i>>3] |= 1 << (i & 7)
}

// Text is the set's durable form.
func (b Bits) Text() string { return hex.EncodeToString(b) }

// ParseBits reads the durable form.
func ParseBits(s string) (Bits, error) { return hex.DecodeString(s) }

// StartRecord is a task that was started and may be on a machine.
type StartRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the library

	Task    int
	Try     int64
	Host    string
	Session int64
}

// JobRecord describes a job that isn't over.
type JobRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the library

	ID, Class, Team, Image, Zone string
	Shape                        protocol.Shape
	Priority                     protocol.Priority
	Tasks                        int
	CPUs, GPUs, MemoryGB         float64
	ImageGB                      float64
	AnyType                      bool
	Types                        []string
	OneZone, Spread, Spot        bool
	Estimate, SaveEach, SaveTime float64
	Deadline                     float64
	SubmittedMs                  int64
	Cancelled                    bool
	Try                          int64  // a gang's attempt
	Full                         string // blocks that are wholly done
}

// BlockRecord is what is known of a block of a job's tasks.
type BlockRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the library

	Job    string
	Block  int
	Try    int64 // highest attempt given out in this block
	Done   string
	Starts []StartRecord
}

// FinalRecord is all that is kept of a job that is over.
type FinalRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the library

	ID        string
	Cancelled bool
	Tasks     int
}

// RentalRecord is a rental whose machines aren't all known from elsewhere yet.
type RentalRecord struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the library

	Request, Type, Zone string
	Spot                bool
	Count               int
	Answered            bool
	Hosts               []string
	AtMs                int64
}

// PageValue is what a page's key holds.
type PageValue struct {
	ID      string         `msgpack:"id"` // of the write that made it
	Jobs    []JobRecord    `msgpack:"j,omitempty"`
	Blocks  []BlockRecord  `msgpack:"b,omitempty"`
	Finals  []FinalRecord  `msgpack:"f,omitempty"`
	Rentals []RentalRecord `msgpack:"r,omitempty"`
	Options string         `msgpack:"o,omitempty"` // what operators have changed, as JSON
}

// NewJobRecord describes a submission.
func NewJobRecord(s *protocol.Submission, submittedMs int64) JobRecord {
	return JobRecord{
		ID: s.ID, Class: s.Class, Team: s.Team, Image: s.Image, Zone: s.Zone, Shape: s.Shape, Priority: s.Priority,
		Tasks: s.Tasks, CPUs: s.CPUs, GPUs: s.GPUs, MemoryGB: s.MemoryGB, ImageGB: s.ImageGB,
		AnyType: s.Types == nil, Types: s.Types, OneZone: s.OneZone, Spread: s.Spread, Spot: s.Spot,
		Estimate: s.Estimate, SaveEach: s.SaveEach, SaveTime: s.SaveTime, Deadline: s.Deadline, SubmittedMs: submittedMs,
	}
}

// Sizes of records in JSON, never less than the true ones: what is reserved on
// a page when a record is put there, so that no page outgrows its limit later.
const (
	numberSize = 22 // any integer or float
	hostSize   = 40 // a machine's name
	startSize  = 3*12 + hostSize + 6
	pageSize   = 128 // the page's own braces, names and write id

	// OptionsReserve is the space of the operators' settings, quotes escaped.
	OptionsReserve = 512
)

func textSize(s string) int {
	n := 3
	for _, c := range []byte(s) {
		if c < 0x20 || c > 0x7e || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			n += 6
		} else {
			n++
		}
	}
	return n
}

// Reserve is the space a job's description may take.
func (r *JobRecord) Reserve(blocks int) int {
	n := 13*8 + 9*numberSize + blocks/4 + 8
	for _, s := range append([]string{r.ID, r.Class, r.Team, r.Image, r.Zone}, r.Types...) {
		n += textSize(s)
	}
	return n
}

// BlockReserve is the space that a block of so many tasks may take.
func BlockReserve(job string, tasks int) int {
	return textSize(job) + 2*numberSize + tasks/4 + 16 + tasks*startSize
}

// Reserve is the space of a finished job.
func (r *FinalRecord) Reserve() int { return textSize(r.ID) + 6 + 7 + 4 }

// Reserve is the space of a rental.
func (r *RentalRecord) Reserve() int {
	return textSize(r.Request) + textSize(r.Type) + textSize(r.Zone) + 3*numberSize + 16 + r.Count*hostSize
}

// BlockTasks is how many tasks a block holds: as many as let it fill at most
// half a page.
func BlockTasks(valueBytes int) int { return max(4, min(64, valueBytes/2/startSize)) }
