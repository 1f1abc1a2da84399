package scale

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"oakpick/internal/fake"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// carrier brings requests of workers and users to the controllers, each worker over a
// connection of its own from its own address.
type carrier struct {
	loop    *loop
	meter   *meter
	fronts  []string
	workers map[string]*workerLink // by host, at the controller that it reports to
	users   []*fasthttp.HostClient // by controller
	times   *answerTimes
}

// workerLink is a worker's connection to the controller that it reports to.
type workerLink struct {
	controller int
	client     *fasthttp.HostClient
}

// What workers and users wait, by the protocol.
const (
	reportWait  = 4 * time.Second
	connectWait = 500 * time.Millisecond
)

func newCarrier(l *loop, m *meter, fronts []string, userConnections int, times *answerTimes) *carrier {
	c := &carrier{loop: l, meter: m, fronts: fronts, workers: map[string]*workerLink{}, times: times}
	for _, addr := range fronts {
		c.users = append(c.users, c.client(addr, "", kindUser, userConnections))
	}
	return c
}

// client makes one for a controller's front; from is the address to connect from, if any.
func (c *carrier) client(to, from string, k kind, conns int) *fasthttp.HostClient {
	dialer := net.Dialer{Timeout: connectWait}
	if host, _, err := net.SplitHostPort(from); err == nil {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(host)}
	}
	return &fasthttp.HostClient{
		Addr: to, MaxConns: conns, MaxIdemponentCallAttempts: 1, RetryIfErr: rpc.NeverRetry, NoDefaultUserAgentHeader: true,
		MaxIdleConnDuration: time.Hour, ReadBufferSize: 4096, WriteBufferSize: 1024,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := dialer.Dial("tcp4", addr)
			if err != nil {
				return nil, err
			}
			return countedConn{conn, c.meter.traffic[k]}, nil
		},
	}
}

// to is how requests reach a controller. The world's owner calls it, and the replies come
// back through it.
func (c *carrier) to(controller int) fake.RemoteSend {
	return func(request message.Request, reply func(message.Reply)) {
		switch r := request.(type) {
		case message.HeartbeatRequest:
			c.report(controller, r.Heartbeat, reply)
		case message.UserRequest:
			c.user(controller, r, reply)
		}
	}
}

func (c *carrier) report(controller int, r *protocol.Heartbeat, reply func(message.Reply)) {
	link := c.workers[r.Machine]
	if link == nil || link.controller != controller {
		if link != nil {
			link.client.CloseIdleConnections()
		}
		link = &workerLink{controller, c.client(c.fronts[controller], r.Addr, kindReport, 1)}
		c.workers[r.Machine] = link
	}
	c.meter.traffic[kindReport].messages.Add(1)
	go func() {
		answer := call(link.client, http.MethodPost, protocol.PathHeartbeat, protocol.EncodeHeartbeat(r), reportWait)
		c.loop.do(func() { reply(answer) })
	}()
}

func (c *carrier) user(controller int, u message.UserRequest, reply func(message.Reply)) {
	method, path, what := http.MethodPost, protocol.PathJobs, "submit"
	wait := protocol.SubmitTimeoutS * time.Second
	var body []byte
	switch u.Kind {
	case message.Submit:
		body = protocol.EncodeSubmission(u.Submission)
	case message.Poll:
		method, path, what = http.MethodGet, protocol.JobPath(u.Job, false), "poll"
		wait = protocol.PollTimeoutS * time.Second
	case message.Cancel:
		path, what = protocol.JobPath(u.Job, true), "cancel"
	}
	c.meter.traffic[kindUser].messages.Add(1)
	go func() {
		began := time.Now()
		answer := call(c.users[controller], method, path, body, wait)
		took := time.Since(began)
		c.loop.do(func() {
			c.meter.answered(what + " " + strconv.Itoa(answer.Status))
			if answer.Status == http.StatusOK || answer.Status == http.StatusCreated {
				c.meter.times.Add(what, took)
				c.times.answer(c.loop.world.Now)
			}
			reply(answer)
		})
	}()
}

// call makes a request; a status of 0 says that there was no answer.
func call(client *fasthttp.HostClient, method, path string, body []byte, wait time.Duration) message.Reply {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + client.Addr + path)
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType(protocol.ContentType)
		req.SetBody(body)
	}
	if err := client.DoTimeout(req, res, wait); err != nil {
		return message.Reply{}
	}
	return message.Reply{
		Status: res.StatusCode(), Body: append([]byte(nil), res.Body()...), RetryAfterS: retryAfter(res),
	}
}

// retryAfter reads a header of an answer to a user.
func retryAfter(res *fasthttp.Response) int {
	seconds, err := strconv.Atoi(string(res.Header.Peek("Retry-After")))
	if err != nil {
		return 0 // none was given
	}
	return seconds
}
