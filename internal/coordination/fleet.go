package coordination

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"oakpick/internal/config"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
)

// fleet is what is rented, and the dealings with the cloud.
type fleet struct {
	types    []protocol.MachineType
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
	op     CloudOp
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

func (e *engine) cloud(c CloudCall, cc cloudCall) bool {
	f, now := &e.fleet, e.n.now.Mono
	if f.budget == nil {
		rps := e.n.cfg.Settings.Cloud.RPS
		f.budget = rate.NewLimiter(rate.Limit(rps*0.8), max(1, int(rps)))
		f.calls = map[uint64]cloudCall{}
	}
	if now < f.back || len(f.calls) >= config.CloudCalls || !f.budget.AllowN(time.Unix(1, 0).Add(now), 1) {
		return false
	}
	c.ID = e.n.id()
	f.calls[c.ID] = cc
	e.n.emit(c)
	return true
}

func (e *engine) fleetTick() {
	f, now := &e.fleet, e.n.now.Mono
	if now < f.planAt {
		return
	}
	f.planAt = now + e.rules.report/6
	if f.typesAt == 0 || now > f.typesAt {
		if e.cloud(CloudCall{Op: CloudTypes}, cloudCall{op: CloudTypes}) {
			f.typesAt = now + e.rules.lease*2
			if len(f.types) == 0 {
				f.typesAt = now + e.rules.report
			}
		}
	}
	for _, r := range slices.Clone(f.rentals) {
		if r.ready && !r.Answered && !r.calling && now >= r.again {
			r.calling = e.cloud(CloudCall{Op: CloudRent, Rental: protocol.Rental{
				Request: r.Request, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count,
			}}, cloudCall{op: CloudRent, rental: r})
		}
		if r.Answered && !slices.ContainsFunc(r.Hosts, e.unheard) {
			f.rentals = slices.DeleteFunc(f.rentals, func(x *rental) bool { return x == r })
			e.store.Remove(now, r, nil)
		}
	}
	if !f.listing && now >= f.listAt {
		f.listing = e.cloud(CloudCall{Op: CloudList}, cloudCall{op: CloudList})
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
	f.open = true
	if now >= f.sayAt {
		f.sayAt = now + 5*e.rules.lease
		e.say()
	}
	e.schedule = e.schedule || len(f.unplaced) > 0
	need := e.plan()
	e.giveBack(need)
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
		e.n.log(Info, "fleet", "type", k, "up", s.up, "booting", s.booting, "empty", s.empty, "silent", s.silent,
			"cpus", fmt.Sprintf("%.0f/%.0f", s.used.cpus, s.all.cpus), "gpus", fmt.Sprintf("%.0f/%.0f", s.used.gpus, s.all.gpus))
	}
}

// unheard tells whether a rented machine is known from nowhere but its rental.
func (e *engine) unheard(name string) bool {
	if _, gone := e.gone[name]; gone {
		return false
	}
	h := e.hosts[name]
	return h == nil || !h.up && h.listed == 0
}

func (e *engine) cloudResult(c CloudResult) {
	f, now := &e.fleet, e.n.now.Mono
	cc, ok := f.calls[c.ID]
	if !ok {
		return
	}
	delete(f.calls, c.ID)
	if c.Outcome == Refused || c.Outcome == Lost || c.Outcome == NotSent {
		f.back = now + e.rules.report/3
	}
	switch cc.op {
	case CloudTypes:
		if c.Outcome == OK && len(c.Types) > 0 {
			f.types = c.Types
			e.schedule = true
		}
	case CloudList:
		e.listed(c)
	case CloudRent:
		e.rented(cc.rental, c)
	case CloudReturn:
		if c.Outcome != OK {
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
			e.n.Stats.Returned++
		}
		e.schedule = true
	}
}

func (e *engine) rented(r *rental, c CloudResult) {
	f, now := &e.fleet, e.n.now.Mono
	r.calling = false
	f.planAt = 0 // the next may be waiting for this one's connection
	switch c.Outcome {
	case OK:
		r.Answered, r.Hosts = true, c.Hosts
		e.n.Stats.Rented += int64(len(c.Hosts))
		e.n.log(Info, "machines rented", "request", r.Request, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "asked", r.Count, "got", len(c.Hosts))
		for _, name := range c.Hosts {
			if _, gone := e.gone[name]; gone {
				continue
			}
			h := e.host(name)
			h.kind, h.zone, h.spot = r.Type, r.Zone, r.Spot
			h.rentedAt = now
		}
		if len(c.Hosts) < r.Count {
			e.noCapacity(r)
		}
		e.store.Touch(now, r, nil)
	case NotFound, Invalid: // no capacity, or malformed
		if c.Outcome == Invalid {
			e.n.log(Error, "the cloud calls a rental malformed", "type", r.Type, "zone", r.Zone, "count", r.Count)
		}
		e.noCapacity(r)
		f.rentals = slices.DeleteFunc(f.rentals, func(x *rental) bool { return x == r })
		e.store.Remove(now, r, nil)
	default:
		// It may have been done: only its own name asks again without renting twice.
		r.again = now + e.rules.report/3
	}
}

func (e *engine) noCapacity(r *rental) {
	if e.fleet.refused == nil {
		e.fleet.refused = map[offer]time.Duration{}
	}
	e.fleet.refused[offer{r.Type, r.Zone, r.Spot}] = e.n.now.Mono + e.rules.lease*2
}

func (e *engine) listed(c CloudResult) {
	f, now := &e.fleet, e.n.now.Mono
	f.listing = false
	if c.Outcome != OK {
		f.listAt = now + e.rules.report
		return
	}
	for _, m := range c.List.Machines {
		f.seen[m.Host] = true
		if _, gone := e.gone[m.Host]; gone {
			continue
		}
		known := e.hosts[m.Host] != nil
		h := e.host(m.Host)
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
			e.n.log(Info, "machine has failed", "host", h.name, "tasks", len(h.tasks))
			e.schedule = true
		}
	}
	if c.List.More && len(c.List.Machines) > 0 {
		f.listing = e.cloud(CloudCall{Op: CloudList, After: c.List.Machines[len(c.List.Machines)-1].Host}, cloudCall{op: CloudList})
		return
	}
	f.lists++
	lag := config.Seconds(e.n.cfg.Settings.Cloud.ListLag)
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
	h.emptySince = e.n.now.Mono
	e.n.log(Debug, "machine is up", "host", h.name, "type", h.kind, "zone", h.zone, "spot", h.spot)
}

// rental is a request for machines that is being made.
type rental struct {
	storage.RentalRecord
	calling bool
	again   time.Duration
	ready   bool // durable, so that it may be sent
}

// Emit writes it.
func (r *rental) Emit(v *storage.PageValue) { v.Rentals = append(v.Rentals, r.RentalRecord) }

// coming tells whether a machine that isn't up can still be counted on.
func (e *engine) coming(h *host) bool {
	mt := e.fleet.kind(h.kind)
	if h.up || mt == nil || h.returning || h.failedMachine {
		return false
	}
	return e.n.now.Mono-h.rentedAt < config.Seconds(mt.BootS*1.5)
}

// bin is a machine, or one to be rented, in the plan.
type bin struct {
	h     *host
	offer offer
	room  need
	ready time.Duration // until it is up
	used  bool
}

// sooner tells whether a task that would wait for a booting machine is better
// served by a new one of another kind, which is up before it and costs no more
// for each task.
func (e *engine) sooner(j *job, b *bin, o offer) bool {
	mt := e.fleet.kind(o.kind)
	if b.ready == 0 || mt == nil || o.kind == b.offer.kind {
		return false
	}
	return config.Seconds(mt.BootS) < b.ready && e.perTask(j, o) <= e.perTask(j, b.offer)
}

// plan packs what waits, and the room to be kept, into what is free, coming,
// and has to be rented. It gives the machines that the plan needs.
func (e *engine) plan() map[*host]bool {
	f := &e.fleet
	var bins []*bin
	for _, h := range e.byName {
		mt := f.kind(h.kind)
		if mt == nil {
			continue
		}
		switch {
		case e.alive(h):
			// The place of a stopping task is free long before a new machine is up.
			bins = append(bins, &bin{h: h, offer: offer{h.kind, h.zone, h.spot}, room: e.free(h).plus(h.leaving)})
		case e.coming(h):
			boot := max(config.Seconds(mt.BootS)-(e.n.now.Mono-h.rentedAt), config.Seconds(mt.BootS/10))
			bins = append(bins, &bin{h: h, offer: offer{h.kind, h.zone, h.spot}, room: size(mt), ready: boot})
		}
	}
	for _, r := range f.rentals {
		if mt := f.kind(r.Type); mt != nil && !r.Answered {
			for range r.Count {
				bins = append(bins, &bin{offer: offer{r.Type, r.Zone, r.Spot}, room: size(mt), ready: config.Seconds(mt.BootS)})
			}
		}
	}
	firstNew := len(bins)
	// Room only shrinks here: where there was none for one task, there is none for
	// the next of its shape.
	type asked struct {
		shape
		spotOnly bool
	}
	from := map[asked]int{}
	want := func(j *job, n int, use map[string]int, spotOnly bool) {
		for n > 0 {
			k := asked{j.shape(), spotOnly}
			b := e.pack(bins[from[k]:], j, use, spotOnly)
			if b == nil && !j.Spread && !j.OneZone {
				from[k] = len(bins)
			}
			o, ok := e.cheapest(j, use, n, spotOnly)
			if b == nil || ok && e.sooner(j, b, o) {
				if !ok {
					return
				}
				b = &bin{offer: o, ready: config.Seconds(f.kind(o.kind).BootS), room: size(f.kind(o.kind))}
				bins = append(bins, b)
			}
			// The bin that was best for one task is so for the next, until it is full.
			c := 1
			if !j.Spread {
				c = j.need.count(b.room, n)
			}
			b.room = b.room.minus(j.need.times(float64(c)))
			b.used = true
			use[b.offer.zone] += c
			n -= c
		}
	}
	for _, w := range f.unplaced {
		if !w.job.over && !w.job.Cancelled {
			want(w.job, min(w.tasks, w.job.idle()), w.job.zoneUse(), false)
		}
	}
	for _, name := range e.classNames() {
		if c := e.classes[name]; c.sample != nil {
			// Room for what may use spot machines is kept on those only: it isn't
			// worth an ordinary machine.
			want(c.sample, e.warmTasks(c), map[string]int{}, c.sample.Spot)
		}
	}
	counts := map[offer]int{}
	var offers []offer
	for _, b := range bins[firstNew:] {
		if counts[b.offer] == 0 {
			offers = append(offers, b.offer)
		}
		counts[b.offer]++
	}
	// What is asked for is in the next plan already, so several requests for one
	// offer are no more machines, only sooner. Each offer has its turn.
	for more := true; more; {
		more = false
		for _, o := range offers {
			if counts[o] > 0 {
				asked := e.rent(o, min(counts[o], protocol.MaxRented))
				counts[o] -= asked
				more = more || asked > 0
			}
		}
	}
	if !slices.ContainsFunc(offers, func(o offer) bool { return !o.spot }) {
		e.consolidate(bins)
	}
	needed := map[*host]bool{}
	for _, b := range bins[:firstNew] {
		if b.h != nil && b.used {
			needed[b.h] = true
		}
	}
	return needed
}

func (e *engine) classNames() []string {
	names := make([]string, 0, len(e.classes))
	for n := range e.classes {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// warmTasks is how many tasks of a class to keep room for: what may arrive,
// beyond what leaves, while a machine boots.
func (e *engine) warmTasks(c *class) int {
	now := e.n.now.Mono
	window := e.rules.lease * 10
	n := 0
	for _, at := range c.arrivals {
		if now-at < window {
			n++
		}
	}
	span := min(window, max(now-e.ledAt, e.rules.lease))
	boot := 0.0
	for _, mt := range e.fleet.types {
		if c.need.fits(size(&mt)) {
			boot = max(boot, mt.BootS)
		}
	}
	expected := float64(n) / span.Seconds() * boot
	warm := e.opt.WarmRoom
	if c.sample != nil && c.sample.Shape == protocol.Array {
		warm /= 2 // its tasks needn't all run at once
	}
	return int(math.Round(warm * math.Sqrt(expected) * c.tasks))
}

// pack finds the bin for a task: the fullest of those in use, else the empty one
// that costs least for each such task, so that the dear ones stay unneeded.
func (e *engine) pack(bins []*bin, j *job, use map[string]int, spotOnly bool) *bin {
	var best *bin
	bestKey := math.Inf(1)
	for _, b := range bins {
		e.n.Stats.HostsSeen++
		if !j.need.fits(b.room) || spotOnly && !b.offer.spot || !j.allowed(b.offer.kind, b.offer.zone, b.offer.spot) || !j.zoneOK(b.offer.zone, use) {
			continue
		}
		key := b.room.gpus + b.room.cpus/1000
		if !b.used && (b.h == nil || len(b.h.tasks) == 0) {
			key = 1e6 * (1 + e.perTask(j, b.offer))
		}
		if key < bestKey {
			best, bestKey = b, key
		}
	}
	return best
}

// perTask is the hourly price of an offer for each such task that it holds.
func (e *engine) perTask(j *job, o offer) float64 {
	return e.fleet.price(o) / float64(max(1, j.need.count(size(e.fleet.kind(o.kind)), 1<<20)))
}

// cheapest is the offer that gives a task of the job its place for the least.
func (e *engine) cheapest(j *job, use map[string]int, n int, spotOnly bool) (offer, bool) {
	f, now := &e.fleet, e.n.now.Mono
	var best offer
	bestCost := math.Inf(1)
	for i := range f.types {
		mt := &f.types[i]
		slots := j.need.count(size(mt), 1<<20)
		if slots == 0 {
			continue
		}
		if j.need.gpus == 0 {
			slots = min(slots, max(n, 1)) // nobody else will use the GPUs
			if mt.GPUs > 0 {
				slots = min(slots, 8)
			}
		}
		for _, z := range mt.Zones {
			for _, spot := range []bool{true, false} {
				o := offer{mt.Name, z, spot}
				if spotOnly && !spot || !j.allowed(mt.Name, z, spot) || !j.zoneOK(z, use) || now < f.refused[o] {
					continue
				}
				c := f.price(o) / float64(slots) * (1 + 0.01*float64(use[z]))
				if c < bestCost {
					best, bestCost = o, c
				}
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// rent records a request for machines; it is made once that is durable. No more
// are open than the cloud answers in a second or two. It tells how many machines
// the request is for; 0: none was made.
func (e *engine) rent(o offer, count int) int {
	f, now := &e.fleet, e.n.now.Mono
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
	r := &rental{RentalRecord: storage.RentalRecord{
		Request: fmt.Sprintf("oakpick-%d-%d", e.firstT, f.counter), Type: o.kind, Zone: o.zone, Spot: o.spot, Count: count, AtMs: e.n.now.WallMs,
	}}
	for r.Count > 1 && !e.store.Fits(r) { // its answer has to be kept on a page
		r.Count /= 2
	}
	f.rentals = append(f.rentals, r)
	e.store.Touch(now, r, storage.OnCommit(func() {
		r.ready = true
		e.fleet.planAt = 0
	}))
	return r.Count
}

// keepIdle is how long an empty machine is kept: unless operators say otherwise,
// as long as another would take to boot, which is when keeping it has cost as much
// as that.
func (e *engine) keepIdle(mt *protocol.MachineType) time.Duration {
	if e.opt.IdleS > 0 || mt == nil {
		return config.Seconds(e.opt.IdleS)
	}
	return config.Seconds(mt.BootS)
}

// giveBack returns machines that are empty, have failed or never came up.
func (e *engine) giveBack(needed map[*host]bool) {
	now := e.n.now.Mono
	var back []string
	for _, h := range e.byName {
		mt := e.fleet.kind(h.kind)
		if h.returnCall || len(back) >= protocol.MaxReturned {
			continue
		}
		why := ""
		switch {
		case h.returning:
			why = "again"
		case h.failedMachine:
			why = "it has failed"
		case !h.up && h.runningAt > 0:
			// It came up in an earlier term, and is cut off: it may come back.
			if len(h.tasks) == 0 && now-h.runningAt > e.rules.lease*5 {
				why = "it is silent"
			}
		case !h.up && len(h.tasks) == 0 && mt != nil && now-h.rentedAt > config.Seconds(mt.BootS*e.opt.GiveUpBoots):
			why = "it never came up"
		case h.up && h.session <= h.dead && now-h.heard > e.rules.lease*5:
			why = "it is silent"
		case h.up && len(h.tasks) == 0 && h.cordoned:
			why = "it is cordoned"
		case h.up && len(h.tasks) == 0 && len(h.others) == 0 && h.draining:
			why = "it was emptied"
		case h.up && len(h.tasks) == 0 && len(h.others) == 0 && !needed[h] && h.noticeAt == 0 &&
			now-max(h.emptySince, e.ledAt) > e.keepIdle(mt):
			why = "it is idle"
		}
		if why == "" {
			continue
		}
		if !h.returning { // once, however often it has to be asked for
			e.n.log(Info, "machine returned", "host", h.name, "type", h.kind, "why", why)
		}
		back = append(back, h.name)
	}
	if len(back) == 0 {
		return
	}
	slices.SortFunc(back, cmp.Compare)
	if e.cloud(CloudCall{Op: CloudReturn, Hosts: back}, cloudCall{op: CloudReturn, hosts: back}) {
		for _, name := range back {
			e.hosts[name].returnCall = true
		}
	}
	for _, name := range back {
		e.hosts[name].returning = true // nothing new goes there, whenever the call gets through
	}
}
