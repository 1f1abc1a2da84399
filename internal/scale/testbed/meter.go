package testbed

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"

	"oakpick/internal/latency"
)

// TrafficKind tells apart what connections are for. Its text is the key in reports.
type TrafficKind string

// The kinds of traffic.
const (
	HeartbeatTraffic TrafficKind = "report"
	CommandTraffic   TrafficKind = "orders"
	UserTraffic      TrafficKind = "user"
	StateTraffic     TrafficKind = "state"
	CloudTraffic     TrafficKind = "cloud"
)

// TrafficKinds returns all kinds, in the order of reports.
func TrafficKinds() []TrafficKind {
	return []TrafficKind{HeartbeatTraffic, CommandTraffic, UserTraffic, StateTraffic, CloudTraffic}
}

// Traffic is what went over the connections of one kind since the start.
type Traffic struct {
	Messages int64
	Bytes    int64 // both ways, with headers
}

// trafficCounter counts one kind of traffic.
type trafficCounter struct{ messages, bytes atomic.Int64 }

// Meter counts messages, bytes and answers, and records latencies.
type Meter struct {
	// Latencies are recorded by operation.
	Latencies *latency.Recorder

	counters map[TrafficKind]*trafficCounter

	mu             sync.Mutex
	responseCounts map[string]int64
}

func newMeter() *Meter {
	m := &Meter{Latencies: latency.NewRecorder(), counters: map[TrafficKind]*trafficCounter{}, responseCounts: map[string]int64{}}
	for _, kind := range TrafficKinds() {
		m.counters[kind] = &trafficCounter{}
	}
	return m
}

// Traffic returns what has gone over the connections so far.
func (m *Meter) Traffic() map[TrafficKind]Traffic {
	traffic := make(map[TrafficKind]Traffic, len(m.counters))
	for kind, counter := range m.counters {
		traffic[kind] = Traffic{Messages: counter.messages.Load(), Bytes: counter.bytes.Load()}
	}
	return traffic
}

// ResponseCounts returns how often each operation got each status since the last Reset.
func (m *Meter) ResponseCounts() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.responseCounts)
}

// Reset empties the latencies and the counts of answers, when a measurement begins. Traffic
// goes on being counted.
func (m *Meter) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Latencies.Reset()
	clear(m.responseCounts)
}

func (m *Meter) countMessage(kind TrafficKind) { m.counters[kind].messages.Add(1) }

// countResponse counts an answer by its operation and status.
func (m *Meter) countResponse(operationAndStatus string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.responseCounts[operationAndStatus]++
}

// countingConn counts the bytes of a connection, both ways.
type countingConn struct {
	net.Conn
	counter *trafficCounter
}

// Read reads and counts.
func (c countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	counter *trafficCounter
}

// Accept waits for a connection.
func (l countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{connection, l.counter}, nil
}
