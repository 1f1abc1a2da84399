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

// machines are workers in memory; those that hang accept and never answer.
type machines struct {
	mu    sync.Mutex
	open  int
	most  int
	dials int
	l     *fasthttputil.InmemoryListener
	hang  map[string]chan struct{}
	begun chan struct{} // a dial that hangs has begun
}

type counted struct {
	net.Conn
	once sync.Once
	done func()
}

func (c *counted) Close() error { c.once.Do(c.done); return c.Conn.Close() }

func (m *machines) dial(addr string) (net.Conn, error) {
	m.mu.Lock()
	m.open++
	m.dials++
	m.most = max(m.most, m.open)
	hang := m.hang[addr]
	m.mu.Unlock()
	done := func() { m.mu.Lock(); m.open--; m.mu.Unlock() }
	if hang != nil {
		m.begun <- struct{}{}
		<-hang
		done()
		return nil, errors.New("gave up")
	}
	c, err := m.l.Dial()
	return &counted{Conn: c, done: done}, err
}

func pool(t *testing.T, most int) (*Workers, *machines) {
	t.Helper()
	m := &machines{l: fasthttputil.NewInmemoryListener(), hang: map[string]chan struct{}{}, begun: make(chan struct{})}
	go func() {
		_ = fasthttp.Serve(m.l, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(409) })
	}()
	t.Cleanup(func() { _ = m.l.Close() })
	w := NewWorkers(config.Workers{HeartbeatIntervalS: 4}, func() int { return most })
	w.dial = m.dial
	return w, m
}

func send(w *Workers, addr string) rpc.Outcome {
	return w.Send(message.CommandsCall{Machine: addr, Addr: addr, FencingToken: 1, Incarnation: 1}).Outcome
}

// More machines are told something than there may be connections: the least
// recently used make place, and one that is used again stays.
func TestCommandsShareTheirConnections(t *testing.T) {
	w, m := pool(t, 3)
	for _, addr := range []string{"a:1", "b:1", "a:1", "c:1", "a:1", "d:1", "a:1", "b:1"} {
		if o := send(w, addr); o != rpc.Conflict {
			t.Fatalf("%s: outcome %d", addr, o)
		}
	}
	if m.most > 3 {
		t.Errorf("%d connections at once, 3 were allowed", m.most)
	}
	if m.dials != 5 { // a, b, c, d, and b anew
		t.Errorf("%d connections were made, not 5", m.dials)
	}
}

// Machines that hang take every connection: others' commands aren't sent, which
// is a proof that nothing was executed, and go out once there is room again.
func TestHangingMachinesDoNotQueueOthers(t *testing.T) {
	w, m := pool(t, 2)
	gate := make(chan struct{})
	m.hang["x:1"], m.hang["y:1"] = gate, gate
	out := make(chan rpc.Outcome, 2)
	for addr := range m.hang {
		go func() { out <- send(w, addr) }()
	}
	<-m.begun
	<-m.begun
	if o := send(w, "a:1"); o != rpc.NotSent {
		t.Errorf("outcome %d while no connection was free", o)
	}
	close(gate)
	for range 2 {
		<-out
	}
	if o := send(w, "a:1"); o != rpc.Conflict {
		t.Errorf("outcome %d after room was made", o)
	}
}
