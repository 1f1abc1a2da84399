package agent

import (
	"testing"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/chunkstore"
)

// storedChunks returns the state on disk of an agent that holds all chunks of some manifests.
func storedChunks(manifests ...*distribution.Manifest) StoredState {
	stored := StoredState{Contents: chunkstore.Contents{Chunks: map[digest.Digest]int64{}, Manifests: manifests}}
	for _, m := range manifests {
		for _, chunk := range m.Chunks {
			stored.Chunks[chunk.Digest] = chunk.Size
		}
	}
	return stored
}

// successResults returns the events that answer effects if everything succeeds.
func successResults(effects []Effect) (events []Event) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Remove:
			events = append(events, RemoveResult{e.Chunk, true})
		case GetChunk:
			events = append(events, ChunkResult{ID: e.ID, ReceivedBytes: 100})
		case Activate:
			events = append(events, ActivateResult{Name: e.Name, Manifest: e.Manifest})
		}
	}
	return events
}

// Chunks of active or wanted versions are never evicted. Other chunks are. A chunk that can't be
// removed because it is being read is tried again later, not in the same step.
func TestEvictionKeepsReferencedChunks(t *testing.T) {
	const diskLimitBytes = 650
	old, active, wanted := newManifest(t, "old", 3), newManifest(t, "active", 3), newManifest(t, "wanted", 3)
	stored := storedChunks(old, active)
	stored.Active = map[string]distribution.ActiveVersion{weightsName: {Manifest: active.Digest, Revision: 1}}
	c := newCore(stored)
	c.settings.DiskLimitBytes = diskLimitBytes
	store := distribution.Source{Agent: distribution.StoreSource, Manifest: wanted.Digest, Stripes: 1}
	c.Step(0, trackerResponse(2, wanted, store))
	effects := c.Step(1, ManifestResult{Digest: wanted.Digest, Manifest: wanted})
	removes := effectsOf[Remove](effects)
	if len(removes) != 1 || len(c.versions[old.Digest].positions[removes[0].Chunk]) == 0 {
		t.Fatalf("not exactly one old chunk is removed: %+v", removes)
	}
	effects = c.Step(2, RemoveResult{Chunk: removes[0].Chunk}) // it is being read
	if again := effectsOf[Remove](effects); len(again) != 1 || again[0] == removes[0] {
		t.Errorf("the chunk that is being read is tried again at once: %+v", again)
	}
	for i := range 200 {
		for _, e := range effectsOf[Remove](effects) {
			if len(c.versions[active.Digest].positions[e.Chunk]) > 0 {
				t.Fatal("a chunk in use is removed")
			}
		}
		if c.DiskUsedBytes() > diskLimitBytes {
			t.Fatalf("%d bytes are used", c.DiskUsedBytes())
		}
		effects = c.Step(time.Duration(i)*100*time.Millisecond, append(successResults(effects), trackerResponse(2, wanted, store))...)
	}
	if c.Active(weightsName) != wanted.Digest {
		t.Errorf("the active version is %s", c.Active(weightsName))
	}
}

// A stored chunk that turns out to be damaged is fetched again.
func TestLostChunkIsFetchedAgain(t *testing.T) {
	m := newManifest(t, "1", 2)
	c, effects := newFetchingCore(t, m, peerSource("two", "a", m))
	for len(effectsOf[Activate](effects)) == 0 {
		effects = c.Step(time.Second, ChunkResult{ID: effectsOf[GetChunk](effects)[0].ID, ReceivedBytes: 100})
	}
	c.Step(2*time.Second, ActivateResult{Name: weightsName, Manifest: m.Digest})
	recheck := trackerResponse(1, m)
	recheck.Response.Recheck = []digest.Digest{m.Digest}
	if got := effectsOf[Verify](c.Step(3*time.Second, recheck)); len(got) != 2 {
		t.Errorf("not every chunk is verified: %+v", got)
	}
	if got := effectsOf[Verify](c.Step(4*time.Second, recheck)); len(got) != 0 {
		t.Errorf("verified again at once: %+v", got)
	}
	c.Step(5*time.Second, ChunkLost{m.Chunks[0].Digest})
	effects = c.Step(6*time.Second, trackerResponse(1, m, peerSource("three", "a", m)))
	effects = append(effects, c.Step(7*time.Second, ChunkSetResult{Source: "three", Manifest: m.Digest, Chunks: distribution.ChunkSet{3}})...)
	if got := effectsOf[GetChunk](effects); len(got) != 1 || got[0].Chunk != m.Chunks[0] {
		t.Errorf("the lost chunk is not fetched again: %+v", got)
	}
}

// Without a disk limit, a full disk causes unreferenced chunks to be evicted. Chunks of versions in
// use are kept.
func TestFullDiskEvictsUnreferencedChunks(t *testing.T) {
	old, wanted := newManifest(t, "old", 3), newManifest(t, "wanted", 3)
	c := newCore(storedChunks(old))
	c.Step(0, trackerResponse(2, wanted, distribution.Source{Agent: distribution.StoreSource, Manifest: wanted.Digest, Stripes: 1}))
	get := effectsOf[GetChunk](c.Step(1, ManifestResult{Digest: wanted.Digest, Manifest: wanted}))
	effects := c.Step(time.Second, ChunkResult{ID: get[0].ID, Fault: distribution.FaultDisk, ReceivedBytes: 40})
	removes := effectsOf[Remove](effects)
	if len(removes) != 1 || len(c.versions[old.Digest].positions[removes[0].Chunk]) == 0 {
		t.Errorf("not exactly one old chunk is removed: %+v", effects)
	}
	if len(effectsOf[GetChunk](effects)) != 0 {
		t.Error("fetches continue at once on a full disk")
	}
	if got := effectsOf[GetChunk](c.Step(time.Minute, RemoveResult{removes[0].Chunk, true})); len(got) != 1 {
		t.Errorf("fetches don't continue after the removal: %+v", got)
	}
}
