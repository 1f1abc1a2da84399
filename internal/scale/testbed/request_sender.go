package testbed

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

// requestSender sends the requests of simulated workers and users to the real controllers. Each
// worker has its own connection, from its own address.
type requestSender struct {
	loop           *worldLoop
	meter          *Meter
	apiAddresses   []string                     // by controller
	workers        map[string]*workerConnection // by machine name
	users          []*fasthttp.HostClient       // by controller
	onUserResponse func(now time.Duration)      // called by the loop when a user's request succeeds
}

// workerConnection is a worker's connection to the controller that it sends heartbeats to.
type workerConnection struct {
	controller int
	client     *fasthttp.HostClient
}

// Timeouts of workers as specified by the protocol.
const (
	heartbeatTimeout = 4 * time.Second
	connectTimeout   = 500 * time.Millisecond
)

// idleTimeout is the time after which an unused connection is closed. It is longer than a run.
const idleTimeout = time.Hour

// Buffer sizes of a connection. They are small because thousands of connections are open.
const (
	readBufferBytes  = 4096
	writeBufferBytes = 1024
)

func newRequestSender(loop *worldLoop, meter *Meter, apiAddresses []string, userConnections int) *requestSender {
	s := &requestSender{
		loop: loop, meter: meter, apiAddresses: apiAddresses, workers: map[string]*workerConnection{}, onUserResponse: func(time.Duration) {},
	}
	for _, address := range apiAddresses {
		s.users = append(s.users, s.newClient(address, nil, UserTraffic, userConnections))
	}
	return s
}

// newClient returns a client of one controller. The client connects from the given local address,
// or from any if it is nil.
func (s *requestSender) newClient(to string, from net.Addr, kind TrafficKind, connections int) *fasthttp.HostClient {
	dialer := net.Dialer{Timeout: connectTimeout, LocalAddr: from}
	return &fasthttp.HostClient{
		Addr: to, MaxConns: connections, MaxIdemponentCallAttempts: 1, RetryIfErr: rpc.NeverRetry, NoDefaultUserAgentHeader: true,
		MaxIdleConnDuration: idleTimeout, ReadBufferSize: readBufferBytes, WriteBufferSize: writeBufferBytes,
		Dial: func(address string) (net.Conn, error) {
			connection, err := dialer.Dial("tcp4", address) // fasthttp provides no context; the dialer has a timeout
			if err != nil {
				return nil, err
			}
			return countingConn{connection, s.meter.counters[kind]}, nil
		},
	}
}

// sendTo returns the function by which the simulated world sends requests to a controller. The
// loop calls that function and the reply callbacks.
func (s *requestSender) sendTo(controller int) fake.RemoteSend {
	return func(request message.Request, reply func(message.Reply)) {
		switch r := request.(type) {
		case message.HeartbeatRequest:
			s.sendHeartbeat(controller, r.Heartbeat, reply)
		case message.UserRequest:
			s.sendUserRequest(controller, r, reply)
		}
	}
}

func (s *requestSender) sendHeartbeat(controller int, heartbeat *protocol.Heartbeat, reply func(message.Reply)) {
	client := s.workerClient(controller, heartbeat)
	s.meter.countMessage(HeartbeatTraffic)
	go func() { // ends with the request's timeout at the latest
		body := protocol.EncodeHeartbeat(heartbeat)
		answer := send(client, httpRequest{http.MethodPost, protocol.PathHeartbeat, body, heartbeatTimeout})
		s.loop.do(func() { reply(answer) })
	}()
}

// workerClient returns the client of a worker's connection to a controller. A worker has one
// connection at a time: workerClient closes the worker's connection to any other controller.
func (s *requestSender) workerClient(controller int, heartbeat *protocol.Heartbeat) *fasthttp.HostClient {
	connection := s.workers[heartbeat.Machine]
	if connection != nil && connection.controller == controller {
		return connection.client
	}
	if connection != nil {
		connection.client.CloseIdleConnections()
	}
	client := s.newClient(s.apiAddresses[controller], workerAddress(heartbeat), HeartbeatTraffic, 1)
	s.workers[heartbeat.Machine] = &workerConnection{controller, client}
	return client
}

// workerAddress returns the local address of a worker's connections: its own IP address, with any
// port. It returns nil if the heartbeat's address can't be parsed.
func workerAddress(heartbeat *protocol.Heartbeat) net.Addr {
	host, _, err := net.SplitHostPort(heartbeat.Addr)
	if err != nil {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(host)}
}

func (s *requestSender) sendUserRequest(controller int, user message.UserRequest, reply func(message.Reply)) {
	operation, request := userRequest(user)
	s.meter.countMessage(UserTraffic)
	go func() { // ends with the request's timeout at the latest
		startedAt := time.Now()
		answer := send(s.users[controller], request)
		took := time.Since(startedAt)
		s.loop.do(func() {
			s.meter.countResponse(operation + " " + strconv.Itoa(answer.Status))
			if answer.Status == http.StatusOK || answer.Status == http.StatusCreated {
				s.meter.Latencies.Add(operation, took)
				s.onUserResponse(s.loop.world.Now)
			}
			reply(answer)
		})
	}()
}

// httpRequest is an HTTP request to a controller.
type httpRequest struct {
	method, path string
	body         []byte // nil for a request without a body
	timeout      time.Duration
}

// userRequest returns a user's request as an HTTP request, with its operation name for reports.
func userRequest(user message.UserRequest) (operation string, request httpRequest) {
	const submitTimeout, pollTimeout = protocol.SubmitTimeoutS * time.Second, protocol.PollTimeoutS * time.Second
	switch user.Kind {
	case message.Poll:
		return "poll", httpRequest{method: http.MethodGet, path: protocol.JobPath(user.Job, false), timeout: pollTimeout}
	case message.Cancel:
		return "cancel", httpRequest{method: http.MethodPost, path: protocol.JobPath(user.Job, true), timeout: submitTimeout}
	default:
		body := protocol.EncodeSubmission(user.Submission)
		return "submit", httpRequest{method: http.MethodPost, path: protocol.PathJobs, body: body, timeout: submitTimeout}
	}
}

// send sends a request. It returns a reply with status 0 if there was no response.
func send(client *fasthttp.HostClient, request httpRequest) message.Reply {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + client.Addr + request.path)
	req.Header.SetMethod(request.method)
	if request.body != nil {
		req.Header.SetContentType(protocol.ContentType)
		req.SetBody(request.body)
	}
	if err := client.DoTimeout(req, res, request.timeout); err != nil {
		return message.Reply{}
	}
	return message.Reply{
		Status: res.StatusCode(), Body: append([]byte(nil), res.Body()...), RetryAfterS: retryAfterSeconds(res),
	}
}

// retryAfterSeconds returns the value of the Retry-After header, or 0 if it is missing or not a
// number of seconds.
func retryAfterSeconds(res *fasthttp.Response) int {
	seconds, err := strconv.Atoi(string(res.Header.Peek("Retry-After")))
	if err != nil {
		return 0
	}
	return seconds
}
