package transport

import (
	"errors"
	"net"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"oakpick/internal/config"
	"oakpick/internal/message"
	"oakpick/internal/rpc"
)

// fakeWorkers are workers in memory; those that hang accept and never answer.
type fakeWorkers struct {
	mu       sync.Mutex
	open     int
	maxOpen  int
	dials    int
	listener *fasthttputil.InmemoryListener
	hanging  map[string]chan struct{}
	dialing  chan struct{} // a dial that hangs has begun
}

type countedConnection struct {
	net.Conn
	once    sync.Once
	onClose func()
}

func (c *countedConnection) Close() error { c.once.Do(c.onClose); return c.Conn.Close() }

func (m *fakeWorkers) dial(addr string) (net.Conn, error) {
	m.mu.Lock()
	m.open++
	m.dials++
	m.maxOpen = max(m.maxOpen, m.open)
	hang := m.hanging[addr]
	m.mu.Unlock()
	done := func() { m.mu.Lock(); m.open--; m.mu.Unlock() }
	if hang != nil {
		m.dialing <- struct{}{}
		<-hang
		done()
		return nil, errors.New("gave up")
	}
	c, err := m.listener.Dial()
	return &countedConnection{Conn: c, onClose: done}, err
}

func newWorkerClientWithFakes(t *testing.T, most int) (*WorkerClient, *fakeWorkers) {
	t.Helper()
	m := &fakeWorkers{listener: fasthttputil.NewInmemoryListener(), hanging: map[string]chan struct{}{}, dialing: make(chan struct{})}
	go func() {
		_ = fasthttp.Serve(m.listener, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(409) })
	}()
	t.Cleanup(func() { _ = m.listener.Close() })
	w := NewWorkerClient(config.Workers{HeartbeatIntervalS: 4}, func() int { return most })
	w.pool.dial = m.dial
	return w, m
}

func sendCommands(w *WorkerClient, addr string) rpc.Outcome {
	return w.Send(message.CommandsCall{Machine: addr, Addr: addr, FencingToken: 1, Incarnation: 1}).Outcome
}

// More machines are told something than there may be connections: the least
// recently used make place, and one that is used again stays.
func TestCommandsShareTheirConnections(t *testing.T) {
	w, m := newWorkerClientWithFakes(t, 3)
	for _, addr := range []string{"a:1", "b:1", "a:1", "c:1", "a:1", "d:1", "a:1", "b:1"} {
		if o := sendCommands(w, addr); o != rpc.Conflict {
			t.Fatalf("%s: outcome %d", addr, o)
		}
	}
	if m.maxOpen > 3 {
		t.Errorf("%d connections at once, 3 were allowed", m.maxOpen)
	}
	if m.dials != 5 { // a, b, c, d, and b anew
		t.Errorf("%d connections were made, not 5", m.dials)
	}
}

// Machines that hang take every connection: others' commands aren't sent, which
// is a proof that nothing was executed, and go out once there is room again.
func TestHangingMachinesDoNotQueueOthers(t *testing.T) {
	w, m := newWorkerClientWithFakes(t, 2)
	gate := make(chan struct{})
	m.hanging["x:1"], m.hanging["y:1"] = gate, gate
	out := make(chan rpc.Outcome, 2)
	for addr := range m.hanging {
		go func() { out <- sendCommands(w, addr) }()
	}
	<-m.dialing
	<-m.dialing
	if o := sendCommands(w, "a:1"); o != rpc.NotSent {
		t.Errorf("outcome %d while no connection was free", o)
	}
	close(gate)
	for range 2 {
		<-out
	}
	if o := sendCommands(w, "a:1"); o != rpc.Conflict {
		t.Errorf("outcome %d after room was made", o)
	}
}
