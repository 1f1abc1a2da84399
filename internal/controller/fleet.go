package controller

import (
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// fleet is what is rented, and the dealings with the cloud.
type fleet struct {
	types    []protocol.MachineType
	prices   int // counts the lists of types read, whose prices change
	typesAt  time.Duration
	rentals  []*rental
	unplaced []wait
	refused  map[offer]time.Duration // until when the cloud has none
	budget   *rate.Limiter
	calls    map[uint64]cloudCall
	listAt   time.Duration
	listing  bool
	lists    int  // whole lists read
	open     bool // it may be changed: the wait after the take-over is over
	seen     map[string]bool
	planAt   time.Duration
	back     time.Duration // no calls before, after trouble
	counter  int
	sayAt    time.Duration // when the fleet is summed up next in the log
}

type offer struct {
	kind, zone string
	spot       bool
}

type cloudCall struct {
	op     message.CloudOp
	rental *rental
	hosts  []string
}

func (f *fleet) kind(name string) *protocol.MachineType {
	for i := range f.types {
		if f.types[i].Name == name {
			return &f.types[i]
		}
	}
	return nil
}

// price is what a machine costs an hour.
func (f *fleet) price(o offer) float64 {
	mt := f.kind(o.kind)
	if o.spot {
		return mt.SpotPrice
	}
	return mt.Price
}

func size(mt *protocol.MachineType) need { return need{mt.CPUs, mt.GPUs, mt.MemoryGB} }

func (e *engine) cloud(c message.CloudCall, cc cloudCall) bool {
	f, now := &e.fleet, e.n.now.Monotonic
	if f.budget == nil {
		rps := e.n.cfg.Settings.Cloud.RPS
		f.budget = rate.NewLimiter(rate.Limit(rps*0.8), max(1, int(rps)))
		f.calls = map[uint64]cloudCall{}
	}
	if now < f.back || len(f.calls) >= config.CloudConnections || !f.budget.AllowN(e.n.now.LimiterTime(), 1) {
		return false
	}
	c.ID = e.n.id()
	if c.Op == message.CloudScaleOut || c.Op == message.CloudScaleIn {
		// The process may stand still between here and the sending. A machine that looks
		// idle now may have another leader's tasks by then.
		c.NotAfter = e.n.term.until
	}
	f.calls[c.ID] = cc
	e.n.emit(c)
	return true
}

func (e *engine) fleetTick() {
	f, now := &e.fleet, e.n.now.Monotonic
	if now < f.planAt {
		return
	}
	f.planAt = now + e.rules.report/6
	if f.typesAt == 0 || now > f.typesAt {
		if e.cloud(message.CloudCall{Op: message.CloudListTypes}, cloudCall{op: message.CloudListTypes}) {
			f.typesAt = now + e.rules.lease*2
			if len(f.types) == 0 {
				f.typesAt = now + e.rules.report
			}
		}
	}
	for _, r := range slices.Clone(f.rentals) {
		if r.ready && !r.Answered && !r.calling && now >= r.retryAt {
			r.calling = e.cloud(message.CloudCall{Op: message.CloudScaleOut, Provisioning: protocol.ProvisioningRequest{
				RequestID: r.RequestID, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count,
			}}, cloudCall{op: message.CloudScaleOut, rental: r})
		}
		if r.Answered && !slices.ContainsFunc(r.Machines, e.knownOnlyByRental) {
			f.rentals = slices.DeleteFunc(f.rentals, func(x *rental) bool { return x == r })
			e.store.Remove(now, r, r.onCommitLater())
		}
	}
	if !f.listing && now >= f.listAt {
		f.listing = e.cloud(message.CloudCall{Op: message.CloudListMachines}, cloudCall{op: message.CloudListMachines})
		f.seen = map[string]bool{}
	}
	if len(f.types) == 0 || f.lists == 0 {
		return
	}
	// A new leader lets the machines that it has inherited report first. One that
	// has found none needn't wait, nor for those that it rents itself.
	if !f.open && now < e.ledAt+config.Seconds(e.opt.TakeoverS) && len(e.hosts) > 0 {
		return
	}
	if e.catchingUp() {
		return // the machines have had no time to report since the pause
	}
	f.open = true
	if now >= f.sayAt {
		f.sayAt = now + 5*e.rules.lease
		e.say()
	}
	e.schedule = e.schedule || len(f.unplaced) > 0
	need := e.plan()
	e.returnUnneeded(need)
}

// say sums the fleet up, a line for each kind of machine.
func (e *engine) say() {
	type sum struct {
		up, booting, empty, silent int
		used, all                  need
	}
	sums := map[string]*sum{}
	var kinds []string
	for _, h := range e.byName {
		mt := e.fleet.kind(h.kind)
		if mt == nil {
			continue
		}
		name := h.kind
		if h.spot {
			name += " spot"
		}
		s := sums[name]
		if s == nil {
			s = &sum{}
			sums[name] = s
			kinds = append(kinds, name)
		}
		switch {
		case !h.up:
			s.booting++
			continue
		case h.session <= h.dead:
			s.silent++
			continue
		case len(h.tasks) == 0:
			s.empty++
		}
		s.up++
		s.all = s.all.plus(size(mt))
		for _, t := range h.tasks {
			s.used = s.used.plus(t.job.need)
		}
	}
	slices.Sort(kinds)
	for _, k := range kinds {
		s := sums[k]
		e.n.log(message.Info, "fleet", "type", k, "up", s.up, "booting", s.booting, "empty", s.empty, "silent", s.silent,
			"cpus", fmt.Sprintf("%.0f/%.0f", s.used.cpus, s.all.cpus), "gpus", fmt.Sprintf("%.0f/%.0f", s.used.gpus, s.all.gpus))
	}
}

// knownOnlyByRental tells whether a rented machine is known from nowhere but its rental.
func (e *engine) knownOnlyByRental(name string) bool {
	if _, gone := e.gone[name]; gone {
		return false
	}
	h := e.hosts[name]
	return h == nil || !h.up && h.listed == 0
}

func (e *engine) cloudResult(c message.CloudResult) {
	f, now := &e.fleet, e.n.now.Monotonic
	cc, ok := f.calls[c.ID]
	if !ok {
		return
	}
	delete(f.calls, c.ID)
	if c.Outcome == rpc.Refused || c.Outcome == rpc.Unknown || c.Outcome == rpc.NotSent {
		f.back = now + e.rules.report/3
	}
	switch cc.op {
	case message.CloudListTypes:
		if c.Outcome == rpc.OK && len(c.Types) > 0 {
			f.types = c.Types
			f.prices++
			e.schedule = true
		}
	case message.CloudListMachines:
		e.listed(c)
	case message.CloudScaleOut:
		e.rented(cc.rental, c)
	case message.CloudScaleIn:
		if c.Outcome != rpc.OK {
			for _, name := range cc.hosts {
				if h := e.hosts[name]; h != nil {
					h.returnCall = false
				}
			}
			return
		}
		for _, name := range cc.hosts {
			h := e.hosts[name]
			if h == nil {
				continue
			}
			for _, t := range slices.Clone(h.tasks) {
				e.lost(t, "machine returned")
			}
			e.removeHost(h)
			e.gone[name] = now
			e.n.Stats.MachinesScaledIn++
		}
		e.schedule = true
	}
}

func (e *engine) rented(r *rental, c message.CloudResult) {
	f, now := &e.fleet, e.n.now.Monotonic
	r.calling = false
	f.planAt = 0 // the next may be waiting for this one's connection
	switch c.Outcome {
	case rpc.OK:
		r.Answered, r.Machines = true, c.Machines
		e.n.Stats.MachinesScaledOut += int64(len(c.Machines))
		e.n.log(message.Info, "machines rented", "request", r.RequestID, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", len(c.Machines))
		for _, name := range c.Machines {
			if _, gone := e.gone[name]; gone {
				continue
			}
			h := e.host(name)
			h.kind, h.zone, h.spot = r.Type, r.Zone, r.Spot
			h.rentedAt = now
		}
		if len(c.Machines) < r.Count {
			e.noCapacity(r)
		}
		e.store.MarkDirty(now, r, r.onCommitLater())
	case rpc.NotFound, rpc.Invalid: // no capacity, or malformed
		if c.Outcome == rpc.Invalid {
			e.n.log(message.Error, "the cloud calls a rental malformed", "type", r.Type, "zone", r.Zone, "count", r.Count)
		}
		e.noCapacity(r)
		f.rentals = slices.DeleteFunc(f.rentals, func(x *rental) bool { return x == r })
		e.store.Remove(now, r, r.onCommitLater())
	default:
		// It may have been done: only its own name asks again without renting twice.
		r.retryAt = now + e.rules.report/3
	}
}

func (e *engine) noCapacity(r *rental) {
	if e.fleet.refused == nil {
		e.fleet.refused = map[offer]time.Duration{}
	}
	e.fleet.refused[offer{r.Type, r.Zone, r.Spot}] = e.n.now.Monotonic + e.rules.lease*2
}

func (e *engine) listed(c message.CloudResult) {
	f, now := &e.fleet, e.n.now.Monotonic
	f.listing = false
	if c.Outcome != rpc.OK {
		f.listAt = now + e.rules.report
		return
	}
	for _, m := range c.List.Machines {
		f.seen[m.Name] = true
		if _, gone := e.gone[m.Name]; gone {
			continue
		}
		known := e.hosts[m.Name] != nil
		h := e.host(m.Name)
		if !known || !h.up && h.listed == 0 {
			h.rentedAt = now - config.Seconds(m.AgeS)
		}
		h.kind, h.zone, h.spot = m.Type, m.Zone, m.Spot
		h.listed = now
		if m.Status == protocol.MachineRunning && h.runningAt == 0 {
			h.runningAt = now
		}
		if m.Status == protocol.MachineFailed && !h.failedMachine {
			h.failedMachine = true
			e.n.log(message.Info, "machine has failed", "host", h.name, "tasks", len(h.tasks))
			e.schedule = true
		}
	}
	if c.List.More && len(c.List.Machines) > 0 {
		f.listing = e.cloud(message.CloudCall{Op: message.CloudListMachines, StartAfter: c.List.Machines[len(c.List.Machines)-1].Name}, cloudCall{op: message.CloudListMachines})
		return
	}
	f.lists++
	lag := config.Seconds(e.n.cfg.Settings.Cloud.ListLagS)
	f.listAt = now + max(lag/2, e.rules.report)
	for _, h := range slices.Clone(e.byName) {
		if f.seen[h.name] || len(h.tasks) > 0 {
			continue
		}
		// A list may be old, so one that lacks a machine proves nothing; many do.
		dead := h.up && h.session <= h.dead || !h.up
		last := max(h.listed, h.rentedAt, h.heard, e.ledAt)
		if dead && now-last > 4*lag+e.rules.lease {
			e.removeHost(h)
		}
	}
}

// booted notes the first report of a machine in this term.
func (e *engine) booted(h *host) {
	h.emptySince = e.n.now.Monotonic
	e.n.log(message.Debug, "machine is up", "host", h.name, "type", h.kind, "zone", h.zone, "spot", h.spot)
}

// rental is a request for machines that is being made.
type rental struct {
	storage.ProvisioningRecord
	calling bool
	retryAt time.Duration
	ready   bool // durable, so that it may be sent
	guests  bool // for guests' tasks only
}

// onCommitLater makes a wait for a change of the rental that nobody waits for.
func (r *rental) onCommitLater() *storage.CommitWaiter {
	return waitMaker(storage.OnDeferredCommit).unlessGuests(r.guests)(func() {})
}

// AppendTo writes it.
func (r *rental) AppendTo(v *storage.PageValue) {
	v.Provisioning = append(v.Provisioning, r.ProvisioningRecord)
}

// coming tells whether a machine that isn't up can still be counted on.
func (e *engine) coming(h *host) bool {
	mt := e.fleet.kind(h.kind)
	if h.up || mt == nil || h.returning || h.failedMachine {
		return false
	}
	return e.n.now.Monotonic-h.rentedAt < config.Seconds(mt.BootS*1.5)
}

// rent records a request for machines; it is made once that is durable. No more
// are open than the cloud answers in a second or two. It tells how many machines
// the request is for; 0: none was made.
func (e *engine) rent(w wanted, count int) int {
	f, now := &e.fleet, e.n.now.Monotonic
	open := 0
	for _, r := range f.rentals {
		if !r.Answered {
			open++
		}
	}
	if float64(open) >= max(2, 1.5*e.n.cfg.Settings.Cloud.RPS) {
		return 0
	}
	f.counter++
	r := &rental{guests: w.guests, ProvisioningRecord: storage.ProvisioningRecord{
		RequestID: fmt.Sprintf("oakpick-%d-%d", e.firstT, f.counter), Type: w.kind, Zone: w.zone, Spot: w.spot, Count: count, AtMs: e.n.now.WallMs,
	}}
	for r.Count > 1 && !e.store.Fits(r) { // its answer has to be kept on a page
		r.Count /= 2
	}
	f.rentals = append(f.rentals, r)
	e.store.MarkDirty(now, r, waitMaker(storage.OnCommit).unlessGuests(r.guests)(func() {
		r.ready = true
		e.fleet.planAt = 0
	}))
	return r.Count
}
