package testbed

import (
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
	"oakpick/internal/storage"
)

// handleState serves the state service's API except watches, which controllers don't use.
func (s *simulatedServers) handleState(ctx *fasthttp.RequestCtx) {
	s.meter.countMessage(StateTraffic)
	if !s.stateRate.Allow() {
		s.meter.countResponse("state 429 for the rate")
		respond(ctx, http.StatusTooManyRequests, nil)
		return
	}
	call, ok := decodeStateCall(ctx)
	if !ok {
		respondInvalid(ctx)
		return
	}
	result, ok := callWorld(s.loop, func(answer func(storage.StateResult)) { s.loop.world.ServeState(call, answer) })
	if !ok {
		dropConnection(ctx)
		return
	}
	respondState(ctx, call, result)
}

func decodeStateCall(ctx *fasthttp.RequestCtx) (call storage.StateCall, ok bool) {
	path := string(ctx.Path())
	if key, ok := strings.CutPrefix(path, protocol.PathKV+"/"); ok {
		return storage.StateCall{Op: storage.StateGet, Key: key}, true
	}
	switch path {
	case protocol.PathKV:
		args := ctx.QueryArgs()
		return storage.StateCall{
			Op: storage.StateList, Key: string(args.Peek("starts")), StartAfter: string(args.Peek("after")), Limit: args.GetUintOrZero("limit"),
		}, true
	case protocol.PathTxn:
		transaction, err := protocol.DecodeTxn(ctx.PostBody())
		return storage.StateCall{Op: storage.StateTxn, Txn: transaction}, err == nil
	case protocol.PathLeases:
		var grant protocol.LeaseRequest
		err := protocol.Decode(ctx.PostBody(), &grant)
		return storage.StateCall{Op: storage.StateGrantLease, TTL: time.Duration(grant.TTLms) * time.Millisecond}, err == nil
	}
	lease, renew, ok := protocol.SplitLeasePath(path)
	if renew {
		return storage.StateCall{Op: storage.StateRenewLease, Lease: lease}, ok
	}
	return storage.StateCall{Op: storage.StateRevokeLease, Lease: lease}, ok && ctx.IsDelete()
}

func respondState(ctx *fasthttp.RequestCtx, call storage.StateCall, result storage.StateResult) {
	switch result.Outcome {
	case rpc.OK:
		respondStateOK(ctx, call, result)
	case rpc.Conflict:
		respond(ctx, http.StatusConflict, protocol.TxnResponse{Revision: result.Revision})
	case rpc.NotFound:
		respond(ctx, http.StatusNotFound, nil)
	case rpc.Invalid:
		respond(ctx, http.StatusBadRequest, protocol.EncodeError("refused"))
	default:
		respond(ctx, http.StatusServiceUnavailable, nil)
	}
}

func respondStateOK(ctx *fasthttp.RequestCtx, call storage.StateCall, result storage.StateResult) {
	switch call.Op {
	case storage.StateGet:
		respond(ctx, http.StatusOK, result.Entry)
	case storage.StateList:
		respond(ctx, http.StatusOK, result.List)
	case storage.StateTxn:
		respond(ctx, http.StatusOK, protocol.TxnResponse{Revision: result.Revision})
	case storage.StateGrantLease:
		respond(ctx, http.StatusOK, protocol.LeaseGrant{Lease: result.Revision})
	default:
		respond(ctx, http.StatusOK, map[string]string{})
	}
}
