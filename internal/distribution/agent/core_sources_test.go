package agent

import (
	"slices"
	"testing"
	"time"

	"oakpick/internal/distribution"
)

// A damaged chunk is reported as a source's fault if that source sent all of its bytes. If two
// sources sent parts of it, neither is blamed, and the whole chunk is fetched again from one source.
func TestDamagedChunkFromSeveralSourcesBlamesNone(t *testing.T) {
	m := newManifest(t, "1", 1)
	c, effects := newFetchingCore(t, m, peerSource("two", "a", m), peerSource("three", "a", m))
	first := effectsOf[GetChunk](effects)[0]
	effects = c.Step(time.Second, ChunkResult{ID: first.ID, Fault: distribution.FaultUnreachable, ReceivedBytes: 40, PartialBytes: 40})
	for now := 2 * time.Second; len(effectsOf[GetChunk](effects)) == 0; now += time.Second {
		effects = c.Step(now, trackerResponse(1, m, peerSource("two", "a", m), peerSource("three", "a", m)))
	}
	second := effectsOf[GetChunk](effects)[0]
	if second.Offset != 40 || second.From == first.From {
		t.Fatalf("not resumed from the other source: %+v after %+v", second, first)
	}
	effects = c.Step(20*time.Second, ChunkResult{ID: second.ID, Fault: distribution.FaultDamaged, ReceivedBytes: 60})
	if len(c.reports.faults) != 0 {
		t.Errorf("a source is blamed: %+v", c.reports.faults)
	}
	third := effectsOf[GetChunk](effects)
	if len(third) != 1 || third[0].Offset != 0 {
		t.Fatalf("not fetched again from the start: %+v", third)
	}
	effects = c.Step(21*time.Second, ChunkResult{
		ID: third[0].ID, Fault: distribution.FaultUnreachable, ReceivedBytes: 50, PartialBytes: 50,
	})
	fourth := effectsOf[GetChunk](effects)
	if len(fourth) != 1 || fourth[0].Offset != 0 {
		t.Fatalf("the chunk is resumed although it must come from one source: %+v", fourth)
	}
	c.Step(60*time.Second, ChunkResult{ID: fourth[0].ID, Fault: distribution.FaultDamaged, ReceivedBytes: 100}, TrackerFailed{})
	inventory := effectsOf[Report](c.Step(80*time.Second, Tick{}))
	blamed := distribution.SourceFault{Source: fourth[0].From.Name, Manifest: m.Digest, Fault: distribution.FaultDamaged}
	if len(inventory) != 1 || !slices.Contains(inventory[0].Inventory.Faults, blamed) {
		t.Errorf("the only contributor is not blamed: %+v", inventory)
	}
}

// While no tracker responds, sources stay in use. A response that doesn't list them releases them,
// unless it sets KeepSources because the leader is new.
func TestSourcesStayInUseWithoutATracker(t *testing.T) {
	m := newManifest(t, "1", 9)
	c, _ := newFetchingCore(t, m, peerSource("two", "a", m))
	for now := time.Second; now < time.Minute; now += time.Second {
		c.Step(now, TrackerFailed{})
	}
	if len(c.sources) != 1 {
		t.Error("the source is removed although no tracker responded")
	}
	started := trackerResponse(1, m)
	started.Response.KeepSources = true
	c.Step(time.Minute, started)
	if source := c.sources[sourceKey{"two", m.Digest}]; source == nil || source.released {
		t.Error("the source is released by a response that sets KeepSources")
	}
	c.Step(2*time.Minute, trackerResponse(1, m))
	if source := c.sources[sourceKey{"two", m.Digest}]; source != nil && !source.released {
		t.Error("the source is still used after a response that doesn't list it")
	}
}

// A source is released and reported to the tracker if it is slow, claims chunks that it doesn't
// have, can't be reached, or sends damaged chunks.
func TestFaultySourcesAreReleased(t *testing.T) {
	for name, test := range map[string]struct {
		fault    distribution.Fault
		failures int // after which it is released
	}{
		"slow":                   {distribution.FaultSlow, 1},
		"without claimed chunks": {distribution.FaultMissing, maxMissingChunks},
		"unreachable":            {distribution.FaultUnreachable, maxUnreachableFailures},
		"sending damaged chunks": {distribution.FaultDamaged, 1},
	} {
		t.Run(name, func(t *testing.T) {
			m := newManifest(t, "1", 9)
			core, effects := newFetchingCore(t, m, peerSource("two", "a", m))
			for i := range test.failures {
				now := time.Duration(i+1) * 100 * time.Second
				gets := effectsOf[GetChunk](effects)
				if len(gets) != 1 {
					t.Fatalf("not one fetch: %+v", effects)
				}
				core.Step(now, ChunkResult{ID: gets[0].ID, Fault: test.fault, Chunks: distribution.ChunkSet{0xff, 1}}, TrackerFailed{})
				if i < test.failures-1 && len(core.reports.faults) != 0 {
					t.Errorf("released after %d failures", i+1)
				}
				effects = core.Step(now + 50*time.Second)
			}
			reports := effectsOf[Report](effects)
			want := distribution.SourceFault{Source: "two", Manifest: m.Digest, Fault: test.fault}
			if len(reports) != 1 || !slices.Contains(reports[0].Inventory.Faults, want) || len(effectsOf[GetChunk](effects)) != 0 {
				t.Errorf("not released and reported: %+v", effects)
			}
		})
	}
}
