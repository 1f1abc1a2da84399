package scale

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"

	"oakpick/internal/latency"
)

// kind tells sockets and messages apart.
type kind string

// The kinds of sockets.
const (
	kindReport kind = "report"
	kindOrders kind = "orders"
	kindUser   kind = "user"
	kindState  kind = "state"
	kindCloud  kind = "cloud"
)

var kinds = []kind{kindReport, kindOrders, kindUser, kindState, kindCloud}

// traffic counts what goes over one kind of socket.
type traffic struct{ messages, bytes atomic.Int64 }

// meter counts messages and bytes, and keeps times.
type meter struct {
	traffic map[kind]*traffic

	times *latency.Recorder

	mu       sync.Mutex
	statuses map[string]int64
}

func newMeter() *meter {
	m := &meter{traffic: map[kind]*traffic{}, times: latency.NewRecorder(), statuses: map[string]int64{}}
	for _, k := range kinds {
		m.traffic[k] = &traffic{}
	}
	return m
}

// answered counts an answer by what was asked and its status.
func (m *meter) answered(what string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.statuses[what]++
}

// forget empties the times and the counts of answers, at the beginning of a measurement.
func (m *meter) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.times.Reset()
	clear(m.statuses)
}

func (m *meter) answers() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.statuses)
}

// countedConn counts the bytes of a connection, both ways.
type countedConn struct {
	net.Conn
	t *traffic
}

// Read reads and counts.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.t.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.t.bytes.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	t *traffic
}

// Accept waits for a connection.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.t}, nil
}
