package storage

import (
	"cmp"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"oakpick/internal/config"
	"oakpick/internal/protocol"
)

// Outcome is how a call to another component ended.
type Outcome uint8

// Outcomes. NotSent and Refused prove that nothing was executed; after Lost it
// may have been, or may yet be.
const (
	OK Outcome = iota
	Conflict
	NotFound
	Invalid
	Refused
	NotSent
	Lost
)

// StateOp is a request to the state service.
type StateOp uint8

// Requests to the state service.
const (
	StateGet StateOp = iota
	StateList
	StateTxn
	StateGrant
	StateRenew
	StateRevoke
)

// StateCall asks the state service.
type StateCall struct {
	ID    uint64
	Op    StateOp
	Key   string // of a read; a prefix for a list
	After string // of a list
	Most  int    // entries of a list; 0: as many as are usual
	Lease int64  // of a renewal or a revocation
	TTL   time.Duration
	Txn   protocol.Txn
}

// StateResult answers a StateCall.
type StateResult struct {
	ID      uint64
	Outcome Outcome
	Number  int64 // a lease, or the revision of a transaction
	Entry   protocol.Entry
	List    protocol.EntryList
}

// Client speaks to the state service. Renewals have connections of their own,
// so that they never wait behind other requests.
type Client struct {
	calls, renewals *fasthttp.HostClient
	wait, renewWait time.Duration
}

// listEntries is how many entries a list asks for.
const listEntries = 200

// DialError marks a connection that was never made: nothing was sent on it.
type DialError struct{ Err error }

func (e *DialError) Error() string { return "dial: " + e.Err.Error() }
func (e *DialError) Unwrap() error { return e.Err }

// Dial connects within a time, and marks failures as such.
func Dial(wait time.Duration) fasthttp.DialFunc {
	return func(addr string) (net.Conn, error) {
		c, err := net.DialTimeout("tcp4", addr, wait)
		if err != nil {
			return nil, &DialError{err}
		}
		return c, nil
	}
}

// NoRetry keeps the HTTP library from sending anything twice by itself: every
// repeat is a decision of coordination, which has to know of it.
func NoRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// NewClient makes a client. Calls are given up after wait, renewals after renewWait.
func NewClient(addr string, wait, renewWait time.Duration) *Client {
	host := func(conns int, dial time.Duration) *fasthttp.HostClient {
		return &fasthttp.HostClient{
			Addr: addr, Dial: Dial(dial), MaxConns: conns, MaxIdemponentCallAttempts: 1, RetryIfErr: NoRetry,
			MaxResponseBodySize: 1 << 20, NoDefaultUserAgentHeader: true, MaxConnWaitTimeout: dial,
			MaxIdleConnDuration: 10 * wait,
		}
	}
	return &Client{calls: host(config.StateCalls+config.StateLookups, wait/2), renewals: host(config.StateRenewals, renewWait/2), wait: wait, renewWait: renewWait}
}

// Do makes a call and waits for its outcome.
func (c *Client) Do(call StateCall) StateResult {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	client, wait := c.calls, c.wait
	if call.Op == StateRenew || call.Op == StateRevoke {
		client, wait = c.renewals, c.renewWait
	}
	req.SetRequestURI("http://" + client.Addr + call.path())
	call.write(req)
	r := StateResult{ID: call.ID}
	if err := client.DoTimeout(req, res, wait); err != nil {
		r.Outcome = Failure(err)
		return r
	}
	r.Outcome = outcome(res.StatusCode())
	if r.Outcome == OK {
		r.read(call.Op, res.Body())
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
	case StateGrant:
		return protocol.PathGrants
	case StateRenew:
		return protocol.RenewPath(call.Lease)
	default:
		return protocol.GrantPath(call.Lease)
	}
}

// listQuery asks for the part of a list behind a key.
func (call *StateCall) listQuery() string {
	args := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(args)
	args.Set("starts", call.Key)
	if call.After != "" {
		args.Set("after", call.After)
	}
	args.Set("limit", strconv.Itoa(cmp.Or(call.Most, listEntries)))
	return args.String()
}

// write sets the method and the body of a call's request.
func (call *StateCall) write(req *fasthttp.Request) {
	switch call.Op {
	case StateGet, StateList:
		return
	case StateRevoke:
		req.Header.SetMethod(fasthttp.MethodDelete)
		return
	case StateTxn:
		req.SetBody(protocol.Encode(call.Txn))
	case StateGrant:
		req.SetBody(protocol.Encode(protocol.GrantRequest{TTLms: call.TTL.Milliseconds()}))
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
		var a protocol.TxnAnswer
		err = protocol.Decode(body, &a)
		r.Number = a.Revision
	case StateGrant:
		var g protocol.Grant
		err = protocol.Decode(body, &g)
		r.Number = g.Lease
	}
	if err != nil {
		r.Outcome = Lost // an answer that can't be read tells nothing
	}
}

// Failure tells whether a call that brought no answer was sent at all.
func Failure(err error) Outcome {
	var dial *DialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return NotSent
	}
	return Lost
}

func outcome(status int) Outcome {
	switch status {
	case fasthttp.StatusOK:
		return OK
	case fasthttp.StatusConflict:
		return Conflict
	case fasthttp.StatusNotFound:
		return NotFound
	case fasthttp.StatusBadRequest:
		return Invalid
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return Refused
	}
	return Lost
}
