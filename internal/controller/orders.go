package controller

import (
	"cmp"
	"slices"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// commands is what a machine is to be told. Stops go out with every answer
// until the task is gone: an answer that renews the lease then always carries
// them. Starts only go direct, so that their outcome is known.
func (e *engine) commands(h *host, direct bool) []protocol.Command {
	var out []protocol.Command
	now := e.n.now.Monotonic
	for _, tr := range h.others {
		if tr.State != protocol.Exited {
			out = append(out, protocol.Command{Verb: protocol.Stop, Attempt: tr.Attempt})
		}
	}
	for _, t := range h.tasks {
		if t.stopping && t.session == h.session && (!direct || t.stopSent == 0 || now-t.stopSent > e.rules.report/2) {
			out = append(out, protocol.Command{Verb: protocol.Stop, Attempt: t.attempt(), GracePeriodS: t.grace})
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
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
	})
	for _, a := range names {
		out = append(out, protocol.Command{Verb: protocol.Forget, Attempt: a})
	}
	return out
}

// queueCommands notes that there are commands for a machine.
func (e *engine) queueCommands(h *host) {
	h.commandsDue = true
	if !h.queued {
		h.queued = true
		e.commandsDue = append(e.commandsDue, h)
	}
}

// sendOrders sends what machines are to be told at once. Those that can't be
// told now stay among the commandsDue.
func (e *engine) sendOrders() {
	n, now := e.n, e.n.now.Monotonic
	commandsDue := e.commandsDue
	e.commandsDue = e.commandsDue[:0]
	for _, h := range commandsDue {
		n.Stats.MachinesExamined++
		if h.commandsDue && (h.call != 0 || now < h.next || !h.up || h.session <= h.dead) {
			e.commandsDue = append(e.commandsDue, h)
			continue
		}
		h.queued = false
		if !h.commandsDue {
			continue
		}
		h.commandsDue = false
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
			h.commandsDue, h.queued = true, true
			e.commandsDue = append(e.commandsDue, h)
		}
		cmds := e.commands(h, true)
		for _, t := range starts {
			cmds = append(cmds, protocol.Command{Verb: protocol.Start, Attempt: t.attempt()})
			if t.sentToken == 0 {
				n.Stats.TasksStarted++
			}
			t.prevToken, t.sentToken = t.sentToken, e.token
		}
		if len(cmds) == 0 {
			continue
		}
		h.call, h.callAt, h.starts = n.id(), now, starts
		call := message.CommandsCall{ID: h.call, Machine: h.name, Addr: h.addr, FencingToken: e.token, Incarnation: h.session, Commands: cmds}
		if len(starts) > 0 {
			call.NotAfter = n.term.until // nothing starts in doubt
		}
		n.emit(call)
	}
}

func (e *engine) ordersResult(c message.CommandsResult) {
	h := e.hosts[c.Machine]
	if h == nil || h.call != c.ID {
		return
	}
	now := e.n.now.Monotonic
	starts, at := h.starts, h.callAt
	h.call, h.starts = 0, nil
	switch c.Outcome {
	case rpc.OK:
		h.fails = 0
		for _, t := range starts {
			t.answered = true
		}
	case rpc.Conflict, rpc.NotSent:
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
		e.queueCommands(h)
		h.next = now + min(e.rules.report/6<<min(h.fails, 5), e.rules.lease/2)
		if e.silentFor(h) > e.rules.silent {
			// It is silent itself. Hundreds may be, and each try takes a connection
			// for a while: they are left alone until they report.
			h.next = now + e.rules.lease/2
		}
		h.pauseUntil = max(h.pauseUntil, now+e.rules.report/2)
	}
	if c.Heartbeat == nil || c.Heartbeat.Machine != h.name {
		return
	}
	if c.Heartbeat.FencingToken > e.token {
		e.n.stepDown("a worker has seen a newer token")
		return
	}
	e.learn(h, c.Heartbeat)
	if c.Outcome == rpc.OK {
		for _, t := range starts {
			if t.job.tasks[t.index] == t && !t.seen && c.Heartbeat.Incarnation == t.session && c.Heartbeat.Sequence >= h.seq {
				e.lost(t, "executed, and yet not on the machine")
			}
		}
	}
}
