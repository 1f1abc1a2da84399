package testbed

import (
	"net"
	"sync"
)

// multiListener is one net.Listener for many addresses. It lets one server serve thousands of
// simulated workers.
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

// listen starts to accept connections to an additional address, until Close is called.
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
			return // the listener was closed
		}
		select {
		case m.connections <- connection:
		case <-m.closed:
			_ = connection.Close() // the multiListener was closed
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

// Close closes the listeners of all addresses. It always returns nil.
func (m *multiListener) Close() error {
	m.closeOnce.Do(func() { close(m.closed) })
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, listener := range m.listeners {
		_ = listener.Close() // it may have been closed already
	}
	m.listeners = nil
	return nil
}

// Addr returns the loopback network, because the listener has no single address.
func (*multiListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 0)} }
