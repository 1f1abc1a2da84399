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
func begin(t *testing.T, o Options) (*World, *distribution.Manifest) {
	t.Helper()
	w := New(o)
	m := w.Store.Publish(chunks, chunkBytes, nil, 0)
	w.Use(weights, m.Digest)
	w.StartAll()
	return w, m
}

// ready fails unless every agent that runs serves the version in the end.
func ready(t *testing.T, w *World, m *distribution.Manifest) time.Duration {
	t.Helper()
	took, ok := w.UntilReady(minutes, weights, m.Digest)
	if !ok {
		for _, a := range w.Agents {
			if a.Up && a.Active(weights) != m.Digest {
				t.Errorf("%s serves %.14s: %+v", a.Name, a.Active(weights), a.HeardWaits)
			}
		}
		t.Fatal("not every agent is ready")
	}
	check(t, w)
	return took
}

// held is how many chunks an agent has stored.
func held(a *Agent) int { return int(a.Counts().Chunks) }

// busiest is the agent that passes most on, once one has half of the chunks.
func busiest(t *testing.T, w *World) *Agent {
	t.Helper()
	var found *Agent
	w.RunUntil(minutes, func() bool {
		for _, a := range w.Agents {
			if held(a) >= chunks/2 && len(a.uploads) > 1 && (found == nil || len(a.uploads) > len(found.uploads)) {
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
func fetchedOnce(t *testing.T, w *World) {
	t.Helper()
	for _, a := range w.Agents {
		for d, n := range a.Received {
			if n > chunkBytes {
				t.Errorf("%s received %d bytes of %s, which has %d", a.Name, n, d, chunkBytes)
			}
		}
	}
}

// A machine that passes weights on is killed, hangs without an error, or answers slowly for
// ever, halfway through. Its takers go on elsewhere within a stall and the time that the least
// rate allows for a chunk, and from the bytes that they have: none is fetched twice.
func TestSourceFailsHalfway(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(*Agent)
	}{
		{"killed", func(a *Agent) { a.Kill() }},
		{"hangs", func(a *Agent) { a.Hang(true); a.Silent = true }},
		{"slow for ever", func(a *Agent) { a.SetRate(1) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, m := begin(t, Defaults())
			victim := busiest(t, w)
			takers := 0
			for _, x := range victim.uploads {
				if x.to != victim {
					takers++
				}
			}
			c.fail(victim)
			// Stall, and the time that a chunk may take at the least rate.
			bound := 2*w.report() + time.Duration(chunkBytes/(w.Options.Rate/64)*float64(time.Second))
			if c.name != "slow for ever" {
				bound = 3 * w.report()
			}
			w.Run(bound)
			for _, x := range victim.uploads {
				if x.at+bound < w.Now || x.moved+bound < w.Now {
					t.Errorf("%s still waits for %s after %v", x.to.Name, victim.Name, bound)
				}
			}
			if takers == 0 {
				t.Fatal("nothing was passed on")
			}
			victim.Up = false // it need not be ready itself
			ready(t, w, m)
			fetchedOnce(t, w)
			if copies := float64(w.Store.SentBytes()) / float64(m.Size); copies > 1.5 {
				t.Errorf("the store sent %.2f copies", copies)
			}
		})
	}
}

// The version changes during the fetch: once, twice, and back to the first; while the leader
// ends; with a write whose answer is lost, and one that is carried out late. No agent ever
// serves bytes of two versions, and all come to serve the last. Chunks that versions share are
// fetched once.
func TestVersionChangesDuringTheFetch(t *testing.T) {
	for _, c := range []struct {
		name    string
		network func(w *World) func(kind, from, to string) fake.Delivery
		play    func(w *World, a, b, c *distribution.Manifest) *distribution.Manifest
	}{
		{"once", nil, func(w *World, _, b, _ *distribution.Manifest) *distribution.Manifest {
			w.Use(weights, b.Digest)
			return b
		}},
		{"twice", nil, func(w *World, _, b, c *distribution.Manifest) *distribution.Manifest {
			w.Use(weights, b.Digest)
			w.Run(3 * time.Second)
			w.Use(weights, c.Digest)
			return c
		}},
		{"back to the first", nil, func(w *World, a, b, _ *distribution.Manifest) *distribution.Manifest {
			w.Use(weights, b.Digest)
			w.Run(4 * time.Second)
			w.Use(weights, a.Digest)
			return a
		}},
		{"while the leader ends", nil, func(w *World, _, b, _ *distribution.Manifest) *distribution.Manifest {
			w.Use(weights, b.Digest)
			w.Run(2 * time.Millisecond) // the write may be under way
			leader := w.Leader()
			leader.Crash()
			w.Run(10 * time.Second)
			leader.Start()
			return b
		}},
		{"the write's answer is lost", func(*World) func(kind, from, to string) fake.Delivery {
			writes := 0
			return func(kind, _, _ string) fake.Delivery {
				f := fake.Reliable()
				if kind == "weights" {
					writes++
					f.LoseResponse = writes%2 == 1
				}
				return f
			}
		}, func(w *World, _, b, c *distribution.Manifest) *distribution.Manifest {
			w.Use(weights, b.Digest)
			w.Run(3 * time.Second)
			w.Use(weights, c.Digest)
			return c
		}},
		{"a write is carried out late", func(w *World) func(kind, from, to string) fake.Delivery {
			return func(kind, _, _ string) fake.Delivery {
				f := fake.Reliable()
				if kind == "weights" {
					f.LoseRequest, f.DuplicateAfter = w.rng.IntN(2) == 0, 4*time.Second
				}
				return f
			}
		}, func(w *World, a, b, c *distribution.Manifest) *distribution.Manifest {
			w.Use(weights, b.Digest)
			w.Run(3 * time.Second)
			w.Use(weights, c.Digest)
			w.Run(3 * time.Second)
			w.Use(weights, a.Digest)
			return a
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, first := begin(t, Defaults())
			second := w.Store.Publish(chunks, chunkBytes, first, chunks/4)
			third := w.Store.Publish(chunks, chunkBytes, second, chunks/2)
			w.Run(8 * time.Second)
			if c.network != nil {
				w.Network = c.network(w)
			}
			last := c.play(w, first, second, third)
			ready(t, w, last)
			w.Run(10 * time.Second) // what is late comes now
			ready(t, w, last)
			fetchedOnce(t, w)
		})
	}
}

// A version that was active is replaced while a reader reads it: the reader gets the bytes of
// the old one to its end.
func TestReaderKeepsItsVersion(t *testing.T) {
	o := Defaults()
	o.Agents, o.DiskBytes = 4, 2*chunks*chunkBytes
	w, first := begin(t, o)
	ready(t, w, first)
	a := w.Agents[0]
	reader, err := a.store.OpenActive(weights)
	if err != nil {
		t.Fatal(err)
	}
	for range 3 { // each needs the room of the one before the last
		next := w.Store.Publish(chunks, chunkBytes, nil, 0)
		w.Use(weights, next.Digest)
		w.Run(minutes / 5)
	}
	content, err := afero.ReadAll(reader)
	if err != nil || !strings.EqualFold(string(content), string(w.versions[first.Digest])) {
		t.Errorf("%d bytes of the old version: %v", len(content), err)
	}
	if err := reader.Close(); err != nil {
		t.Error(err)
	}
	w.Run(minutes)
	check(t, w)
	if a.Used() > o.DiskBytes {
		t.Errorf("%d bytes on disk, and %d allowed", a.Used(), o.DiskBytes)
	}
	if a.Counts().Evicted == 0 {
		t.Error("nothing was evicted")
	}
}

// The leader ends, is in doubt for a while, or stands still until another leads and wakes up
// again. Transfers go on meanwhile from the sources that are known, names never go back, and
// no source uploads to more than its slots, although the new leader knows nothing of the old
// one's leases.
func TestLeaderFailsDuringTheFetch(t *testing.T) {
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
			w.State.SetOutage(true)
			w.After(8*time.Second, func() { w.State.SetOutage(false) })
		}},
		{"deposed and wakes", func(w *World) {
			w.Leader().PausedUntil = w.Now + 6*time.Second
		}},
		{"all end", func(w *World) {
			for _, n := range w.Controllers {
				n.Crash()
				w.After(5*time.Second, n.Start)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, m := begin(t, Defaults())
			w.Run(7 * time.Second)
			before := 0
			for _, a := range w.Agents {
				before += held(a)
			}
			c.play(w)
			w.Run(4 * time.Second)
			after := 0
			for _, a := range w.Agents {
				after += held(a)
			}
			if after <= before {
				t.Errorf("%d chunks before, %d after four seconds without a leader", before, after)
			}
			ready(t, w, m)
			fetchedOnce(t, w)
		})
	}
}

// More takers than slots ask a source, because leases were given anew while others still used
// them: the source refuses what it has no slot for.
func TestSourcesAdmitNoMoreThanTheirSlots(t *testing.T) {
	o := Defaults()
	o.Agents = 30
	w, m := begin(t, o)
	for _, a := range w.Agents {
		a.Slots = 2
	}
	for range 5 {
		w.Run(4 * time.Second)
		if leader := w.Leader(); leader != nil {
			leader.Crash()
			w.After(2*time.Second, leader.Start)
		}
	}
	ready(t, w, m)
	refused := 0
	for _, a := range w.Agents {
		refused += a.RefusedSlots
	}
	if refused == 0 {
		t.Error("no source was ever asked for more than its slots: the story tests nothing")
	}
}

// A source sends wrong bytes, has a file that is cut short, or claims what it doesn't have:
// it is found out, dropped, and nothing of it is passed on. All sources at once: the store.
func TestBadSources(t *testing.T) {
	for _, c := range []struct {
		name  string
		spoil func(w *World, a *Agent, m *distribution.Manifest)
		fault distribution.Fault
		all   bool
	}{
		{"wrong bytes", func(_ *World, a *Agent, _ *distribution.Manifest) { a.Damages = true }, distribution.FaultDamaged, false},
		{"a file cut short", cutShort, distribution.FaultDamaged, false},
		{"claims what it doesn't have", func(_ *World, a *Agent, _ *distribution.Manifest) { a.Lies = true }, distribution.FaultMissing, false},
		{"wrong bytes from all", func(_ *World, a *Agent, _ *distribution.Manifest) { a.Damages = true }, distribution.FaultDamaged, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, m := begin(t, Defaults())
			w.Run(7 * time.Second)
			for i, a := range w.Agents {
				if c.all || i < 2 {
					c.spoil(w, a, m)
				}
			}
			ready(t, w, m)
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
func cutShort(w *World, a *Agent, m *distribution.Manifest) {
	for _, x := range m.Chunks {
		name := fmt.Sprintf("%s/chunks/%s", directory, x.Digest.Encoded())
		if content, err := afero.ReadFile(a.Disk, name); err == nil {
			if err := afero.WriteFile(a.Disk, name, content[:len(content)/2], 0o644); err != nil {
				w.fail("%v", err)
			}
		}
	}
}

// A chunk that came from two sources is damaged: neither can be blamed yet, and it is fetched
// again from one alone.
func TestDamageFromTwoSourcesBlamesNobodyAtOnce(t *testing.T) {
	w, m := begin(t, Defaults())
	w.Run(9 * time.Second)
	spoiled := w.Agents[0]
	spoiled.Damages = true
	w.After(400*time.Millisecond, func() { spoiled.Damages = false })
	ready(t, w, m)
	for _, a := range w.Agents {
		if a == spoiled {
			continue
		}
		for d, n := range a.Received {
			if n > 3*chunkBytes {
				t.Errorf("%s received %d bytes of %s", a.Name, n, d)
			}
		}
	}
}

// The store is down while every chunk is with some peer: all finish. While no peer has one
// chunk: the fetch waits, says which chunk it is, and goes on when the store is back.
func TestStoreIsDown(t *testing.T) {
	t.Run("every chunk is with some peer", func(t *testing.T) {
		w, m := begin(t, Defaults())
		if !w.RunUntil(minutes, func() bool { return w.Store.SentBytes() >= m.Size }) {
			t.Fatal("the store has not sent everything once")
		}
		w.Run(time.Second)
		w.Store.Down = true
		ready(t, w, m)
	})
	t.Run("one chunk is with nobody", func(t *testing.T) {
		w := New(Defaults())
		m := w.Store.Publish(chunks, chunkBytes, nil, 0)
		missing := m.Chunks[5].Digest
		w.Store.Missing[missing] = true
		w.Use(weights, m.Digest)
		w.StartAll()
		w.Run(minutes / 2)
		w.Store.Down = true
		w.Run(minutes / 10)
		for _, a := range w.Agents {
			if held(a) != chunks-1 {
				t.Errorf("%s holds %d chunks", a.Name, held(a))
			}
			if len(a.HeardWaits) != 1 || a.HeardWaits[0].Chunk != missing && a.HeardWaits[0].Chunk != "" {
				t.Errorf("%s waits for %+v", a.Name, a.HeardWaits)
			}
		}
		named := 0
		for _, a := range w.Agents {
			if a.HeardWaits[0].Chunk == missing {
				named++
			}
		}
		if named == 0 {
			t.Error("nobody names the chunk that is missing")
		}
		w.Store.Missing[missing], w.Store.Down = false, false
		if took := ready(t, w, m); took > time.Minute {
			t.Errorf("it took %v after the store was back", took)
		}
		fetchedOnce(t, w)
	})
}

// A zone is cut off from everything during the fetch, and returns.
func TestZoneIsCutOffAndReturns(t *testing.T) {
	w, m := begin(t, Defaults())
	w.Run(6 * time.Second)
	cut := w.Options.Settings.Zones[0]
	w.CutZones[cut] = true
	for _, a := range w.Agents {
		reshare(&a.endpoint)
	}
	if !w.RunUntil(minutes, func() bool {
		for _, a := range w.Agents {
			if a.Zone() != cut && a.Active(weights) != m.Digest {
				return false
			}
		}
		return true
	}) {
		t.Error("the other zone is not ready")
	}
	w.CutZones[cut] = false
	for _, a := range w.Agents {
		reshare(&a.endpoint)
	}
	ready(t, w, m)
}

// Agents are killed at every stage of the fetch, in the middle of writes and of activation,
// and start again with what is on their disks: nothing that they had is fetched again.
func TestAgentsRestart(t *testing.T) {
	w, m := begin(t, Defaults())
	for i := range 40 {
		w.Run(700 * time.Millisecond)
		a := w.Agents[i%len(w.Agents)]
		a.Kill()
		w.After(600*time.Millisecond, a.Start)
	}
	w.Run(time.Second)
	ready(t, w, m)
	fetchedOnce(t, w)
}

// A disk that is full takes no more until there is room again; what is served stays so.
func TestDiskIsFull(t *testing.T) {
	o := Defaults()
	w := New(o)
	first := w.Store.Publish(chunks, chunkBytes, nil, 0)
	left := int64(chunks * chunkBytes * 3 / 2)
	full := w.Agents[0]
	full.Disk = &limitedDisk{full.Disk, &left}
	w.Use(weights, first.Digest)
	w.StartAll()
	ready(t, w, first)
	second := w.Store.Publish(chunks, chunkBytes, nil, 0)
	w.Use(weights, second.Digest)
	w.Run(minutes)
	if full.Active(weights) != first.Digest || full.Counts().Faults[distribution.FaultDisk] == 0 {
		t.Errorf("it serves %s; faults %v", full.Active(weights), full.Counts().Faults)
	}
	if len(full.HeardWaits) != 1 || !strings.Contains(full.HeardWaits[0].Why, "disk") {
		t.Errorf("it waits for %+v", full.HeardWaits)
	}
	left = 1 << 30
	ready(t, w, second)
}

// A thousand agents come at once, one of them never finishes, and some have hardly a link.
func TestThousandAgentsAtOnce(t *testing.T) {
	o := Defaults()
	o.Agents, o.StoreSlots, o.Ticks = 1000, 8, 4
	w := New(o)
	m := w.Store.Publish(chunks/4, chunkBytes, nil, 0)
	w.Use(weights, m.Digest)
	w.StartAll()
	never := w.Agents[17]
	never.SetRate(0.01)
	w.Agents[18].SetRate(o.Rate / 20)
	if !w.RunUntil(minutes, func() bool {
		for _, a := range w.Agents {
			if a != never && a.Active(weights) != m.Digest {
				return false
			}
		}
		return true
	}) {
		t.Error("not all are ready")
	}
	check(t, w)
	if copies := float64(w.Store.SentBytes()) / float64(m.Size); copies > 4 {
		t.Errorf("the store sent %.1f copies", copies)
	}
}

// Two versions of different names are fetched at a time, one after the other in the order of
// the names, and each is served from its own manifest.
func TestTwoNames(t *testing.T) {
	o := Defaults()
	o.Names = []string{weights, "models/coach"}
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
		if _, ok := w.UntilReady(minutes, n, manifests[n]); !ok {
			t.Errorf("%s is not ready", n)
		}
	}
	check(t, w)
}
