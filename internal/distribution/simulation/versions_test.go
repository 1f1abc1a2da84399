package simulation

import (
	"bytes"
	"testing"
	"time"

	"github.com/opencontainers/go-digest"
	"github.com/spf13/afero"

	"oakpick/internal/distribution"
	"oakpick/internal/fake"
)

// trackerCallKind is the kind that fake.World gives to a tracker's calls to the state service.
const trackerCallKind = "weights"

// loseEveryOtherResponse loses every other response of the state service to a tracker.
func loseEveryOtherResponse(*World) func(kind, from, to string) fake.Delivery {
	calls := 0
	return func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == trackerCallKind {
			calls++
			delivery.LoseResponse = calls%2 == 1
		}
		return delivery
	}
}

// loseAndDuplicateCalls loses half of the trackers' calls to the state service at random. A second
// copy of every call, lost or not, arrives four seconds later.
func loseAndDuplicateCalls(w *World) func(kind, from, to string) fake.Delivery {
	return func(kind, _, _ string) fake.Delivery {
		delivery := fake.Reliable()
		if kind == trackerCallKind {
			delivery.LoseRequest, delivery.DuplicateAfter = w.rng.IntN(2) == 0, 4*time.Second
		}
		return delivery
	}
}

// versionChange describes how the version of weightsName changes during a fetch.
type versionChange struct {
	name    string
	network func(w *World) func(kind, from, to string) fake.Delivery // nil means reliable
	// change changes the version, starting from the first of three versions, and returns the last
	// version that it sets.
	change func(w *World, versions []*distribution.Manifest) *distribution.Manifest
}

// setInTurn points weightsName to one version after another, with pauses, and returns the last.
func setInTurn(w *World, pause time.Duration, versions ...*distribution.Manifest) *distribution.Manifest {
	for i, version := range versions {
		if i > 0 {
			w.Run(pause)
		}
		w.SetManifest(weightsName, version.Digest)
	}
	return versions[len(versions)-1]
}

var versionChanges = []versionChange{
	{name: "once", change: func(w *World, v []*distribution.Manifest) *distribution.Manifest {
		return setInTurn(w, 0, v[1])
	}},
	{name: "twice", change: func(w *World, v []*distribution.Manifest) *distribution.Manifest {
		return setInTurn(w, 3*time.Second, v[1], v[2])
	}},
	{name: "back to the first", change: func(w *World, v []*distribution.Manifest) *distribution.Manifest {
		return setInTurn(w, 4*time.Second, v[1], v[0])
	}},
	{name: "leader crashes during the change", change: func(w *World, v []*distribution.Manifest) *distribution.Manifest {
		w.SetManifest(weightsName, v[1].Digest)
		w.Run(2 * time.Millisecond) // the write may be in progress
		leader := w.Leader()
		leader.Crash()
		w.Run(10 * time.Second)
		leader.Start()
		return v[1]
	}},
	{name: "response to the write is lost", network: loseEveryOtherResponse, change: func(w *World, v []*distribution.Manifest) *distribution.Manifest {
		return setInTurn(w, 3*time.Second, v[1], v[2])
	}},
	{name: "duplicate write arrives late", network: loseAndDuplicateCalls, change: func(w *World, v []*distribution.Manifest) *distribution.Manifest {
		return setInTurn(w, 3*time.Second, v[1], v[2], v[0])
	}},
}

// The version changes during the fetch, also while the leader crashes, with a write whose response
// is lost, and with a duplicate write that arrives late. No agent ever serves bytes of two
// versions, and all agents serve the last version in the end. Chunks that versions share are
// fetched once.
func TestVersionChangesDuringFetch(t *testing.T) {
	for _, test := range versionChanges {
		t.Run(test.name, func(t *testing.T) {
			w, first := startWorld(t, Defaults())
			second := w.Store.Publish(chunks, chunkBytes, first, chunks/4)
			third := w.Store.Publish(chunks, chunkBytes, second, chunks/2)
			w.Run(8 * time.Second)
			if test.network != nil {
				w.Network = test.network(w)
			}
			last := test.change(w, []*distribution.Manifest{first, second, third})
			requireReady(t, w, last)
			w.Run(10 * time.Second) // the duplicate writes arrive during this time
			requireReady(t, w, last)
			requireFetchedOnce(t, w)
		})
	}
}

// The active version is replaced while a reader reads it. The reader gets all bytes of the old
// version.
func TestReaderKeepsItsVersion(t *testing.T) {
	o := Defaults()
	o.Agents, o.DiskLimitBytes = 4, 2*chunks*chunkBytes
	w, first := startWorld(t, o)
	requireReady(t, w, first)
	a := w.Agents[0]
	reader, err := a.store.OpenActive(weightsName)
	if err != nil {
		t.Fatal(err)
	}
	for range 3 { // each version needs the disk space of the last but one
		next := w.Store.Publish(chunks, chunkBytes, nil, 0)
		w.SetManifest(weightsName, next.Digest)
		w.Run(maxWait / 5)
	}
	content, err := afero.ReadAll(reader)
	if err != nil || !bytes.Equal(content, w.versions[first.Digest]) {
		t.Errorf("read %d bytes, which aren't the old version: %v", len(content), err)
	}
	if err := reader.Close(); err != nil {
		t.Error(err)
	}
	w.Run(maxWait)
	requireNoViolations(t, w)
	if a.DiskUsedBytes() > o.DiskLimitBytes {
		t.Errorf("%d bytes on disk exceed the limit of %d", a.DiskUsedBytes(), o.DiskLimitBytes)
	}
	if a.Counts().EvictedChunks == 0 {
		t.Error("no chunk was evicted")
	}
}

// The versions of two names are fetched, and each name is served from its own manifest.
func TestTwoNamesAreFetched(t *testing.T) {
	o := Defaults()
	o.Names = []string{weightsName, "models/coach"}
	w := New(o)
	manifests := map[string]digest.Digest{}
	for _, name := range o.Names {
		m := w.Store.Publish(chunks/2, chunkBytes, nil, 0)
		manifests[name] = m.Digest
		w.SetManifest(name, m.Digest)
		w.Run(2 * time.Second)
	}
	w.StartAll()
	for _, name := range o.Names {
		if _, ready := w.RunUntilReady(maxWait, name, manifests[name]); !ready {
			t.Errorf("%s is not ready", name)
		}
	}
	requireNoViolations(t, w)
}
