package agent

import (
	"slices"
	"testing"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
)

// A chunk is fetched from one source at a time, and each source is asked for one chunk.
func TestOneFetchPerSourceAndChunk(t *testing.T) {
	m := newManifest(t, "1", 20)
	_, effects := newFetchingCore(t, m, peerSource("two", "a", m), peerSource("three", "a", m), peerSource("four", "b", m))
	chunks, sources := map[digest.Digest]int{}, map[string]int{}
	for _, get := range effectsOf[GetChunk](effects) {
		chunks[get.Chunk.Digest]++
		sources[get.From.Name]++
	}
	if len(chunks) != 2 || sources["two"] != 1 || sources["three"] != 1 || sources["four"] != 0 {
		t.Errorf("chunks %v, sources %v: another zone is asked for what the own has", chunks, sources)
	}
}

// The store is not asked for what a peer has.
func TestPeersArePreferredToTheStore(t *testing.T) {
	m := newManifest(t, "1", 20)
	store := distribution.Source{Agent: distribution.StoreSource, Manifest: m.Digest, LeaseMs: 3000, Stripes: 1}
	c, _ := newFetchingCore(t, m, peerSource("two", "a", m), store)
	fetched := 0
	for now := time.Second; now < 20*time.Second; now += time.Second {
		for id, fetch := range c.fetches {
			if fetch.source.isStore() && now > time.Second { // the first was begun before the peer had told
				t.Fatal("the store is asked for what a peer has")
			}
			fetched++
			c.Step(now, ChunkResult{ID: id, ReceivedBytes: 100}, trackerAnswer(1, m, peerSource("two", "a", m), store))
		}
	}
	if fetched < 15 {
		t.Errorf("only %d chunks were fetched", fetched)
	}
}

// The chunk that the fewest sources have is fetched first.
func TestRarestChunkIsFetchedFirst(t *testing.T) {
	m := newManifest(t, "1", 6)
	c := newCore(StoredState{})
	c.Step(0, trackerAnswer(1, m, peerSource("two", "a", m), peerSource("three", "a", m), peerSource("four", "a", m)))
	c.Step(1, ManifestResult{Digest: m.Digest, Manifest: m})
	c.Step(2,
		ChunkSetResult{Source: "three", Manifest: m.Digest, Chunks: distribution.ChunkSet{0}},
		ChunkSetResult{Source: "four", Manifest: m.Digest, Chunks: distribution.ChunkSet{0}})
	c.Step(3, ChunkSetResult{Source: "three", Manifest: m.Digest, Chunks: distribution.ChunkSet{0}})
	for _, source := range c.sources { // as if they had answered while idle
		source.chunks = distribution.ChunkSet{0b110111}
	}
	c.sources[sourceKey{"two", m.Digest}].chunks = distribution.ChunkSet{0b111111}
	got := effectsOf[GetChunk](c.Step(4))
	rare := func(get GetChunk) bool { return get.From.Name == "two" && get.Chunk.Digest == m.Chunks[3].Digest }
	if !slices.ContainsFunc(got, rare) {
		t.Errorf("the rarest chunk is not fetched from the only source: %+v", got)
	}
}

// The store is asked for what no peer has: first in the own stripe, elsewhere only after a
// while, unless nobody else may use it.
func TestOwnStripeOfTheStoreIsFetchedFirst(t *testing.T) {
	m := newManifest(t, "1", 4)
	store := distribution.Source{Agent: distribution.StoreSource, Manifest: m.Digest, LeaseMs: 3000, Stripe: 1, Stripes: 4, Others: 3}
	c, effects := newFetchingCore(t, m, store)
	got := effectsOf[GetChunk](effects)
	if len(got) != 1 || got[0].Chunk.Digest != m.Chunks[1].Digest {
		t.Fatalf("not the own stripe: %+v", got)
	}
	if more := effectsOf[GetChunk](c.Step(100*time.Millisecond, ChunkResult{ID: got[0].ID, ReceivedBytes: 100})); len(more) != 0 {
		t.Errorf("another stripe is fetched at once: %+v", more)
	}
	if more := effectsOf[GetChunk](c.Step(3*time.Second, trackerAnswer(1, m, store))); len(more) != 1 {
		t.Errorf("no other stripe is fetched after a while: %+v", more)
	}
	store.Others = 0
	c, effects = newFetchingCore(t, m, store)
	got = effectsOf[GetChunk](effects)
	if more := effectsOf[GetChunk](c.Step(100*time.Millisecond, ChunkResult{ID: got[0].ID, ReceivedBytes: 100})); len(more) != 1 {
		t.Errorf("it waits for other agents, and there are none: %+v", more)
	}
}

// Fetches that another version makes useless are cancelled at once, and no source is blamed.
func TestFetchesOfReplacedVersionAreCancelled(t *testing.T) {
	first, second := newManifest(t, "1", 3), newManifest(t, "2", 3)
	c, effects := newFetchingCore(t, first, peerSource("two", "a", first))
	get := effectsOf[GetChunk](effects)[0]
	cancels := effectsOf[CancelChunk](c.Step(time.Second, trackerAnswer(2, second)))
	if len(cancels) != 1 || cancels[0].ID != get.ID {
		t.Fatalf("cancelled %+v, not fetch %d", cancels, get.ID)
	}
	c.Step(2*time.Second, ChunkResult{ID: get.ID, Cancelled: true, Fault: distribution.FaultUnreachable, ReceivedBytes: 30, PartialBytes: 30})
	if len(c.reports.faults) != 0 || c.Counts().Faults[distribution.FaultUnreachable] != 0 || c.DiskUsedBytes() != 30 {
		t.Errorf("faults %v %v, %d bytes used", c.reports.faults, c.Counts().Faults, c.DiskUsedBytes())
	}
}
