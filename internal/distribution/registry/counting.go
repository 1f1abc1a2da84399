package registry

import (
	"context"
	"net"
)

// DialFunc connects to an address, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// CountingDial returns a DialFunc whose connections call count with the number of bytes of each
// read and write.
func CountingDial(dial DialFunc, count func(bytes int)) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{conn, count}, nil
	}
}

// countingConn is a connection that counts the bytes that it transfers.
type countingConn struct {
	net.Conn
	count func(bytes int)
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}
