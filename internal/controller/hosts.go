package controller

import (
	"cmp"
	"slices"
	"time"

	"oakpick/internal/message"
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

	tasks []*task
	// guaranteedTasks counts those of teams that aren't guests.
	guaranteedTasks int
	used            need                  // what they take
	leaving         need                  // of that, what stopping ones are about to leave
	others          []protocol.TaskStatus // on the machine, but not in the records
	forget          map[protocol.Attempt]forgetting

	call        uint64 // the direct command under way
	callAt      time.Duration
	starts      []*task // that it carries
	commandsDue bool    // something is to be sent
	queued      bool    // and it is among the engine's commandsDue
	next        time.Duration
	fails       int
	doubtTok    int64 // highest token with which a start may yet arrive
	doubtAt     time.Duration

	noticeAt   time.Duration // when the cloud takes it; 0: not known to
	pauseUntil time.Duration
	failedJobs map[string]bool // jobs that have failed there; true: they run well elsewhere
	cordoned   bool
	returning  bool
	leastOrder int           // of the tasks that could be stopped, see yielding
	draining   bool          // is being emptied
	drainNext  time.Duration // until when not to look again whether it can be
	returnCall bool
	emptySince time.Duration
	images     []image // most recently used last
	virtual    need    // room in the present pass: what is free or about to be
}

// host finds or makes the record of a machine.
func (e *engine) host(name string) *host {
	if h := e.hosts[name]; h != nil {
		return h
	}
	h := &host{
		name: name, forget: map[protocol.Attempt]forgetting{}, failedJobs: map[string]bool{},
		rentedAt: e.n.now.Monotonic, emptySince: e.n.now.Monotonic,
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
		e.queueCommands(h)
	}
}

// reportCall answers a worker. Entitlement was checked: this node leads, or may
// still answer within its hold.
func (e *engine) reportCall(c message.HeartbeatRequest) {
	n, r := e.n, c.Heartbeat
	n.Stats.Heartbeats++
	now := n.now.Monotonic
	_, returned := e.gone[r.Machine]
	h := e.hosts[r.Machine]
	if returned || h != nil && (r.Incarnation <= h.dead || r.Incarnation < h.session || !r.Newer(h.beatSess, h.beat)) {
		// A machine given back, a session that has lapsed, or a copy of an
		// older report: no worker waits for this answer, and to count it as an
		// answer would only put off the proof that the session has lapsed.
		n.Stats.StaleHeartbeats++
		n.refuse(c.ID, "an old report")
		return
	}
	if r.FencingToken > e.token {
		n.refuse(c.ID, "a newer token is out")
		n.stepDown("a worker has seen a newer token")
		return
	}
	h = e.host(r.Machine)
	h.beatSess, h.beat = r.Incarnation, r.Sequence
	e.learn(h, r)
	if e.mustRefuse(h) {
		n.refuse(c.ID, "must stop first")
		return
	}
	h.answered, h.wasAnswered = now, true
	n.emit(message.Reply{ID: c.ID, Status: 200, Body: protocol.EncodeHeartbeatResponse(e.token, e.commands(h, false))})
}

// mustRefuse tells whether a machine may hold a task of a cancelled job that
// answering cannot end: one whose start may yet arrive with the present token.
// Its worker's lease then has to end it in time.
func (e *engine) mustRefuse(h *host) bool {
	if h.doubtTok < e.token {
		return false
	}
	for _, t := range h.tasks {
		if t.job.Cancelled && t.job.cancelKnown && !t.seen && e.n.now.Monotonic > t.job.cancelledAt+e.rules.cancel {
			return true
		}
	}
	return false
}

// learn takes in a worker's message.
func (e *engine) learn(h *host, r *protocol.Heartbeat) {
	now := e.n.now.Monotonic
	if !r.Newer(h.session, h.seq) && h.up || r.Incarnation < h.session {
		return
	}
	if h.fails > 0 && now-h.heard > e.rules.silent {
		h.next = now // it is back
	}
	if r.Incarnation > h.session || !h.up {
		e.schedule = true
	}
	if r.Incarnation > h.session {
		h.sessionAt = now
		h.doubtTok, h.forget, h.images = 0, map[protocol.Attempt]forgetting{}, nil
	}
	if r.Incarnation > h.session || !h.up {
		// Earlier sessions are over, and everything of them is gone. The records may hold
		// starts of several: a leader that ended had recorded only some of them anew.
		e.loseEarlier(h, r.Incarnation)
	}
	h.addr, h.kind, h.zone, h.spot = r.Addr, r.Type, r.Zone, r.Spot
	if !h.up {
		e.booted(h)
	}
	h.up, h.session, h.seq, h.heard = true, r.Incarnation, r.Sequence, now
	h.token = max(h.token, r.FencingToken)
	if r.InterruptionInS >= 0 && h.noticeAt == 0 {
		h.noticeAt = now + time.Duration(r.InterruptionInS*float64(time.Second))
		e.notice(h)
	} else if r.InterruptionInS < 0 {
		h.noticeAt = 0
	}
	e.tasksOf(h, r)
}

// loseEarlier takes the tasks of sessions before this one off a machine.
func (e *engine) loseEarlier(h *host, session int64) {
	for _, t := range slices.Clone(h.tasks) {
		if t.session < session {
			e.lost(t, "newer session")
		}
	}
}

// tasksOf compares a report with the records.
func (e *engine) tasksOf(h *host, r *protocol.Heartbeat) {
	now := e.n.now.Monotonic
	h.others = h.others[:0]
	listed := make(map[protocol.Attempt]bool, len(r.Tasks))
	for _, tr := range r.Tasks {
		listed[tr.Attempt] = true
		t := e.find(h, tr.Attempt)
		if t == nil {
			h.others = append(h.others, tr)
			if tr.State != protocol.Exited {
				e.queueCommands(h)
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
				t.job.hasRun = true
				h.arrivedImage(t.job, now)
				if t.job.Kind == protocol.Gang {
					t.job.gangRan = true
				}
			}
			t.state = tr.State
		}
		e.notesRunning(t)
	}
	for a := range h.forget {
		if !listed[a] {
			delete(h.forget, a)
		}
	}
	for _, t := range slices.Clone(h.tasks) {
		if t.session == r.Incarnation && !listed[t.attempt()] && t.job.tasks[t.index] == t {
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
	if t == nil || t.host != h || t.try != a.Number || t.session != h.session {
		return nil
	}
	return t
}

// absent decides whether a report that doesn't name a task proves that it is
// not there and never will be. It does only if the worker had seen a token that
// voids every start that may still be on its way.
func (e *engine) absent(t *task, r *protocol.Heartbeat) {
	switch {
	case t.inherited && r.FencingToken >= e.firstT:
		e.lost(t, "report with this term's token")
	case t.inherited || t.sentToken == 0:
	case r.FencingToken > t.sentToken && t.host.call == 0:
		e.lost(t, "report with a token raised since")
	case t.answered && t.host.call == 0 && t.seen:
		e.lost(t, "the worker no longer names it")
	}
}

// notice prepares for the machine being taken away.
func (e *engine) notice(h *host) {
	now := e.n.now.Monotonic
	e.n.log(message.Info, "machine is to be taken", "host", h.name, "in", (h.noticeAt - now).String())
	for _, t := range slices.Clone(h.tasks) {
		j := t.job
		left := (h.noticeAt - now).Seconds()
		if j.saves() && j.CheckpointDurationS+1 < left && t.ranSince >= 0 && !e.endsWithin(t, left-2) {
			e.preemptTask(t, "the machine is to be taken")
		} else if !t.seen || t.state == protocol.Fetching || t.state == protocol.Waiting {
			e.preemptTask(t, "the machine is to be taken")
		}
	}
	e.schedule = true
}

// alive tells whether a machine can be given tasks.
func (e *engine) alive(h *host) bool {
	now := e.n.now.Monotonic
	return h.up && !h.returning && !h.draining && !h.cordoned && !h.failedMachine && h.noticeAt == 0 && h.session > h.dead && now >= h.pauseUntil &&
		e.silentFor(h) < e.rules.report*5/2 && (h.doubtTok < e.token)
}
