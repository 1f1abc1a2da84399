package autoscaling

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oakpick/internal/cluster"
	"oakpick/internal/config"
	"oakpick/internal/protocol"
	"oakpick/internal/resources"
	"oakpick/internal/scheduling"
	"oakpick/internal/step"
	"oakpick/internal/storage"
	"oakpick/internal/timing"
)

// scanPacking is a reference implementation that examines every bin for every task. The tests
// compare its plans with those of packing.
type scanPacking struct{ packing }

func (p *scanPacking) add(j *cluster.Job, tasks int, perZone map[string]int, spotOnly bool) {
	for tasks > 0 {
		b := p.binFor(j, tasks, perZone, spotOnly)
		if b == nil {
			return
		}
		count := 1
		if !j.Spread {
			count = j.Request.CountIn(b.free, tasks)
		}
		b.free = b.free.Minus(j.Request.Times(float64(count)))
		b.used = true
		perZone[b.offering.Zone] += count
		tasks -= count
	}
}

func (p *scanPacking) binFor(j *cluster.Job, tasks int, perZone map[string]int, spotOnly bool) *bin {
	a := p.autoscaler
	class := packingClass{a.scheduler.RequestClass(j), spotOnly, p.headroom, j.Kind == protocol.Service}
	o, ok := a.cheapestOffering(j, perZone, tasks, spotOnly)
	passOver := func(b *bin) bool { return ok && (p.sooner(j, b, o) || b.overdue && p.isWaitingReplica(j)) }
	b := p.pack(p.bins[p.searchFrom[class]:], j, perZone, spotOnly, passOver)
	if b == nil && !j.Spread && !j.OneZone {
		p.searchFrom[class] = len(p.bins)
	}
	if b != nil || !ok {
		return b
	}
	machineType := a.state.Catalog.Type(o.Type)
	b = &bin{offering: o, readyIn: config.Seconds(machineType.BootS), free: cluster.Capacity(machineType)}
	p.bins = append(p.bins, b)
	return b
}

func (p *scanPacking) sooner(j *cluster.Job, b *bin, o cluster.Offering) bool {
	catalog := &p.autoscaler.state.Catalog
	machineType := catalog.Type(o.Type)
	if b.readyIn == 0 || machineType == nil || o.Type == b.offering.Type {
		return false
	}
	return config.Seconds(machineType.BootS) < b.readyIn && catalog.PricePerTask(j, o) <= catalog.PricePerTask(j, b.offering)
}

func (p *scanPacking) pack(bins []*bin, j *cluster.Job, perZone map[string]int, spotOnly bool, passOver func(*bin) bool) *bin {
	var best *bin
	bestKey := math.Inf(1)
	for _, b := range bins {
		p.autoscaler.context.Stats.MachinesExamined++
		if !j.Request.FitsIn(b.free) || spotOnly && !b.offering.Spot || !j.AllowedOn(b.offering) || !j.AllowsZone(b.offering.Zone, perZone) || passOver(b) {
			continue
		}
		key := b.free.GPUs + b.free.CPUs/1000
		if !b.used && (b.machine == nil || len(b.machine.Tasks) == 0) {
			key = 1e6 * (1 + p.autoscaler.state.Catalog.PricePerTask(j, b.offering))
		}
		if key < bestKey {
			best, bestKey = b, key
		}
	}
	return best
}

// blockTasks is the number of tasks per block of the test jobs.
const blockTasks = 64

// emptyAutoscaler returns the autoscaler of a cluster without machines.
func emptyAutoscaler() *Autoscaler {
	context := step.NewContext(1, time.Hour)
	state := cluster.NewState(context, nil)
	scheduler := scheduling.New(context, state, nil, nil, timing.Timing{}, nil, &config.Settings{}, scheduling.Options{})
	return New(context, state, nil, nil, scheduler, timing.Workers{}, nil, config.Cloud{RPS: 1}, Options{})
}

// plannedFleet draws an autoscaler with machine types, some of whose offerings are out of capacity.
func plannedFleet(t *rapid.T, zones []string) *Autoscaler {
	a := emptyAutoscaler()
	a.context.Now.Monotonic = time.Hour
	for i := range rapid.IntRange(1, 3).Draw(t, "types") {
		a.state.Catalog.Types = append(a.state.Catalog.Types, protocol.MachineType{
			Name: fmt.Sprint("type", i), CPUs: rapid.SampledFrom([]float64{4, 8, 16}).Draw(t, "cpus"),
			GPUs: rapid.SampledFrom([]float64{0, 0, 4}).Draw(t, "gpus"), MemoryGB: 64,
			Price: rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "price"), SpotPrice: rapid.SampledFrom([]float64{0.3, 1}).Draw(t, "spot price"),
			BootS: rapid.SampledFrom([]float64{5, 20, 40}).Draw(t, "boot"), Zones: zones[:rapid.IntRange(1, len(zones)).Draw(t, "zones")],
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "refused") {
		a.outOfCapacity[drawOffering(t, a, zones)] = 2 * time.Hour
	}
	return a
}

func drawOffering(t *rapid.T, a *Autoscaler, zones []string) cluster.Offering {
	machineType := rapid.SampledFrom(a.state.Catalog.Types).Draw(t, "type")
	return cluster.Offering{Type: machineType.Name, Zone: rapid.SampledFrom(zones).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "spot")}
}

// presentCopies draws the bins of existing and requested machines, and returns them twice.
func presentCopies(t *rapid.T, a *Autoscaler, zones []string) (bins, copies []*bin) {
	for i := range rapid.IntRange(0, 20).Draw(t, "machines") {
		o := drawOffering(t, a, zones)
		x := bin{offering: o, free: cluster.Capacity(a.state.Catalog.Type(o.Type))}
		switch rapid.IntRange(0, 3).Draw(t, "state") {
		case 0: // in use
			x.free.CPUs -= rapid.SampledFrom([]float64{0.5, 1, 3, 4}).Draw(t, "taken")
			x.machine = &cluster.Machine{Name: fmt.Sprint("h", i), Tasks: []*cluster.Task{{}}}
		case 1: // empty
			x.machine = &cluster.Machine{Name: fmt.Sprint("h", i)}
		case 2: // booting
			x.machine = &cluster.Machine{Name: fmt.Sprint("h", i)}
			x.readyIn, x.overdue = config.Seconds(rapid.SampledFrom([]float64{1, 6, 30}).Draw(t, "ready")), rapid.Bool().Draw(t, "late")
		case 3: // requested
			x.readyIn = config.Seconds(a.state.Catalog.Type(o.Type).BootS)
		}
		y := x
		bins, copies = append(bins, &x), append(copies, &y)
	}
	return bins, copies
}

func plannedJob(t *rapid.T, a *Autoscaler, zones []string, i int) *cluster.Job {
	r := storage.JobRecord{
		ID: fmt.Sprint("wk-", i), Kind: rapid.SampledFrom([]protocol.JobKind{protocol.Array, protocol.Gang, protocol.Service}).Draw(t, "shape"),
		Tasks: rapid.IntRange(1, 30).Draw(t, "tasks"), CPUs: rapid.SampledFrom([]float64{0.5, 1, 1.3, 3}).Draw(t, "cpus"),
		GPUs: rapid.SampledFrom([]float64{0, 0, 1}).Draw(t, "gpus"), MemoryGB: 1, AnyType: rapid.Bool().Draw(t, "any type"),
		OneZone: rapid.IntRange(0, 4).Draw(t, "one zone") == 0, Spot: rapid.Bool().Draw(t, "may use spot"),
	}
	r.Spread = !r.OneZone && rapid.IntRange(0, 3).Draw(t, "spread") == 0
	if !r.AnyType {
		r.Types = []string{rapid.SampledFrom(a.state.Catalog.Types).Draw(t, "only type").Name}
	}
	if rapid.IntRange(0, 5).Draw(t, "bound") == 0 {
		r.Zone = rapid.SampledFrom(zones).Draw(t, "only zone")
	}
	return cluster.NewJob(r, nil, blockTasks, 0)
}

// Plans have the same bins, used in the same way, as those of the reference implementation that
// examines every bin for every task.
func TestPlanMatchesFullScan(t *testing.T) {
	zones := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		a := plannedFleet(t, zones)
		present, copies := presentCopies(t, a, zones)
		p := newPacking(a, present)
		old := &scanPacking{packing{autoscaler: a, bins: copies, searchFrom: map[packingClass]int{}, existingBins: len(copies)}}
		for i := range rapid.IntRange(1, 8).Draw(t, "jobs") {
			j := plannedJob(t, a, zones, i)
			spotOnly := j.Spot && rapid.IntRange(0, 3).Draw(t, "spot only") == 0
			p.headroom = rapid.IntRange(0, 3).Draw(t, "warm") == 0
			old.headroom = p.headroom
			p.add(j, j.Tasks, map[string]int{}, spotOnly)
			old.add(j, j.Tasks, map[string]int{}, spotOnly)
		}
		same := func(a, b *bin) bool {
			return a.offering == b.offering && a.free == b.free && a.used == b.used && a.machine == b.machine
		}
		if !slices.EqualFunc(p.bins, old.bins, same) {
			t.Fatalf("the plan has %d bins and the full scan's has %d, or their bins differ", len(p.bins), len(old.bins))
		}
	})
}

// A plan examines each of 400 machines once, not again for each of 300 tasks.
func TestPlanExaminesEachMachineOncePerJob(t *testing.T) {
	zones := []string{"a"}
	a := emptyAutoscaler()
	a.state.Catalog.Types = []protocol.MachineType{{Name: "t", CPUs: 16, MemoryGB: 64, Price: 1, SpotPrice: 0.5, BootS: 10, Zones: zones}}
	var present []*bin
	for range 400 {
		present = append(present, &bin{machine: &cluster.Machine{}, offering: cluster.Offering{Type: "t", Zone: "a"}, free: resources.Amount{CPUs: 1.5, MemoryGB: 8}})
	}
	p := newPacking(a, present)
	j := cluster.NewJob(storage.JobRecord{ID: "wk-1", Tasks: 300, CPUs: 1, MemoryGB: 1, AnyType: true}, nil, blockTasks, 0)
	p.add(j, j.Tasks, map[string]int{}, false)
	if seen := a.context.Stats.MachinesExamined; seen != 400 {
		t.Errorf("%d machines were examined", seen)
	}
}
