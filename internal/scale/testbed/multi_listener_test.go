package testbed

import (
	"errors"
	"net"
	"testing"
)

func TestMultiListenerAcceptsFromEveryAddressUntilClosed(t *testing.T) {
	addresses := NewAddresses()
	listener := newMultiListener()
	t.Cleanup(func() { _ = listener.Close() }) // always nil
	for worker := range 2 {
		address := addresses.Worker(worker)
		if err := listener.listen(address); err != nil {
			t.Fatal(err)
		}
		var dialer net.Dialer
		client, err := dialer.DialContext(t.Context(), "tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = client.Close() }) // nothing was written
		connection, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = connection.Close() }) // nothing was written
		if got := connection.LocalAddr().String(); got != address {
			t.Errorf("connection to %s has the local address %s", address, got)
		}
	}
	if err := listener.Close(); err != nil {
		t.Error(err)
	}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after Close returned %v, want net.ErrClosed", err)
	}
}
