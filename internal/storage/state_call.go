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

// defaultListLimit is the maximum number of entries of a list request that sets no limit.
const defaultListLimit = 200

// StateCall is a request to the state service. Op determines which fields are used.
type StateCall struct {
	ID         uint64 // chosen by the caller and copied to the result
	Op         StateOp
	Key        string        // key for StateGet, prefix for StateList
	StartAfter string        // for StateList: returns only keys after this one
	Limit      int           // for StateList: maximum number of entries; 0 means defaultListLimit
	Lease      int64         // for StateRenewLease and StateRevokeLease
	TTL        time.Duration // for StateGrantLease
	Txn        protocol.Txn  // for StateTxn
}

// StateResult is the result of a StateCall. The fields after Outcome are valid only if
// Outcome is rpc.OK.
type StateResult struct {
	ID       uint64 // ID of the call
	Outcome  rpc.Outcome
	Revision int64              // for StateTxn: revision of the commit; for StateGrantLease: lease ID
	Entry    protocol.Entry     // for StateGet
	List     protocol.EntryList // for StateList
}

// path returns the path and the query of the request.
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

// decode decodes the body of a successful response.
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
