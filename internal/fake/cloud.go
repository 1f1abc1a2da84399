package fake

import (
	"fmt"
	"slices"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// machine is a machine of the simulated cloud.
type machine struct {
	protocol.Machine
	provisionedAt time.Duration
	terminated    bool
}

// Cloud simulates the cloud API and its machines.
type Cloud struct {
	// RefuseRequests makes the cloud refuse every request.
	RefuseRequests bool
	// Capacity is the number of machines available per machine type, zone and capacity type.
	Capacity int
	// CapacityOf overrides Capacity for individual machine types.
	CapacityOf map[string]int
	// BootDelay is added to the boot time of the machine type.
	BootDelay time.Duration
	// FailNextBoots is the number of machines, beginning with the next one provisioned, that never
	// finish booting.
	FailNextBoots int
	// Address returns the address of the n-th machine. If it is nil, machines get addresses that
	// are never dialed.
	Address func(n int) string

	world             *World
	types             []protocol.MachineType
	machines          []*machine
	provisioned       map[string][]string // machine names by ID of the provisioning request
	lastMachineNumber int
}

// defaultCapacity is the Capacity of a new Cloud.
const defaultCapacity = 16

func newCloud(w *World, types []protocol.MachineType) *Cloud {
	return &Cloud{world: w, types: types, provisioned: map[string][]string{}, Capacity: defaultCapacity}
}

func (c *Cloud) execute(call message.CloudCall) message.CloudResult {
	result := message.CloudResult{ID: call.ID}
	if c.RefuseRequests {
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

// list returns the inventory, which lists a new machine only after the configured lag.
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

// Maximum number of machines in one provisioning or termination request.
const (
	maxScaleOut = 50
	maxScaleIn  = 100
)

// scaleOut executes a provisioning request. A request with a known ID returns the machines that
// were provisioned for that ID.
func (c *Cloud) scaleOut(request protocol.ProvisioningRequest) ([]string, rpc.Outcome) {
	if request.Count < 1 || request.Count > maxScaleOut {
		c.world.RecordViolation(ruleCloud, "provisioning request for %d machines is outside the limits", request.Count)
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

// available returns the remaining capacity for the request's type, zone and capacity type.
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
		c.world.RecordViolation(ruleCloud, "termination request for %d machines exceeds the limit", len(names))
	}
	for _, name := range names {
		c.Terminate(name)
	}
}

// addMachine provisions a machine and returns its name. Once booted, it starts sending heartbeats.
func (c *Cloud) addMachine(machineType, zone string, spot bool) string {
	c.lastMachineNumber++
	addr := fmt.Sprintf("10.1.0.%d:9000", c.lastMachineNumber)
	if c.Address != nil {
		addr = c.Address(c.lastMachineNumber)
	}
	m := &machine{provisionedAt: c.world.Now, Machine: protocol.Machine{
		Name: fmt.Sprintf("i-%06d", c.lastMachineNumber), Addr: addr, Type: machineType, Zone: zone, Spot: spot,
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

// Terminate terminates a machine and the tasks on it.
func (c *Cloud) Terminate(name string) {
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

// failureListedAfter is the time for which the inventory still lists a failed machine as running.
const failureListedAfter = 30 * time.Second

// Fail simulates the failure of a machine. Its worker stops at once, but the inventory lists the
// machine as failed only after failureListedAfter.
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

// Types returns the machine types on offer. Tests may modify them in place.
func (c *Cloud) Types() []protocol.MachineType { return c.types }

// MachineNames returns the names of the provisioned machines that are not terminated.
func (c *Cloud) MachineNames() []string {
	var names []string
	for _, m := range c.machines {
		if !m.terminated {
			names = append(names, m.Name)
		}
	}
	return names
}

// CountOfType returns the number of provisioned machines of a type that are not terminated.
func (c *Cloud) CountOfType(machineType string) int {
	count := 0
	for _, m := range c.machines {
		if !m.terminated && m.Type == machineType {
			count++
		}
	}
	return count
}
