package agent

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/opencontainers/go-digest"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/chunkstore"
)

const name = "models/a" // of the weights

// manifestOf makes one of so many chunks; each version has chunks of its own.
func manifestOf(t *testing.T, version string, chunks int) *distribution.Manifest {
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

func newCore(stored Stored) *Core {
	return NewCore(CoreSettings{
		Agent: "one", Zone: "a", Address: "one:1", Session: 1, Names: []string{name}, HasStore: true, UploadSlots: 4, MaxDownloads: 8,
		MinBytesPerSecond: 10, StallTimeout: time.Second, ReportInterval: time.Second, Seed: 1,
	}, stored)
}

func answer(revision int64, m *distribution.Manifest, sources ...distribution.Source) TrackerAnswered {
	return TrackerAnswered{distribution.Answer{
		Term: 1, NextMs: 1000, Sources: sources, Names: []distribution.NameRecord{{Name: name, Manifest: m.Digest, Revision: revision}},
	}}
}

func from(agent, zone string, m *distribution.Manifest) distribution.Source {
	return distribution.Source{Agent: agent, Address: agent + ":1", Zone: zone, Manifest: m.Digest, LeaseMs: 3000}
}

// fetching is a core that knows a manifest and the sets of its sources.
func fetching(t *testing.T, m *distribution.Manifest, sources ...distribution.Source) (*Core, []Effect) {
	t.Helper()
	c := newCore(Stored{})
	c.Step(0, answer(1, m, sources...))
	events := []Event{ManifestResult{Digest: m.Digest, Manifest: m}}
	all := distribution.NewChunkSet(len(m.Chunks))
	for i := range m.Chunks {
		all.Add(i)
	}
	effects := c.Step(time.Millisecond, events...)
	for _, s := range sources {
		if s.Agent != distribution.StoreSource {
			effects = append(effects, c.Step(2*time.Millisecond, ChunkSetResult{Source: s.Agent, Manifest: m.Digest, Chunks: all})...)
		}
	}
	return c, effects
}

func of[E Effect](effects []Effect) (out []E) {
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
	first, second := manifestOf(t, "1", 2), manifestOf(t, "2", 2)
	c := newCore(Stored{})
	late := answer(7, first)
	c.Step(0, answer(9, second))
	if got := of[GetManifest](c.Step(time.Second, late)); len(got) != 0 {
		t.Errorf("%+v", got)
	}
	deposed := answer(11, first)
	deposed.Answer.Term = 0
	if got := of[GetManifest](c.Step(2*time.Second, deposed)); len(got) != 0 {
		t.Errorf("%+v", got)
	}
	// A later one is followed at once, although the manifest before is still being asked for.
	if got := of[GetManifest](c.Step(3*time.Second, answer(12, first))); len(got) != 1 || got[0].Digest != first.Digest {
		t.Errorf("%+v", got)
	}
}

// After a restart the revision that was active counts: an answer of a lower one is older.
func TestRevisionOutlivesTheProcess(t *testing.T) {
	first, second := manifestOf(t, "1", 1), manifestOf(t, "2", 1)
	c := newCore(Stored{
		Contents: chunkstore.Contents{Chunks: map[digest.Digest]int64{second.Chunks[0].Digest: 100}, Manifests: []*distribution.Manifest{second}},
		Active:   map[string]distribution.ActiveVersion{name: {Manifest: second.Digest, Revision: 9}},
	})
	if got := c.Step(0, answer(7, first)); len(of[GetManifest](got)) != 0 || c.Active(name) != second.Digest {
		t.Errorf("%+v", got)
	}
}

// A chunk is asked of one source at a time, and each source for one chunk.
func TestOneRequestASource(t *testing.T) {
	m := manifestOf(t, "1", 20)
	_, effects := fetching(t, m, from("two", "a", m), from("three", "a", m), from("four", "b", m))
	chunks, sources := map[digest.Digest]int{}, map[string]int{}
	for _, g := range of[GetChunk](effects) {
		chunks[g.Chunk.Digest]++
		sources[g.From.Name]++
	}
	if len(chunks) != 2 || sources["two"] != 1 || sources["three"] != 1 || sources["four"] != 0 {
		t.Errorf("chunks %v, sources %v: another zone is asked for what the own has", chunks, sources)
	}
}

// The store is not asked for what a peer has.
func TestPeersBeforeTheStore(t *testing.T) {
	m := manifestOf(t, "1", 20)
	store := distribution.Source{Agent: distribution.StoreSource, Manifest: m.Digest, LeaseMs: 3000, Stripes: 1}
	c, _ := fetching(t, m, from("two", "a", m), store)
	fetched := 0
	for now := time.Second; now < 20*time.Second; now += time.Second {
		for id, fetch := range c.fetches {
			if fetch.source.isStore() && now > time.Second { // the first was begun before the peer had told
				t.Fatal("the store is asked")
			}
			fetched++
			c.Step(now, ChunkResult{ID: id, ReceivedBytes: 100}, answer(1, m, from("two", "a", m), store))
		}
	}
	if fetched < 15 {
		t.Errorf("%d chunks came", fetched)
	}
}

// The chunk that the fewest sources have is fetched first.
func TestRarestFirst(t *testing.T) {
	m := manifestOf(t, "1", 6)
	c := newCore(Stored{})
	c.Step(0, answer(1, m, from("two", "a", m), from("three", "a", m), from("four", "a", m)))
	c.Step(1, ManifestResult{Digest: m.Digest, Manifest: m})
	c.Step(2, ChunkSetResult{Source: "three", Manifest: m.Digest, Chunks: distribution.ChunkSet{0}}, ChunkSetResult{Source: "four", Manifest: m.Digest, Chunks: distribution.ChunkSet{0}})
	c.Step(3, ChunkSetResult{Source: "three", Manifest: m.Digest, Chunks: distribution.ChunkSet{0}})
	for _, source := range c.sources { // what is said while they are idle
		source.chunks = distribution.ChunkSet{0b110111}
	}
	c.sources[sourceKey{"two", m.Digest}].chunks = distribution.ChunkSet{0b111111}
	got := of[GetChunk](c.Step(4))
	rare := false
	for _, g := range got {
		rare = rare || g.From.Name == "two" && g.Chunk.Digest == m.Chunks[3].Digest
	}
	if !rare {
		t.Errorf("%+v", got)
	}
}

// The store is asked for what no peer has: first in the own stripe, elsewhere only after a
// while, unless nobody else may use it.
func TestStoreStripes(t *testing.T) {
	m := manifestOf(t, "1", 4)
	store := distribution.Source{Agent: distribution.StoreSource, Manifest: m.Digest, LeaseMs: 3000, Stripe: 1, Stripes: 4, Others: 3}
	c, effects := fetching(t, m, store)
	got := of[GetChunk](effects)
	if len(got) != 1 || got[0].Chunk.Digest != m.Chunks[1].Digest {
		t.Fatalf("%+v", got)
	}
	if more := of[GetChunk](c.Step(100*time.Millisecond, ChunkResult{ID: got[0].ID, ReceivedBytes: 100})); len(more) != 0 {
		t.Errorf("another stripe at once: %+v", more)
	}
	if more := of[GetChunk](c.Step(3*time.Second, answer(1, m, store))); len(more) != 1 {
		t.Errorf("no other stripe after a while: %+v", more)
	}
	store.Others = 0
	c, effects = fetching(t, m, store)
	got = of[GetChunk](effects)
	if more := of[GetChunk](c.Step(100*time.Millisecond, ChunkResult{ID: got[0].ID, ReceivedBytes: 100})); len(more) != 1 {
		t.Errorf("alone, and it waits: %+v", more)
	}
}

// A damaged chunk of one source is that source's fault. Of one that came from two, nobody's:
// it is fetched again whole, from one.
func TestWhoSentDamagedBytes(t *testing.T) {
	m := manifestOf(t, "1", 1)
	c, effects := fetching(t, m, from("two", "a", m), from("three", "a", m))
	g := of[GetChunk](effects)[0]
	effects = c.Step(time.Second, ChunkResult{ID: g.ID, Fault: distribution.FaultUnreachable, ReceivedBytes: 40, PartialBytes: 40})
	for now := 2 * time.Second; len(of[GetChunk](effects)) == 0; now += time.Second {
		effects = c.Step(now, answer(1, m, from("two", "a", m), from("three", "a", m)))
	}
	second := of[GetChunk](effects)[0]
	if second.Offset != 40 || second.From == g.From {
		t.Fatalf("%+v after %+v", second, g)
	}
	effects = c.Step(20*time.Second, ChunkResult{ID: second.ID, Fault: distribution.FaultDamaged, ReceivedBytes: 60})
	if len(c.reports.faults) != 0 {
		t.Errorf("somebody is blamed: %+v", c.reports.faults)
	}
	third := of[GetChunk](effects)
	if len(third) != 1 || third[0].Offset != 0 {
		t.Fatalf("%+v", third)
	}
	fourth := of[GetChunk](c.Step(21*time.Second, ChunkResult{ID: third[0].ID, Fault: distribution.FaultUnreachable, ReceivedBytes: 50, PartialBytes: 50}))
	if len(fourth) != 1 || fourth[0].Offset != 0 {
		t.Fatalf("mixed again: %+v", fourth)
	}
	c.Step(60*time.Second, ChunkResult{ID: fourth[0].ID, Fault: distribution.FaultDamaged, ReceivedBytes: 100}, TrackerFailed{})
	inventory := of[Report](c.Step(80*time.Second, Tick{}))
	blamed := distribution.SourceFault{Source: fourth[0].From.Name, Manifest: m.Digest, Fault: distribution.FaultDamaged}
	if len(inventory) != 1 || !slices.Contains(inventory[0].Inventory.Faults, blamed) {
		t.Errorf("%+v", inventory)
	}
}

// Without an answer of any controller the sources stay in use; an answer that doesn't name
// them ends that, unless the tracker has just begun.
func TestSourcesStayWithoutATracker(t *testing.T) {
	m := manifestOf(t, "1", 9)
	c, _ := fetching(t, m, from("two", "a", m))
	for now := time.Second; now < time.Minute; now += time.Second {
		c.Step(now, TrackerFailed{})
	}
	if len(c.sources) != 1 {
		t.Error("the source is gone without an answer")
	}
	begun := answer(1, m)
	begun.Answer.Keep = true
	c.Step(time.Minute, begun)
	if source := c.sources[sourceKey{"two", m.Digest}]; source == nil || source.released {
		t.Error("a tracker that has just begun takes the source away")
	}
	c.Step(2*time.Minute, answer(1, m))
	if source := c.sources[sourceKey{"two", m.Digest}]; source != nil && !source.released {
		t.Error("the source is used without a lease")
	}
}

// Chunks of what is served or wanted are never removed; others are, oldest first, and one that
// is being read is tried again later, not at once.
func TestEviction(t *testing.T) {
	old, active, wanted := manifestOf(t, "old", 3), manifestOf(t, "active", 3), manifestOf(t, "wanted", 3)
	stored := Stored{
		Contents: chunkstore.Contents{Chunks: map[digest.Digest]int64{}, Manifests: []*distribution.Manifest{old, active}},
		Active:   map[string]distribution.ActiveVersion{name: {Manifest: active.Digest, Revision: 1}},
	}
	for _, m := range []*distribution.Manifest{old, active} {
		for _, listed := range m.Chunks {
			stored.Chunks[listed.Digest] = 100
		}
	}
	c := newCore(stored)
	c.settings.DiskLimitBytes = 650
	store := distribution.Source{Agent: distribution.StoreSource, Manifest: wanted.Digest, Stripes: 1}
	c.Step(0, answer(2, wanted, store))
	effects := c.Step(1, ManifestResult{Digest: wanted.Digest, Manifest: wanted})
	removes := of[Remove](effects)
	if len(removes) != 1 || len(c.versions[old.Digest].positions[removes[0].Chunk]) == 0 {
		t.Fatalf("%+v", removes)
	}
	effects = c.Step(2, RemoveResult{Chunk: removes[0].Chunk}) // it is being read
	if again := of[Remove](effects); len(again) != 1 || again[0] == removes[0] {
		t.Errorf("tried again at once: %+v", again)
	}
	for i := range 200 {
		var events []Event
		for _, e := range effects {
			switch e := e.(type) {
			case Remove:
				if len(c.versions[active.Digest].positions[e.Chunk]) > 0 {
					t.Fatal("a chunk in use is removed")
				}
				events = append(events, RemoveResult{e.Chunk, true})
			case GetChunk:
				events = append(events, ChunkResult{ID: e.ID, ReceivedBytes: 100})
			case Activate:
				events = append(events, ActivateResult{Name: e.Name, Manifest: e.Manifest})
			}
		}
		if c.DiskUsedBytes() > 650 {
			t.Fatalf("%d bytes", c.DiskUsedBytes())
		}
		effects = c.Step(time.Duration(i)*100*time.Millisecond, append(events, answer(2, wanted, store))...)
	}
	if c.Active(name) != wanted.Digest {
		t.Errorf("it serves %s", c.Active(name))
	}
}

// A chunk that turned out to be damaged is fetched anew.
func TestLostChunkIsFetchedAnew(t *testing.T) {
	m := manifestOf(t, "1", 2)
	c, effects := fetching(t, m, from("two", "a", m))
	for len(of[Activate](effects)) == 0 {
		effects = c.Step(time.Second, ChunkResult{ID: of[GetChunk](effects)[0].ID, ReceivedBytes: 100})
	}
	c.Step(2*time.Second, ActivateResult{Name: name, Manifest: m.Digest})
	recheck := answer(1, m)
	recheck.Answer.Recheck = []digest.Digest{m.Digest}
	if got := of[Verify](c.Step(3*time.Second, recheck)); len(got) != 2 {
		t.Errorf("%+v", got)
	}
	if got := of[Verify](c.Step(4*time.Second, recheck)); len(got) != 0 {
		t.Errorf("again at once: %+v", got)
	}
	c.Step(5*time.Second, ChunkLost{m.Chunks[0].Digest})
	effects = c.Step(6*time.Second, answer(1, m, from("three", "a", m)))
	effects = append(effects, c.Step(7*time.Second, ChunkSetResult{Source: "three", Manifest: m.Digest, Chunks: distribution.ChunkSet{3}})...)
	if got := of[GetChunk](effects); len(got) != 1 || got[0].Chunk != m.Chunks[0] {
		t.Errorf("%+v", got)
	}
}

// A source that is slow, that says it has what it doesn't have, or that nobody reaches is
// given back, and the tracker told why.
func TestBadSourcesAreGivenBack(t *testing.T) {
	for _, c := range []struct {
		fault distribution.Fault
		times int
	}{{distribution.FaultSlow, 1}, {distribution.FaultMissing, maxMissingChunks}, {distribution.FaultUnreachable, maxUnreachableFailures}, {distribution.FaultDamaged, 1}} {
		m := manifestOf(t, "1", 9)
		core, effects := fetching(t, m, from("two", "a", m))
		for i := range c.times {
			now := time.Duration(i+1) * 100 * time.Second
			gets := of[GetChunk](effects)
			if len(gets) != 1 {
				t.Fatalf("%s: %+v", c.fault, effects)
			}
			core.Step(now, ChunkResult{ID: gets[0].ID, Fault: c.fault, Chunks: distribution.ChunkSet{0xff, 1}}, TrackerFailed{})
			if i < c.times-1 && len(core.reports.faults) != 0 {
				t.Errorf("%s: given back after %d times", c.fault, i+1)
			}
			effects = core.Step(now + 50*time.Second)
		}
		reports := of[Report](effects)
		want := distribution.SourceFault{Source: "two", Manifest: m.Digest, Fault: c.fault}
		if len(reports) != 1 || !slices.Contains(reports[0].Inventory.Faults, want) || len(of[GetChunk](effects)) != 0 {
			t.Errorf("%s: %+v", c.fault, effects)
		}
	}
}

// What another version makes useless is given up at once, and nobody is blamed.
func TestFetchesOfAnotherVersionAreGivenUp(t *testing.T) {
	first, second := manifestOf(t, "1", 3), manifestOf(t, "2", 3)
	c, effects := fetching(t, first, from("two", "a", first))
	get := of[GetChunk](effects)[0]
	cancels := of[CancelChunk](c.Step(time.Second, answer(2, second)))
	if len(cancels) != 1 || cancels[0].ID != get.ID {
		t.Fatalf("%+v", cancels)
	}
	c.Step(2*time.Second, ChunkResult{ID: get.ID, Cancelled: true, Fault: distribution.FaultUnreachable, ReceivedBytes: 30, PartialBytes: 30})
	if len(c.reports.faults) != 0 || c.Counts().Faults[distribution.FaultUnreachable] != 0 || c.DiskUsedBytes() != 30 {
		t.Errorf("faults %v %v, %d bytes used", c.reports.faults, c.Counts().Faults, c.DiskUsedBytes())
	}
}

// Without a budget, a disk that is full is what has old chunks removed: those of versions in
// use stay.
func TestFullDiskEvictsOldChunks(t *testing.T) {
	old, wanted := manifestOf(t, "old", 3), manifestOf(t, "wanted", 3)
	stored := Stored{Contents: chunkstore.Contents{Chunks: map[digest.Digest]int64{}, Manifests: []*distribution.Manifest{old}}}
	for _, listed := range old.Chunks {
		stored.Chunks[listed.Digest] = 100
	}
	c := newCore(stored)
	c.Step(0, answer(2, wanted, distribution.Source{Agent: distribution.StoreSource, Manifest: wanted.Digest, Stripes: 1}))
	get := of[GetChunk](c.Step(1, ManifestResult{Digest: wanted.Digest, Manifest: wanted}))
	effects := c.Step(time.Second, ChunkResult{ID: get[0].ID, Fault: distribution.FaultDisk, ReceivedBytes: 40})
	removes := of[Remove](effects)
	if len(removes) != 1 || len(c.versions[old.Digest].positions[removes[0].Chunk]) == 0 {
		t.Errorf("%+v", effects)
	}
	if len(of[GetChunk](effects)) != 0 {
		t.Error("it goes on at once on a full disk")
	}
	if got := of[GetChunk](c.Step(time.Minute, RemoveResult{removes[0].Chunk, true})); len(got) != 1 {
		t.Errorf("it doesn't go on: %+v", got)
	}
}
