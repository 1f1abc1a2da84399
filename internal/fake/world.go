package fake

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/controller"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

func sec(s float64) time.Duration { return config.Seconds(s) }

// Delivery is what the network does to one exchange.
type Delivery struct {
	RequestDelay, ResponseDelay time.Duration
	LoseRequest, LoseResponse   bool
	DuplicateAfter              time.Duration // a second delivery of the request, so much later; 0: none
}

// World holds everything, and checks the rules as it goes.
type World struct {
	Now         time.Duration
	Cfg         *config.Config
	State       *State
	Cloud       *Cloud
	Controllers []*Controller
	Workers     map[string]*Worker
	Jobs        map[string]*Job
	// Network decides what happens to each exchange; nil: all is well.
	Network func(kind, from, to string) Delivery
	// Violations lists the rules that were broken.
	Violations []string
	// Log has the nodes' lines.
	Log []string
	// OnHeartbeat is told of every report that a worker sends, so that a test can
	// keep copies and hand them in later.
	OnHeartbeat func(r protocol.Heartbeat)

	// SeparateWrites has Network tell writes of pages apart, as "write", from the other
	// calls to the state service.
	SeparateWrites bool
	// RewriteAsProduction is what is left of a stored value once the version in production has
	// read it and written it back.
	RewriteAsProduction func(key string, value []byte) []byte

	// OnEffect is told of every effect of a controller, before it is carried out.
	OnEffect func(node string, effect message.Effect)

	// TasksLostToLeaseExpiry counts tasks that workers ended because their lease had lapsed.
	TasksLostToLeaseExpiry int
	// TasksLostWithMachine counts tasks that were on machines that died.
	TasksLostWithMachine int
	// OnStart is told of every start that a worker executes, OnTaskPresent of every task
	// that has its image.
	OnStart, OnTaskPresent func(j *Job, task int)
	// OnBoot is told of every machine that comes up.
	OnBoot func(m protocol.Machine)

	workerNames []string
	jobNames    []string
	pipelines   bool                  // some job names prerequisites
	usageByTeam map[string][2]float64 // processors and GPUs of tasks on machines, by team
	cancelled   []*Job                // their users were told so, and tasks may still be on machines
	events      events
	lastTick    time.Duration // when everybody last looked at what time calls for
	seq         int
	seeds       uint64
}

// Settings gives small figures for a test.
func Settings() config.Settings {
	return config.Settings{
		Size: 3, Zones: []string{"a", "b"},
		Teams: []config.Team{
			{Name: "red", GuaranteedCPUs: 8, CPULimit: 12},
			{Name: "blue", GuaranteedCPUs: 4},
		},
		Workers: config.Workers{HeartbeatIntervalS: 2, LeaseS: 10, GangStartTimeoutS: 15, GangPeerTimeoutS: 3, CancelWithinS: 25},
		State:   config.State{RPS: 200, WriteRPS: 40, ValueKB: 2, TxnOps: 4},
		Cloud:   config.Cloud{RPS: 4, ListLagS: 4},
		Limits:  config.Limits{CPU: 0.2, MemoryMB: 96, MaxConnections: 400},
	}
}

// Types are the machine types that the fake cloud rents.
func Types() []protocol.MachineType {
	return []protocol.MachineType{
		{Name: "small", CPUs: 4, MemoryGB: 16, CacheGB: 100, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: []string{"a", "b"}},
		{Name: "large", CPUs: 8, GPUs: 2, MemoryGB: 64, CacheGB: 100, FetchGBPerS: 2, Price: 4.4, SpotPrice: 1.5, BootS: 8, Zones: []string{"a"}},
	}
}

// NewWorld makes a world with as many controllers as the settings say, which have just
// started.
func NewWorld(s config.Settings) *World {
	w := newWorld(s, Types())
	drifts := []float64{0, 0.0005, -0.0005}
	for i := range s.Size {
		w.Controllers = append(w.Controllers, &Controller{world: w, Name: "n" + strconv.Itoa(i), Index: i, drift: drifts[i%len(drifts)]})
	}
	for _, n := range w.Controllers {
		n.Start()
	}
	return w
}

// newWorld makes one without controllers.
func newWorld(s config.Settings, types []protocol.MachineType) *World {
	w := &World{Cfg: &config.Config{Settings: s}, Workers: map[string]*Worker{}, Jobs: map[string]*Job{}, usageByTeam: map[string][2]float64{}}
	w.State = newState(w, s.State)
	w.Cloud = &Cloud{world: w, types: types, provisioned: map[string][]string{}, Capacity: 16}
	return w
}

// After plans something.
func (w *World) After(d time.Duration, do func()) {
	w.seq++
	w.events.add(event{w.Now + d, w.seq, do})
}

const step = 50 * time.Millisecond

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	end := w.Now + d
	for w.Now < end {
		w.runEvents(w.Now + step)
		w.tick()
	}
}

// RunUntil runs until a condition holds, for so long at most.
func (w *World) RunUntil(d time.Duration, ok func() bool) bool {
	end := w.Now + d
	for w.Now < end {
		if ok() {
			return true
		}
		w.Run(step)
	}
	return ok()
}

func (w *World) deliveryOf(kind, from, to string) Delivery {
	if w.Network != nil {
		return w.Network(kind, from, to)
	}
	return Reliable()
}

// Reliable is a network without faults.
func Reliable() Delivery {
	return Delivery{RequestDelay: 2 * time.Millisecond, ResponseDelay: 2 * time.Millisecond}
}

// controllerNamed finds a node by its name.
func (w *World) controllerNamed(name string) *Controller {
	for _, n := range w.Controllers {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Leader is the node that leads, if any.
func (w *World) Leader() *Controller {
	for _, n := range w.Controllers {
		if n.Leads() {
			return n
		}
	}
	return nil
}

// KnownMachines is how many machines the leader knows of, as it tells operators; -1: nobody
// leads.
func (w *World) KnownMachines() int {
	l := w.Leader()
	if l == nil {
		return -1
	}
	known := -1
	l.Request(message.AdminRequest{Kind: message.AdminStatus}, func(r message.Reply) {
		var status controller.Status
		if json.Unmarshal(r.Body, &status) != nil || status.Leads == nil {
			return
		}
		known = 0
		for _, m := range status.Leads.Machines {
			known += m.Booting + m.Up + m.Silent
		}
	})
	return known
}

// Running counts a job's tasks that run.
func (w *World) Running(id string) int {
	n := 0
	for t := range w.tasksOnMachines(id) {
		if t.State == protocol.Running {
			n++
		}
	}
	return n
}

// tasksOnMachines is the set of a job's tasks that are on machines.
func (w *World) tasksOnMachines(id string) map[*attempt]bool {
	if j := w.Jobs[id]; j != nil {
		return j.attemptsOnMachines
	}
	return nil
}

// MachinesOf names the machines on which a job has tasks.
func (w *World) MachinesOf(id string) []string {
	var out []string
	for t := range w.tasksOnMachines(id) {
		out = append(out, t.worker.machine.Name)
	}
	slices.Sort(out)
	return out
}

// MachineNames lists the machines that are up.
func (w *World) MachineNames() []string {
	var out []string
	for _, name := range w.workerNames {
		if !w.Workers[name].terminated {
			out = append(out, name)
		}
	}
	return out
}

// AnnounceInterruption has the cloud take a machine after a time.
func (w *World) AnnounceInterruption(name string, in time.Duration) {
	if k := w.Workers[name]; k != nil && !k.terminated {
		k.interruptionAt = w.Now + in
		k.heartbeatSoon()
	}
}

// TypeOf is a machine's type.
func (w *World) TypeOf(name string) string { return w.Workers[name].machine.Type }

// ZoneOf is a machine's zone.
func (w *World) ZoneOf(name string) string { return w.Workers[name].machine.Zone }

// Incarnation is a worker's present session.
func (w *World) Incarnation(name string) int64 { return w.Workers[name].incarnation }
