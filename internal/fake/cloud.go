package fake

import (
	"fmt"
	"slices"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// machine is a machine of the cloud.
type machine struct {
	protocol.Machine
	provisionedAt time.Duration
	terminated    bool
}

// Cloud rents machines.
type Cloud struct {
	// Down has every request refused.
	Down bool
	// Capacity is how many machines there are of each type, zone and capacity type.
	Capacity int
	// CapacityOf overrides Capacity for a machine type.
	CapacityOf map[string]int
	// BootDelay delays boots.
	BootDelay time.Duration
	// FailNextBoots is how many of the next machines never come up.
	FailNextBoots int
	// Address gives the address of the n-th machine; nil: one that nobody connects to.
	Address func(n int) string

	world       *World
	types       []protocol.MachineType
	machines    []*machine
	provisioned map[string][]string // names of machines by the ID of the request for them
	lastNumber  int
}

// defaultCapacity is Capacity of a new cloud.
const defaultCapacity = 16

func newCloud(w *World, types []protocol.MachineType) *Cloud {
	return &Cloud{world: w, types: types, provisioned: map[string][]string{}, Capacity: defaultCapacity}
}

func (c *Cloud) execute(call message.CloudCall) message.CloudResult {
	result := message.CloudResult{ID: call.ID}
	if c.Down {
		result.Outcome = rpc.Refused
		return result
	}
	switch call.Op {
	case message.CloudListTypes:
		result.Types = c.types
	case message.CloudListMachines:
		result.List.Machines = c.list()
	case message.CloudScaleOut:
		result.Machines, result.Outcome = c.scaleOut(call.Provisioning)
	case message.CloudScaleIn:
		c.scaleIn(call.Machines)
	}
	return result
}

// list is the inventory, which lags: it shows what was so a while ago.
func (c *Cloud) list() []protocol.Machine {
	lag := seconds(c.world.Cfg.Settings.Cloud.ListLagS)
	var machines []protocol.Machine
	for _, m := range c.machines {
		if m.terminated || m.provisionedAt+lag > c.world.Now {
			continue
		}
		listed := m.Machine
		listed.AgeS = (c.world.Now - m.provisionedAt).Seconds()
		machines = append(machines, listed)
	}
	return machines
}

// The most machines that one request may ask for or return.
const (
	maxScaleOut = 50
	maxScaleIn  = 100
)

// scaleOut executes a provisioning request. A repeated one gets the machines of the first.
func (c *Cloud) scaleOut(request protocol.ProvisioningRequest) ([]string, rpc.Outcome) {
	if request.Count < 1 || request.Count > maxScaleOut {
		c.world.RecordViolation(ruleCloud, "%d machines requested at once", request.Count)
	}
	if names, ok := c.provisioned[request.RequestID]; ok {
		return names, rpc.OK
	}
	if !slices.ContainsFunc(c.types, func(t protocol.MachineType) bool { return t.Name == request.Type }) {
		return nil, rpc.Invalid
	}
	count := min(request.Count, c.available(request))
	if count <= 0 {
		return nil, rpc.NotFound
	}
	var names []string
	for range count {
		names = append(names, c.addMachine(request.Type, request.Zone, request.Spot))
	}
	c.provisioned[request.RequestID] = names
	return names, rpc.OK
}

// available is how many machines are left of what a request asks for.
func (c *Cloud) available(request protocol.ProvisioningRequest) int {
	capacity, ok := c.CapacityOf[request.Type]
	if !ok {
		capacity = c.Capacity
	}
	for _, m := range c.machines {
		if !m.terminated && m.Type == request.Type && m.Zone == request.Zone && m.Spot == request.Spot {
			capacity--
		}
	}
	return capacity
}

func (c *Cloud) scaleIn(names []string) {
	if len(names) > maxScaleIn {
		c.world.RecordViolation(ruleCloud, "%d machines returned at once", len(names))
	}
	for _, name := range names {
		c.Reclaim(name)
	}
}

// addMachine makes a machine, which boots and starts to send heartbeats, and gives its name.
func (c *Cloud) addMachine(machineType, zone string, spot bool) string {
	c.lastNumber++
	addr := fmt.Sprintf("10.1.0.%d:9000", c.lastNumber)
	if c.Address != nil {
		addr = c.Address(c.lastNumber)
	}
	m := &machine{provisionedAt: c.world.Now, Machine: protocol.Machine{
		Name: fmt.Sprintf("i-%06d", c.lastNumber), Addr: addr, Type: machineType, Zone: zone, Spot: spot,
		Status: protocol.MachineBooting,
	}}
	c.machines = append(c.machines, m)
	if c.FailNextBoots > 0 {
		c.FailNextBoots--
		return m.Name
	}
	i := slices.IndexFunc(c.types, func(t protocol.MachineType) bool { return t.Name == machineType })
	c.world.After(seconds(c.types[i].BootS)+c.BootDelay, func() {
		if !m.terminated {
			m.Status = protocol.MachineRunning
			c.world.addWorker(m, c.types[i])
		}
	})
	return m.Name
}

// Reclaim takes a machine and all that is on it.
func (c *Cloud) Reclaim(name string) {
	for _, m := range c.machines {
		if m.Name != name || m.terminated {
			continue
		}
		m.terminated = true
		if worker := c.world.Workers[name]; worker != nil {
			worker.terminate()
		}
	}
}

// failureListedAfter is how long the inventory shows a failed machine as running.
const failureListedAfter = 30 * time.Second

// Fail stops a machine; the inventory shows it as failed half a minute later.
func (c *Cloud) Fail(name string) {
	if worker := c.world.Workers[name]; worker != nil {
		worker.terminate()
	}
	for _, m := range c.machines {
		if m.Name == name {
			c.world.After(failureListedAfter, func() { m.Status = protocol.MachineFailed })
		}
	}
}

// Types are the machine types that it rents, for a test to change.
func (c *Cloud) Types() []protocol.MachineType { return c.types }

// MachineNames lists the machines that are rented.
func (c *Cloud) MachineNames() []string {
	var names []string
	for _, m := range c.machines {
		if !m.terminated {
			names = append(names, m.Name)
		}
	}
	return names
}

// CountOfType counts the machines of a type that are rented.
func (c *Cloud) CountOfType(machineType string) int {
	count := 0
	for _, m := range c.machines {
		if !m.terminated && m.Type == machineType {
			count++
		}
	}
	return count
}
