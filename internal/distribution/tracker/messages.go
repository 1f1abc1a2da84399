// Package tracker decides which agents fetch weights from which sources, and keeps which
// manifest each name has. It is a deterministic state machine: the time, the controller's term
// and commands go into Step, effects come out. It reads no clock, does no input or output and
// starts no goroutine.
package tracker

import (
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
	"oakpick/internal/election"
	"oakpick/internal/storage"
)

// Term is what the tracker needs to know of the controller's term.
type Term = election.View

// Command is an input of Step.
type Command interface{ command() }

// The commands of Step. Those with an ID are answered by a Reply or a Forward with that ID.
type (
	// InventoryCall is a report of an agent.
	InventoryCall struct {
		ID        uint64
		Inventory *distribution.Inventory
	}
	// SetManifestCall asks that a name refer to a manifest.
	SetManifestCall struct {
		ID       uint64
		Name     string
		Manifest digest.Digest
	}
	// NamesCall asks for the names after one.
	NamesCall struct {
		ID    uint64
		After string
	}
	// StatusCall asks which agents hold what of a name, for those after one.
	StatusCall struct {
		ID    uint64
		Name  string
		After string
	}
	// StateResult answers a StateCall.
	StateResult struct{ storage.StateResult }
	// Tick only lets time pass.
	Tick struct{}
)

func (InventoryCall) command()   {}
func (SetManifestCall) command() {}
func (NamesCall) command()       {}
func (StatusCall) command()      {}
func (StateResult) command()     {}
func (Tick) command()            {}

// Effect is an output of Step.
type Effect interface{ effect() }

// The effects of Step.
type (
	// Reply answers a command. Body is encoded as JSON.
	Reply struct {
		ID         uint64
		Status     int
		Body       any
		RetryAfter time.Duration
	}
	// Forward hands a command on to the leader.
	Forward struct {
		ID   uint64
		Peer string
	}
	// StateCall makes a call to the state service.
	StateCall struct{ storage.StateCall }
	// Log writes a log line.
	Log struct {
		Text string
		Args []any
	}
)

func (Reply) effect()     {}
func (Forward) effect()   {}
func (StateCall) effect() {}
func (Log) effect()       {}

// Parameters configure a tracker.
type Parameters struct {
	ReportInterval     time.Duration // between inventories of an agent that fetches
	IdleReportInterval time.Duration // between inventories of an agent that doesn't fetch
	RetryInterval      time.Duration // before a lost or refused call to the state service is repeated
	StoreSlots         int           // agents that may use the store at a time, for each manifest
	Zones              []string
	ProcessID          string // makes the IDs of this process's writes unique
	Seed               uint64
}

// Durations as multiples of the report interval (...Reports), and counts that concern a single
// agent.
const (
	maxSameZoneSources    = 6  // of one manifest, for one agent
	maxOtherZoneSources   = 2  // of one manifest, for one agent
	minSources            = 4  // below which an agent gets leases of others that have more
	candidatesPerSource   = 4  // that are examined
	maxSourcesPerResponse = 96 // in one answer, over all manifests
	leaseIntervals        = 3  // that may be missed before a lease expires
	stalledIntervals      = 8  // without a new chunk, after which an agent loses its leases
	avoidSourceIntervals  = 10 // for which a faulty source isn't given to the agent again
	damageReportIntervals = 40 // for which an accusation of damage counts
	minDamageReporters    = 2  // different agents, after which a source is given to nobody
	warmUpIntervals       = 2  // for which a new leader has agents keep sources that it doesn't list
)
