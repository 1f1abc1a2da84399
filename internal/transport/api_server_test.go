package transport

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

type fakeHandler struct {
	reply    message.Reply
	delay    time.Duration
	requests []any
	healthy  bool
}

func (o *fakeHandler) Handle(c message.Request, _ RawRequest, _ time.Duration) message.Reply {
	o.requests = append(o.requests, c)
	time.Sleep(o.delay)
	return o.reply
}
func (o *fakeHandler) Healthy() bool { return o.healthy }

func startAPIServer(t *testing.T, o *fakeHandler, limit *ConcurrencyLimit) *fasthttp.HostClient {
	t.Helper()
	l := fasthttputil.NewInmemoryListener()
	f := NewAPIServer(o, limit, 100, time.Second)
	go func() { _ = f.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return &fasthttp.HostClient{Addr: "x", Dial: func(string) (net.Conn, error) { return l.Dial() }}
}

func call(t *testing.T, c *fasthttp.HostClient, method, path string, body []byte) *fasthttp.Response {
	t.Helper()
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	t.Cleanup(func() { fasthttp.ReleaseResponse(res) })
	req.Header.SetMethod(method)
	req.SetRequestURI("http://x" + path)
	req.SetBody(body)
	if err := c.Do(req, res); err != nil {
		t.Fatal(err)
	}
	return res
}

func TestFrontSortsRequests(t *testing.T) {
	o := &fakeHandler{reply: message.Reply{Status: 200}, healthy: true}
	c := startAPIServer(t, o, NewConcurrencyLimit(64, time.Second, func() {}))
	big := make([]byte, protocol.MaxBody+1)
	for _, x := range []struct {
		method, path string
		body         []byte
		want         int
	}{
		{"GET", "/healthz", nil, 200},
		{"POST", "/healthz", nil, 405},
		{"GET", "/nothing", nil, 404},
		{"GET", "/v2/runs", nil, 405},
		{"POST", "/v2/runs", []byte{0x90}, 400},
		{"POST", "/v2/runs", big, 400},
		{"POST", "/agent/beat", []byte{0x80}, 400},
		{"GET", "/v2/runs/wk-1", nil, 200},
		{"DELETE", "/v2/runs/wk-1", nil, 405},
		{"POST", "/v2/runs/wk-1/abort", nil, 200},
	} {
		if res := call(t, c, x.method, x.path, x.body); res.StatusCode() != x.want {
			t.Errorf("%s %s: %d, not %d", x.method, x.path, res.StatusCode(), x.want)
		}
	}
	if len(o.requests) != 2 {
		t.Errorf("%d commands reached the owner, not 2", len(o.requests))
	}
}

func TestRefusalsSayWhenToComeBack(t *testing.T) {
	o := &fakeHandler{reply: Unavailable("no leader")}
	c := startAPIServer(t, o, NewConcurrencyLimit(64, time.Second, func() {}))
	res := call(t, c, "GET", "/v2/runs/wk-1", nil)
	if res.StatusCode() != 503 || string(res.Header.Peek("Retry-After")) != "1" {
		t.Errorf("%d, Retry-After %q", res.StatusCode(), res.Header.Peek("Retry-After"))
	}
	if res = call(t, c, "GET", "/healthz", nil); res.StatusCode() != 503 {
		t.Errorf("an unhealthy node answers %d", res.StatusCode())
	}
}

// In a burst the limit refuses at once what it can't take, and a cancellation
// gets through all the same.
func TestBurstIsShedAndCancellationsAreNot(t *testing.T) {
	var shed atomic.Int64
	limit := NewConcurrencyLimit(8, time.Second, func() { shed.Add(1) })
	hold, in := make(chan struct{}), make(chan struct{}, 100)
	done := make(chan int, 100)
	for range 100 {
		go func() {
			done <- limit.Run(func() message.Reply {
				in <- struct{}{}
				<-hold
				return message.Reply{Status: 200}
			}).Status
		}()
	}
	refused := 0
	for refused+len(in) < 100 {
		if s := <-done; s != 503 {
			t.Fatalf("answered %d while all were held", s)
		}
		refused++
	}
	if len(in) > 8 || refused < 92 {
		t.Errorf("%d let in, %d refused", len(in), refused)
	}
	if int(shed.Load()) != refused {
		t.Errorf("%d counted as shed, %d were", shed.Load(), refused)
	}
	o := &fakeHandler{reply: message.Reply{Status: 200}}
	if r := handleUserRequest(o, limit, RawRequest{Method: "POST", Path: "/v2/runs/wk-1/abort"}); r.Status != 200 {
		t.Errorf("a cancellation got %d", r.Status)
	}
	if r := handleUserRequest(o, limit, RawRequest{Method: "GET", Path: "/v2/runs/wk-1"}); r.Status != 503 || r.RetryAfterS == 0 {
		t.Errorf("a poll got %d", r.Status)
	}
	close(hold)
	for range 100 - refused {
		<-done
	}
}
