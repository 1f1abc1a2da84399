package simulation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/opencontainers/go-digest"
	"github.com/spf13/afero"

	"oakpick/internal/distribution"
	"oakpick/internal/fake"
)

// begin makes a world in which all agents fetch a first version.
func startWorld(t *testing.T, o Options) (*World, *distribution.Manifest) {
	t.Helper()
	w := New(o)
	m := w.Store.Publish(chunks, chunkBytes, nil, 0)
	w.Use(weightsName, m.Digest)
	w.StartAll()
	return w, m
}

// ready fails unless every agent that runs serves the version in the end.
func requireReady(t *testing.T, w *World, m *distribution.Manifest) time.Duration {
	t.Helper()
	took, ok := w.UntilReady(maxWait, weightsName, m.Digest)
	if !ok {
		for _, a := range w.Agents {
			if a.Up && a.Active(weightsName) != m.Digest {
				t.Errorf("%s serves %.14s: %+v", a.Name, a.Active(weightsName), a.ReportedWaits)
			}
		}
		t.Fatal("not every agent is ready")
	}
	requireNoViolations(t, w)
	return took
}

// held is how many chunks an agent has stored.
func storedChunks(a *Agent) int { return int(a.Counts().StoredChunks) }

// busiest is the agent that passes most on, once one has half of the chunks.
func waitForBusiestUploader(t *testing.T, w *World) *Agent {
	t.Helper()
	var found *Agent
	w.Until(maxWait, func() bool {
		for _, a := range w.Agents {
			if storedChunks(a) >= chunks/2 && len(a.uploads) > 1 && (found == nil || len(a.uploads) > len(found.uploads)) {
				found = a
			}
		}
		return found != nil
	})
	if found == nil {
		t.Fatal("nobody passes anything on")
	}
	return found
}

// fetchedOnce fails if an agent received a chunk's bytes more than once.
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

// A machine that passes weights on is killed, hangs without an error, or answers slowly for
// ever, halfway through. Its takers go on elsewhere within a stall and the time that the least
// rate allows for a chunk, and from the bytes that they have: none is fetched twice.
func TestSourceFailsDuringUpload(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(*Agent)
	}{
		{"killed", func(a *Agent) { a.Kill() }},
		{"hangs", func(a *Agent) { a.SetHanging(true); a.CutFromTrackers = true }},
		{"slow for ever", func(a *Agent) { a.SetRate(1) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, m := startWorld(t, Defaults())
			victim := waitForBusiestUploader(t, w)
			takers := 0
			for _, x := range victim.uploads {
				if x.to != victim {
					takers++
				}
			}
			c.fail(victim)
			// Stall, and the time that a chunk may take at the least rate.
			bound := 2*w.reportInterval() + time.Duration(chunkBytes/(w.Options.BytesPerSecond/64)*float64(time.Second))
			if c.name != "slow for ever" {
				bound = 3 * w.reportInterval()
			}
			w.Run(bound)
			for _, x := range victim.uploads {
				if x.progressAt+bound < w.Now || x.lastMovedAt+bound < w.Now {
					t.Errorf("%s still waits for %s after %v", x.to.Name, victim.Name, bound)
				}
			}
			if takers == 0 {
				t.Fatal("nothing was passed on")
			}
			victim.Up = false // it need not be ready itself
			requireReady(t, w, m)
			requireFetchedOnce(t, w)
			if copies := float64(w.Store.TotalSentBytes()) / float64(m.Size); copies > 1.5 {
				t.Errorf("the store sent %.2f copies", copies)
			}
		})
	}
}

// The version changes during the fetch: once, twice, and back to the first; while the leader
// ends; with a write whose answer is lost, and one that is carried out late. No agent ever
// serves bytes of two versions, and all come to serve the last. Chunks that versions share are
// fetched once.
func TestVersionChangesDuringFetch(t *testing.T) {
	for _, c := range []struct {
		name    string
		network func(w *World) func(kind, from, to string) fake.Fate
		play    func(w *World, a, b, c *distribution.Manifest) *distribution.Manifest
	}{
		{"once", nil, func(w *World, _, b, _ *distribution.Manifest) *distribution.Manifest {
			w.Use(weightsName, b.Digest)
			return b
		}},
		{"twice", nil, func(w *World, _, b, c *distribution.Manifest) *distribution.Manifest {
			w.Use(weightsName, b.Digest)
			w.Run(3 * time.Second)
			w.Use(weightsName, c.Digest)
			return c
		}},
		{"back to the first", nil, func(w *World, a, b, _ *distribution.Manifest) *distribution.Manifest {
			w.Use(weightsName, b.Digest)
			w.Run(4 * time.Second)
			w.Use(weightsName, a.Digest)
			return a
		}},
		{"while the leader ends", nil, func(w *World, _, b, _ *distribution.Manifest) *distribution.Manifest {
			w.Use(weightsName, b.Digest)
			w.Run(2 * time.Millisecond) // the write may be under way
			leader := w.Leader()
			leader.Crash()
			w.Run(10 * time.Second)
			leader.Start()
			return b
		}},
		{"the write's answer is lost", func(*World) func(kind, from, to string) fake.Fate {
			writes := 0
			return func(kind, _, _ string) fake.Fate {
				f := fake.Well()
				if kind == "weights" {
					writes++
					f.LoseAnswer = writes%2 == 1
				}
				return f
			}
		}, func(w *World, _, b, c *distribution.Manifest) *distribution.Manifest {
			w.Use(weightsName, b.Digest)
			w.Run(3 * time.Second)
			w.Use(weightsName, c.Digest)
			return c
		}},
		{"a write is carried out late", func(w *World) func(kind, from, to string) fake.Fate {
			return func(kind, _, _ string) fake.Fate {
				f := fake.Well()
				if kind == "weights" {
					f.LoseRequest, f.Copy = w.rng.IntN(2) == 0, 4*time.Second
				}
				return f
			}
		}, func(w *World, a, b, c *distribution.Manifest) *distribution.Manifest {
			w.Use(weightsName, b.Digest)
			w.Run(3 * time.Second)
			w.Use(weightsName, c.Digest)
			w.Run(3 * time.Second)
			w.Use(weightsName, a.Digest)
			return a
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, first := startWorld(t, Defaults())
			second := w.Store.Publish(chunks, chunkBytes, first, chunks/4)
			third := w.Store.Publish(chunks, chunkBytes, second, chunks/2)
			w.Run(8 * time.Second)
			if c.network != nil {
				w.Network = c.network(w)
			}
			last := c.play(w, first, second, third)
			requireReady(t, w, last)
			w.Run(10 * time.Second) // what is late comes now
			requireReady(t, w, last)
			requireFetchedOnce(t, w)
		})
	}
}

// A version that was active is replaced while a reader reads it: the reader gets the bytes of
// the old one to its end.
func TestReaderKeepsItsVersion(t *testing.T) {
	o := Defaults()
	o.Agents, o.DiskBytes = 4, 2*chunks*chunkBytes
	w, first := startWorld(t, o)
	requireReady(t, w, first)
	a := w.Agents[0]
	reader, err := a.store.OpenActive(weightsName)
	if err != nil {
		t.Fatal(err)
	}
	for range 3 { // each needs the room of the one before the last
		next := w.Store.Publish(chunks, chunkBytes, nil, 0)
		w.Use(weightsName, next.Digest)
		w.Run(maxWait / 5)
	}
	content, err := afero.ReadAll(reader)
	if err != nil || !strings.EqualFold(string(content), string(w.versions[first.Digest])) {
		t.Errorf("%d bytes of the old version: %v", len(content), err)
	}
	if err := reader.Close(); err != nil {
		t.Error(err)
	}
	w.Run(maxWait)
	requireNoViolations(t, w)
	if a.DiskUsedBytes() > o.DiskBytes {
		t.Errorf("%d bytes on disk, and %d allowed", a.DiskUsedBytes(), o.DiskBytes)
	}
	if a.Counts().EvictedChunks == 0 {
		t.Error("nothing was evicted")
	}
}

// The leader ends, is in doubt for a while, or stands still until another leads and wakes up
// again. Transfers go on meanwhile from the sources that are known, names never go back, and
// no source uploads to more than its slots, although the new leader knows nothing of the old
// one's leases.
func TestLeaderFailsDuringFetch(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(w *World)
	}{
		{"ends", func(w *World) {
			leader := w.Leader()
			leader.Crash()
			w.After(20*time.Second, leader.Start)
		}},
		{"in doubt", func(w *World) {
			w.State.Outage(true)
			w.After(8*time.Second, func() { w.State.Outage(false) })
		}},
		{"deposed and wakes", func(w *World) {
			w.Leader().PausedUntil = w.Now + 6*time.Second
		}},
		{"all end", func(w *World) {
			for _, n := range w.Nodes {
				n.Crash()
				w.After(5*time.Second, n.Start)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, m := startWorld(t, Defaults())
			w.Run(7 * time.Second)
			before := 0
			for _, a := range w.Agents {
				before += storedChunks(a)
			}
			c.play(w)
			w.Run(4 * time.Second)
			after := 0
			for _, a := range w.Agents {
				after += storedChunks(a)
			}
			if after <= before {
				t.Errorf("%d chunks before, %d after four seconds without a leader", before, after)
			}
			requireReady(t, w, m)
			requireFetchedOnce(t, w)
		})
	}
}

// More takers than slots ask a source, because leases were given anew while others still used
// them: the source refuses what it has no slot for.
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
		t.Error("no source was ever asked for more than its slots: the story tests nothing")
	}
}

// A source sends wrong bytes, has a file that is cut short, or claims what it doesn't have:
// it is found out, dropped, and nothing of it is passed on. All sources at once: the store.
func TestFaultySourcesAreDetected(t *testing.T) {
	for _, c := range []struct {
		name  string
		spoil func(w *World, a *Agent, m *distribution.Manifest)
		fault distribution.Fault
		all   bool
	}{
		{"wrong bytes", func(_ *World, a *Agent, _ *distribution.Manifest) { a.SendsDamagedChunks = true }, distribution.FaultDamaged, false},
		{"a file cut short", truncateChunks, distribution.FaultDamaged, false},
		{"claims what it doesn't have", func(_ *World, a *Agent, _ *distribution.Manifest) { a.ClaimsAllChunks = true }, distribution.FaultMissing, false},
		{"wrong bytes from all", func(_ *World, a *Agent, _ *distribution.Manifest) { a.SendsDamagedChunks = true }, distribution.FaultDamaged, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, m := startWorld(t, Defaults())
			w.Run(7 * time.Second)
			for i, a := range w.Agents {
				if c.all || i < 2 {
					c.spoil(w, a, m)
				}
			}
			requireReady(t, w, m)
			found := int64(0)
			for _, a := range w.Agents {
				found += a.Counts().Faults[c.fault]
			}
			if found == 0 {
				t.Errorf("nobody found that a source is %s", c.fault)
			}
		})
	}
}

// cutShort has every stored chunk's file end early, behind the agent's back.
func truncateChunks(w *World, a *Agent, m *distribution.Manifest) {
	for _, x := range m.Chunks {
		name := fmt.Sprintf("%s/chunks/%s", directory, x.Digest.Encoded())
		if content, err := afero.ReadFile(a.Disk, name); err == nil {
			if err := afero.WriteFile(a.Disk, name, content[:len(content)/2], 0o644); err != nil {
				w.recordViolation("%v", err)
			}
		}
	}
}

// A chunk that came from two sources is damaged: neither can be blamed yet, and it is fetched
// again from one alone.
func TestDamageFromTwoSourcesIsRepaired(t *testing.T) {
	w, m := startWorld(t, Defaults())
	w.Run(9 * time.Second)
	spoiled := w.Agents[0]
	spoiled.SendsDamagedChunks = true
	w.After(400*time.Millisecond, func() { spoiled.SendsDamagedChunks = false })
	requireReady(t, w, m)
	for _, a := range w.Agents {
		if a == spoiled {
			continue
		}
		for d, n := range a.ReceivedBytes {
			if n > 3*chunkBytes {
				t.Errorf("%s received %d bytes of %s", a.Name, n, d)
			}
		}
	}
}

// The store is down while every chunk is with some peer: all finish. While no peer has one
// chunk: the fetch waits, says which chunk it is, and goes on when the store is back.
func TestStoreOutage(t *testing.T) {
	t.Run("every chunk is with some peer", func(t *testing.T) {
		w, m := startWorld(t, Defaults())
		if !w.Until(maxWait, func() bool { return w.Store.TotalSentBytes() >= m.Size }) {
			t.Fatal("the store has not sent everything once")
		}
		w.Run(time.Second)
		w.Store.Down = true
		requireReady(t, w, m)
	})
	t.Run("one chunk is with nobody", func(t *testing.T) {
		w := New(Defaults())
		m := w.Store.Publish(chunks, chunkBytes, nil, 0)
		missing := m.Chunks[5].Digest
		w.Store.MissingChunks[missing] = true
		w.Use(weightsName, m.Digest)
		w.StartAll()
		w.Run(maxWait / 2)
		w.Store.Down = true
		w.Run(maxWait / 10)
		for _, a := range w.Agents {
			if storedChunks(a) != chunks-1 {
				t.Errorf("%s holds %d chunks", a.Name, storedChunks(a))
			}
			if len(a.ReportedWaits) != 1 || a.ReportedWaits[0].Chunk != missing && a.ReportedWaits[0].Chunk != "" {
				t.Errorf("%s waits for %+v", a.Name, a.ReportedWaits)
			}
		}
		named := 0
		for _, a := range w.Agents {
			if a.ReportedWaits[0].Chunk == missing {
				named++
			}
		}
		if named == 0 {
			t.Error("nobody names the chunk that is missing")
		}
		w.Store.MissingChunks[missing], w.Store.Down = false, false
		if took := requireReady(t, w, m); took > time.Minute {
			t.Errorf("it took %v after the store was back", took)
		}
		requireFetchedOnce(t, w)
	})
}

// A zone is cut off from everything during the fetch, and returns.
func TestZonePartitionHeals(t *testing.T) {
	w, m := startWorld(t, Defaults())
	w.Run(6 * time.Second)
	cut := w.Options.Settings.Zones[0]
	w.PartitionedZones[cut] = true
	for _, a := range w.Agents {
		reshare(&a.endpoint)
	}
	if !w.Until(maxWait, func() bool {
		for _, a := range w.Agents {
			if a.Zone() != cut && a.Active(weightsName) != m.Digest {
				return false
			}
		}
		return true
	}) {
		t.Error("the other zone is not ready")
	}
	w.PartitionedZones[cut] = false
	for _, a := range w.Agents {
		reshare(&a.endpoint)
	}
	requireReady(t, w, m)
}

// Agents are killed at every stage of the fetch, in the middle of writes and of activation,
// and start again with what is on their disks: nothing that they had is fetched again.
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

// A disk that is full takes no more until there is room again; what is served stays so.
func TestFullDiskPausesFetches(t *testing.T) {
	o := Defaults()
	w := New(o)
	first := w.Store.Publish(chunks, chunkBytes, nil, 0)
	left := int64(chunks * chunkBytes * 3 / 2)
	full := w.Agents[0]
	full.Disk = &fullDisk{full.Disk, &left}
	w.Use(weightsName, first.Digest)
	w.StartAll()
	requireReady(t, w, first)
	second := w.Store.Publish(chunks, chunkBytes, nil, 0)
	w.Use(weightsName, second.Digest)
	w.Run(maxWait)
	if full.Active(weightsName) != first.Digest || full.Counts().Faults[distribution.FaultDisk] == 0 {
		t.Errorf("it serves %s; faults %v", full.Active(weightsName), full.Counts().Faults)
	}
	if len(full.ReportedWaits) != 1 || !strings.Contains(full.ReportedWaits[0].Why, "disk") {
		t.Errorf("it waits for %+v", full.ReportedWaits)
	}
	left = 1 << 30
	requireReady(t, w, second)
}

// A thousand agents come at once, one of them never finishes, and some have hardly a link.
func TestThousandAgentsAtOnce(t *testing.T) {
	o := Defaults()
	o.Agents, o.StoreSlots, o.TicksPerReport = 1000, 8, 4
	w := New(o)
	m := w.Store.Publish(chunks/4, chunkBytes, nil, 0)
	w.Use(weightsName, m.Digest)
	w.StartAll()
	never := w.Agents[17]
	never.SetRate(0.01)
	w.Agents[18].SetRate(o.BytesPerSecond / 20)
	if !w.Until(maxWait, func() bool {
		for _, a := range w.Agents {
			if a != never && a.Active(weightsName) != m.Digest {
				return false
			}
		}
		return true
	}) {
		t.Error("not all are ready")
	}
	requireNoViolations(t, w)
	if copies := float64(w.Store.TotalSentBytes()) / float64(m.Size); copies > 4 {
		t.Errorf("the store sent %.1f copies", copies)
	}
}

// Two versions of different names are fetched at a time, one after the other in the order of
// the names, and each is served from its own manifest.
func TestTwoNamesAreFetched(t *testing.T) {
	o := Defaults()
	o.Names = []string{weightsName, "models/coach"}
	w := New(o)
	manifests := map[string]digest.Digest{}
	for _, n := range o.Names {
		m := w.Store.Publish(chunks/2, chunkBytes, nil, 0)
		manifests[n] = m.Digest
		w.Use(n, m.Digest)
		w.Run(2 * time.Second)
	}
	w.StartAll()
	for _, n := range o.Names {
		if _, ok := w.UntilReady(maxWait, n, manifests[n]); !ok {
			t.Errorf("%s is not ready", n)
		}
	}
	requireNoViolations(t, w)
}
