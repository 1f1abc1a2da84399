package coordination

import (
	"cmp"
	"slices"
	"time"

	"oakpick/internal/protocol"
)

// host is one machine: what its worker last said, and what may be on it.
type host struct {
	name, addr, kind, zone string
	spot                   bool
	rentedAt               time.Duration // as far as known
	up                     bool          // has reported in this term
	listed                 time.Duration // when the cloud last listed it
	runningAt              time.Duration // when the cloud first listed it as running; 0: hasn't
	failedMachine          bool

	session, seq   int64         // of the newest message
	sessionAt      time.Duration // when the session was first heard of
	token          int64         // highest that the worker has said to have seen
	beatSess, beat int64         // of the newest report
	dead           int64         // sessions up to this one have certainly lapsed
	heard          time.Duration
	answered       time.Duration // when a report was last answered with 200
	wasAnswered    bool

	tasks   []*task
	used    need                  // what they take
	leaving need                  // of that, what stopping ones are about to leave
	others  []protocol.TaskReport // on the machine, but not in the books
	forget  map[protocol.Attempt]forgetting

	call     uint64 // the direct command under way
	callAt   time.Duration
	starts   []*task // that it carries
	wake     bool    // something is to be sent
	queued   bool    // and it is among the engine's woken
	next     time.Duration
	fails    int
	doubtTok int64 // highest token with which a start may yet arrive
	doubtAt  time.Duration

	noticeAt   time.Duration // when the cloud takes it; 0: not known to
	pauseUntil time.Duration
	failedJobs map[string]bool
	cordoned   bool
	returning  bool
	draining   bool          // is being emptied
	drainNext  time.Duration // until when not to look again whether it can be
	returnCall bool
	emptySince time.Duration
	images     []image // most recently used last
	virtual    need    // room in the present pass: what is free or about to be
}

type image struct {
	name  string
	gb    float64
	ready time.Duration // when its fetch should be over
}

// host finds or makes the record of a machine.
func (e *engine) host(name string) *host {
	if h := e.hosts[name]; h != nil {
		return h
	}
	h := &host{
		name: name, forget: map[protocol.Attempt]forgetting{}, failedJobs: map[string]bool{},
		rentedAt: e.n.now.Mono, emptySince: e.n.now.Mono,
	}
	e.hosts[name] = h
	i, _ := slices.BinarySearchFunc(e.byName, name, func(h *host, s string) int { return cmp.Compare(h.name, s) })
	e.byName = slices.Insert(e.byName, i, h)
	return h
}

func (e *engine) removeHost(h *host) {
	delete(e.hosts, h.name)
	e.byName = slices.DeleteFunc(e.byName, func(x *host) bool { return x == h })
}

// forgetting is an ended attempt that its worker still names. Once the worker
// has forgotten it, a copy of its start could start it again: so it is told to
// only together with a token higher than any start of the attempt went out with.
type forgetting struct {
	durable bool  // what its end means is committed
	token   int64 // highest token that its start may carry
	since   time.Duration
}

func (e *engine) forgettable(h *host, a protocol.Attempt) {
	if f, ok := h.forget[a]; ok {
		f.durable = true
		h.forget[a] = f
		e.wake(h)
	}
}

// reportCall answers a worker. Entitlement was checked: this node leads, or may
// still answer within its hold.
func (e *engine) reportCall(c ReportCall) {
	n, r := e.n, c.Report
	n.Stats.Reports++
	now := n.now.Mono
	_, returned := e.gone[r.Host]
	h := e.hosts[r.Host]
	if returned || h != nil && (r.Session <= h.dead || r.Session < h.session || !r.Newer(h.beatSess, h.beat)) {
		// A machine given back, a session that has lapsed, or a copy of an
		// older report: no worker waits for this answer, and to count it as an
		// answer would only put off the proof that the session has lapsed.
		n.Stats.StaleReports++
		n.refuse(c.ID, "an old report")
		return
	}
	if r.Token > e.token {
		n.refuse(c.ID, "a newer token is out")
		n.stepDown("a worker has seen a newer token")
		return
	}
	h = e.host(r.Host)
	h.beatSess, h.beat = r.Session, r.Seq
	e.learn(h, r)
	if e.mustRefuse(h) {
		n.refuse(c.ID, "must stop first")
		return
	}
	h.answered, h.wasAnswered = now, true
	n.emit(Reply{ID: c.ID, Status: 200, Body: protocol.EncodeReportAnswer(e.token, e.commands(h, false))})
}

// mustRefuse tells whether a machine may hold a task of a cancelled job that
// answering cannot end: one whose start may yet arrive with the present token.
// Its worker's lease then has to end it in time.
func (e *engine) mustRefuse(h *host) bool {
	if h.doubtTok < e.token {
		return false
	}
	for _, t := range h.tasks {
		if t.job.Cancelled && t.job.cancelKnown && !t.seen && e.n.now.Mono > t.job.cancelledAt+e.rules.cancel {
			return true
		}
	}
	return false
}

// learn takes in a worker's message.
func (e *engine) learn(h *host, r *protocol.Report) {
	now := e.n.now.Mono
	if !r.Newer(h.session, h.seq) && h.up || r.Session < h.session {
		return
	}
	if h.fails > 0 && now-h.heard > e.rules.silent {
		h.next = now // it is back
	}
	if r.Session > h.session || !h.up {
		e.schedule = true
	}
	if r.Session > h.session {
		h.sessionAt = now
		// The earlier session is over, and everything of it is gone.
		for _, t := range slices.Clone(h.tasks) {
			if t.session < r.Session {
				e.lost(t, "newer session")
			}
		}
		h.doubtTok, h.forget, h.images = 0, map[protocol.Attempt]forgetting{}, nil
	}
	h.addr, h.kind, h.zone, h.spot = r.Addr, r.Type, r.Zone, r.Spot
	if !h.up {
		e.booted(h)
	}
	h.up, h.session, h.seq, h.heard = true, r.Session, r.Seq, now
	h.token = max(h.token, r.Token)
	if r.Notice >= 0 && h.noticeAt == 0 {
		h.noticeAt = now + time.Duration(r.Notice*float64(time.Second))
		e.notice(h)
	} else if r.Notice < 0 {
		h.noticeAt = 0
	}
	e.tasksOf(h, r)
}

// tasksOf compares a report with the books.
func (e *engine) tasksOf(h *host, r *protocol.Report) {
	now := e.n.now.Mono
	h.others = h.others[:0]
	listed := make(map[protocol.Attempt]bool, len(r.Tasks))
	for _, tr := range r.Tasks {
		listed[tr.Attempt] = true
		t := e.find(h, tr.Attempt)
		if t == nil {
			h.others = append(h.others, tr)
			if tr.State != protocol.Exited {
				e.wake(h)
			} else if _, ok := h.forget[tr.Attempt]; !ok {
				// Nothing is known of it: an earlier leader's, or long settled.
				h.forget[tr.Attempt] = forgetting{durable: true, token: e.token, since: now}
			}
			continue
		}
		if t.sentToken == 0 && !t.inherited {
			continue // reported under a number that is only now being given out: impossible, and harmless
		}
		if !t.seen {
			t.seen, t.answered = true, true
		}
		if tr.State == protocol.Exited {
			e.exited(t, tr)
			continue
		}
		if t.state != tr.State || t.ranSince < 0 {
			if tr.State == protocol.Running && t.ranSince < 0 {
				t.ranSince = now
				h.arrivedImage(t.job, now)
				if t.job.Shape == protocol.Gang {
					t.job.gangRan = true
				}
			}
			t.state = tr.State
		}
	}
	for a := range h.forget {
		if !listed[a] {
			delete(h.forget, a)
		}
	}
	for _, t := range slices.Clone(h.tasks) {
		if t.session == r.Session && !listed[t.attempt()] && t.job.tasks[t.index] == t {
			e.absent(t, r)
		}
	}
}

func (e *engine) find(h *host, a protocol.Attempt) *task {
	j := e.jobs[a.Job]
	if j == nil || j.over {
		return nil
	}
	t := j.tasks[a.Task]
	if t == nil || t.host != h || t.try != a.Try || t.session != h.session {
		return nil
	}
	return t
}

// absent decides whether a report that doesn't name a task proves that it is
// not there and never will be. It does only if the worker had seen a token that
// voids every start that may still be on its way.
func (e *engine) absent(t *task, r *protocol.Report) {
	switch {
	case t.inherited && r.Token >= e.firstT:
		e.lost(t, "report with this term's token")
	case t.inherited || t.sentToken == 0:
	case r.Token > t.sentToken && t.host.call == 0:
		e.lost(t, "report with a token raised since")
	case t.answered && t.host.call == 0 && t.seen:
		e.lost(t, "the worker no longer names it")
	}
}

// notice prepares for the machine being taken away.
func (e *engine) notice(h *host) {
	now := e.n.now.Mono
	e.n.log(Info, "machine is to be taken", "host", h.name, "in", (h.noticeAt - now).String())
	for _, t := range slices.Clone(h.tasks) {
		j := t.job
		left := (h.noticeAt - now).Seconds()
		if j.saves() && j.SaveTime+1 < left && t.ranSince >= 0 && !e.endsWithin(t, left-2) {
			e.preemptTask(t, "the machine is to be taken")
		} else if !t.seen || t.state == protocol.Fetching || t.state == protocol.Waiting {
			e.preemptTask(t, "the machine is to be taken")
		}
	}
	e.schedule = true
}

// commands is what a machine is to be told. Stops go out with every answer
// until the task is gone: an answer that renews the lease then always carries
// them. Starts only go direct, so that their outcome is known.
func (e *engine) commands(h *host, direct bool) []protocol.Command {
	var out []protocol.Command
	now := e.n.now.Mono
	for _, tr := range h.others {
		if tr.State != protocol.Exited {
			out = append(out, protocol.Command{Verb: protocol.Stop, Attempt: tr.Attempt})
		}
	}
	for _, t := range h.tasks {
		if t.stopping && t.session == h.session && (!direct || t.stopSent == 0 || now-t.stopSent > e.rules.report/2) {
			out = append(out, protocol.Command{Verb: protocol.Stop, Attempt: t.attempt(), Grace: t.grace})
			if direct {
				t.stopSent = now
			}
		}
	}
	if len(h.starts) > 0 {
		return out
	}
	var names []protocol.Attempt
	for a, f := range h.forget {
		if f.durable && f.token < e.token {
			names = append(names, a)
		}
	}
	slices.SortFunc(names, func(a, b protocol.Attempt) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Try, b.Try))
	})
	for _, a := range names {
		out = append(out, protocol.Command{Verb: protocol.Forget, Attempt: a})
	}
	return out
}

// wake notes that a machine is to be told something.
func (e *engine) wake(h *host) {
	h.wake = true
	if !h.queued {
		h.queued = true
		e.woken = append(e.woken, h)
	}
}

// sendOrders sends what machines are to be told at once. Those that can't be
// told now stay among the woken.
func (e *engine) sendOrders() {
	n, now := e.n, e.n.now.Mono
	woken := e.woken
	e.woken = e.woken[:0]
	for _, h := range woken {
		n.Stats.HostsSeen++
		if h.wake && (h.call != 0 || now < h.next || !h.up || h.session <= h.dead) {
			e.woken = append(e.woken, h)
			continue
		}
		h.queued = false
		if !h.wake {
			continue
		}
		h.wake = false
		var starts []*task
		for _, t := range h.tasks {
			if t.committed && !t.inherited && !t.answered && !t.stopping && !t.job.Cancelled && t.session == h.session {
				starts = append(starts, t)
			}
		}
		if len(starts) > 0 && !n.certain() {
			// The answer to the write came while the term was in doubt. What it lets
			// start must not be lost for that: it goes out once the term is certain.
			starts = nil
			h.wake, h.queued = true, true
			e.woken = append(e.woken, h)
		}
		cmds := e.commands(h, true)
		for _, t := range starts {
			cmds = append(cmds, protocol.Command{Verb: protocol.Start, Attempt: t.attempt()})
			if t.sentToken == 0 {
				n.Stats.Starts++
			}
			t.prevToken, t.sentToken = t.sentToken, e.token
		}
		if len(cmds) == 0 {
			continue
		}
		h.call, h.callAt, h.starts = n.id(), now, starts
		n.emit(OrdersCall{ID: h.call, Host: h.name, Addr: h.addr, Token: e.token, Session: h.session, Commands: cmds})
	}
}

func (e *engine) ordersResult(c OrdersResult) {
	h := e.hosts[c.Host]
	if h == nil || h.call != c.ID {
		return
	}
	now := e.n.now.Mono
	starts, at := h.starts, h.callAt
	h.call, h.starts = 0, nil
	switch c.Outcome {
	case OK:
		h.fails = 0
		for _, t := range starts {
			t.answered = true
		}
	case Conflict, NotSent:
		// Nothing of this call was executed. Earlier calls may be in doubt.
		for _, t := range starts {
			t.sentToken = t.prevToken
			if t.stopping && t.sentToken == 0 && t.job.tasks[t.index] == t {
				e.drop(t)
				e.settle(t.job, nil)
			}
		}
		h.fails++
	default:
		h.fails++
		if len(starts) > 0 {
			if h.doubtTok < e.token {
				h.doubtAt = at
			}
			h.doubtTok = e.token
		}
	}
	if h.fails > 0 {
		e.wake(h)
		h.next = now + min(e.rules.report/6<<min(h.fails, 5), e.rules.lease/2)
		if now-h.heard > e.rules.silent {
			// It is silent itself. Hundreds may be, and each try takes a connection
			// for a while: they are left alone until they report.
			h.next = now + e.rules.lease/2
		}
		h.pauseUntil = max(h.pauseUntil, now+e.rules.report/2)
	}
	if c.Report == nil || c.Report.Host != h.name {
		return
	}
	if c.Report.Token > e.token {
		e.n.stepDown("a worker has seen a newer token")
		return
	}
	e.learn(h, c.Report)
	if c.Outcome == OK {
		for _, t := range starts {
			if t.job.tasks[t.index] == t && !t.seen && c.Report.Session == t.session && c.Report.Seq >= h.seq {
				e.lost(t, "executed, and yet not on the machine")
			}
		}
	}
}

// hostsTick looks for leases that have lapsed, and for doubts to be ended.
func (e *engine) hostsTick() {
	n, now := e.n, e.n.now.Mono
	if now < e.hostsAt {
		return
	}
	e.hostsAt = now + e.rules.sweep
	base := n.lapseBase()
	raise := false
	live, silent := 0, 0
	for _, h := range slices.Clone(e.byName) {
		n.Stats.HostsSeen++
		if h.up && h.session > h.dead && now-h.heard < e.rules.lease {
			live++
			if now-h.heard > e.rules.silent {
				silent++
			}
		}
		if len(h.tasks) > 0 || h.up {
			if now > h.lapses(e, base) && h.session > h.dead {
				h.dead = h.session
				h.noticeAt = 0
				if len(h.tasks) > 0 {
					n.log(Info, "worker's lease has lapsed", "host", h.name, "tasks", len(h.tasks))
				}
				for _, t := range slices.Clone(h.tasks) {
					e.lost(t, "lease lapsed")
				}
				h.doubtTok, h.others, h.forget = 0, nil, map[protocol.Attempt]forgetting{}
				e.schedule = true
			}
		}
		for _, t := range h.tasks {
			if t.stopping && t.stopSent > 0 && now-t.stopSent > e.rules.report {
				e.wake(h)
				if t.grace > 0 && now-t.stopAt > time.Duration((t.grace+2*t.job.SaveTime)*float64(time.Second))+2*e.rules.report {
					t.grace = 0
				}
			}
		}
		if h.doubtTok == e.token && now-h.doubtAt > e.rules.report {
			raise = true
		}
		for _, f := range h.forget {
			if f.durable && f.token == e.token && now-f.since > e.rules.lease {
				raise = true
			}
		}
	}
	if raise || e.raising != nil {
		e.raiseToken()
	} else {
		e.drain = false
	}
	// All of them at once: it is this node that the workers can't reach, and they
	// know no other that would answer them. Another has to lead before their
	// leases run out.
	if live >= silentLeast && silent*8 > live*7 {
		n.giveUp("no worker is heard any more")
	}
}

// lapses is when a machine's session has certainly lapsed if nothing more is
// heard; base is when every earlier leader had stopped answering.
func (h *host) lapses(e *engine, base time.Duration) time.Duration {
	if h.wasAnswered {
		base = max(base, h.answered)
	}
	// A session's lease runs at least from its beginning, which was no later than
	// when we first heard of it.
	return max(base, h.sessionAt) + e.rules.lease
}

// mayTell tells whether the user of a cancelled job may hear that it is. Its
// tasks have to be gone in time, also on a machine that only a predecessor
// reaches, which knows nothing of it and may answer for its hold: until a worker
// has seen our token, or its lease will lapse in time, the user is to come back.
func (e *engine) mayTell(j *job) bool {
	base := e.n.lapseBase()
	for _, t := range j.tasks {
		if h := t.host; h.token < e.firstT && h.lapses(e, base) > e.n.now.Mono+e.rules.cancelWithin {
			return false
		}
	}
	return true
}

// silentLeast is how many machines have to be silent at once before the leader
// blames itself.
const silentLeast = 3

// alive tells whether a machine can be given tasks.
func (e *engine) alive(h *host) bool {
	now := e.n.now.Mono
	return h.up && !h.returning && !h.draining && !h.cordoned && !h.failedMachine && h.noticeAt == 0 && h.session > h.dead && now >= h.pauseUntil &&
		now-h.heard < e.rules.report*5/2 && (h.doubtTok < e.token)
}

// fetch notes that a task's image will be on the machine.
func (h *host) fetch(e *engine, j *job) {
	now := e.n.now.Mono
	i := slices.IndexFunc(h.images, func(im image) bool { return im.name == j.Image })
	if i >= 0 {
		im := h.images[i]
		h.images = append(slices.Delete(h.images, i, i+1), im)
		return
	}
	mt := e.fleet.kind(h.kind)
	if mt == nil || mt.FetchRate <= 0 {
		return
	}
	busy := now
	total := j.ImageGB
	for _, im := range h.images {
		busy = max(busy, im.ready)
		total += im.gb
	}
	for len(h.images) > 0 && total > mt.CacheGB {
		total -= h.images[0].gb
		h.images = h.images[1:]
	}
	ready := busy + time.Duration(j.ImageGB/mt.FetchRate*float64(time.Second))
	h.images = append(h.images, image{j.Image, j.ImageGB, ready})
}

// arrivedImage notes that a task runs, so its image is there.
func (h *host) arrivedImage(j *job, now time.Duration) {
	for i := range h.images {
		if h.images[i].name == j.Image {
			h.images[i].ready = min(h.images[i].ready, now)
			return
		}
	}
	h.images = append(h.images, image{j.Image, j.ImageGB, now})
}

// fetchTime is how long a task's image would take to be on the machine.
func (h *host) fetchTime(e *engine, j *job) float64 {
	now := e.n.now.Mono
	var busy time.Duration
	for _, im := range h.images {
		if im.name == j.Image {
			return max(0, (im.ready - now).Seconds())
		}
		busy = max(busy, im.ready-now)
	}
	mt := e.fleet.kind(h.kind)
	if mt == nil || mt.FetchRate <= 0 {
		return 0
	}
	return j.ImageGB/mt.FetchRate + max(0, busy.Seconds())
}
