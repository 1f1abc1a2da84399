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

type owner struct {
	reply message.Reply
	wait  time.Duration
	got   []any
	well  bool
}

func (o *owner) Do(c message.Request, _ Raw, _ time.Duration) message.Reply {
	o.got = append(o.got, c)
	time.Sleep(o.wait)
	return o.reply
}
func (o *owner) Healthy() bool { return o.well }

func serve(t *testing.T, o *owner, limit *Limit) *fasthttp.HostClient {
	t.Helper()
	l := fasthttputil.NewInmemoryListener()
	f := NewFront(o, limit, 100, time.Second)
	go func() { _ = f.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return &fasthttp.HostClient{Addr: "x", Dial: func(string) (net.Conn, error) { return l.Dial() }}
}

func ask(t *testing.T, c *fasthttp.HostClient, method, path string, body []byte) *fasthttp.Response {
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
	o := &owner{reply: message.Reply{Status: 200}, well: true}
	c := serve(t, o, NewLimit(64, time.Second, func() {}))
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
		if res := ask(t, c, x.method, x.path, x.body); res.StatusCode() != x.want {
			t.Errorf("%s %s: %d, not %d", x.method, x.path, res.StatusCode(), x.want)
		}
	}
	if len(o.got) != 2 {
		t.Errorf("%d commands reached the owner, not 2", len(o.got))
	}
}

func TestRefusalsSayWhenToComeBack(t *testing.T) {
	o := &owner{reply: Busy("no leader")}
	c := serve(t, o, NewLimit(64, time.Second, func() {}))
	res := ask(t, c, "GET", "/v2/runs/wk-1", nil)
	if res.StatusCode() != 503 || string(res.Header.Peek("Retry-After")) != "1" {
		t.Errorf("%d, Retry-After %q", res.StatusCode(), res.Header.Peek("Retry-After"))
	}
	if res = ask(t, c, "GET", "/healthz", nil); res.StatusCode() != 503 {
		t.Errorf("an unhealthy node answers %d", res.StatusCode())
	}
}

// In a burst the limit refuses at once what it can't take, and a cancellation
// gets through all the same.
func TestBurstIsShedAndCancellationsAreNot(t *testing.T) {
	var shed atomic.Int64
	limit := NewLimit(8, time.Second, func() { shed.Add(1) })
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
	o := &owner{reply: message.Reply{Status: 200}}
	if r := serveUser(o, limit, Raw{Method: "POST", Path: "/v2/runs/wk-1/abort"}); r.Status != 200 {
		t.Errorf("a cancellation got %d", r.Status)
	}
	if r := serveUser(o, limit, Raw{Method: "GET", Path: "/v2/runs/wk-1"}); r.Status != 503 || r.RetryAfterS == 0 {
		t.Errorf("a poll got %d", r.Status)
	}
	close(hold)
	for range 100 - refused {
		<-done
	}
}
