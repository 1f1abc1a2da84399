package registry

import (
	"context"
	"net"
)

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// CountingDial returns a Dial whose connections pass the number of bytes that they read and
// write to count.
func CountingDial(dial DialFunc, count func(bytes int)) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{conn, count}, nil
	}
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	count func(bytes int)
}

// Read reads and counts.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n)
	return n, err
}

// Write writes and counts.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}
