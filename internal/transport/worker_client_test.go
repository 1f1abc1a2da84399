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
	"oakpick/internal/protocol"
	"oakpick/internal/rpc"
)

// fakeWorkers are in-memory workers that answer every command with a conflict. Connections to
// hanging workers are never established.
type fakeWorkers struct {
	listener *fasthttputil.InmemoryListener
	hanging  map[string]chan struct{} // by address; closing the channel makes the dial fail
	dialing  chan struct{}            // receives a value when a dial begins to hang

	mu      sync.Mutex
	open    int // connections
	maxOpen int
	dials   int
}

// countedConnection calls onClose when it is closed for the first time.
type countedConnection struct {
	net.Conn
	once    sync.Once
	onClose func()
}

func (c *countedConnection) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}

func (w *fakeWorkers) dial(addr string) (net.Conn, error) {
	w.mu.Lock()
	w.open++
	w.dials++
	w.maxOpen = max(w.maxOpen, w.open)
	hanging := w.hanging[addr]
	w.mu.Unlock()
	if hanging != nil {
		w.dialing <- struct{}{}
		<-hanging
		w.connectionClosed()
		return nil, errors.New("gave up")
	}
	connection, err := w.listener.Dial()
	return &countedConnection{Conn: connection, onClose: w.connectionClosed}, err
}

func (w *fakeWorkers) connectionClosed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open--
}

func newWorkerClientWithFakes(t *testing.T, maxConnections int) (*WorkerClient, *fakeWorkers) {
	t.Helper()
	workers := &fakeWorkers{
		listener: fasthttputil.NewInmemoryListener(), hanging: map[string]chan struct{}{}, dialing: make(chan struct{}),
	}
	go func() { // returns when the listener is closed
		_ = fasthttp.Serve(workers.listener, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusConflict) })
	}()
	t.Cleanup(func() { _ = workers.listener.Close() })
	client := NewWorkerClient(config.Workers{HeartbeatIntervalS: 4}, func() int { return maxConnections })
	client.pool.dial = workers.dial
	return client, workers
}

func sendCommands(client *WorkerClient, addr string) rpc.Outcome {
	return client.Send(message.CommandsCall{Machine: addr, Address: addr, FencingToken: 1, Incarnation: 1}).Outcome
}

// Commands go to more machines than there may be connections: the least recently used connections
// are closed, and one that is used again stays open.
func TestWorkerConnectionsAreReusedWithinLimit(t *testing.T) {
	client, workers := newWorkerClientWithFakes(t, 3)
	for _, addr := range []string{"a:1", "b:1", "a:1", "c:1", "a:1", "d:1", "a:1", "b:1"} {
		if outcome := sendCommands(client, addr); outcome != rpc.Conflict {
			t.Fatalf("%s: outcome %d", addr, outcome)
		}
	}
	if workers.maxOpen > 3 {
		t.Errorf("%d connections at once, 3 were allowed", workers.maxOpen)
	}
	if workers.dials != 5 { // a, b, c, d, and b again
		t.Errorf("%d connections were made, not 5", workers.dials)
	}
}

// While unresponsive machines use all connections, commands for other machines aren't sent, and so
// certainly aren't executed. They are sent once a connection is free again.
func TestHangingMachinesDoNotBlockOthers(t *testing.T) {
	client, workers := newWorkerClientWithFakes(t, 2)
	gate := make(chan struct{})
	workers.hanging["x:1"], workers.hanging["y:1"] = gate, gate
	outcomes := make(chan rpc.Outcome, 2)
	for addr := range workers.hanging {
		go func() { outcomes <- sendCommands(client, addr) }()
	}
	<-workers.dialing
	<-workers.dialing
	if outcome := sendCommands(client, "a:1"); outcome != rpc.NotSent {
		t.Errorf("outcome %d while no connection was free", outcome)
	}
	close(gate)
	for range 2 {
		<-outcomes
	}
	if outcome := sendCommands(client, "a:1"); outcome != rpc.Conflict {
		t.Errorf("outcome %d after a connection became free", outcome)
	}
}

// A conflict without a readable heartbeat is still a conflict. The outcome of an execution without
// one is unknown.
func TestCommandsResponseOutcome(t *testing.T) {
	heartbeat := protocol.EncodeHeartbeat(&protocol.Heartbeat{Machine: "i-1", Addr: "a:1"})
	for name, c := range map[string]struct {
		status  int
		body    []byte
		outcome rpc.Outcome
		read    bool
	}{
		"executed":             {fasthttp.StatusOK, heartbeat, rpc.OK, true},
		"executed, unreadable": {fasthttp.StatusOK, nil, rpc.Unknown, false},
		"conflict":             {fasthttp.StatusConflict, heartbeat, rpc.Conflict, true},
		"conflict, unreadable": {fasthttp.StatusConflict, nil, rpc.Conflict, false},
		"another status":       {fasthttp.StatusInternalServerError, heartbeat, rpc.Unknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			outcome, got := decodeCommandsResponse(c.status, c.body)
			if outcome != c.outcome || (got != nil) != c.read {
				t.Errorf("outcome %d, heartbeat %+v", outcome, got)
			}
		})
	}
}
