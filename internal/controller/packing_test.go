package controller

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oakpick/internal/config"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// scanPacking is the earlier way to make a plan: every bin is looked at for every task. It
// is kept to compare the plans.
type scanPacking struct{ packing }

func (p *scanPacking) add(j *job, tasks int, use map[string]int, spotOnly bool) {
	for tasks > 0 {
		b := p.binFor(j, tasks, use, spotOnly)
		if b == nil {
			return
		}
		count := 1
		if !j.Spread {
			count = j.need.count(b.room, tasks)
		}
		b.room = b.room.minus(j.need.times(float64(count)))
		b.used = true
		use[b.offer.zone] += count
		tasks -= count
	}
}

func (p *scanPacking) binFor(j *job, tasks int, use map[string]int, spotOnly bool) *bin {
	e := p.e
	k := packed{j.shape(), spotOnly, p.warm, j.Kind == protocol.Service}
	o, ok := e.cheapest(j, use, tasks, spotOnly)
	passOver := func(b *bin) bool { return ok && (p.sooner(j, b, o) || b.overdue && p.waits(j)) }
	b := p.pack(p.bins[p.from[k]:], j, use, spotOnly, passOver)
	if b == nil && !j.Spread && !j.OneZone {
		p.from[k] = len(p.bins)
	}
	if b != nil || !ok {
		return b
	}
	mt := e.fleet.kind(o.kind)
	b = &bin{offer: o, ready: config.Seconds(mt.BootS), room: size(mt)}
	p.bins = append(p.bins, b)
	return b
}

func (p *scanPacking) sooner(j *job, b *bin, o offer) bool {
	mt := p.e.fleet.kind(o.kind)
	if b.ready == 0 || mt == nil || o.kind == b.offer.kind {
		return false
	}
	return config.Seconds(mt.BootS) < b.ready && p.e.perTask(j, o) <= p.e.perTask(j, b.offer)
}

func (p *scanPacking) pack(bins []*bin, j *job, use map[string]int, spotOnly bool, passOver func(*bin) bool) *bin {
	var best *bin
	bestKey := math.Inf(1)
	for _, b := range bins {
		p.e.n.Stats.MachinesExamined++
		if !j.need.fits(b.room) || spotOnly && !b.offer.spot || !j.allowed(b.offer.kind, b.offer.zone, b.offer.spot) || !j.zoneOK(b.offer.zone, use) || passOver(b) {
			continue
		}
		key := b.room.gpus + b.room.cpus/1000
		if !b.used && (b.h == nil || len(b.h.tasks) == 0) {
			key = 1e6 * (1 + p.e.perTask(j, b.offer))
		}
		if key < bestKey {
			best, bestKey = b, key
		}
	}
	return best
}

// plannedFleet draws an engine with machine types, and refuses some of its offers.
func plannedFleet(t *rapid.T, zones []string) *engine {
	e := &engine{n: &Controller{}, fleet: fleet{refused: map[offer]time.Duration{}}}
	e.n.now.Monotonic = time.Hour
	for i := range rapid.IntRange(1, 3).Draw(t, "types") {
		e.fleet.types = append(e.fleet.types, protocol.MachineType{
			Name: fmt.Sprint("type", i), CPUs: rapid.SampledFrom([]float64{4, 8, 16}).Draw(t, "cpus"),
			GPUs: rapid.SampledFrom([]float64{0, 0, 4}).Draw(t, "gpus"), MemoryGB: 64,
			Price: rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "price"), SpotPrice: rapid.SampledFrom([]float64{0.3, 1}).Draw(t, "spot price"),
			BootS: rapid.SampledFrom([]float64{5, 20, 40}).Draw(t, "boot"), Zones: zones[:rapid.IntRange(1, len(zones)).Draw(t, "zones")],
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "refused") {
		e.fleet.refused[drawOffer(t, e, zones)] = 2 * time.Hour
	}
	return e
}

func drawOffer(t *rapid.T, e *engine, zones []string) offer {
	mt := rapid.SampledFrom(e.fleet.types).Draw(t, "type")
	return offer{mt.Name, rapid.SampledFrom(zones).Draw(t, "zone"), rapid.Bool().Draw(t, "spot")}
}

// presentCopies draws the machines that are there or coming, twice the same.
func presentCopies(t *rapid.T, e *engine, zones []string) (a, b []*bin) {
	for i := range rapid.IntRange(0, 20).Draw(t, "machines") {
		o := drawOffer(t, e, zones)
		x := bin{offer: o, room: size(e.fleet.kind(o.kind))}
		switch rapid.IntRange(0, 3).Draw(t, "state") {
		case 0: // in use
			x.room.cpus -= rapid.SampledFrom([]float64{0.5, 1, 3, 4}).Draw(t, "taken")
			x.h = &host{name: fmt.Sprint("h", i), tasks: []*task{{}}}
		case 1: // empty
			x.h = &host{name: fmt.Sprint("h", i)}
		case 2: // booting
			x.h = &host{name: fmt.Sprint("h", i)}
			x.ready, x.overdue = config.Seconds(rapid.SampledFrom([]float64{1, 6, 30}).Draw(t, "ready")), rapid.Bool().Draw(t, "late")
		case 3: // asked for
			x.ready = config.Seconds(e.fleet.kind(o.kind).BootS)
		}
		y := x
		a, b = append(a, &x), append(b, &y)
	}
	return a, b
}

func plannedJob(t *rapid.T, e *engine, zones []string, i int) *job {
	r := storage.JobRecord{
		ID: fmt.Sprint("wk-", i), Kind: rapid.SampledFrom([]protocol.JobKind{protocol.Array, protocol.Gang, protocol.Service}).Draw(t, "shape"),
		Tasks: rapid.IntRange(1, 30).Draw(t, "tasks"), CPUs: rapid.SampledFrom([]float64{0.5, 1, 1.3, 3}).Draw(t, "cpus"),
		GPUs: rapid.SampledFrom([]float64{0, 0, 1}).Draw(t, "gpus"), MemoryGB: 1, AnyType: rapid.Bool().Draw(t, "any type"),
		OneZone: rapid.IntRange(0, 4).Draw(t, "one zone") == 0, Spot: rapid.Bool().Draw(t, "may use spot"),
	}
	r.Spread = !r.OneZone && rapid.IntRange(0, 3).Draw(t, "spread") == 0
	if !r.AnyType {
		r.Types = []string{rapid.SampledFrom(e.fleet.types).Draw(t, "only type").Name}
	}
	if rapid.IntRange(0, 5).Draw(t, "bound") == 0 {
		r.Zone = rapid.SampledFrom(zones).Draw(t, "only zone")
	}
	return &job{JobRecord: r, e: e, need: need{r.CPUs, r.GPUs, r.MemoryGB}, kinds: fmt.Sprint(r.Types)}
}

// A plan is the same as when every bin was looked at for every task: what is rented, and
// which machines are needed.
func TestPackingMatchesExhaustiveScan(t *testing.T) {
	zones := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		e := plannedFleet(t, zones)
		present, copies := presentCopies(t, e, zones)
		p := newPacking(e, present)
		old := &scanPacking{packing{e: e, bins: copies, from: map[packed]int{}, existing: len(copies)}}
		for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			j := plannedJob(t, e, zones, i)
			spotOnly := j.Spot && rapid.IntRange(0, 3).Draw(t, "spot only") == 0
			p.warm = rapid.IntRange(0, 3).Draw(t, "warm") == 0
			old.warm = p.warm
			p.add(j, j.Tasks, map[string]int{}, spotOnly)
			old.add(j, j.Tasks, map[string]int{}, spotOnly)
		}
		same := func(a, b *bin) bool { return a.offer == b.offer && a.room == b.room && a.used == b.used && a.h == b.h }
		if !slices.EqualFunc(p.bins, old.bins, same) {
			t.Fatalf("the plan has %d bins, by scanning %d, or they differ", len(p.bins), len(old.bins))
		}
	})
}

// Of 400 machines none is looked at again for each of 300 tasks.
func TestPackingExaminesEachMachineOncePerJob(t *testing.T) {
	zones := []string{"a"}
	e := &engine{n: &Controller{}, fleet: fleet{refused: map[offer]time.Duration{}}}
	e.fleet.types = []protocol.MachineType{{Name: "t", CPUs: 16, MemoryGB: 64, Price: 1, SpotPrice: 0.5, BootS: 10, Zones: zones}}
	var present []*bin
	for range 400 {
		present = append(present, &bin{h: &host{}, offer: offer{"t", "a", false}, room: need{1.5, 0, 8}})
	}
	p := newPacking(e, present)
	j := &job{JobRecord: storage.JobRecord{ID: "wk-1", Tasks: 300, CPUs: 1, MemoryGB: 1, AnyType: true}, e: e, need: need{1, 0, 1}}
	p.add(j, j.Tasks, map[string]int{}, false)
	if seen := e.n.Stats.MachinesExamined; seen != 400 {
		t.Errorf("%d looks at machines", seen)
	}
}
