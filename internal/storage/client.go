package storage

import (
	"cmp"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"oakpick/internal/config"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// StateOp is a request to the state service.
type StateOp uint8

// Requests to the state service.
const (
	StateGet StateOp = iota
	StateList
	StateTxn
	StateGrantLease
	StateRenewLease
	StateRevokeLease
)

// StateCall asks the state service.
type StateCall struct {
	ID         uint64
	Op         StateOp
	Key        string // of a read; a prefix for a list
	StartAfter string // of a list
	Limit      int    // entries of a list; 0: as many as are usual
	Lease      int64  // of a renewal or a revocation
	TTL        time.Duration
	Txn        protocol.Txn
}

// StateResult answers a StateCall.
type StateResult struct {
	ID       uint64
	Outcome  rpc.Outcome
	Revision int64 // a lease, or the revision of a transaction
	Entry    protocol.Entry
	List     protocol.EntryList
}

// Client speaks to the state service. Renewals have connections of their own,
// so that they never wait behind other requests.
type Client struct {
	requests, renewals      *fasthttp.HostClient
	timeout, renewalTimeout time.Duration
}

// defaultListLimit is how many entries a list asks for.
const defaultListLimit = 200

// NewClient makes a client. Calls are given up after wait, renewals after renewalTimeout.
func NewClient(addr string, wait, renewWait time.Duration) *Client {
	host := func(conns int, dial time.Duration) *fasthttp.HostClient {
		return &fasthttp.HostClient{
			Addr: addr, Dial: rpc.Dial(dial), MaxConns: conns, MaxIdemponentCallAttempts: 1, RetryIfErr: rpc.NeverRetry,
			MaxResponseBodySize: 1 << 20, NoDefaultUserAgentHeader: true, MaxConnWaitTimeout: dial,
			MaxIdleConnDuration: 10 * wait,
		}
	}
	return &Client{requests: host(config.StateConnections+config.ArchiveReadConnections, wait/2), renewals: host(config.StateRenewalConnections, renewWait/2), timeout: wait, renewalTimeout: renewWait}
}

// Do makes a call and waits for its outcome.
func (c *Client) Do(request StateCall) StateResult {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	client, wait := c.requests, c.timeout
	if request.Op == StateRenewLease || request.Op == StateRevokeLease {
		client, wait = c.renewals, c.renewalTimeout
	}
	req.SetRequestURI("http://" + client.Addr + request.path())
	request.write(req)
	r := StateResult{ID: request.ID}
	if err := client.DoTimeout(req, res, wait); err != nil {
		r.Outcome = rpc.OutcomeOfError(err)
		return r
	}
	r.Outcome = rpc.OutcomeOfStatus(res.StatusCode())
	if r.Outcome == rpc.OK {
		r.read(request.Op, res.Body())
	}
	return r
}

// path is where a call goes.
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

// listQuery asks for the part of a list behind a key.
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

// write sets the method and the body of a call's request.
func (call *StateCall) write(req *fasthttp.Request) {
	switch call.Op {
	case StateGet, StateList:
		return
	case StateRevokeLease:
		req.Header.SetMethod(fasthttp.MethodDelete)
		return
	case StateTxn:
		req.SetBody(protocol.Encode(call.Txn))
	case StateGrantLease:
		req.SetBody(protocol.Encode(protocol.LeaseRequest{TTLms: call.TTL.Milliseconds()}))
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType(protocol.ContentType)
}

func (r *StateResult) read(op StateOp, body []byte) {
	var err error
	switch op {
	case StateGet:
		err = protocol.Decode(body, &r.Entry)
	case StateList:
		err = protocol.Decode(body, &r.List)
	case StateTxn:
		var a protocol.TxnResponse
		err = protocol.Decode(body, &a)
		r.Revision = a.Revision
	case StateGrantLease:
		var g protocol.LeaseGrant
		err = protocol.Decode(body, &g)
		r.Revision = g.Lease
	}
	if err != nil {
		r.Outcome = rpc.Unknown // an answer that can't be read tells nothing
	}
}
