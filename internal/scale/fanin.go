package scale

import (
	"net"
	"sync"
)

// fanIn is one listener for many addresses: thousands of workers share a server.
type fanIn struct {
	conns chan net.Conn
	over  chan struct{}
	once  sync.Once

	mu        sync.Mutex
	listeners []net.Listener
}

func newFanIn() *fanIn { return &fanIn{conns: make(chan net.Conn), over: make(chan struct{})} }

// listen accepts connections to one more address.
func (f *fanIn) listen(addr string) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.listeners = append(f.listeners, l)
	f.mu.Unlock()
	go f.accept(l)
	return nil
}

func (f *fanIn) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // it was closed
		}
		select {
		case f.conns <- c:
		case <-f.over:
			_ = c.Close() // the run is over
			return
		}
	}
}

// Accept waits for a connection to any of the addresses.
func (f *fanIn) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.over:
		return nil, net.ErrClosed
	}
}

// Close closes every listener.
func (f *fanIn) Close() error {
	f.once.Do(func() { close(f.over) })
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.listeners {
		_ = l.Close() // closed is closed
	}
	f.listeners = nil
	return nil
}

// Addr is none in particular.
func (f *fanIn) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 0)} }
