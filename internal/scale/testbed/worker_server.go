package testbed

import (
	"net/http"

	"github.com/valyala/fasthttp"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// handleCommands passes a leader's commands to the simulated worker that listens on the
// connection's local address.
func (s *simulatedServers) handleCommands(ctx *fasthttp.RequestCtx) {
	s.meter.countMessage(CommandTraffic)
	machine, ok := s.machineNames.Load(ctx.LocalAddr().String())
	if !ok || string(ctx.Path()) != protocol.PathCommands {
		respond(ctx, http.StatusNotFound, nil)
		return
	}
	commands, err := protocol.DecodeCommands(ctx.PostBody())
	if err != nil || !commands.HasTokenAndIncarnation {
		respondInvalid(ctx)
		return
	}
	call := message.CommandsCall{
		Machine: machine.(string), FencingToken: commands.FencingToken, Incarnation: commands.Incarnation, Commands: commands.Commands,
	}
	result, ok := callWorld(s.loop, func(answer func(message.CommandsResult)) { s.loop.world.ServeCommands(call, answer) })
	if !ok {
		dropConnection(ctx)
		return
	}
	status := http.StatusOK
	if result.Outcome == rpc.Conflict {
		status = http.StatusConflict
	}
	respond(ctx, status, protocol.EncodeHeartbeat(result.Heartbeat))
}
