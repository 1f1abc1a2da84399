package transport

import (
	"container/list"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"oakpick/internal/protocol"
)

// connectionPool bounds the number of connections to workers. It keeps idle connections for reuse.
// At the limit, it closes the least recently used one to connect to another worker.
type connectionPool struct {
	dial           fasthttp.DialFunc
	idleTimeout    time.Duration // idle time after which the HTTP library closes a connection
	maxConnections func() int

	mu         sync.Mutex
	open       int        // number of idle connections and connections in use
	idle       *list.List // of *workerConnection, the least recently used first
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

// acquire returns the worker's idle connection or a new one, or nil if all connections are in use.
func (p *connectionPool) acquire(addr string) *workerConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if element := p.idleByAddr[addr]; element != nil {
		return p.removeIdle(element)
	}
	for limit := p.maxConnections(); p.open >= limit; p.open-- {
		leastRecentlyUsed := p.idle.Front()
		if leastRecentlyUsed == nil {
			return nil
		}
		p.removeIdle(leastRecentlyUsed).client.CloseIdleConnections()
	}
	p.open++
	client := newHostClient(addr, p.dial, 1, protocol.MaxBody)
	client.MaxIdleConnDuration = p.idleTimeout
	return &workerConnection{addr, client}
}

// removeIdle removes a connection from the idle connections. The caller holds p.mu.
func (p *connectionPool) removeIdle(element *list.Element) *workerConnection {
	connection := p.idle.Remove(element).(*workerConnection)
	delete(p.idleByAddr, connection.addr)
	return connection
}

// release keeps a connection for reuse. It closes the connection if it isn't reusable or if the
// worker has another idle connection.
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
