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

// Workers sends direct commands to workers, over a bounded number of connections.
// One that is idle stays open until another machine needs its place, the least
// recently used first. When all are in use, a command isn't sent: machines that
// hang can't keep it from the others for longer than a call takes.
type Workers struct {
	wait time.Duration
	most func() int
	dial fasthttp.DialFunc

	mu   sync.Mutex
	open int // idle and in use
	idle *list.List
	by   map[string]*list.Element // of the idle, by address
}

// link is a connection to one worker.
type link struct {
	addr   string
	client *fasthttp.HostClient
}

// NewWorkers makes the client; most tells how many connections it may hold now.
func NewWorkers(w config.Workers, most func() int) *Workers {
	wait := config.Seconds(w.HeartbeatIntervalS * 0.75)
	return &Workers{wait: wait, most: most, dial: rpc.Dial(wait * 2 / 3), idle: list.New(), by: map[string]*list.Element{}}
}

// take gives the worker's idle connection, or room for a new one, or nil.
func (w *Workers) take(addr string) *link {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.by[addr]; e != nil {
		return w.drop(e)
	}
	for most := w.most(); w.open >= most; w.open-- {
		e := w.idle.Front()
		if e == nil {
			return nil
		}
		w.drop(e).client.CloseIdleConnections()
	}
	w.open++
	return &link{addr, &fasthttp.HostClient{
		Addr: addr, Dial: w.dial, MaxConns: 1, MaxIdemponentCallAttempts: 1, RetryIfErr: rpc.NeverRetry,
		MaxResponseBodySize: protocol.MaxBody, NoDefaultUserAgentHeader: true,
		MaxIdleConnDuration: w.wait * 24,
	}}
}

func (w *Workers) drop(e *list.Element) *link {
	l := w.idle.Remove(e).(*link)
	delete(w.by, l.addr)
	return l
}

// put keeps a connection for the next command, or closes it after a failure.
func (w *Workers) put(l *link, well bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !well || w.by[l.addr] != nil {
		l.client.CloseIdleConnections()
		w.open--
		return
	}
	w.by[l.addr] = w.idle.PushBack(l)
}

// Send sends commands and waits for the worker's word.
func (w *Workers) Send(c message.CommandsCall) message.CommandsResult {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + c.Addr + protocol.PathCommands)
	writeBody(req, protocol.EncodeCommands(c.FencingToken, c.Incarnation, c.Commands))
	r := message.CommandsResult{ID: c.ID, Machine: c.Machine}
	l := w.take(c.Addr)
	if l == nil {
		r.Outcome = rpc.NotSent
		return r
	}
	err := l.client.DoTimeout(req, res, w.wait)
	w.put(l, err == nil)
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
