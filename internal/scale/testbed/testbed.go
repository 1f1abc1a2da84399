// Package testbed runs real controllers, one process each, and a simulated world on one machine.
// Package fake simulates the workers, users, state service and cloud; the testbed serves them over
// real sockets and in real time. The scale experiments use it to apply load and faults and to take
// measurements.
package testbed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/fake"
)

// Testbed consists of the controllers and the simulated world of one experiment.
type Testbed struct {
	// World is owned by the testbed's loop. After Start, read and change it only in functions
	// passed to Do or DoAndWait.
	World       *fake.World
	Meter       *Meter
	Controllers *Controllers
	Addresses   Addresses
	Settings    config.Settings // of the controllers

	loop        *worldLoop
	servers     *simulatedServers
	sender      *requestSender
	partitioned map[string]bool // names of the machines that controllers can't reach; owned by the loop

	stopLoop context.CancelFunc // nil before Start
	probing  sync.WaitGroup
}

// maxListedEntries is the largest number of entries in a list response of the state service.
const maxListedEntries = 1000

// New returns a testbed that is not yet started. The command, followed by the path of a settings
// file, starts a controller. Settings files and logs are written to the directory.
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
	t.World.State.MaxListedEntries = maxListedEntries
	t.World.Cloud.Address = addresses.Worker
	t.World.Cloud.CapacityOf = spec.capacity(len(settings.Zones))
	t.World.OnBoot = t.servers.openWorkerListener
	t.World.Network = t.network(spec.Seed)
	t.loop.world = t.World
	return t
}

// OnUserResponse sets a function that the loop calls whenever a user's request succeeds. It must
// be called before Start.
func (t *Testbed) OnUserResponse(notify func(now time.Duration)) { t.sender.onUserResponse = notify }

// Start opens the simulated servers and starts the world's clock. Start the controllers
// afterwards. Call Close even if Start fails.
func (t *Testbed) Start(ctx context.Context) error {
	if err := t.servers.open(t.Addresses); err != nil {
		return err
	}
	ctx, t.stopLoop = context.WithCancel(ctx)
	go t.loop.run(ctx)
	return nil
}

// ProbeHealth starts the load balancer's health checks, which run until the context ends or Close
// is called.
func (t *Testbed) ProbeHealth(ctx context.Context) {
	t.probing.Go(func() { t.probeHealth(ctx) })
}

// Close kills the controllers and then stops the simulated world. This order is needed because the
// controllers send requests to the world.
func (t *Testbed) Close() {
	t.Controllers.KillAll()
	if t.stopLoop != nil {
		t.stopLoop()
		<-t.loop.stopped
	}
	t.probing.Wait()
	t.servers.close()
}

// Do queues a function for the loop and returns without waiting for the call.
func (t *Testbed) Do(call func()) { t.loop.do(call) }

// DoAndWait queues a function for the loop and waits for the call. If the loop has stopped, it
// returns without the call.
func (t *Testbed) DoAndWait(call func()) { t.loop.doAndWait(call) }

// Partition blocks the network between the controllers and the given machines. Call it only on the
// loop.
func (t *Testbed) Partition(machines []string) {
	for _, machine := range machines {
		t.partitioned[machine] = true
	}
}

// HealPartition ends all partitions. Call it only on the loop.
func (t *Testbed) HealPartition() { clear(t.partitioned) }

// Simulated latencies of external components, in addition to those of the machine itself.
const (
	stateLatency           = 6 * time.Millisecond
	slowStateResponseDelay = 200 * time.Millisecond
	slowStateShare         = 0.002 // fraction of the state service's responses
	cloudLatency           = 200 * time.Millisecond
)

// networkStream selects the network's random number stream; the workload uses another stream.
const networkStream = 2

// network returns the simulated network: it delays messages and drops those of partitioned
// machines.
func (t *Testbed) network(seed uint64) func(kind, from, to string) fake.Delivery {
	random := rand.New(rand.NewPCG(seed, networkStream))
	return func(kind, from, to string) fake.Delivery {
		var delivery fake.Delivery
		switch kind {
		case fake.KindState:
			delivery.RequestDelay, delivery.ResponseDelay = stateLatency/2, stateLatency/2
			if random.Float64() < slowStateShare {
				delivery.ResponseDelay = slowStateResponseDelay
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
