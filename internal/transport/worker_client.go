package transport

import (
	"container/list"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// WorkerClient sends direct commands to workers, over a bounded number of connections.
// One that is idle stays open until another machine needs its place, the least
// recently used first. When all are in use, a command isn't sent: machines that
// hang can't keep it from the others for longer than a call takes.
type WorkerClient struct {
	timeout        time.Duration
	maxConnections func() int
	dial           fasthttp.DialFunc

	mu     sync.Mutex
	open   int // idle and in use
	idle   *list.List
	byAddr map[string]*list.Element // of the idle, by address
}

// workerConnection is a connection to one worker.
type workerConnection struct {
	addr   string
	client *fasthttp.HostClient
}

// NewWorkerClient makes the client; most tells how many connections it may hold now.
func NewWorkerClient(w config.Workers, most func() int) *WorkerClient {
	wait := config.Seconds(w.HeartbeatIntervalS * 0.75)
	return &WorkerClient{timeout: wait, maxConnections: most, dial: rpc.Dial(wait * 2 / 3), idle: list.New(), byAddr: map[string]*list.Element{}}
}

// acquire gives the worker's idle connection, or room for a new one, or nil.
func (w *WorkerClient) acquire(addr string) *workerConnection {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.byAddr[addr]; e != nil {
		return w.removeIdle(e)
	}
	for most := w.maxConnections(); w.open >= most; w.open-- {
		e := w.idle.Front()
		if e == nil {
			return nil
		}
		w.removeIdle(e).client.CloseIdleConnections()
	}
	w.open++
	return &workerConnection{addr, &fasthttp.HostClient{
		Addr: addr, Dial: w.dial, MaxConns: 1, MaxIdemponentCallAttempts: 1, RetryIfErr: rpc.NeverRetry,
		MaxResponseBodySize: protocol.MaxBody, NoDefaultUserAgentHeader: true,
		MaxIdleConnDuration: w.timeout * 24,
	}}
}

func (w *WorkerClient) removeIdle(e *list.Element) *workerConnection {
	l := w.idle.Remove(e).(*workerConnection)
	delete(w.byAddr, l.addr)
	return l
}

// release keeps a connection for the next command, or closes it after a failure.
func (w *WorkerClient) release(l *workerConnection, well bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !well || w.byAddr[l.addr] != nil {
		l.client.CloseIdleConnections()
		w.open--
		return
	}
	w.byAddr[l.addr] = w.idle.PushBack(l)
}

// Send sends commands and waits for the worker's word.
func (w *WorkerClient) Send(c message.CommandsCall) message.CommandsResult {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + c.Addr + protocol.PathCommands)
	setPostBody(req, protocol.EncodeCommands(c.FencingToken, c.Incarnation, c.Commands))
	r := message.CommandsResult{ID: c.ID, Machine: c.Machine}
	l := w.acquire(c.Addr)
	if l == nil {
		r.Outcome = rpc.NotSent
		return r
	}
	err := l.client.DoTimeout(req, res, w.timeout)
	w.release(l, err == nil)
	if err != nil {
		r.Outcome = rpc.OutcomeOfError(err)
		return r
	}
	switch res.StatusCode() {
	case fasthttp.StatusOK:
		r.Outcome = rpc.OK
	case fasthttp.StatusConflict:
		r.Outcome = rpc.Conflict
	default:
		r.Outcome = rpc.Unknown
		return r
	}
	report, err := protocol.DecodeHeartbeat(res.Body())
	if err != nil {
		if r.Outcome == rpc.OK {
			r.Outcome = rpc.Unknown
		}
		return r
	}
	r.Heartbeat = report
	return r
}
