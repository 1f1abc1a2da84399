package scale

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
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

	mu       sync.Mutex
	times    map[string]*hdrhistogram.Histogram
	statuses map[string]int64
}

func newMeter() *meter {
	m := &meter{traffic: map[kind]*traffic{}, times: map[string]*hdrhistogram.Histogram{}, statuses: map[string]int64{}}
	for _, k := range kinds {
		m.traffic[k] = &traffic{}
	}
	return m
}

// Times go from a microsecond to ten minutes, to two digits.
const (
	leastMicros, mostMicros = 1, 600_000_000
	timeDigits              = 2
)

// took records a time.
func (m *meter) took(what string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.times[what]
	if h == nil {
		h = hdrhistogram.New(leastMicros, mostMicros, timeDigits)
		m.times[what] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), leastMicros), mostMicros)) // always in range
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
	clear(m.times)
	clear(m.statuses)
}

// Latency sums up times, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func (m *meter) latencies() map[string]Latency {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]Latency{}
	for what, h := range m.times {
		ms := func(micros int64) float64 { return float64(micros) / 1000 }
		out[what] = Latency{h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max())}
	}
	return out
}

func (m *meter) answers() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]int64{}
	for what, n := range m.statuses {
		out[what] = n
	}
	return out
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
