// Package fake holds in-memory stand-ins for everything outside a controller:
// state service, cloud, workers, users and the network between them. They are
// strict where the protocol is: limits, leases, tokens, incarnations and versions.
// Time is simulated, so a test names the interleaving that it is about.
package fake

import (
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// World holds everything, and checks the rules as it goes.
type World struct {
	// Now is how much time has passed.
	Now time.Duration
	// Cfg is what controllers are started with, apart from their names.
	Cfg *config.Config
	// State is the state service, Cloud the cloud.
	State *State
	Cloud *Cloud
	// Controllers are in the order of their Index.
	Controllers []*Controller
	// Workers has those of every machine that came up, by the machine's name.
	Workers map[string]*Worker
	// Jobs has those that users submitted, by ID.
	Jobs map[string]*Job
	// Violations lists the rules that were broken.
	Violations []string
	// Log has the controllers' log lines, and what users were answered.
	Log []string

	// Network decides what happens to each exchange, see the Kind constants; nil: there are
	// no faults.
	Network func(kind, from, to string) Delivery
	// SeparateWrites has Network tell writes of pages apart, as KindWrite, from the other
	// calls to the state service.
	SeparateWrites bool
	// RewriteAsProduction is what is left of a stored value once the version in production
	// has read it and written it back.
	RewriteAsProduction func(key string, value []byte) []byte

	// OnHeartbeat is called with every heartbeat that a worker sends, so that a test can
	// keep copies and hand them in later.
	OnHeartbeat func(heartbeat protocol.Heartbeat)
	// OnEffect is called with every effect of a controller, before it is performed.
	OnEffect func(controller string, effect message.Effect)
	// OnStep is called after every step of a controller, before its effects are performed.
	OnStep func(c *Controller, effects []message.Effect)
	// OnStart is called with every start that a worker executes, OnTaskPresent of every task
	// that has its image.
	OnStart, OnTaskPresent func(j *Job, task int)
	// OnBoot is called with every machine that comes up.
	OnBoot func(m protocol.Machine)

	// TasksLostToLeaseExpiry counts tasks that workers ended because their lease had
	// expired.
	TasksLostToLeaseExpiry int
	// TasksLostWithMachine counts tasks that were on machines that ended.
	TasksLostWithMachine int

	workerNames []string // in order
	jobNames    []string // in the order of submission
	pipelines   bool     // some job names prerequisites
	usageByTeam map[string]usage
	cancelled   []*Job // their users were told so, and tasks may still be on machines

	events   eventQueue
	lastTick time.Duration
	seq      int    // of the last event or choice of a controller
	seeds    uint64 // of the controllers' random numbers
}

// NewWorld makes a world with as many controllers as the settings say, which have just
// started.
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

// newWorld makes a world without controllers.
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

// cancelWithin is how long after its user was told that a job is cancelled its last task has
// to be off its machine.
func (w *World) cancelWithin() time.Duration { return seconds(w.Cfg.Settings.Workers.CancelWithinS) }

// rewriteAsProduction is a transaction as the version in production would have written it:
// of each value, only what that version knows.
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

// controllerNamed finds a controller by its name; nil: there is none.
func (w *World) controllerNamed(name string) *Controller {
	for _, c := range w.Controllers {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// Leader is the controller that leads; nil: none does.
func (w *World) Leader() *Controller {
	for _, c := range w.Controllers {
		if c.Leads() {
			return c
		}
	}
	return nil
}
