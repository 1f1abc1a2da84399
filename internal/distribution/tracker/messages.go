// Package tracker assigns to agents the sources from which they fetch weights, and stores the
// manifest of each name in the state service. It is a deterministic state machine: Step takes the
// time, the controller's term and commands, and returns effects. The package reads no clock,
// performs no I/O and starts no goroutines.
package tracker

import (
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
	"oakpick/internal/election"
	"oakpick/internal/storage"
)

// Leadership describes the term in which the controller leads, or which other controller leads.
type Leadership = election.View

// Command is an input of Step.
type Command interface{ command() }

// The commands of Step. Each call with an ID gets one Reply or Forward with the same ID.
type (
	// InventoryCall delivers an agent's inventory.
	InventoryCall struct {
		ID        uint64
		Inventory *distribution.Inventory
	}
	// SetManifestCall sets the manifest of a name.
	SetManifestCall struct {
		ID       uint64
		Name     string
		Manifest digest.Digest
	}
	// NamesCall requests a page of the list of names, beginning after the name After.
	NamesCall struct {
		ID    uint64
		After string
	}
	// StatusCall requests a page of the agents that hold or want a name's manifest, beginning
	// after the agent After.
	StatusCall struct {
		ID    uint64
		Name  string
		After string
	}
	// StateResult is the result of a StateCall.
	StateResult struct{ storage.StateResult }
	// Tick only advances the time.
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
	// Reply answers a call. Body is encoded as JSON. RetryAfter is set if the caller should retry.
	Reply struct {
		ID         uint64
		Status     int
		Body       any
		RetryAfter time.Duration
	}
	// Forward passes a call on to the leader.
	Forward struct {
		ID   uint64
		Peer string
	}
	// StateCall requests a call to the state service.
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
	RetryInterval      time.Duration // before a failed or lost call to the state service is repeated
	StoreSlots         int           // agents that may fetch a manifest from the store at the same time
	Zones              []string
	ProcessID          string // part of the write IDs, which it makes unique to this process
	Seed               uint64
}

// Limits and durations. The names of durations end in Intervals: they are multiples of the report
// interval.
const (
	maxSameZoneSources    = 6  // peers in its own zone that an agent may fetch one manifest from
	maxOtherZoneSources   = 2  // peers in other zones that an agent may fetch one manifest from
	minSources            = 4  // an agent with fewer peers for a manifest takes over leases of agents with more
	candidatesPerSource   = 4  // holders examined for each source to assign
	maxSourcesPerResponse = 96 // over all manifests
	leaseIntervals        = 3  // a lease expires after this long unless it is renewed
	stalledIntervals      = 8  // an agent's leases are ended after this long without a new chunk
	exclusionIntervals    = 10 // a source isn't assigned for this long to an agent that found it faulty
	damageReportIntervals = 40 // a report of damaged chunks counts against the source for this long
	minDamageReporters    = 2  // a source that this many agents report for damaged chunks is assigned to no agent
	warmUpIntervals       = 2  // idle report intervals after an election in which agents keep unlisted sources
)
