package controller

import (
	"slices"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// hostsTick looks for leases that have lapsed, and for doubts to be ended.
func (e *engine) hostsTick() {
	n, now := e.n, e.n.now.Monotonic
	if now < e.hostsAt {
		return
	}
	e.hostsAt = now + e.rules.sweep
	base := n.lapseBase()
	raise := false
	live, silent := 0, 0
	for _, h := range slices.Clone(e.byName) {
		n.Stats.MachinesExamined++
		if h.up && h.session > h.dead && now-h.heard < e.rules.lease {
			live++
			if e.silentFor(h) > e.rules.silent {
				silent++
			}
		}
		if len(h.tasks) > 0 || h.up {
			if now > h.lapses(e, base) && h.session > h.dead {
				h.dead = h.session
				h.noticeAt = 0
				if len(h.tasks) > 0 {
					n.log(message.Info, "worker's lease has lapsed", "host", h.name, "tasks", len(h.tasks))
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
				e.queueCommands(h)
				if t.grace > 0 && now-t.stopAt > time.Duration((t.grace+2*t.job.CheckpointDurationS)*float64(time.Second))+2*e.rules.report {
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
		n.yieldTerm("no worker is heard any more")
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

// canConfirmCancellation tells whether the user of a cancelled job may hear that it is. Its
// tasks have to be gone in time, also on a machine that only a predecessor
// reaches, which knows nothing of it and may answer for its hold: until a worker
// has seen our token, or its lease will lapse in time, the user is to come back.
func (e *engine) canConfirmCancellation(j *job) bool {
	base := e.n.lapseBase()
	for _, t := range j.tasks {
		if h := t.host; h.token < e.firstT && h.lapses(e, base) > e.n.now.Monotonic+e.rules.cancelWithin {
			return false
		}
	}
	return true
}

// silentLeast is how many machines have to be silent at once before the leader
// blames itself.
const silentLeast = 3
