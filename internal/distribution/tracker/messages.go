// Package tracker decides which agents fetch weights from whom, and keeps which manifest each
// name has. It is a deterministic state machine: Step takes the time, the term and commands,
// and gives effects. It reads no clock, does no input or output and starts no goroutine.
package tracker

import (
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/coordination"
	"oakpick/internal/distribution"
	"oakpick/internal/storage"
)

// Term is what the tracker has to know of the controller's term.
type Term = coordination.TermView

// Command is what goes into Step.
type Command interface{ command() }

// Commands that go into Step. Those with an ID are answered with a Reply of that ID.
type (
	// InventoryCall is an agent's report.
	InventoryCall struct {
		ID        uint64
		Inventory *distribution.Inventory
	}
	// UseCall asks that a name have a manifest.
	UseCall struct {
		ID       uint64
		Name     string
		Manifest digest.Digest
	}
	// NamesCall asks for the names behind one.
	NamesCall struct {
		ID    uint64
		After string
	}
	// StatusCall asks who holds what of a name, for the agents behind one.
	StatusCall struct {
		ID    uint64
		Name  string
		After string
	}
	// StateResult answers a StateCall.
	StateResult struct{ storage.StateResult }
	// Tick lets time pass.
	Tick struct{}
)

func (InventoryCall) command() {}
func (UseCall) command()       {}
func (NamesCall) command()     {}
func (StatusCall) command()    {}
func (StateResult) command()   {}
func (Tick) command()          {}

// Effect is what comes out of Step.
type Effect interface{ effect() }

// Effects.
type (
	// Reply answers a command. Body is encoded as JSON.
	Reply struct {
		ID         uint64
		Status     int
		Body       any
		RetryAfter time.Duration
	}
	// Forward hands a command on to the controller that leads.
	Forward struct {
		ID   uint64
		Peer string
	}
	// StateCall asks the state service.
	StateCall struct{ storage.StateCall }
	// Log is a line for the log.
	Log struct {
		Text string
		Args []any
	}
)

func (Reply) effect()     {}
func (Forward) effect()   {}
func (StateCall) effect() {}
func (Log) effect()       {}

// Parameters are the tracker's figures.
type Parameters struct {
	ReportInterval     time.Duration // between the inventories of an agent that fetches
	IdleReportInterval time.Duration // between those of one that doesn't
	RetryInterval      time.Duration // before a lost or refused call to the state service is repeated
	StoreSlots         int           // takers that may use the store at a time
	Zones              []string
	ProcessID          string // of this process; names its writes
	Seed               uint64
}

// Ratios to the report interval, and counts that concern one agent only.
const (
	maxSameZoneSources  = 6  // of one manifest for one taker
	maxOtherZoneSources = 2  // the same, in other zones
	fairSources         = 4  // below which a taker gets slots that others with more have leases on
	candidatesPerSource = 4  // agents that are looked at for each source that is wanted
	maxAnsweredSources  = 96 // of all manifests in one answer
	leaseReports        = 3  // inventories that may be missed before a lease ends
	stalledReports      = 8  // after which a taker that gets nothing new loses its leases
	avoidReports        = 10 // for which a source at fault isn't given to the taker again
	accusationReports   = 40 // for which an accusation of damage counts
	minAccusers         = 2  // different takers, for a source to be given to nobody
	warmUpReports       = 2  // for which a new leader doesn't take sources away
)
