package agent

import (
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// CoreCounts counts what an agent has done since its start.
type CoreCounts struct {
	StoredChunks  int64
	PeerBytes     int64 // received from other agents
	StoreBytes    int64 // received from the store
	Faults        map[distribution.Fault]int64
	Activations   int64
	EvictedChunks int64
}

// targetState is a name whose weights the agent is to hold and serve.
type targetState struct {
	name       string
	revision   int64
	wanted     digest.Digest // "": the tracker has not told yet
	active     digest.Digest // "": nothing is served yet
	activating bool

	activateRetryAt       time.Duration
	manifestRetryAt       time.Duration
	fetchingManifest      bool
	failedManifestFetches int // of the wanted manifest
}

// versionState is a manifest with the chunks of it that are stored.
type versionState struct {
	*distribution.Manifest
	positions   map[digest.Digest][]int // of each chunk
	held        distribution.ChunkSet
	heldCount   int           // positions in held
	lastFetchAt time.Duration // when a fetch last started, not counting other agents' stripes of the store
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

// chunkState is what is known of a chunk, which may belong to several versions.
type chunkState struct {
	distribution.Chunk
	stored        bool  // complete and verified
	partialBytes  int64 // on disk, of a chunk that isn't complete
	fetch         *activeFetch
	contributors  map[string]bool // sources of the partial bytes
	singleSource  bool            // to be fetched from one source, so that damage has one culprit
	removing      bool
	removeRetryAt time.Duration
	lastUsedAt    time.Duration
}

// storedBytes returns how much of the chunk is on disk.
func (k *chunkState) storedBytes() int64 {
	if k.stored {
		return k.Size
	}
	return k.partialBytes
}

// diskState is the agent's account of its disk.
type diskState struct {
	usedBytes           int64         // by chunks, with the bytes reserved for fetches
	pausedUntil         time.Duration // after a write failed
	consecutiveFailures int
	overBudget          bool // there is no room, and nothing that may be evicted
}

// reportState is what the agent tells the tracker, and when.
type reportState struct {
	term     int64 // the highest that a tracker answered with
	sequence int64 // of the last inventory
	inFlight bool
	nextAt   time.Duration
	interval time.Duration // as the tracker last asked for
	faults   []distribution.SourceFault
}

// bringForward makes the next report due at a time, unless it is due before.
func (r *reportState) bringForward(at time.Duration) { r.nextAt = min(r.nextAt, at) }
