// Package testbed runs real controllers, a process each, on one machine beside a simulated
// world: the workers, users, state service and cloud of package fake behind real sockets, in
// real time. The scale experiments drive it and measure through it.
package testbed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
)

// Testbed is the controllers and the simulated world of one experiment.
type Testbed struct {
	// World belongs to the testbed's loop: read and change it only in functions given to Do and
	// DoAndWait, and before Start.
	World       *fake.World
	Meter       *Meter
	Controllers *Controllers
	Addresses   Addresses
	Settings    config.Settings // the controllers'

	loop        *worldLoop
	servers     *simulatedServers
	sender      *requestSender
	partitioned map[string]bool // machines that controllers can't reach; the loop owns it

	stopLoop context.CancelFunc // nil before Start
	probing  sync.WaitGroup
}

// maxListedKeys is how many entries the state service lists at a time.
const maxListedKeys = 1000

// New makes a testbed that is not started yet. The command starts a controller if a settings
// file is added; settings and logs go to the directory.
func New(spec Spec, command []string, directory string) *Testbed {
	settings, addresses := spec.settings(), NewAddresses()
	t := &Testbed{
		Meter: newMeter(), Addresses: addresses, Settings: settings, loop: newWorldLoop(), partitioned: map[string]bool{},
		Controllers: newControllers(command, addresses, settings, directory),
	}
	var names, apiAddresses []string
	for controller := range spec.Controllers {
		names = append(names, ControllerName(controller))
		apiAddresses = append(apiAddresses, addresses.API(controller))
	}
	t.servers = newSimulatedServers(t.loop, t.Meter, spec.StateRPS)
	t.sender = newRequestSender(t.loop, t.Meter, apiAddresses, spec.userConnections())
	t.World = fake.NewWithRemoteControllers(settings, spec.machineTypes(settings.Zones), names, t.sender.sendTo)
	t.World.State.MaxListed = maxListedKeys
	t.World.Cloud.Address = addresses.Worker
	t.World.Cloud.CapacityOf = spec.capacity(len(settings.Zones))
	t.World.OnBoot = t.servers.openWorker
	t.World.Network = t.network(spec.Seed)
	t.loop.world = t.World
	return t
}

// OnUserAnswer has the loop call a function whenever a user's request succeeds. Set it before
// Start.
func (t *Testbed) OnUserAnswer(notify func(now time.Duration)) { t.sender.onUserAnswer = notify }

// Start opens the simulated servers and lets the world's time pass. The controllers are to be
// started after it, and Close is to be called also if Start fails.
func (t *Testbed) Start(ctx context.Context) error {
	if err := t.servers.open(t.Addresses); err != nil {
		return err
	}
	ctx, t.stopLoop = context.WithCancel(ctx)
	go t.loop.run(ctx)
	return nil
}

// ProbeHealth makes the load balancer's health checks until the context ends or Close.
func (t *Testbed) ProbeHealth(ctx context.Context) {
	t.probing.Go(func() { t.probeHealth(ctx) })
}

// Close ends the controllers and the simulated world, in that order: the controllers speak to
// the world.
func (t *Testbed) Close() {
	t.Controllers.KillAll()
	if t.stopLoop != nil {
		t.stopLoop()
		<-t.loop.stopped
	}
	t.probing.Wait()
	t.servers.close()
}

// Do has the loop call a function, and doesn't wait for it.
func (t *Testbed) Do(call func()) { t.loop.do(call) }

// DoAndWait has the loop call a function. It returns without the call once the loop has stopped.
func (t *Testbed) DoAndWait(call func()) { t.loop.doAndWait(call) }

// Partition keeps controllers and these machines from reaching each other. The loop calls it.
func (t *Testbed) Partition(machines []string) {
	for _, machine := range machines {
		t.partitioned[machine] = true
	}
}

// HealPartition undoes Partition. The loop calls it.
func (t *Testbed) HealPartition() { clear(t.partitioned) }

// Latencies of the components outside, on top of the machine's own.
const (
	stateLatency    = 6 * time.Millisecond
	slowStateAnswer = 200 * time.Millisecond
	slowStateShare  = 0.002 // of the state service's answers
	cloudLatency    = 200 * time.Millisecond
)

// networkStream is the stream of random numbers; the workload draws from another.
const networkStream = 2

// network returns the simulated network: latencies and partitioned machines.
func (t *Testbed) network(seed uint64) func(kind, from, to string) fake.Delivery {
	random := rand.New(rand.NewPCG(seed, networkStream))
	return func(kind, from, to string) fake.Delivery {
		var delivery fake.Delivery
		switch kind {
		case fake.KindState:
			delivery.RequestDelay, delivery.ResponseDelay = stateLatency/2, stateLatency/2
			if random.Float64() < slowStateShare {
				delivery.ResponseDelay = slowStateAnswer
			}
		case fake.KindCloud:
			delivery.RequestDelay, delivery.ResponseDelay = cloudLatency/2, cloudLatency/2
		case fake.KindHeartbeat:
			delivery.LoseRequest = t.partitioned[from]
		case fake.KindCommands:
			delivery.LoseRequest = t.partitioned[to]
		}
		return delivery
	}
}
