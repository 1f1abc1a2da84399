package simulation

import (
	"slices"
	"testing"
	"time"

	"oakpick/internal/distribution"
)

const (
	weightsName = "models/frontdesk"
	chunkBytes  = 1024
	chunks      = 64
	// maxWait is the longest simulated time that tests wait for an expected state.
	maxWait = 5 * time.Minute
)

// requireNoViolations fails the test if an invariant was violated, or if an agent had more
// concurrent uploads than upload slots.
func requireNoViolations(t *testing.T, w *World) {
	t.Helper()
	for _, violation := range w.Violations {
		t.Error(violation)
	}
	for _, a := range w.Agents {
		if a.PeakUploads > a.UploadSlots {
			t.Errorf("%s had %d concurrent uploads with %d slots", a.Name, a.PeakUploads, a.UploadSlots)
		}
	}
	if len(w.World.Violations) > 0 {
		t.Errorf("scheduler invariants violated: %v", w.World.Violations)
	}
}

// startWorld returns a world in which all agents have been started and fetch a first version.
func startWorld(t *testing.T, o Options) (*World, *distribution.Manifest) {
	t.Helper()
	w := New(o)
	m := w.Store.Publish(chunks, chunkBytes, nil, 0)
	w.SetManifest(weightsName, m.Digest)
	w.StartAll()
	return w, m
}

// requireReady runs until every running agent serves the version, and returns the elapsed time.
// It fails the test if that takes longer than maxWait.
func requireReady(t *testing.T, w *World, m *distribution.Manifest) time.Duration {
	t.Helper()
	took, ok := w.RunUntilReady(maxWait, weightsName, m.Digest)
	if !ok {
		for _, a := range w.Agents {
			if a.Up && a.Active(weightsName) != m.Digest {
				t.Errorf("%s serves %.14s and waits for %+v", a.Name, a.Active(weightsName), a.ReportedWaits)
			}
		}
		t.Fatal("not every agent is ready")
	}
	requireNoViolations(t, w)
	return took
}

// fetchedChunks returns the number of chunks that an agent has fetched in its current incarnation.
func fetchedChunks(a *Agent) int { return int(a.Counts().FetchedChunks) }

// totalFetchedChunks returns the number of chunks that all agents have fetched in their current
// incarnations.
func totalFetchedChunks(w *World) (total int) {
	for _, a := range w.Agents {
		total += fetchedChunks(a)
	}
	return total
}

// storeCopies returns the number of bytes that the store has sent, as a multiple of the version's
// size.
func storeCopies(w *World, m *distribution.Manifest) float64 {
	return float64(w.Store.TotalSentBytes()) / float64(m.Size)
}

// allActive reports whether all of the given agents serve a version.
func allActive(agents []*Agent, m *distribution.Manifest) bool {
	return !slices.ContainsFunc(agents, func(a *Agent) bool { return a.Active(weightsName) != m.Digest })
}

// waitForBusiestUploader runs until an agent holds half of the chunks and has several uploads. If
// several agents qualify, it returns the one with the most uploads.
func waitForBusiestUploader(t *testing.T, w *World) *Agent {
	t.Helper()
	var found *Agent
	w.RunUntil(maxWait, func() bool {
		for _, a := range w.Agents {
			if fetchedChunks(a) >= chunks/2 && len(a.uploads) > 1 && (found == nil || len(a.uploads) > len(found.uploads)) {
				found = a
			}
		}
		return found != nil
	})
	if found == nil {
		t.Fatal("no agent has several uploads")
	}
	return found
}

// requireFetchedOnce fails the test if an agent received more bytes of a chunk than the chunk has.
func requireFetchedOnce(t *testing.T, w *World) {
	t.Helper()
	for _, a := range w.Agents {
		for d, n := range a.ReceivedBytes {
			if n > chunkBytes {
				t.Errorf("%s received %d bytes of %s, which has %d", a.Name, n, d, chunkBytes)
			}
		}
	}
}
