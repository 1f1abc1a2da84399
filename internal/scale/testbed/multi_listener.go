package testbed

import (
	"net"
	"sync"
)

// multiListener is one net.Listener for many addresses, so that thousands of simulated workers
// share a server.
type multiListener struct {
	connections chan net.Conn
	closed      chan struct{}
	closeOnce   sync.Once

	mu        sync.Mutex
	listeners []net.Listener
}

func newMultiListener() *multiListener {
	return &multiListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

// listen accepts connections to one more address, until Close.
func (m *multiListener) listen(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.listeners = append(m.listeners, listener)
	m.mu.Unlock()
	go m.acceptFrom(listener) // ends when Close closes the listener
	return nil
}

func (m *multiListener) acceptFrom(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return // it was closed
		}
		select {
		case m.connections <- connection:
		case <-m.closed:
			_ = connection.Close() // the run is over
			return
		}
	}
}

// Accept waits for a connection to any of the addresses.
func (m *multiListener) Accept() (net.Conn, error) {
	select {
	case connection := <-m.connections:
		return connection, nil
	case <-m.closed:
		return nil, net.ErrClosed
	}
}

// Close closes every listener.
func (m *multiListener) Close() error {
	m.closeOnce.Do(func() { close(m.closed) })
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, listener := range m.listeners {
		_ = listener.Close() // nothing is left to be done if it was closed already
	}
	m.listeners = nil
	return nil
}

// Addr is the loopback network: the listener has no single address.
func (*multiListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 0)} }
