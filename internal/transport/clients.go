// Package transport carries messages: the users' and workers' front, the
// streams between controllers, and the clients of workers, cloud and peers.
package transport

import (
	"bytes"
	"container/list"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http2"

	"oakpick/internal/config"
	"oakpick/internal/coordination"
	"oakpick/internal/protocol"
	"oakpick/internal/storage"
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
	wait := config.Seconds(w.Report * 0.75)
	return &Workers{wait: wait, most: most, dial: storage.Dial(wait * 2 / 3), idle: list.New(), by: map[string]*list.Element{}}
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
		Addr: addr, Dial: w.dial, MaxConns: 1, MaxIdemponentCallAttempts: 1, RetryIfErr: storage.NoRetry,
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
func (w *Workers) Send(c coordination.OrdersCall) coordination.OrdersResult {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + c.Addr + protocol.PathOrders)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType(protocol.ContentType)
	req.SetBody(protocol.EncodeOrders(c.Token, c.Session, c.Commands))
	r := coordination.OrdersResult{ID: c.ID, Host: c.Host}
	l := w.take(c.Addr)
	if l == nil {
		r.Outcome = coordination.NotSent
		return r
	}
	err := l.client.DoTimeout(req, res, w.wait)
	w.put(l, err == nil)
	if err != nil {
		r.Outcome = storage.Failure(err)
		return r
	}
	switch res.StatusCode() {
	case fasthttp.StatusOK:
		r.Outcome = coordination.OK
	case fasthttp.StatusConflict:
		r.Outcome = coordination.Conflict
	default:
		r.Outcome = coordination.Lost
		return r
	}
	report, err := protocol.DecodeReport(res.Body())
	if err != nil {
		if r.Outcome == coordination.OK {
			r.Outcome = coordination.Lost
		}
		return r
	}
	r.Report = report
	return r
}

// Cloud speaks to the cloud.
type Cloud struct {
	client *fasthttp.HostClient
	wait   time.Duration
}

// NewCloud makes the client.
func NewCloud(addr string, w config.Workers) *Cloud {
	wait := config.Seconds(w.Report * 1.5)
	return &Cloud{wait: wait, client: &fasthttp.HostClient{
		Addr: addr, Dial: storage.Dial(wait / 2), MaxConns: config.CloudCalls, MaxIdemponentCallAttempts: 1, RetryIfErr: storage.NoRetry,
		MaxResponseBodySize: 1 << 20, NoDefaultUserAgentHeader: true,
	}}
}

// Do makes a call and waits for its outcome.
func (c *Cloud) Do(call coordination.CloudCall) coordination.CloudResult {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	uri := "http://" + c.client.Addr
	switch call.Op {
	case coordination.CloudTypes:
		uri += protocol.PathTypes
	case coordination.CloudList:
		args := fasthttp.AcquireArgs()
		if call.After != "" {
			args.Set("after", call.After)
		}
		args.Set("limit", strconv.Itoa(protocol.MaxListed))
		uri += protocol.PathRent + "?" + args.String()
		fasthttp.ReleaseArgs(args)
	case coordination.CloudRent:
		uri += protocol.PathRent
		req.SetBody(protocol.Encode(call.Rental))
	case coordination.CloudReturn:
		uri += protocol.PathReturn
		req.SetBody(protocol.Encode(protocol.Hosts{Hosts: call.Hosts}))
	}
	if call.Op == coordination.CloudRent || call.Op == coordination.CloudReturn {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.SetContentType(protocol.ContentType)
	}
	req.SetRequestURI(uri)
	r := coordination.CloudResult{ID: call.ID}
	if err := c.client.DoTimeout(req, res, c.wait); err != nil {
		r.Outcome = storage.Failure(err)
		return r
	}
	switch res.StatusCode() {
	case fasthttp.StatusOK:
	case fasthttp.StatusBadRequest:
		r.Outcome = coordination.Invalid
		return r
	case fasthttp.StatusServiceUnavailable:
		r.Outcome = coordination.Refused
		if protocol.NoCapacity(res.Body()) {
			r.Outcome = coordination.NotFound
		}
		return r
	case fasthttp.StatusTooManyRequests:
		r.Outcome = coordination.Refused
		return r
	default:
		r.Outcome = coordination.Lost
		return r
	}
	var err error
	switch call.Op {
	case coordination.CloudTypes:
		var a protocol.MachineTypes
		err = protocol.Decode(res.Body(), &a)
		r.Types = a.Types
	case coordination.CloudList:
		err = protocol.Decode(res.Body(), &r.List)
	case coordination.CloudRent:
		var a protocol.Hosts
		err = protocol.Decode(res.Body(), &a)
		r.Hosts = a.Hosts
	}
	if err != nil {
		r.Outcome = coordination.Lost
	}
	return r
}

// Peers speaks to the other controllers over HTTP/2 streams, one connection a peer.
type Peers struct {
	client *http.Client
	own    string // our own name
	addrs  map[string]string
	wait   time.Duration
}

// NewPeers makes the client.
func NewPeers(own string, peers []config.Peer, w config.Workers) *Peers {
	wait := config.Seconds(w.Report / 2)
	p := &Peers{own: own, addrs: map[string]string{}, wait: wait}
	for _, x := range peers {
		p.addrs[x.Name] = x.Addr
	}
	dial := func(ctx context.Context, _, addr string, _ *tls.Config) (net.Conn, error) {
		d := net.Dialer{Timeout: wait / 2}
		return d.DialContext(ctx, "tcp4", addr)
	}
	//lint:ignore SA1019 how it pings was measured; the standard library's way is still to be
	streams := &http2.Transport{AllowHTTP: true, DialTLSContext: dial, ReadIdleTimeout: wait, PingTimeout: wait / 2, DisableCompression: true}
	p.client = &http.Client{Transport: streams}
	return p
}

// ForwardedHeader marks what a peer hands on, which is not handed on again.
const ForwardedHeader = "Oakpick-Forwarded"

// Forward hands a user's request to a peer and brings back its answer.
func (p *Peers) Forward(ctx context.Context, peer, method, path string, body []byte) (coordination.Reply, bool) {
	res, raw, err := p.call(ctx, peer, method, path, body)
	if err != nil {
		return coordination.Reply{}, false
	}
	after, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	return coordination.Reply{Status: res.StatusCode, Body: raw, RetryAfter: after}, true
}

func (p *Peers) call(ctx context.Context, peer, method, path string, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.addrs[peer]+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set(ForwardedHeader, "1")
	res, err := p.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, protocol.MaxBody))
	return res, raw, err
}

// StepDown asks a peer to let go of older terms.
func (p *Peers) StepDown(ctx context.Context, c coordination.PeerCall) coordination.PeerResult {
	ctx, cancel := context.WithTimeout(ctx, p.wait)
	defer cancel()
	r := coordination.PeerResult{PeerCall: c}
	res, raw, err := p.call(ctx, c.Peer, http.MethodPost, protocol.PathStepDown, protocol.Encode(protocol.StepDown{Term: c.Term, Leader: p.own, ReadsArchive: c.AsksArchive}))
	if err != nil || res.StatusCode != http.StatusOK {
		return r
	}
	if protocol.Decode(raw, &r.StepDownAnswer) != nil {
		r.StepDownAnswer = protocol.StepDownAnswer{}
	}
	return r
}
