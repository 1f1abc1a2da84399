package transport

import (
	"container/list"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"oakpick/internal/protocol"
)

// connectionPool bounds the connections to workers. One that is idle stays open until another
// worker needs its place, the least recently used first.
type connectionPool struct {
	dial           fasthttp.DialFunc
	idleTimeout    time.Duration // after which the HTTP library closes a connection
	maxConnections func() int

	mu         sync.Mutex
	open       int // idle and in use
	idle       *list.List
	idleByAddr map[string]*list.Element
}

// workerConnection is a connection to one worker.
type workerConnection struct {
	addr   string
	client *fasthttp.HostClient
}

func newConnectionPool(dial fasthttp.DialFunc, idleTimeout time.Duration, maxConnections func() int) *connectionPool {
	return &connectionPool{
		dial: dial, idleTimeout: idleTimeout, maxConnections: maxConnections,
		idle: list.New(), idleByAddr: map[string]*list.Element{},
	}
}

// acquire gives the worker's idle connection, or a new one; nil: all are in use.
func (p *connectionPool) acquire(addr string) *workerConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if element := p.idleByAddr[addr]; element != nil {
		return p.removeIdle(element)
	}
	for most := p.maxConnections(); p.open >= most; p.open-- {
		leastRecent := p.idle.Front()
		if leastRecent == nil {
			return nil
		}
		p.removeIdle(leastRecent).client.CloseIdleConnections()
	}
	p.open++
	client := newHostClient(addr, p.dial, 1, protocol.MaxBody)
	client.MaxIdleConnDuration = p.idleTimeout
	return &workerConnection{addr, client}
}

// removeIdle takes a connection off the idle ones. p.mu is held.
func (p *connectionPool) removeIdle(element *list.Element) *workerConnection {
	connection := p.idle.Remove(element).(*workerConnection)
	delete(p.idleByAddr, connection.addr)
	return connection
}

// release keeps a connection for the next commands, or closes it after a failure.
func (p *connectionPool) release(connection *workerConnection, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reusable || p.idleByAddr[connection.addr] != nil {
		connection.client.CloseIdleConnections()
		p.open--
		return
	}
	p.idleByAddr[connection.addr] = p.idle.PushBack(connection)
}
