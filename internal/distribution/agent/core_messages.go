// Package agent fetches, verifies, stores and serves weights on one machine. Core, a
// deterministic state machine, makes the decisions. The rest of the package carries out Core's
// effects: file access, HTTP requests, upload slots and rate limits.
//
// The tracker's responses contain the manifest that each name refers to, and the sources to fetch
// its chunks from: other agents (peers) and the store.
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
	// TrackerResponse carries a tracker's response to a Report.
	TrackerResponse struct {
		Response distribution.InventoryResponse
	}
	// TrackerFailed means that no tracker accepted a Report.
	TrackerFailed struct{ RetryAfter time.Duration }
	// ManifestResult answers GetManifest.
	ManifestResult struct {
		Source   string
		Digest   digest.Digest
		Manifest *distribution.Manifest // nil if the request failed for the reason in Fault
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
		Fault         distribution.Fault // empty if the chunk is stored and verified
		Cancelled     bool
		ReceivedBytes int64                 // received from this source
		PartialBytes  int64                 // on disk, if the chunk is incomplete
		Chunks        distribution.ChunkSet // claimed by the source; nil if it sent no chunk set
		RetryAfter    time.Duration
	}
	// ActivateResult answers Activate.
	ActivateResult struct {
		Name     string
		Manifest digest.Digest
		Failed   bool
	}
	// RemoveResult answers Remove. Removed is false if the chunk is being read or an error occurred.
	RemoveResult struct {
		Chunk   digest.Digest
		Removed bool
	}
	// ChunkLost means that a stored chunk is missing, or was damaged and has been removed.
	ChunkLost struct{ Chunk digest.Digest }
	// Tick only advances the time.
	Tick struct{}
)

func (TrackerResponse) event() {}
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

// Endpoint is the destination of a request: an agent or the store.
type Endpoint struct {
	Name    string // distribution.StoreSource for the store
	Address string
}

// The effects of Core.Step.
type (
	// Report sends an inventory to the tracker.
	Report struct{ Inventory distribution.Inventory }
	// GetManifest fetches a manifest from an agent or the store, or reads it from disk if From is empty.
	GetManifest struct {
		From   Endpoint
		Name   string
		Digest digest.Digest
	}
	// GetChunkSet asks a peer which chunks of a manifest it holds.
	GetChunkSet struct {
		From     Endpoint
		Name     string
		Manifest digest.Digest
	}
	// GetChunk fetches a chunk starting at an offset, verifies it and stores it.
	GetChunk struct {
		ID           uint64
		From         Endpoint
		Name         string
		Manifest     digest.Digest
		Chunk        distribution.Chunk
		Offset       int64
		StallTimeout time.Duration // longest time without receiving a byte
		Timeout      time.Duration // limit for the whole fetch
	}
	// CancelChunk cancels a GetChunk, whose ChunkResult still follows.
	CancelChunk struct{ ID uint64 }
	// Activate atomically makes a manifest the active one of a name.
	Activate struct {
		Name     string
		Revision int64
		Manifest digest.Digest
	}
	// Remove deletes a chunk from disk, whether it is complete or partial.
	Remove struct{ Chunk digest.Digest }
	// Verify reads a stored chunk and checks its digest. ChunkLost follows if it is damaged or missing.
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
	HasStore             bool // if false, only peers are used as sources
	UploadSlots          int
	MaxDownloads         int           // concurrent fetches
	DiskLimitBytes       int64         // limit for chunks; 0 means no limit
	MinBytesPerSecond    int64         // a source below this rate counts as slow
	StallTimeout         time.Duration // a source that sends nothing for this long counts as slow
	ReportInterval       time.Duration // used until the tracker requests another interval
	Seed                 uint64
}

// Limits and durations of Core. The names of durations end in Intervals if they are multiples of
// the report interval, and in Divisor if they are fractions of it.
const (
	maxReportIntervalFactor = 16 // the tracker may shorten or lengthen the interval by at most this factor
	retryDivisor            = 8  // retry delay after the first failure
	maxRetryDoublings       = 6  // the retry delay doubles at most this many times
	refreshDivisor          = 2  // first interval between requests for a source's chunk set
	maxRefreshIntervals     = 2  // longest interval between these requests
	maxUselessIntervals     = 4  // a source is released after this long without a needed chunk
	maxMissingChunks        = 3  // a source is released after it wrongly claimed this many chunks
	maxUnreachableFailures  = 2  // an unreachable source is released after this many consecutive failures
	exclusionIntervals      = 10 // a released source isn't used again for this long
	stripeWaitIntervals     = 2  // other agents' stripes of the store are fetched after this long without a fetch
	minVerifyIntervals      = 40 // shortest interval between two verifications of a manifest's chunks
	maxReportedHoldings     = 64 // per inventory
	maxReportedFaults       = 64 // per inventory
)

// StoredState is the state found on disk when the agent starts.
type StoredState struct {
	chunkstore.Contents
	Active map[string]distribution.ActiveVersion // by the name of the weights
}
