package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/chunkstore"
)

// weightsName is the only name that the cores of these tests hold.
const weightsName = "models/a"

// newManifest makes a manifest of chunks that no other version has.
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

// newCore makes a core of zone a with a store.
func newCore(stored StoredState) *Core {
	return NewCore(CoreSettings{
		Agent: "one", Zone: "a", Address: "one:1", Session: 1, Names: []string{weightsName}, HasStore: true, UploadSlots: 4, MaxDownloads: 8,
		MinBytesPerSecond: 10, StallTimeout: time.Second, ReportInterval: time.Second, Seed: 1,
	}, stored)
}

// trackerAnswer refers weightsName to a manifest and lists sources.
func trackerAnswer(revision int64, m *distribution.Manifest, sources ...distribution.Source) TrackerAnswered {
	return TrackerAnswered{distribution.Answer{
		Term: 1, NextMs: 1000, Sources: sources, Names: []distribution.NameRecord{{Name: weightsName, Manifest: m.Digest, Revision: revision}},
	}}
}

// peerSource is an agent as a source of a manifest.
func peerSource(agent, zone string, m *distribution.Manifest) distribution.Source {
	return distribution.Source{Agent: agent, Address: agent + ":1", Zone: zone, Manifest: m.Digest, LeaseMs: 3000}
}

// newFetchingCore makes a core that knows a manifest and that its sources hold all chunks, and
// returns the effects of getting there.
func newFetchingCore(t *testing.T, m *distribution.Manifest, sources ...distribution.Source) (*Core, []Effect) {
	t.Helper()
	c := newCore(StoredState{})
	c.Step(0, trackerAnswer(1, m, sources...))
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

// An answer that is older than one given, of a name's lower revision or of an earlier leader,
// changes nothing: a worker never goes back to an old version by itself.
func TestOlderAnswersAreIgnored(t *testing.T) {
	first, second := newManifest(t, "1", 2), newManifest(t, "2", 2)
	c := newCore(StoredState{})
	lowerRevision := trackerAnswer(7, first)
	c.Step(0, trackerAnswer(9, second))
	if got := effectsOf[GetManifest](c.Step(time.Second, lowerRevision)); len(got) != 0 {
		t.Errorf("a lower revision is followed: %+v", got)
	}
	lowerTerm := trackerAnswer(11, first)
	lowerTerm.Answer.Term = 0
	if got := effectsOf[GetManifest](c.Step(2*time.Second, lowerTerm)); len(got) != 0 {
		t.Errorf("a lower term is followed: %+v", got)
	}
	// A later one is followed at once, although the manifest before is still being asked for.
	if got := effectsOf[GetManifest](c.Step(3*time.Second, trackerAnswer(12, first))); len(got) != 1 || got[0].Digest != first.Digest {
		t.Errorf("a later answer is not followed: %+v", got)
	}
}

// After a restart the revision that was active counts: an answer of a lower one is older.
func TestActiveRevisionSurvivesRestart(t *testing.T) {
	first, second := newManifest(t, "1", 1), newManifest(t, "2", 1)
	c := newCore(StoredState{
		Contents: chunkstore.Contents{Chunks: map[digest.Digest]int64{second.Chunks[0].Digest: 100}, Manifests: []*distribution.Manifest{second}},
		Active:   map[string]distribution.ActiveVersion{weightsName: {Manifest: second.Digest, Revision: 9}},
	})
	if got := c.Step(0, trackerAnswer(7, first)); len(effectsOf[GetManifest](got)) != 0 || c.Active(weightsName) != second.Digest {
		t.Errorf("active %s, effects %+v", c.Active(weightsName), got)
	}
}
