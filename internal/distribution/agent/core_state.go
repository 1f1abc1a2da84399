package agent

import (
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// CoreCounts holds the counters since the agent's start.
type CoreCounts struct {
	FetchedChunks int64
	PeerBytes     int64 // received from other agents
	StoreBytes    int64 // received from the store
	Faults        map[distribution.Fault]int64
	Activations   int64
	EvictedChunks int64
}

// targetState is the state of a name whose weights the agent is configured to hold and serve.
type targetState struct {
	name       string
	revision   int64
	wanted     digest.Digest // empty until the tracker sends the name's manifest
	active     digest.Digest // empty until a version is activated
	activating bool

	activateRetryAt       time.Duration
	manifestRetryAt       time.Duration
	fetchingManifest      bool
	failedManifestFetches int // failures to read or fetch the wanted manifest
}

// versionState is a manifest together with the positions whose chunks are stored.
type versionState struct {
	*distribution.Manifest
	positions   map[digest.Digest][]int // of each chunk in the manifest
	held        distribution.ChunkSet   // positions whose chunks are stored
	heldCount   int                     // number of positions in held
	lastFetchAt time.Duration           // last start of a fetch from a peer or from the agent's own stripe of the store
}

// complete reports whether every chunk is stored.
func (v *versionState) complete() bool { return v.heldCount == len(v.Chunks) }

// setHeld records whether the chunks at some positions are stored.
func (v *versionState) setHeld(positions []int, held bool) {
	for _, i := range positions {
		switch {
		case held && !v.held.Has(i):
			v.held.Add(i)
			v.heldCount++
		case !held && v.held.Has(i):
			v.held.Remove(i)
			v.heldCount--
		}
	}
}

// chunkState is the state of a chunk, which may belong to several versions.
type chunkState struct {
	distribution.Chunk
	stored        bool  // complete and verified on disk
	partialBytes  int64 // bytes on disk of an incomplete chunk
	fetch         *activeFetch
	contributors  map[string]bool // names of the sources that sent the partial bytes
	singleSource  bool            // must come from one source, so that damage can be attributed to that source
	removing      bool
	removeRetryAt time.Duration
	lastUsedAt    time.Duration
}

// storedBytes returns how many bytes of the chunk are on disk.
func (k *chunkState) storedBytes() int64 {
	if k.stored {
		return k.Size
	}
	return k.partialBytes
}

// diskState tracks disk usage and failed writes.
type diskState struct {
	usedBytes           int64         // taken by chunks or reserved for fetches
	pausedUntil         time.Duration // no fetch starts before this time after a failed write
	consecutiveFailures int
	limitReached        bool // a fetch needs space within the disk limit, and no chunk can be evicted
}

// reportState tracks the reports to the tracker.
type reportState struct {
	term     int64 // highest term of the responses received
	sequence int64 // sequence number of the last inventory
	inFlight bool
	nextAt   time.Duration
	interval time.Duration              // as configured, until the tracker requests another
	faults   []distribution.SourceFault // for the next inventory
}

// bringForward makes the next report due at the given time, unless it is due earlier.
func (r *reportState) bringForward(at time.Duration) { r.nextAt = min(r.nextAt, at) }
