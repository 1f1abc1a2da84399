package simulation

import (
	"slices"
	"testing"
	"time"

	"github.com/opencontainers/go-digest"
)

// The leader crashes, loses the state service for a while, or pauses until another controller leads
// and then resumes. Meanwhile transfers from known sources continue, names never revert to an older
// version, and no source exceeds its slots, although the new leader doesn't know the leases that
// the old leader granted.
func TestLeaderFailsDuringFetch(t *testing.T) {
	for _, test := range []struct {
		name string
		fail func(w *World)
	}{
		{"leader crashes", func(w *World) {
			leader := w.Leader()
			leader.Crash()
			w.After(20*time.Second, leader.Start)
		}},
		{"state service outage", func(w *World) {
			w.State.SetOutage(true)
			w.After(8*time.Second, func() { w.State.SetOutage(false) })
		}},
		{"leader pauses and resumes", func(w *World) {
			w.Leader().PausedUntil = w.Now + 6*time.Second
		}},
		{"all controllers crash", func(w *World) {
			for _, node := range w.Controllers {
				node.Crash()
				w.After(5*time.Second, node.Start)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			w, m := startWorld(t, Defaults())
			w.Run(7 * time.Second)
			before := totalFetchedChunks(w)
			test.fail(w)
			w.Run(4 * time.Second)
			after := totalFetchedChunks(w)
			if after <= before {
				t.Errorf("%d chunks fetched before the failure, %d four seconds later", before, after)
			}
			requireReady(t, w, m)
			requireFetchedOnce(t, w)
		})
	}
}

// If every chunk is held by some peer, all agents get ready without the store. If one chunk is held
// by no peer, the agents wait, report that chunk, and continue when the store is available again.
func TestStoreOutage(t *testing.T) {
	t.Run("every chunk is held by a peer", func(t *testing.T) {
		w, m := startWorld(t, Defaults())
		if !w.RunUntil(maxWait, func() bool { return w.Store.TotalSentBytes() >= m.Size }) {
			t.Fatal("the store has not sent a full copy")
		}
		w.Run(time.Second)
		w.Store.Down = true
		requireReady(t, w, m)
	})
	t.Run("one chunk is held by no peer", func(t *testing.T) {
		w := New(Defaults())
		m := w.Store.Publish(chunks, chunkBytes, nil, 0)
		missing := m.Chunks[5].Digest
		w.Store.MissingChunks[missing] = true
		w.SetManifest(weightsName, m.Digest)
		w.StartAll()
		w.Run(maxWait / 2)
		w.Store.Down = true
		w.Run(maxWait / 10)
		requireWaitForChunk(t, w, missing)
		w.Store.MissingChunks[missing], w.Store.Down = false, false
		if took := requireReady(t, w, m); took > time.Minute {
			t.Errorf("the agents took %v after the store was available again", took)
		}
		requireFetchedOnce(t, w)
	})
}

// requireWaitForChunk fails the test unless every agent holds all chunks but one, and at least one
// agent reports the missing chunk. The other agents may report a wait without a chunk.
func requireWaitForChunk(t *testing.T, w *World, missing digest.Digest) {
	t.Helper()
	named := 0
	for _, a := range w.Agents {
		if fetchedChunks(a) != chunks-1 {
			t.Errorf("%s holds %d chunks", a.Name, fetchedChunks(a))
		}
		if len(a.ReportedWaits) != 1 || a.ReportedWaits[0].Chunk != missing && a.ReportedWaits[0].Chunk != "" {
			t.Fatalf("%s waits for %+v", a.Name, a.ReportedWaits)
		}
		if a.ReportedWaits[0].Chunk == missing {
			named++
		}
	}
	if named == 0 {
		t.Error("no agent reports the missing chunk")
	}
}

// A zone is partitioned from everything else during the fetch. The other zone gets ready during the
// partition, and both zones are ready after the partition has healed.
func TestZonePartitionHeals(t *testing.T) {
	w, m := startWorld(t, Defaults())
	w.Run(6 * time.Second)
	zone := w.Options.Settings.Zones[0]
	setPartitioned(w, zone, true)
	outside := slices.DeleteFunc(slices.Clone(w.Agents), func(a *Agent) bool { return a.Zone() == zone })
	if !w.RunUntil(maxWait, func() bool { return allActive(outside, m) }) {
		t.Error("the other zone is not ready")
	}
	setPartitioned(w, zone, false)
	requireReady(t, w, m)
}

// setPartitioned partitions a zone from everything else, or heals the partition.
func setPartitioned(w *World, zone string, partitioned bool) {
	w.PartitionedZones[zone] = partitioned
	for _, a := range w.Agents {
		reallocateBandwidth(&a.networkLink)
	}
}

// Agents are killed at every stage of the fetch, also during writes and activations, and restarted
// with the chunks on their disks. They don't fetch again the bytes that they already have.
func TestRestartedAgentsKeepTheirChunks(t *testing.T) {
	w, m := startWorld(t, Defaults())
	for i := range 40 {
		w.Run(700 * time.Millisecond)
		a := w.Agents[i%len(w.Agents)]
		a.Kill()
		w.After(600*time.Millisecond, a.Start)
	}
	w.Run(time.Second)
	requireReady(t, w, m)
	requireFetchedOnce(t, w)
}
