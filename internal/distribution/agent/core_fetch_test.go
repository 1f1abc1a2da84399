package agent

import (
	"slices"
	"testing"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// Each chunk is fetched from only one source at a time, and each source serves only one fetch at a
// time. Peers in other zones aren't used for chunks that the agent's zone has.
func TestOneFetchPerSourceAndChunk(t *testing.T) {
	m := newManifest(t, "1", 20)
	_, effects := newFetchingCore(t, m, peerSource("two", "a", m), peerSource("three", "a", m), peerSource("four", "b", m))
	chunks, sources := map[digest.Digest]int{}, map[string]int{}
	for _, get := range effectsOf[GetChunk](effects) {
		chunks[get.Chunk.Digest]++
		sources[get.From.Name]++
	}
	if len(chunks) != 2 || sources["two"] != 1 || sources["three"] != 1 || sources["four"] != 0 {
		t.Errorf("chunks %v, sources %v: want one fetch from each source in the agent's zone", chunks, sources)
	}
}

// The store is not used for chunks that a peer has.
func TestPeersArePreferredToTheStore(t *testing.T) {
	m := newManifest(t, "1", 20)
	store := distribution.Source{Agent: distribution.StoreSource, Manifest: m.Digest, LeaseMs: 3000, Stripes: 1}
	c, _ := newFetchingCore(t, m, peerSource("two", "a", m), store)
	fetched := 0
	for now := time.Second; now < 20*time.Second; now += time.Second {
		for id, fetch := range c.fetches {
			if fetch.source.isStore() && now > time.Second { // the first fetch began before the peer's chunk set was known
				t.Fatal("a chunk that a peer has is fetched from the store")
			}
			fetched++
			c.Step(now, ChunkResult{ID: id, ReceivedBytes: 100}, trackerResponse(1, m, peerSource("two", "a", m), store))
		}
	}
	if fetched < 15 {
		t.Errorf("only %d chunks were fetched", fetched)
	}
}

// The chunk that the fewest peers have is fetched first.
func TestRarestChunkIsFetchedFirst(t *testing.T) {
	m := newManifest(t, "1", 6)
	c := newCore(StoredState{})
	c.Step(0, trackerResponse(1, m, peerSource("two", "a", m), peerSource("three", "a", m), peerSource("four", "a", m)))
	c.Step(1, ManifestResult{Digest: m.Digest, Manifest: m})
	c.Step(2,
		ChunkSetResult{Source: "three", Manifest: m.Digest, Chunks: distribution.ChunkSet{0}},
		ChunkSetResult{Source: "four", Manifest: m.Digest, Chunks: distribution.ChunkSet{0}})
	c.Step(3, ChunkSetResult{Source: "three", Manifest: m.Digest, Chunks: distribution.ChunkSet{0}})
	for _, source := range c.sources { // sets the chunk sets directly, as if all sources had responded while idle
		source.chunks = distribution.ChunkSet{0b110111}
	}
	c.sources[sourceKey{"two", m.Digest}].chunks = distribution.ChunkSet{0b111111}
	got := effectsOf[GetChunk](c.Step(4))
	rare := func(get GetChunk) bool { return get.From.Name == "two" && get.Chunk.Digest == m.Chunks[3].Digest }
	if !slices.ContainsFunc(got, rare) {
		t.Errorf("the rarest chunk is not fetched from the only source: %+v", got)
	}
}

// Chunks that no peer has are fetched from the store: first the agent's own stripe, other stripes
// only after a wait. There is no wait if no other agent uses the store.
func TestOwnStripeOfTheStoreIsFetchedFirst(t *testing.T) {
	m := newManifest(t, "1", 4)
	store := distribution.Source{Agent: distribution.StoreSource, Manifest: m.Digest, LeaseMs: 3000, Stripe: 1, Stripes: 4, OtherStoreUsers: 3}
	c, effects := newFetchingCore(t, m, store)
	got := effectsOf[GetChunk](effects)
	if len(got) != 1 || got[0].Chunk.Digest != m.Chunks[1].Digest {
		t.Fatalf("want one fetch in the agent's own stripe: %+v", got)
	}
	if more := effectsOf[GetChunk](c.Step(100*time.Millisecond, ChunkResult{ID: got[0].ID, ReceivedBytes: 100})); len(more) != 0 {
		t.Errorf("another stripe is fetched at once: %+v", more)
	}
	if more := effectsOf[GetChunk](c.Step(3*time.Second, trackerResponse(1, m, store))); len(more) != 1 {
		t.Errorf("no other stripe is fetched after the wait: %+v", more)
	}
	store.OtherStoreUsers = 0
	c, effects = newFetchingCore(t, m, store)
	got = effectsOf[GetChunk](effects)
	if more := effectsOf[GetChunk](c.Step(100*time.Millisecond, ChunkResult{ID: got[0].ID, ReceivedBytes: 100})); len(more) != 1 {
		t.Errorf("the agent waits although no other agent uses the store: %+v", more)
	}
}

// Fetches for a version that is replaced are cancelled at once, and the source is not blamed.
func TestFetchesOfReplacedVersionAreCancelled(t *testing.T) {
	first, second := newManifest(t, "1", 3), newManifest(t, "2", 3)
	c, effects := newFetchingCore(t, first, peerSource("two", "a", first))
	get := effectsOf[GetChunk](effects)[0]
	cancels := effectsOf[CancelChunk](c.Step(time.Second, trackerResponse(2, second)))
	if len(cancels) != 1 || cancels[0].ID != get.ID {
		t.Fatalf("cancelled %+v, not fetch %d", cancels, get.ID)
	}
	c.Step(2*time.Second, ChunkResult{ID: get.ID, Cancelled: true, Fault: distribution.FaultUnreachable, ReceivedBytes: 30, PartialBytes: 30})
	if len(c.reports.faults) != 0 || c.Counts().Faults[distribution.FaultUnreachable] != 0 || c.DiskUsedBytes() != 30 {
		t.Errorf("faults %v %v, %d bytes used", c.reports.faults, c.Counts().Faults, c.DiskUsedBytes())
	}
}
