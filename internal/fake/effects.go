package fake

import (
	"fmt"
	"time"

	"oakpick/internal/election"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// performAll performs effects in order. If StallBefore pauses the process before an effect, that
// effect and the remaining ones are performed after the pause.
func (c *Controller) performAll(effects []message.Effect) {
	incarnation := c.incarnation
	for i, effect := range effects {
		stall := time.Duration(0)
		if c.StallBefore != nil {
			stall = c.StallBefore(effect)
		}
		if stall > 0 {
			c.PausedUntil = c.world.Now + stall
			c.world.After(stall, func() {
				if c.Up && c.incarnation == incarnation {
					c.perform(effect)
					c.performAll(effects[i+1:])
				}
			})
			return
		}
		c.perform(effect)
	}
}

func (c *Controller) perform(effect message.Effect) {
	switch e := effect.(type) {
	case message.Reply:
		if pending, ok := c.pending[e.ID]; ok {
			delete(c.pending, e.ID)
			pending.reply(e)
		}
	case message.Forward:
		c.forward(e)
	case message.StateCall:
		c.callState(e)
	case message.CloudCall:
		c.callCloud(e)
	case message.CommandsCall:
		c.sendCommands(e)
	case message.PeerCall:
		c.callPeer(e)
	case message.Log:
		c.world.logf("%s %s %v", c.Name, e.Message, e.Args)
	}
}

// callState sends a request to the state service.
func (c *Controller) callState(e message.StateCall) {
	w := c.world
	if c.asProduction {
		e.Txn = w.rewriteAsProduction(e.Txn)
	}
	asProduction := c.asProduction // saved, because a duplicate may arrive after a restart
	kind := KindState
	if len(e.Txn.Then) > 0 && e.Txn.Then[0].Put != election.LeaderKey && w.SeparatePageWrites {
		kind = KindPageWrite
	}
	c.call(kind, stateService, w.heartbeatInterval()/2, func() (message.Event, bool) {
		return message.StateResult{StateResult: w.State.execute(c.Name, asProduction, e.StateCall)}, true
	}, message.StateResult{StateResult: storage.StateResult{ID: e.ID, Outcome: rpc.Unknown}})
}

// callCloud sends a request to the cloud API.
func (c *Controller) callCloud(e message.CloudCall) {
	if c.expired(e.NotAfter) {
		c.returnResult(message.CloudResult{ID: e.ID, Outcome: rpc.NotSent})
		return
	}
	w := c.world
	c.call(KindCloud, cloudService, w.heartbeatInterval(),
		func() (message.Event, bool) { return w.Cloud.execute(e), true },
		message.CloudResult{ID: e.ID, Outcome: rpc.Unknown})
}

// sendCommands sends commands directly to a worker.
func (c *Controller) sendCommands(e message.CommandsCall) {
	if c.expired(e.NotAfter) {
		c.returnResult(message.CommandsResult{ID: e.ID, Machine: e.Machine, Outcome: rpc.NotSent})
		return
	}
	w := c.world
	for _, command := range e.Commands {
		if j := w.Jobs[command.Attempt.Job]; command.Verb == protocol.Start && j != nil && j.Cancelled {
			w.RecordViolation(ruleStartedCancelled, "%s sends a start command for %s after its user was told that it is cancelled", c.Name, command.Attempt.Job)
		}
	}
	c.call(KindCommands, e.Machine, w.heartbeatInterval()*3/4,
		func() (message.Event, bool) { return w.executeCommands(e) },
		message.CommandsResult{ID: e.ID, Machine: e.Machine, Outcome: rpc.Unknown})
}

// expired reports whether the deadline for sending a call has passed. The daemon does the same check.
func (c *Controller) expired(notAfter time.Duration) bool {
	return notAfter > 0 && c.MonotonicNow() >= notAfter
}

// logf appends a line to the world's log.
func (w *World) logf(format string, args ...any) {
	w.Log = append(w.Log, fmt.Sprintf("%8.2f ", w.Now.Seconds())+fmt.Sprintf(format, args...))
}
