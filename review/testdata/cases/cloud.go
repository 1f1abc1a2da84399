package main

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// flavor is a machine type of the cloud.
type flavor struct {
	name               string
	cpus, gpus, memory float64
	disk, fetch        float64
	price, low         float64
	boot               time.Duration // as published
	bootTakes          time.Duration
	sites              []string
	capacity           int // per zone; the same again as spot machines
}

// cloud is a stand-in for the cloud's interface.
type cloud struct {
	bench   *bench
	flavors []flavor
	lag     time.Duration

	mu       sync.Mutex
	hires    map[string][]string
	machines map[string]*rental
	lastID   int
	down     bool // every request gets 503
}

// rental is a machine that was rented.
type rental struct {
	id, kind, site string
	loaners        bool
	rented, up     time.Time
	gone           time.Time // zero while it exists
	worker         *worker
}

func newCloud(b *bench, lag time.Duration, flavors []flavor) *cloud {
	return &cloud{bench: b, flavors: flavors, lag: lag, hires: map[string][]string{}, machines: map[string]*rental{}}
}

func (c *cloud) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

func (c *cloud) handler(node int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(100 * time.Millisecond)
		status, body := c.serve(node, r)
		time.Sleep(100 * time.Millisecond)
		respond(w, status, body)
	})
}

func (c *cloud) serve(node int, r *http.Request) (int, any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return http.StatusServiceUnavailable, object{"error": "trouble"}
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /flavors":
		kinds := []any{}
		for _, f := range c.flavors {
			kinds = append(kinds, object{
				"sku": f.name, "vcpus": f.cpus, "gpus": f.gpus, "mem_gb": f.memory, "local_gb": f.disk, "fetch_gb_per_s": f.fetch,
				"price": f.price, "low_price": f.low, "boot_s": f.boot.Seconds(), "sites": f.sites,
			})
		}
		return http.StatusOK, object{"kinds_of_host": kinds}
	case "GET /rentals":
		return c.list(r)
	case "POST /rentals":
		m, ok := readBody(r, maxBody)
		if !ok {
			return http.StatusBadRequest, object{"error": "malformed"}
		}
		return c.rent(node, m)
	case "POST /rentals/return":
		m, ok := readBody(r, maxBody)
		if !ok {
			return http.StatusBadRequest, object{"error": "malformed"}
		}
		for _, name := range list(m["hosts"]) {
			if rental := c.machines[text(name)]; rental != nil && rental.gone.IsZero() {
				rental.gone = time.Now()
				c.bench.record.line("cloud: %s returned by controller %d", rental.id, node)
				if rental.worker != nil {
					rental.worker.end("returned")
				}
			}
		}
		return http.StatusOK, object{}
	}
	return http.StatusBadRequest, object{"error": "malformed"}
}

func (c *cloud) flavor(name string) *flavor {
	for i := range c.flavors {
		if c.flavors[i].name == name {
			return &c.flavors[i]
		}
	}
	return nil
}

func (c *cloud) rent(node int, m object) (int, any) {
	hire := text(m["hire"])
	if names, ok := c.hires[hire]; ok {
		return http.StatusOK, object{"hosts": names}
	}
	kind, site, loaners, count := text(m["host_kind"]), text(m["site"]), m["loaners"] == true, int(integer(m["how_many"]))
	f := c.flavor(kind)
	if f == nil || hire == "" || count < 1 || count > 50 {
		return http.StatusBadRequest, object{"error": "malformed"}
	}
	used := 0
	for _, rental := range c.machines {
		if rental.kind == kind && rental.site == site && rental.loaners == loaners && rental.gone.IsZero() {
			used++
		}
	}
	count = min(count, f.capacity-used)
	if count <= 0 {
		return http.StatusServiceUnavailable, object{"error": "no capacity"}
	}
	names := []string{}
	for range count {
		c.lastID++
		rental := &rental{id: fmt.Sprintf("i-%06d", c.lastID), kind: kind, site: site, loaners: loaners, rented: time.Now()}
		rental.up = rental.rented.Add(f.bootTakes)
		c.machines[rental.id] = rental
		names = append(names, rental.id)
		c.bench.record.line("cloud: %s (%s, %s) rented by controller %d", rental.id, kind, site, node)
		c.bench.after(f.bootTakes, func() { c.boot(rental, f) })
	}
	c.hires[hire] = names
	return http.StatusOK, object{"hosts": names}
}

// boot starts the worker of a machine.
func (c *cloud) boot(rental *rental, f *flavor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !rental.gone.IsZero() {
		return
	}
	w, err := newWorker(c.bench, rental.id, f, rental.site, rental.loaners)
	if err != nil {
		c.bench.fail("worker: %v", err)
		return
	}
	rental.worker = w
}

func (c *cloud) list(r *http.Request) (int, any) {
	query := r.URL.Query()
	after := query.Get("after")
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	then := time.Now().Add(-c.lag)
	hosts, more := []any{}, false
	ids := make([]string, 0, len(c.machines))
	for id := range c.machines {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		m := c.machines[id]
		if id <= after || m.rented.After(then) || !m.gone.IsZero() && m.gone.Before(then) {
			continue
		}
		if len(hosts) == limit {
			more = true
			break
		}
		status, address := "booting", ""
		if m.up.Before(then) && m.worker != nil {
			status, address = "running", m.worker.address
		}
		hosts = append(hosts, object{
			"id": id, "address": address, "host_kind": m.kind, "site": m.site, "loaners": m.loaners, "status": status, "age_s": then.Sub(m.rented).Seconds(),
		})
	}
	return http.StatusOK, object{"hosts": hosts, "has_next": more}
}

func (c *cloud) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var workers []*worker
	ids := make([]string, 0, len(c.machines))
	for id := range c.machines {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		if m := c.machines[id]; m.worker != nil && m.gone.IsZero() {
			workers = append(workers, m.worker)
		}
	}
	return workers
}
