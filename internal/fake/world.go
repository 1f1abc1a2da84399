// Package fake simulates everything outside a controller in memory: the state service, the cloud,
// workers, users and the network between them. The simulation enforces the rules of the protocol on
// limits, leases, tokens, incarnations and versions. Time is simulated, so that a test controls the
// order of events exactly.
package fake

import (
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// World is a simulated environment for controllers. It checks the protocol's rules while it runs.
type World struct {
	// Now is the simulated time since the start.
	Now time.Duration
	// Cfg is the configuration of the controllers, apart from their own name and their peers.
	Cfg *config.Config
	// State is the state service, Cloud the cloud API.
	State *State
	Cloud *Cloud
	// Controllers are ordered by Index.
	Controllers []*Controller
	// Workers has the workers of all machines that have booted, by machine name.
	Workers map[string]*Worker
	// Jobs has the submitted jobs by ID, and those of AddEndedJob.
	Jobs map[string]*Job
	// Violations lists the detected violations, see RecordViolation.
	Violations []string
	// Log has the log lines of the controllers and the statuses that users were told.
	Log []string

	// Network decides how each exchange is delivered. The kind is one of the Kind constants. If
	// Network is nil, there are no faults.
	Network func(kind, from, to string) Delivery
	// SeparatePageWrites makes page writes appear to Network as KindPageWrite, apart from the other
	// requests to the state service.
	SeparatePageWrites bool
	// RewriteAsProduction returns a stored value as the version in production writes it back after
	// reading it, without the fields unknown to that version.
	RewriteAsProduction func(key string, value []byte) []byte

	// OnHeartbeat is called with every heartbeat that a worker sends, so that a test can save copies
	// and replay them.
	OnHeartbeat func(heartbeat protocol.Heartbeat)
	// OnEffect is called with every effect of a controller before the effect is performed.
	OnEffect func(controller string, effect message.Effect)
	// OnStep is called after every step of a controller, before the step's effects are performed.
	OnStep func(c *Controller, effects []message.Effect)
	// OnStart is called for every start command that a worker executes, OnImageReady for every task
	// whose image is present on its machine.
	OnStart, OnImageReady func(j *Job, task int)
	// OnBoot is called with every machine that has booted.
	OnBoot func(m protocol.Machine)

	// TasksLostToLeaseExpiry counts tasks that workers ended because their lease expired.
	TasksLostToLeaseExpiry int
	// TasksLostWithMachine counts tasks that were on machines when the machines were terminated.
	TasksLostWithMachine int

	workerNames  []string // sorted
	jobIDs       []string // in order of submission
	hasPipelines bool     // whether any job names prerequisites
	usageByTeam  map[string]usage
	cancelled    []*Job // jobs that were reported cancelled and may still have tasks on machines

	events   eventQueue
	lastTick time.Duration
	seq      int    // counter of scheduled events and controller picks
	lastSeed uint64 // last seed of a controller's random numbers
}

// NewWorld returns a world with as many controllers as the settings specify, and starts them.
func NewWorld(s config.Settings) *World {
	w := newWorld(s, Types())
	drifts := []float64{0, 0.0005, -0.0005}
	for i := range s.ControllerCount {
		c := &Controller{world: w, Name: "n" + strconv.Itoa(i), Index: i, drift: drifts[i%len(drifts)]}
		w.Controllers = append(w.Controllers, c)
	}
	for _, c := range w.Controllers {
		c.Start()
	}
	return w
}

// newWorld returns a world without controllers.
func newWorld(s config.Settings, types []protocol.MachineType) *World {
	w := &World{
		Cfg: &config.Config{Settings: s}, Workers: map[string]*Worker{}, Jobs: map[string]*Job{},
		usageByTeam: map[string]usage{},
	}
	w.State = newState(w, s.State)
	w.Cloud = newCloud(w, types)
	return w
}

func seconds(s float64) time.Duration { return config.Seconds(s) }

func (w *World) heartbeatInterval() time.Duration {
	return seconds(w.Cfg.Settings.Workers.HeartbeatIntervalS)
}

// cancelWithin is the time within which the tasks of a cancelled job must end, counted from the time
// at which its user was told.
func (w *World) cancelWithin() time.Duration { return seconds(w.Cfg.Settings.Workers.CancelWithinS) }

// rewriteAsProduction returns a transaction as the version in production would write it, with only
// the fields that the version in production knows.
func (w *World) rewriteAsProduction(txn protocol.Txn) protocol.Txn {
	if w.RewriteAsProduction == nil {
		return txn
	}
	changes := make([]protocol.Change, len(txn.Then))
	for i, change := range txn.Then {
		change.Value = msgpack.RawMessage(w.RewriteAsProduction(change.Put, protocol.Encode(change.Value)))
		changes[i] = change
	}
	txn.Then = changes
	return txn
}

// controllerNamed returns the controller with the given name, or nil.
func (w *World) controllerNamed(name string) *Controller {
	for _, c := range w.Controllers {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Leader returns the first controller in the leader role, or nil.
func (w *World) Leader() *Controller {
	for _, c := range w.Controllers {
		if c.Leads() {
			return c
		}
	}
	return nil
}
