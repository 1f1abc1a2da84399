// Package agent fetches, verifies, stores and serves weights on one machine. Its decisions are
// made by Core, a deterministic state machine; the rest of the package carries Core's effects
// out: files, HTTP requests, upload slots and rate limits.
package agent

import (
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/chunkstore"
)

// Event is an input of Core.Step.
type Event interface{ event() }

// The events of Core.Step.
type (
	// TrackerAnswered is the answer to a Report.
	TrackerAnswered struct{ Answer distribution.Answer }
	// TrackerFailed says that no tracker answered a Report.
	TrackerFailed struct{ RetryAfter time.Duration }
	// ManifestResult answers GetManifest.
	ManifestResult struct {
		Source   string
		Digest   digest.Digest
		Manifest *distribution.Manifest // nil: Fault says why
		Fault    distribution.Fault
	}
	// ChunkSetResult answers GetChunkSet.
	ChunkSetResult struct {
		Source   string
		Manifest digest.Digest
		Chunks   distribution.ChunkSet
		Fault    distribution.Fault
	}
	// ChunkResult answers GetChunk.
	ChunkResult struct {
		ID            uint64
		Fault         distribution.Fault // "": the chunk is stored and verified
		Cancelled     bool
		ReceivedBytes int64                 // from this source
		PartialBytes  int64                 // on disk, of a chunk that isn't complete
		Chunks        distribution.ChunkSet // that the source claims to hold; nil: it didn't say
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
	// ChunkLost says that a stored chunk turned out to be damaged and has been removed.
	ChunkLost struct{ Chunk digest.Digest }
	// Tick only lets time pass.
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

// Effect is an output of Core.Step.
type Effect interface{ effect() }

// Peer is the target of a request: an agent or the store.
type Peer struct {
	Name    string // distribution.StoreSource: the store
	Address string
}

// The effects of Core.Step.
type (
	// Report sends an inventory to the tracker.
	Report struct{ Inventory distribution.Inventory }
	// GetManifest fetches a manifest from a peer, or reads it from disk if From is empty.
	GetManifest struct {
		From   Peer
		Name   string
		Digest digest.Digest
	}
	// GetChunkSet asks a peer which chunks of a manifest it holds.
	GetChunkSet struct {
		From     Peer
		Name     string
		Manifest digest.Digest
	}
	// GetChunk fetches a chunk from an offset on, verifies it and stores it.
	GetChunk struct {
		ID           uint64
		From         Peer
		Name         string
		Manifest     digest.Digest
		Chunk        distribution.Chunk
		Offset       int64
		StallTimeout time.Duration // without a byte
		Timeout      time.Duration // of the whole fetch
	}
	// CancelChunk ends a GetChunk; its ChunkResult still follows.
	CancelChunk struct{ ID uint64 }
	// Activate makes a manifest the one that a name is served from, atomically.
	Activate struct {
		Name     string
		Revision int64
		Manifest digest.Digest
	}
	// Remove deletes what is on disk of a chunk.
	Remove struct{ Chunk digest.Digest }
	// Verify reads a stored chunk again. ChunkLost follows if it is damaged.
	Verify struct{ Chunk digest.Digest }
	// Log writes a log line.
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

// CoreSettings are the parameters of Core.
type CoreSettings struct {
	Agent, Zone, Address string
	Session              int64
	Names                []string
	HasStore             bool // false: only peers are asked
	UploadSlots          int
	MaxDownloads         int           // at a time
	DiskLimitBytes       int64         // for chunks; 0: no limit
	MinBytesPerSecond    int64         // below which a source counts as slow
	StallTimeout         time.Duration // without a byte, after which a source counts as slow
	ReportInterval       time.Duration // until the tracker asks for another
	Seed                 uint64
}

// Durations as multiples (...Reports) and fractions (...Divisor) of the report interval, and
// counts that concern a single source.
const (
	reportIntervalRange    = 16 // the factor by which the tracker may shorten or lengthen the interval
	retryDivisor           = 8  // the first pause after a failure
	maxRetryDoublings      = 6  // of that pause
	refreshDivisor         = 2  // the first pause between two requests for a source's chunk set
	maxRefreshReports      = 2  // the longest of these pauses
	uselessReports         = 4  // without a needed chunk, before a source is released
	maxMissingChunks       = 3  // chunks that a source claimed in error, before it is released
	maxUnreachableFailures = 2  // in a row, before an unreachable source is released
	exclusionReports       = 10 // for which a released source isn't used again
	stripeWaitReports      = 2  // without a fetch, before other agents' stripes are fetched from the store
	verifyReports          = 40 // between two verifications of a manifest's chunks
	maxReportedHoldings    = 64 // in one inventory
	maxReportedFaults      = 64 // in one inventory
)

// StoredState is what is on disk when an agent starts.
type StoredState struct {
	chunkstore.Contents
	Active map[string]distribution.ActiveVersion // by name of the weights
}
