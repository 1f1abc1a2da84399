package testbed

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"

	"oakpick/internal/latency"
)

// TrafficKind is the purpose of a connection. Its text is the key in reports.
type TrafficKind string

// The kinds of traffic.
const (
	HeartbeatTraffic TrafficKind = "report"
	CommandTraffic   TrafficKind = "orders"
	UserTraffic      TrafficKind = "user"
	StateTraffic     TrafficKind = "state"
	CloudTraffic     TrafficKind = "cloud"
)

// TrafficKinds returns all kinds in the order in which reports list them.
func TrafficKinds() []TrafficKind {
	return []TrafficKind{HeartbeatTraffic, CommandTraffic, UserTraffic, StateTraffic, CloudTraffic}
}

// Traffic is the traffic of one kind since the start of the run.
type Traffic struct {
	Messages int64
	Bytes    int64 // in both directions, with headers
}

// trafficCounter counts one kind of traffic.
type trafficCounter struct{ messages, bytes atomic.Int64 }

// Meter counts messages, bytes and responses, and records latencies.
type Meter struct {
	// Latencies records latencies by operation.
	Latencies *latency.Recorder

	counters map[TrafficKind]*trafficCounter

	mu             sync.Mutex
	responseCounts map[string]int64 // by operation and status
}

func newMeter() *Meter {
	m := &Meter{Latencies: latency.NewRecorder(), counters: map[TrafficKind]*trafficCounter{}, responseCounts: map[string]int64{}}
	for _, kind := range TrafficKinds() {
		m.counters[kind] = &trafficCounter{}
	}
	return m
}

// Traffic returns the traffic of each kind so far.
func (m *Meter) Traffic() map[TrafficKind]Traffic {
	traffic := make(map[TrafficKind]Traffic, len(m.counters))
	for kind, counter := range m.counters {
		traffic[kind] = Traffic{Messages: counter.messages.Load(), Bytes: counter.bytes.Load()}
	}
	return traffic
}

// ResponseCounts returns the number of responses by operation and status since the last Reset.
func (m *Meter) ResponseCounts() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.responseCounts)
}

// Reset clears the latencies and the response counts when a measurement begins. It doesn't reset
// the traffic counters.
func (m *Meter) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Latencies.Reset()
	clear(m.responseCounts)
}

func (m *Meter) countMessage(kind TrafficKind) { m.counters[kind].messages.Add(1) }

// countResponse counts a response under a key that names its operation and status.
func (m *Meter) countResponse(operationAndStatus string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.responseCounts[operationAndStatus]++
}

// countingConn is a connection that counts the bytes it reads and writes.
type countingConn struct {
	net.Conn
	counter *trafficCounter
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// countingListener is a listener that counts the bytes of the connections it accepts.
type countingListener struct {
	net.Listener
	counter *trafficCounter
}

// Accept waits for a connection and returns it as a countingConn.
func (l countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{connection, l.counter}, nil
}
