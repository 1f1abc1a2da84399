package main

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"oakpick/internal/protocol"
)

// cloudMachine is a machine that was rented.
type cloudMachine struct {
	protocol.Machine
	rentedAt time.Time
	listedAt time.Time // from when the list has it
	goneAt   time.Time // from when the list doesn't have it any more; zero while it exists
	upAt     time.Time
	worker   *worker
}

// cloud rents machines.
type cloud struct {
	rec     *record
	types   []protocol.MachineType
	listLag time.Duration
	start   func(m protocol.Machine, t protocol.MachineType) (*worker, error)

	mu       sync.Mutex
	machines map[string]*cloudMachine
	answers  map[string][]string // by request name
	count    int
	rentals  int  // machines rented by the controllers
	down     bool // the interface is down
	// capacity is how many machines of an offering may exist.
	capacity func(machineType, zone string, spot bool) int
}

func (c *cloud) typeNamed(name string) (protocol.MachineType, bool) {
	for _, t := range c.types {
		if t.Name == name {
			return t, true
		}
	}
	return protocol.MachineType{}, false
}

// add rents a machine. One that is up at the start is listed at once. The caller holds the lock.
func (c *cloud) add(machineType, zone string, spot, upAtStart bool) (string, error) {
	t, _ := c.typeNamed(machineType)
	c.count++
	now := time.Now()
	m := &cloudMachine{
		Machine:  protocol.Machine{Name: fmt.Sprintf("i-%06d", c.count), Type: machineType, Zone: zone, Spot: spot, Status: protocol.MachineBooting},
		rentedAt: now, listedAt: now.Add(c.listLag), upAt: now.Add(time.Duration(t.BootS * float64(time.Second))),
	}
	if upAtStart {
		m.listedAt, m.upAt = now, now
	}
	address, reserve, err := listenLoopback()
	if err != nil {
		return "", err
	}
	m.Addr = address
	c.machines[m.Name] = m
	time.AfterFunc(time.Until(m.upAt), func() { c.boot(m, t, reserve) })
	return m.Name, nil
}

func (c *cloud) boot(m *cloudMachine, t protocol.MachineType, listener listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !m.goneAt.IsZero() {
		_ = listener.Close()
		return
	}
	m.Status = protocol.MachineRunning
	m.worker = newWorker(c.rec, m.Machine, t)
	m.worker.run(listener)
	c.rec.add("cloud", "%s (%s, %s) is up", m.Name, m.Type, m.Zone)
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	time.Sleep(20 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.down:
		writeBody(w, 503, protocol.EncodeError("trouble"))
	case r.URL.Path == protocol.PathMachineTypes:
		writeBody(w, 200, protocol.MachineTypes{Types: c.types})
	case r.URL.Path == protocol.PathMachines && r.Method == http.MethodGet:
		c.list(w, r)
	case r.URL.Path == protocol.PathMachines:
		c.rent(w, body)
	case r.URL.Path == protocol.PathScaleIn:
		c.giveBack(w, body)
	default:
		writeBody(w, 404, map[string]any{})
	}
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	if limit <= 0 || limit > protocol.MaxMachinesPerPage {
		limit = protocol.MaxMachinesPerPage
	}
	now := time.Now()
	list := protocol.MachineList{Machines: []protocol.Machine{}}
	var names []string
	for name, m := range c.machines {
		if name > after && now.After(m.listedAt) && (m.goneAt.IsZero() || now.Before(m.goneAt)) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		if len(list.Machines) == limit {
			list.More = true
			break
		}
		m := c.machines[name]
		entry := m.Machine
		entry.AgeS = now.Sub(m.rentedAt).Seconds()
		list.Machines = append(list.Machines, entry)
	}
	writeBody(w, 200, list)
}

func (c *cloud) rent(w http.ResponseWriter, body []byte) {
	var request protocol.ProvisioningRequest
	if protocol.Decode(body, &request) != nil || request.Count < 1 || request.Count > protocol.MaxScaleOut {
		writeBody(w, 400, map[string]any{"error": "malformed"})
		return
	}
	if names, ok := c.answers[request.RequestID]; ok {
		writeBody(w, 200, protocol.MachineNames{Names: names})
		return
	}
	existing := 0
	for _, m := range c.machines {
		if m.goneAt.IsZero() && m.Type == request.Type && m.Zone == request.Zone && m.Spot == request.Spot {
			existing++
		}
	}
	n := min(request.Count, c.capacity(request.Type, request.Zone, request.Spot)-existing)
	if n <= 0 {
		writeBody(w, 503, protocol.EncodeNoCapacity())
		return
	}
	var names []string
	for range n {
		name, err := c.add(request.Type, request.Zone, request.Spot, false)
		if err != nil {
			break
		}
		names = append(names, name)
	}
	c.rentals += len(names)
	c.answers[request.RequestID] = names
	c.rec.add("cloud", "%s rents %v (%s, %s, spot %v)", request.RequestID, names, request.Type, request.Zone, request.Spot)
	writeBody(w, 200, protocol.MachineNames{Names: names})
}

func (c *cloud) giveBack(w http.ResponseWriter, body []byte) {
	var request protocol.MachineNames
	if protocol.Decode(body, &request) != nil || len(request.Names) > protocol.MaxScaleIn {
		writeBody(w, 400, map[string]any{"error": "malformed"})
		return
	}
	for _, name := range request.Names {
		if m := c.machines[name]; m != nil && m.goneAt.IsZero() {
			m.goneAt = time.Now().Add(c.listLag)
			if m.worker != nil {
				m.worker.end()
			}
			c.rec.add("cloud", "%s is returned", name)
		}
	}
	writeBody(w, 200, map[string]any{})
}

// setDown ends or restores the interface.
func (c *cloud) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down != down {
		c.rec.add("cloud", "interface down: %v", down)
	}
	c.down = down
}

// workers returns the workers of the machines that are up.
func (c *cloud) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*worker
	for _, m := range c.machines {
		if m.worker != nil && m.goneAt.IsZero() {
			list = append(list, m.worker)
		}
	}
	return list
}
