package transport

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"oakpick/internal/message"
	"oakpick/internal/protocol"
)

// fakeHandler answers every request with the same reply after a delay, and records the requests.
type fakeHandler struct {
	reply    message.Reply
	delay    time.Duration
	requests []message.Request
	healthy  bool
}

func (h *fakeHandler) Handle(request message.Request, _ RawRequest, _ time.Duration) message.Reply {
	h.requests = append(h.requests, request)
	time.Sleep(h.delay)
	return h.reply
}

func (h *fakeHandler) Healthy() bool { return h.healthy }

// startAPIServer serves on an in-memory listener and returns a client for it.
func startAPIServer(t *testing.T, handler RequestHandler, limit *ConcurrencyLimit) *fasthttp.HostClient {
	t.Helper()
	listener := fasthttputil.NewInmemoryListener()
	server := NewAPIServer(handler, limit, 100, time.Second)
	go func() { _ = server.Serve(listener) }() // returns when the listener is closed
	t.Cleanup(func() { _ = listener.Close() })
	return &fasthttp.HostClient{Addr: "x", Dial: func(string) (net.Conn, error) { return listener.Dial() }}
}

func call(t *testing.T, client *fasthttp.HostClient, method, path string, body []byte) *fasthttp.Response {
	t.Helper()
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	t.Cleanup(func() { fasthttp.ReleaseResponse(res) })
	req.Header.SetMethod(method)
	req.SetRequestURI("http://x" + path)
	req.SetBody(body)
	if err := client.Do(req, res); err != nil {
		t.Fatal(err)
	}
	return res
}

func TestAPIServerRoutesRequests(t *testing.T) {
	handler := &fakeHandler{reply: message.Reply{Status: http.StatusOK}, healthy: true}
	client := startAPIServer(t, handler, NewConcurrencyLimit(64, time.Second, func() {}))
	for _, c := range []struct {
		name, method, path string
		body               []byte
		want               int
	}{
		{"health", "GET", "/healthz", nil, http.StatusOK},
		{"health by another method", "POST", "/healthz", nil, http.StatusMethodNotAllowed},
		{"unknown path", "GET", "/nothing", nil, http.StatusNotFound},
		{"submission by another method", "GET", "/v2/runs", nil, http.StatusMethodNotAllowed},
		{"malformed submission", "POST", "/v2/runs", []byte{0x90}, http.StatusBadRequest},
		{"body over the limit", "POST", "/v2/runs", make([]byte, protocol.MaxBody+1), http.StatusBadRequest},
		{"malformed heartbeat", "POST", "/agent/beat", []byte{0x80}, http.StatusBadRequest},
		{"poll", "GET", "/v2/runs/wk-1", nil, http.StatusOK},
		{"poll by another method", "DELETE", "/v2/runs/wk-1", nil, http.StatusMethodNotAllowed},
		{"cancellation", "POST", "/v2/runs/wk-1/abort", nil, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			if res := call(t, client, c.method, c.path, c.body); res.StatusCode() != c.want {
				t.Errorf("%s %s: %d, not %d", c.method, c.path, res.StatusCode(), c.want)
			}
		})
	}
	if len(handler.requests) != 2 {
		t.Errorf("%d requests reached the handler, not 2", len(handler.requests))
	}
}

func TestRefusalsCarryRetryAfter(t *testing.T) {
	handler := &fakeHandler{reply: Unavailable("no leader")}
	client := startAPIServer(t, handler, NewConcurrencyLimit(64, time.Second, func() {}))
	res := call(t, client, "GET", "/v2/runs/wk-1", nil)
	if res.StatusCode() != 503 || string(res.Header.Peek("Retry-After")) != "1" {
		t.Errorf("%d, Retry-After %q", res.StatusCode(), res.Header.Peek("Retry-After"))
	}
	if res = call(t, client, "GET", "/healthz", nil); res.StatusCode() != 503 {
		t.Errorf("an unhealthy node answers %d", res.StatusCode())
	}
}

// saturate sends 100 requests to a limit and returns once each of them is refused or in progress.
// release lets the requests in progress finish, and waits for them.
func saturate(t *testing.T, limit *ConcurrencyLimit) (inProgress, refused int, release func()) {
	t.Helper()
	const requests = 100
	hold, admitted, statuses := make(chan struct{}), make(chan struct{}, requests), make(chan int, requests)
	for range requests {
		go func() {
			statuses <- limit.Run(func() message.Reply {
				admitted <- struct{}{}
				<-hold
				return message.Reply{Status: http.StatusOK}
			}).Status
		}()
	}
	for refused+len(admitted) < requests {
		if status := <-statuses; status != http.StatusServiceUnavailable {
			t.Fatalf("a request got %d while the admitted ones were held", status)
		}
		refused++
	}
	return len(admitted), refused, func() {
		close(hold)
		for range requests - refused {
			<-statuses
		}
	}
}

// In a burst, requests over the limit are refused at once, but a cancellation is still served.
func TestLimitShedsBurstButNotCancellations(t *testing.T) {
	var shed atomic.Int64
	limit := NewConcurrencyLimit(8, time.Second, func() { shed.Add(1) })
	inProgress, refused, release := saturate(t, limit)
	if inProgress > 8 || refused < 92 {
		t.Errorf("%d admitted, %d refused", inProgress, refused)
	}
	if int(shed.Load()) != refused {
		t.Errorf("onShed was called %d times for %d refused requests", shed.Load(), refused)
	}
	handler := &fakeHandler{reply: message.Reply{Status: http.StatusOK}}
	cancellation := RawRequest{Method: http.MethodPost, Path: "/v2/runs/wk-1/abort"}
	if reply := handleUserRequest(handler, limit, cancellation); reply.Status != http.StatusOK {
		t.Errorf("a cancellation got %d", reply.Status)
	}
	poll := RawRequest{Method: http.MethodGet, Path: "/v2/runs/wk-1"}
	if reply := handleUserRequest(handler, limit, poll); reply.Status != http.StatusServiceUnavailable || reply.RetryAfterS == 0 {
		t.Errorf("a poll got %d", reply.Status)
	}
	release()
}
