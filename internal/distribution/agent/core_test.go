package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/chunkstore"
)

// weightsName is the only name configured for the cores of these tests.
const weightsName = "models/a"

// newManifest returns a manifest whose chunks belong to no other version.
func newManifest(t *testing.T, version string, chunks int) *distribution.Manifest {
	t.Helper()
	var list []distribution.Chunk
	for i := range chunks {
		list = append(list, distribution.Chunk{Digest: digest.FromString(fmt.Sprint(version, i)), Size: 100})
	}
	m, err := distribution.NewManifest(list)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// newCore returns a core in zone a that has a store.
func newCore(stored StoredState) *Core {
	return NewCore(CoreSettings{
		Agent: "one", Zone: "a", Address: "one:1", Session: 1, Names: []string{weightsName}, HasStore: true, UploadSlots: 4, MaxDownloads: 8,
		MinBytesPerSecond: 10, StallTimeout: time.Second, ReportInterval: time.Second, Seed: 1,
	}, stored)
}

// trackerResponse returns a response that assigns a manifest to weightsName and lists sources.
func trackerResponse(revision int64, m *distribution.Manifest, sources ...distribution.Source) TrackerResponse {
	return TrackerResponse{distribution.InventoryResponse{
		Term: 1, NextReportMs: 1000, Sources: sources, Names: []distribution.NameRecord{{Name: weightsName, Manifest: m.Digest, Revision: revision}},
	}}
}

// peerSource returns a source that is another agent.
func peerSource(agent, zone string, m *distribution.Manifest) distribution.Source {
	return distribution.Source{Agent: agent, Address: agent + ":1", Zone: zone, Manifest: m.Digest, LeaseMs: 3000}
}

// newFetchingCore returns a core that knows a manifest and whose sources hold all of its chunks. It
// also returns the effects emitted since the manifest became known.
func newFetchingCore(t *testing.T, m *distribution.Manifest, sources ...distribution.Source) (*Core, []Effect) {
	t.Helper()
	c := newCore(StoredState{})
	c.Step(0, trackerResponse(1, m, sources...))
	all := distribution.NewChunkSet(len(m.Chunks))
	for i := range m.Chunks {
		all.Add(i)
	}
	effects := c.Step(time.Millisecond, ManifestResult{Digest: m.Digest, Manifest: m})
	for _, s := range sources {
		if s.Agent != distribution.StoreSource {
			effects = append(effects, c.Step(2*time.Millisecond, ChunkSetResult{Source: s.Agent, Manifest: m.Digest, Chunks: all})...)
		}
	}
	return c, effects
}

// effectsOf returns the effects of one type.
func effectsOf[E Effect](effects []Effect) (out []E) {
	for _, e := range effects {
		if x, ok := e.(E); ok {
			out = append(out, x)
		}
	}
	return out
}

// A response with a lower revision of a name than the known one, or from an earlier leader, is
// ignored: an agent never returns to an old version by itself.
func TestOlderResponsesAreIgnored(t *testing.T) {
	first, second := newManifest(t, "1", 2), newManifest(t, "2", 2)
	c := newCore(StoredState{})
	lowerRevision := trackerResponse(7, first)
	c.Step(0, trackerResponse(9, second))
	if got := effectsOf[GetManifest](c.Step(time.Second, lowerRevision)); len(got) != 0 {
		t.Errorf("a response with a lower revision is applied: %+v", got)
	}
	lowerTerm := trackerResponse(11, first)
	lowerTerm.Response.Term = 0
	if got := effectsOf[GetManifest](c.Step(2*time.Second, lowerTerm)); len(got) != 0 {
		t.Errorf("a response of a lower term is applied: %+v", got)
	}
	// A newer revision is applied at once, although the previous manifest is still being fetched.
	if got := effectsOf[GetManifest](c.Step(3*time.Second, trackerResponse(12, first))); len(got) != 1 || got[0].Digest != first.Digest {
		t.Errorf("a newer revision is ignored: %+v", got)
	}
}

// After a restart, the revision of the active version is known, and a response with a lower
// revision is ignored.
func TestActiveRevisionSurvivesRestart(t *testing.T) {
	first, second := newManifest(t, "1", 1), newManifest(t, "2", 1)
	c := newCore(StoredState{
		Contents: chunkstore.Contents{Chunks: map[digest.Digest]int64{second.Chunks[0].Digest: 100}, Manifests: []*distribution.Manifest{second}},
		Active:   map[string]distribution.ActiveVersion{weightsName: {Manifest: second.Digest, Revision: 9}},
	})
	if got := c.Step(0, trackerResponse(7, first)); len(effectsOf[GetManifest](got)) != 0 || c.Active(weightsName) != second.Digest {
		t.Errorf("active %s, effects %+v", c.Active(weightsName), got)
	}
}
