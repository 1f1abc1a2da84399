package storage

import (
	"bytes"
	"fmt"
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// listen opens a loopback port.
func listen(t *testing.T) net.Listener {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// serve answers requests on a loopback port until the test ends, and returns its address.
func serve(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener := listen(t)
	server := &fasthttp.Server{Handler: handler}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := server.Shutdown(); err != nil {
			t.Error(err)
		}
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// closedPort returns a loopback address without a listener.
func closedPort(t *testing.T) string {
	t.Helper()
	listener := listen(t)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// operation is a call, the expected request, the response to it and the expected result.
type operation struct {
	call     StateCall
	request  string // method, path and query
	body     []byte
	response any
	want     StateResult
}

func TestClientSendsEachOperation(t *testing.T) {
	txn := protocol.Txn{If: []protocol.Condition{term}}
	entry := protocol.Entry{Key: "a/b", Value: protocol.Encode("value"), Version: 3}
	list := protocol.EntryList{Entries: []protocol.Entry{entry}}
	for name, o := range map[string]operation{
		"get": {
			call: StateCall{Op: StateGet, Key: "a/b"}, request: "GET " + protocol.PathKV + "/a/b",
			response: entry, want: StateResult{Entry: entry},
		},
		"list from the start": {
			call: StateCall{Op: StateList, Key: "a/"}, request: "GET " + protocol.PathKV + "?starts=a%2F&limit=200",
			response: list, want: StateResult{List: list},
		},
		"list after a key": {
			call:    StateCall{Op: StateList, Key: "a/", StartAfter: "a/b", Limit: 7},
			request: "GET " + protocol.PathKV + "?starts=a%2F&after=a%2Fb&limit=7", response: protocol.EntryList{},
		},
		"transaction": {
			call: StateCall{Op: StateTxn, Txn: txn}, request: "POST " + protocol.PathTxn, body: protocol.Encode(txn),
			response: protocol.TxnResponse{Revision: 11}, want: StateResult{Revision: 11},
		},
		"grant of a lease": {
			call: StateCall{Op: StateGrantLease, TTL: 1500 * time.Millisecond}, request: "POST " + protocol.PathLeases,
			body: protocol.Encode(protocol.LeaseRequest{TTLms: 1500}), response: protocol.LeaseGrant{Lease: 12}, want: StateResult{Revision: 12},
		},
		"renewal": {
			call: StateCall{Op: StateRenewLease, Lease: 12}, request: "POST " + protocol.LeaseRenewalPath(12), response: "not read",
		},
		"revocation": {
			call: StateCall{Op: StateRevokeLease, Lease: 12}, request: "DELETE " + protocol.LeasePath(12), response: "not read",
		},
		"undecodable response": {
			call: StateCall{Op: StateGet, Key: "a"}, request: "GET " + protocol.PathKV + "/a",
			response: "text", want: StateResult{Outcome: rpc.Unknown},
		},
	} {
		t.Run(name, o.check)
	}
}

// check makes the call and compares the request and the result.
func (o operation) check(t *testing.T) {
	t.Helper()
	const timeout = 5 * time.Second
	var request string
	var body []byte
	address := serve(t, func(ctx *fasthttp.RequestCtx) {
		request = fmt.Sprintf("%s %s", ctx.Method(), ctx.RequestURI())
		body = append(body, ctx.PostBody()...)
		ctx.SetBody(protocol.Encode(o.response))
	})
	o.call.ID, o.want.ID = 42, 42
	got := NewClient(address, timeout, timeout).Do(o.call)
	if !reflect.DeepEqual(got, o.want) {
		t.Errorf("result %+v, want %+v", got, o.want)
	}
	if request != o.request || !bytes.Equal(body, o.body) {
		t.Errorf("sent %q with body %x, want %q with %x", request, body, o.request, o.body)
	}
}

func TestClientReportsFailures(t *testing.T) {
	const timeout = 5 * time.Second
	call := StateCall{ID: 1, Op: StateGet, Key: "a"}
	conflict := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusConflict) })
	for name, c := range map[string]struct {
		address string
		want    rpc.Outcome
	}{
		"status":        {conflict, rpc.Conflict},
		"no connection": {closedPort(t), rpc.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			if got := NewClient(c.address, timeout, timeout).Do(call); got.ID != 1 || got.Outcome != c.want {
				t.Errorf("result %+v, want outcome %d", got, c.want)
			}
		})
	}
}
