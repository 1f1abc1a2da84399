// Package agent fetches, verifies, stores and serves weights on one machine. What it decides
// is in Core, a deterministic state machine; the rest carries its effects out: files, HTTP,
// slots and pacing.
package agent

import (
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/chunkstore"
)

// Event is what goes into Core.Step.
type Event interface{ event() }

// Events.
type (
	// TrackerAnswered is an answer to an inventory.
	TrackerAnswered struct{ Answer distribution.Answer }
	// TrackerFailed says that no controller could answer.
	TrackerFailed struct{ RetryAfter time.Duration }
	// ManifestResult answers GetManifest.
	ManifestResult struct {
		Source   string
		Digest   digest.Digest
		Manifest *distribution.Manifest // nil: Fault says why
		Fault    distribution.Fault
	}
	// ChunksResult answers GetChunks.
	ChunkSetResult struct {
		Source   string
		Manifest digest.Digest
		Chunks   distribution.ChunkSet
		Fault    distribution.Fault
	}
	// ChunkResult answers GetChunk.
	ChunkResult struct {
		ID            uint64
		Fault         distribution.Fault // none: the chunk is stored and verified
		Cancelled     bool
		ReceivedBytes int64                 // bytes of this source
		PartialBytes  int64                 // bytes that are kept of a chunk that isn't whole
		Chunks        distribution.ChunkSet // what the source says that it holds; nil: nothing
		RetryAfter    time.Duration
	}
	// ActivateResult answers Activate.
	ActivateResult struct {
		Name     string
		Manifest digest.Digest
		Failed   bool
	}
	// RemoveResult answers Remove. A chunk that is being read isn't removed.
	RemoveResult struct {
		Chunk   digest.Digest
		Removed bool
	}
	// ChunkLost says that a stored chunk turned out to be damaged and is gone.
	ChunkLost struct{ Chunk digest.Digest }
	// Tick lets time pass.
	Tick struct{}
)

func (TrackerAnswered) event() {}
func (TrackerFailed) event()   {}
func (ManifestResult) event()  {}
func (ChunkSetResult) event()  {}
func (ChunkResult) event()     {}
func (ActivateResult) event()  {}
func (RemoveResult) event()    {}
func (ChunkLost) event()       {}
func (Tick) event()            {}

// Effect is what comes out of Core.Step.
type Effect interface{ effect() }

// Peer is where a request goes: an agent, or the store.
type Peer struct {
	Name    string // distribution.StoreSource: the store
	Address string
}

// Effects.
type (
	// Report sends an inventory to the tracker.
	Report struct{ Inventory distribution.Inventory }
	// GetManifest fetches a manifest. Without a peer it is looked for on the own disk.
	GetManifest struct {
		From   Peer
		Name   string
		Digest digest.Digest
	}
	// GetChunks asks a peer which chunks of a manifest it holds.
	GetChunkSet struct {
		From     Peer
		Name     string
		Manifest digest.Digest
	}
	// GetChunk fetches a chunk from an offset on, verifies and stores it.
	GetChunk struct {
		ID           uint64
		From         Peer
		Name         string
		Manifest     digest.Digest
		Chunk        distribution.Chunk
		Offset       int64
		StallTimeout time.Duration // the longest time without a byte
		Timeout      time.Duration // for the whole of it
	}
	// CancelChunk gives a fetch up.
	CancelChunk struct{ ID uint64 }
	// Activate makes a manifest the one that a name is served from, in one atomic step.
	Activate struct {
		Name     string
		Revision int64
		Manifest digest.Digest
	}
	// Remove deletes what is stored of a chunk.
	Remove struct{ Chunk digest.Digest }
	// Verify reads a stored chunk again; ChunkLost follows if it is damaged.
	Verify struct{ Chunk digest.Digest }
	// Log is a line for the log.
	Log struct {
		Text string
		Args []any
	}
)

func (Report) effect()      {}
func (GetManifest) effect() {}
func (GetChunkSet) effect() {}
func (GetChunk) effect()    {}
func (CancelChunk) effect() {}
func (Activate) effect()    {}
func (Remove) effect()      {}
func (Verify) effect()      {}
func (Log) effect()         {}

// CoreSettings are the figures by which Core decides.
type CoreSettings struct {
	Agent, Zone, Address string
	Session              int64
	Names                []string
	HasStore             bool // there is one
	UploadSlots          int
	MaxDownloads         int           // chunks that are fetched at a time
	DiskLimitBytes       int64         // that chunks may take; 0: no limit
	MinBytesPerSecond    int64         // bytes a second, below which a source is slow
	StallTimeout         time.Duration // without a byte, after which a source is slow
	ReportInterval       time.Duration // between inventories, until the tracker says otherwise
	Seed                 uint64
}

// Ratios to the report interval, and counts that concern one source only.
const (
	reportIntervalRange    = 16 // the tracker may ask for reports so many times as often, or as rarely
	retryDivisor           = 8  // of a report: the first pause after a failure
	maxRetryDoublings      = 6  // of that pause, at most
	refreshDivisor         = 2  // of a report: between looks at what an idle source holds
	maxRefreshReports      = 2  // reports between these looks, at most
	uselessReports         = 4  // without anything that is needed, before a source is given back
	maxMissingChunks       = 3  // chunks that a source doesn't have although it says so
	maxUnreachableFailures = 2  // in a row, before an unreachable source is given back
	exclusionReports       = 10 // for which a source that was given back isn't taken again
	stripeWaitReports      = 2  // reports without a fetch, before others' stripes are taken from the store
	verifyReports          = 40 // between two readings of all chunks after an accusation
	maxReportedHoldings    = 64 // manifests that are told to the tracker
	maxReportedFaults      = 64 // that are told at a time
)

// Stored is what is on disk when an agent starts.
type Stored struct {
	chunkstore.Contents
	Active map[string]distribution.ActiveVersion // by name
}
