package daemon

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/transport"
)

// forwardTimeout bounds the time that a request may take at the leader to which it is forwarded.
const forwardTimeout = protocol.PollTimeoutS * time.Second

var logLevels = [...]slog.Level{message.Debug: slog.LevelDebug, message.Info: slog.LevelInfo, message.Error: slog.LevelError}

// performEffect performs an effect, in a goroutine of its own if it may block. Results are queued
// as events.
func (l *eventLoop) performEffect(effect message.Effect) {
	goroutines := l.process.goroutines
	switch e := effect.(type) {
	case message.Reply:
		if request, ok := l.pending.take(e.ID); ok {
			request.reply <- e
		}
	case message.Forward:
		l.forward(e)
	case message.StateCall:
		goroutines.Go(func() error { l.callState(e); return nil })
	case message.CloudCall:
		goroutines.Go(func() error { l.callCloud(e); return nil })
	case message.CommandsCall:
		goroutines.Go(func() error { l.sendCommands(e); return nil })
	case message.PeerCall:
		goroutines.Go(func() error { l.enqueue(l.clients.peers.StepDown(l.process.ctx, e)); return nil })
	case message.Log:
		l.process.log.Log(l.process.ctx, logLevels[e.Level], e.Message, e.Args...)
	}
}

// enqueue queues the result of an effect for the controller.
func (l *eventLoop) enqueue(event message.Event) {
	enqueue(l.process.ctx, l.queue, queuedEvent{event: event})
}

func (l *eventLoop) callState(call message.StateCall) {
	startedAt := time.Now()
	l.enqueue(message.StateResult{StateResult: l.clients.state.Do(call.StateCall)})
	l.metrics.recordStateCall(call.Op, time.Since(startedAt))
}

func (l *eventLoop) callCloud(call message.CloudCall) {
	if l.process.pastDeadline(call.NotAfter) {
		l.enqueue(message.CloudResult{ID: call.ID, Outcome: rpc.NotSent})
		return
	}
	l.enqueue(l.clients.cloud.Do(call))
}

func (l *eventLoop) sendCommands(call message.CommandsCall) {
	if l.process.pastDeadline(call.NotAfter) {
		l.enqueue(message.CommandsResult{ID: call.ID, Machine: call.Machine, Outcome: rpc.NotSent})
		return
	}
	l.enqueue(l.clients.workers.Send(call))
}

// forward sends a pending request to the leader.
func (l *eventLoop) forward(forward message.Forward) {
	request, ok := l.pending.take(forward.ID)
	if !ok {
		return
	}
	if request.raw.FromPeer {
		// The peer considers this node the leader, but this node knows another one. The peer
		// will learn of that leader; forwarding the request again could create a loop.
		request.reply <- transport.Unavailable("not the leader")
		return
	}
	l.process.goroutines.Go(func() error { l.forwardTo(forward.Peer, request); return nil })
}

// forwardTo sends a request to the leader and waits for the reply. If the leader changes before
// the reply arrives, the request is queued again.
func (l *eventLoop) forwardTo(peer string, request queuedEvent) {
	ctx, cancel := context.WithTimeout(l.process.ctx, forwardTimeout)
	defer cancel()
	ctx, done := l.forwarded.Track(ctx, peer)
	defer done()
	reply, err := l.clients.peers.Forward(ctx, peer, request.raw.Method, request.raw.Path, request.raw.Body)
	if err != nil && errors.Is(context.Cause(ctx), transport.ErrLeaderChanged) {
		enqueue(l.process.ctx, l.queue, request)
		return
	}
	if err != nil {
		reply = transport.Unavailable("the leader can't be reached")
		reply.CloseConnection = true
	}
	request.reply <- reply
}
