package storage

import (
	"cmp"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// StateOp is the kind of a request to the state service.
type StateOp uint8

// Kinds of requests to the state service.
const (
	StateGet StateOp = iota
	StateList
	StateTxn
	StateGrantLease
	StateRenewLease
	StateRevokeLease
)

// defaultListLimit is how many entries a list request asks for.
const defaultListLimit = 200

// StateCall is a request to the state service. Which fields are used depends on Op.
type StateCall struct {
	ID         uint64 // chosen by the caller, returned in the result
	Op         StateOp
	Key        string        // of StateGet; a prefix for StateList
	StartAfter string        // of StateList: only keys after this one
	Limit      int           // of StateList: entries at most; 0: defaultListLimit
	Lease      int64         // of StateRenewLease and StateRevokeLease
	TTL        time.Duration // of StateGrantLease
	Txn        protocol.Txn  // of StateTxn
}

// StateResult is the result of a StateCall. Unless Outcome is rpc.OK, only ID is set
// beside it, or the rest is not to be used.
type StateResult struct {
	ID       uint64 // of the call
	Outcome  rpc.Outcome
	Revision int64              // of a transaction; of StateGrantLease, the lease
	Entry    protocol.Entry     // of StateGet
	List     protocol.EntryList // of StateList
}

// path returns the path and query of the request.
func (call *StateCall) path() string {
	switch call.Op {
	case StateGet:
		return protocol.PathKV + "/" + call.Key
	case StateList:
		return protocol.PathKV + "?" + call.listQuery()
	case StateTxn:
		return protocol.PathTxn
	case StateGrantLease:
		return protocol.PathLeases
	case StateRenewLease:
		return protocol.LeaseRenewalPath(call.Lease)
	default:
		return protocol.LeasePath(call.Lease)
	}
}

func (call *StateCall) listQuery() string {
	args := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(args)
	args.Set("starts", call.Key)
	if call.StartAfter != "" {
		args.Set("after", call.StartAfter)
	}
	args.Set("limit", strconv.Itoa(cmp.Or(call.Limit, defaultListLimit)))
	return args.String()
}

// encode sets the method and the body of the request.
func (call *StateCall) encode(request *fasthttp.Request) {
	switch call.Op {
	case StateGet, StateList:
		return
	case StateRevokeLease:
		request.Header.SetMethod(fasthttp.MethodDelete)
		return
	case StateTxn:
		request.SetBody(protocol.Encode(call.Txn))
	case StateGrantLease:
		request.SetBody(protocol.Encode(protocol.LeaseRequest{TTLms: call.TTL.Milliseconds()}))
	}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType(protocol.ContentType)
}

// decode reads the body of a successful response.
func (result *StateResult) decode(op StateOp, body []byte) error {
	switch op {
	case StateGet:
		return protocol.Decode(body, &result.Entry)
	case StateList:
		return protocol.Decode(body, &result.List)
	case StateTxn:
		var response protocol.TxnResponse
		err := protocol.Decode(body, &response)
		result.Revision = response.Revision
		return err
	case StateGrantLease:
		var grant protocol.LeaseGrant
		err := protocol.Decode(body, &grant)
		result.Revision = grant.Lease
		return err
	}
	return nil
}
