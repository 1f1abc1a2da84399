package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/spf13/afero"

	"oakpick/internal/distribution"
)

// A source is killed, hangs without an error, or becomes permanently slow during its uploads. The
// downloading agents switch to other sources within the stall timeout plus the time that the
// minimum rate allows for a chunk. They resume after the bytes that they already have, so that no
// byte is fetched twice.
func TestSourceFailsDuringUpload(t *testing.T) {
	stallBound := func(w *World) time.Duration { return 3 * w.reportInterval() }
	slowBound := func(w *World) time.Duration {
		minRate := w.Options.BytesPerSecond / minRateDivisor
		return 2*w.reportInterval() + time.Duration(chunkBytes/minRate*float64(time.Second))
	}
	for _, test := range []struct {
		name  string
		fail  func(*Agent)
		bound func(*World) time.Duration // until downloading agents have switched sources
	}{
		{"killed", func(a *Agent) { a.Kill() }, stallBound},
		{"hangs", func(a *Agent) { a.SetHanging(true); a.TrackersUnreachable = true }, stallBound},
		{"permanently slow", func(a *Agent) { a.SetRate(1) }, slowBound},
	} {
		t.Run(test.name, func(t *testing.T) {
			w, m := startWorld(t, Defaults())
			failedSource := waitForBusiestUploader(t, w)
			if !slices.ContainsFunc(failedSource.uploads, func(upload *transfer) bool { return upload.to != failedSource }) {
				t.Fatal("the source has no uploads")
			}
			test.fail(failedSource)
			bound := test.bound(w)
			w.Run(bound)
			for _, upload := range failedSource.uploads {
				if upload.progressUpdatedAt+bound < w.Now || upload.lastProgressAt+bound < w.Now {
					t.Errorf("%s still waits for %s after %v", upload.to.Name, failedSource.Name, bound)
				}
			}
			failedSource.Up = false // not required to be ready itself
			requireReady(t, w, m)
			requireFetchedOnce(t, w)
			if copies := storeCopies(w, m); copies > 1.5 {
				t.Errorf("the store sent %.2f copies", copies)
			}
		})
	}
}

// A source is asked for more uploads than it has slots, because a new leader grants leases while
// agents with leases of the old leader still use the slots. The source refuses requests for which
// it has no free slot.
func TestUploadsNeverExceedSlots(t *testing.T) {
	o := Defaults()
	o.Agents = 30
	w, m := startWorld(t, o)
	for _, a := range w.Agents {
		a.UploadSlots = 2
	}
	for range 5 {
		w.Run(4 * time.Second)
		if leader := w.Leader(); leader != nil {
			leader.Crash()
			w.After(2*time.Second, leader.Start)
		}
	}
	requireReady(t, w, m)
	refused := 0
	for _, a := range w.Agents {
		refused += a.RefusedUploads
	}
	if refused == 0 {
		t.Error("no source refused an upload: the scenario doesn't test the limit")
	}
}

// A source sends wrong bytes, has truncated files, or claims chunks that it doesn't have. The
// downloading agents detect this and never pass on a damaged chunk. If all agents are faulty, the
// chunks are fetched from the store.
func TestFaultySourcesAreDetected(t *testing.T) {
	for _, test := range []struct {
		name    string
		corrupt func(w *World, a *Agent, m *distribution.Manifest)
		fault   distribution.Fault
		all     bool // all agents are corrupted; otherwise two
	}{
		{"wrong bytes", func(_ *World, a *Agent, _ *distribution.Manifest) { a.SendsDamagedChunks = true }, distribution.FaultDamaged, false},
		{"truncated files", truncateChunks, distribution.FaultDamaged, false},
		{"claims chunks that it doesn't have", func(_ *World, a *Agent, _ *distribution.Manifest) { a.ClaimsAllChunks = true }, distribution.FaultMissing, false},
		{"wrong bytes from all agents", func(_ *World, a *Agent, _ *distribution.Manifest) { a.SendsDamagedChunks = true }, distribution.FaultDamaged, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			w, m := startWorld(t, Defaults())
			w.Run(7 * time.Second)
			for i, a := range w.Agents {
				if test.all || i < 2 {
					test.corrupt(w, a, m)
				}
			}
			requireReady(t, w, m)
			detected := int64(0)
			for _, a := range w.Agents {
				detected += a.Counts().Faults[test.fault]
			}
			if detected == 0 {
				t.Errorf("no agent detected the fault %s", test.fault)
			}
		})
	}
}

// truncateChunks truncates the file of every stored chunk without notifying the agent.
func truncateChunks(w *World, a *Agent, m *distribution.Manifest) {
	for _, chunk := range m.Chunks {
		name := fmt.Sprintf("%s/chunks/%s", storeDirectory, chunk.Digest.Encoded())
		if content, err := afero.ReadFile(a.Disk, name); err == nil {
			if err := afero.WriteFile(a.Disk, name, content[:len(content)/2], 0o644); err != nil {
				w.recordViolation("%v", err)
			}
		}
	}
}

// A chunk whose bytes came from two sources is damaged. Neither source can be identified as
// faulty yet, so the chunk is fetched again from a single source.
func TestDamageFromTwoSourcesIsRepaired(t *testing.T) {
	w, m := startWorld(t, Defaults())
	w.Run(9 * time.Second)
	damaging := w.Agents[0]
	damaging.SendsDamagedChunks = true
	w.After(400*time.Millisecond, func() { damaging.SendsDamagedChunks = false })
	requireReady(t, w, m)
	for _, a := range w.Agents {
		if a == damaging {
			continue
		}
		for d, n := range a.ReceivedBytes {
			if n > 3*chunkBytes {
				t.Errorf("%s received %d bytes of %s", a.Name, n, d)
			}
		}
	}
}
