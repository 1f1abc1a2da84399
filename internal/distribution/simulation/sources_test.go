package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/spf13/afero"

	"oakpick/internal/distribution"
)

// A source is killed, hangs without an error, or becomes slow for good during its uploads. The
// downloaders go on elsewhere within the stall timeout and the time that the minimum rate allows
// for a chunk, and resume from the bytes that they have: none is fetched twice.
func TestSourceFailsDuringUpload(t *testing.T) {
	stallBound := func(w *World) time.Duration { return 3 * w.reportInterval() }
	slowBound := func(w *World) time.Duration {
		minRate := w.Options.BytesPerSecond / minRateDivisor
		return 2*w.reportInterval() + time.Duration(chunkBytes/minRate*float64(time.Second))
	}
	for _, test := range []struct {
		name  string
		fail  func(*Agent)
		bound func(*World) time.Duration // until downloaders have gone on elsewhere
	}{
		{"killed", func(a *Agent) { a.Kill() }, stallBound},
		{"hangs", func(a *Agent) { a.SetHanging(true); a.CutFromTrackers = true }, stallBound},
		{"slow for ever", func(a *Agent) { a.SetRate(1) }, slowBound},
	} {
		t.Run(test.name, func(t *testing.T) {
			w, m := startWorld(t, Defaults())
			victim := waitForBusiestUploader(t, w)
			if !slices.ContainsFunc(victim.uploads, func(upload *transfer) bool { return upload.to != victim }) {
				t.Fatal("the source has no uploads")
			}
			test.fail(victim)
			bound := test.bound(w)
			w.Run(bound)
			for _, upload := range victim.uploads {
				if upload.progressAt+bound < w.Now || upload.lastMovedAt+bound < w.Now {
					t.Errorf("%s still waits for %s after %v", upload.to.Name, victim.Name, bound)
				}
			}
			victim.Up = false // it need not be ready itself
			requireReady(t, w, m)
			requireFetchedOnce(t, w)
			if copies := storeCopies(w, m); copies > 1.5 {
				t.Errorf("the store sent %.2f copies", copies)
			}
		})
	}
}

// More agents than slots ask a source, because a new leader grants leases while others still use
// the slots. The source refuses what it has no slot for.
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
		t.Error("no source was ever asked for more than its slots: the scenario tests nothing")
	}
}

// A source sends wrong bytes, has truncated files, or claims chunks that it doesn't have: that
// is detected, and no damaged chunk is passed on. If it concerns all sources, the store is left.
func TestFaultySourcesAreDetected(t *testing.T) {
	for _, test := range []struct {
		name    string
		corrupt func(w *World, a *Agent, m *distribution.Manifest)
		fault   distribution.Fault
		all     bool // sources; otherwise two
	}{
		{"wrong bytes", func(_ *World, a *Agent, _ *distribution.Manifest) { a.SendsDamagedChunks = true }, distribution.FaultDamaged, false},
		{"a file cut short", truncateChunks, distribution.FaultDamaged, false},
		{"claims what it doesn't have", func(_ *World, a *Agent, _ *distribution.Manifest) { a.ClaimsAllChunks = true }, distribution.FaultMissing, false},
		{"wrong bytes from all", func(_ *World, a *Agent, _ *distribution.Manifest) { a.SendsDamagedChunks = true }, distribution.FaultDamaged, true},
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
				t.Errorf("no agent detected that a source is %s", test.fault)
			}
		})
	}
}

// truncateChunks truncates the file of every stored chunk, without the agent's knowledge.
func truncateChunks(w *World, a *Agent, m *distribution.Manifest) {
	for _, chunk := range m.Chunks {
		name := fmt.Sprintf("%s/chunks/%s", directory, chunk.Digest.Encoded())
		if content, err := afero.ReadFile(a.Disk, name); err == nil {
			if err := afero.WriteFile(a.Disk, name, content[:len(content)/2], 0o644); err != nil {
				w.recordViolation("%v", err)
			}
		}
	}
}

// A chunk that came from two sources is damaged: neither can be blamed yet, and it is fetched
// again from a single one.
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
