package fake

import (
	"fmt"
	"slices"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

type machine struct {
	protocol.Machine
	provisionedAt time.Duration
	terminated    bool
}

// Cloud rents machines.
type Cloud struct {
	world       *World
	types       []protocol.MachineType
	machines    []*machine
	provisioned map[string][]string
	lastNumber  int
	Down        bool
	// Capacity is how many machines there are of each kind and place.
	Capacity int
	// BootDelay delays boots; Never keeps the next machines from coming up.
	BootDelay time.Duration
	// CapacityOf overrides Most for a type.
	CapacityOf map[string]int
	// Address gives the address of the n-th machine; nil: one that nobody connects to.
	Address       func(n int) string
	FailNextBoots int
}

func (c *Cloud) execute(call message.CloudCall) message.CloudResult {
	r := message.CloudResult{ID: call.ID}
	if c.Down {
		r.Outcome = rpc.Refused
		return r
	}
	switch call.Op {
	case message.CloudListTypes:
		r.Types = c.types
	case message.CloudListMachines:
		for _, m := range c.machines {
			// The list lags: it shows what was so a while ago.
			lag := time.Duration(c.world.Cfg.Settings.Cloud.ListLagS * float64(time.Second))
			if m.terminated || m.provisionedAt+lag > c.world.Now {
				continue
			}
			e := m.Machine
			e.AgeS = (c.world.Now - m.provisionedAt).Seconds()
			r.List.Machines = append(r.List.Machines, e)
		}
	case message.CloudScaleOut:
		q := call.Provisioning
		if q.Count < 1 || q.Count > 50 {
			c.world.violation("cloud", "a rental of %d", q.Count)
		}
		if names, ok := c.provisioned[q.RequestID]; ok {
			r.Machines = names
			return r
		}
		if !slices.ContainsFunc(c.types, func(t protocol.MachineType) bool { return t.Name == q.Type }) {
			r.Outcome = rpc.Invalid
			return r
		}
		have := 0
		for _, m := range c.machines {
			if !m.terminated && m.Type == q.Type && m.Zone == q.Zone && m.Spot == q.Spot {
				have++
			}
		}
		most, ok := c.CapacityOf[q.Type]
		if !ok {
			most = c.Capacity
		}
		n := min(q.Count, most-have)
		if n <= 0 {
			r.Outcome = rpc.NotFound
			return r
		}
		for range n {
			r.Machines = append(r.Machines, c.Add(q.Type, q.Zone, q.Spot).Name)
		}
		c.provisioned[q.RequestID] = r.Machines
	case message.CloudScaleIn:
		if len(call.Machines) > 100 {
			c.world.violation("cloud", "%d machines returned at once", len(call.Machines))
		}
		for _, name := range call.Machines {
			c.Reclaim(name)
		}
	}
	return r
}

// Add makes a machine, which boots and starts to report.
func (c *Cloud) Add(kind, zone string, spot bool) *machine {
	c.lastNumber++
	addr := fmt.Sprintf("10.1.0.%d:9000", c.lastNumber)
	if c.Address != nil {
		addr = c.Address(c.lastNumber)
	}
	m := &machine{provisionedAt: c.world.Now, Machine: protocol.Machine{
		Name: fmt.Sprintf("i-%06d", c.lastNumber), Addr: addr, Type: kind, Zone: zone, Spot: spot, Status: protocol.MachineBooting,
	}}
	c.machines = append(c.machines, m)
	if c.FailNextBoots > 0 {
		c.FailNextBoots--
		return m
	}
	i := slices.IndexFunc(c.types, func(t protocol.MachineType) bool { return t.Name == kind })
	boot := time.Duration(c.types[i].BootS*float64(time.Second)) + c.BootDelay
	c.world.After(boot, func() {
		if !m.terminated {
			m.Status = protocol.MachineRunning
			c.world.addWorker(m, c.types[i])
		}
	})
	return m
}

// Reclaim takes a machine and all that is on it.
func (c *Cloud) Reclaim(name string) {
	for _, m := range c.machines {
		if m.Name == name && !m.terminated {
			m.terminated = true
			if wk := c.world.Workers[name]; wk != nil {
				wk.terminate()
			}
		}
	}
}

// Fail stops a machine; the list shows it as failed half a minute later.
func (c *Cloud) Fail(name string) {
	if wk := c.world.Workers[name]; wk != nil {
		wk.terminate()
	}
	for _, m := range c.machines {
		if m.Name == name {
			c.world.After(30*time.Second, func() { m.Status = protocol.MachineFailed })
		}
	}
}

// Types are the machine types that it rents, for a test to change.
func (c *Cloud) Types() []protocol.MachineType { return c.types }

// MachineNames names the machines that are rented.
func (c *Cloud) MachineNames() []string {
	var out []string
	for _, m := range c.machines {
		if !m.terminated {
			out = append(out, m.Name)
		}
	}
	return out
}

// CountOfType counts the machines of a type that are rented.
func (c *Cloud) CountOfType(kind string) int {
	n := 0
	for _, m := range c.machines {
		if !m.terminated && m.Type == kind {
			n++
		}
	}
	return n
}
