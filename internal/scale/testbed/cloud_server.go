package testbed

import (
	"net/http"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// handleCloud serves the cloud's API.
func (s *simulatedServers) handleCloud(ctx *fasthttp.RequestCtx) {
	s.meter.countMessage(CloudTraffic)
	call, ok := decodeCloudCall(ctx)
	if !ok {
		respondInvalid(ctx)
		return
	}
	result, ok := callWorld(s.loop, func(answer func(message.CloudResult)) { s.loop.world.ServeCloud(call, answer) })
	if !ok {
		dropConnection(ctx)
		return
	}
	respondCloud(ctx, call, result)
}

func decodeCloudCall(ctx *fasthttp.RequestCtx) (call message.CloudCall, ok bool) {
	switch path := string(ctx.Path()); {
	case path == protocol.PathMachineTypes:
		return message.CloudCall{Op: message.CloudListTypes}, true
	case path == protocol.PathMachines && ctx.IsGet():
		return message.CloudCall{Op: message.CloudListMachines, StartAfter: string(ctx.QueryArgs().Peek("after"))}, true
	case path == protocol.PathMachines:
		call := message.CloudCall{Op: message.CloudScaleOut}
		return call, protocol.Decode(ctx.PostBody(), &call.Provisioning) == nil
	case path == protocol.PathScaleIn:
		var machines protocol.MachineNames
		err := protocol.Decode(ctx.PostBody(), &machines)
		return message.CloudCall{Op: message.CloudScaleIn, Machines: machines.Names}, err == nil
	}
	return message.CloudCall{}, false
}

func respondCloud(ctx *fasthttp.RequestCtx, call message.CloudCall, result message.CloudResult) {
	switch result.Outcome {
	case rpc.OK:
	case rpc.Invalid:
		respondInvalid(ctx)
		return
	case rpc.NotFound:
		respond(ctx, http.StatusServiceUnavailable, protocol.EncodeNoCapacity())
		return
	default:
		respond(ctx, http.StatusServiceUnavailable, protocol.EncodeError("trouble"))
		return
	}
	switch call.Op {
	case message.CloudListTypes:
		respond(ctx, http.StatusOK, protocol.MachineTypes{Types: result.Types})
	case message.CloudListMachines:
		respond(ctx, http.StatusOK, pageOfMachines(result.List, call.StartAfter, ctx.QueryArgs().GetUintOrZero("limit")))
	default:
		respond(ctx, http.StatusOK, protocol.MachineNames{Names: result.Machines})
	}
}

// pageOfMachines sorts the machines by name and returns up to limit of those whose names come after
// the given one. A limit that is not positive or exceeds MaxMachinesPerPage means MaxMachinesPerPage.
func pageOfMachines(list protocol.MachineList, after string, limit int) protocol.MachineList {
	slices.SortFunc(list.Machines, func(a, b protocol.Machine) int { return strings.Compare(a.Name, b.Name) })
	first := slices.IndexFunc(list.Machines, func(machine protocol.Machine) bool { return machine.Name > after })
	if first < 0 {
		return protocol.MachineList{}
	}
	if limit <= 0 || limit > protocol.MaxMachinesPerPage {
		limit = protocol.MaxMachinesPerPage
	}
	rest := list.Machines[first:]
	return protocol.MachineList{Machines: rest[:min(limit, len(rest))], More: len(rest) > limit}
}
