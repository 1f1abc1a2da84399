package testbed

import (
	"net/netip"
	"testing"
)

func TestAddressesAreDistinctAndLoopback(t *testing.T) {
	const controllers, workers = 5, 10_000
	a := NewAddresses()
	all := []string{a.StateService(), a.Cloud(), a.WeightStore()}
	for controller := range controllers {
		all = append(all, a.API(controller), a.Peer(controller), a.Tracker(controller))
	}
	for worker := range workers {
		all = append(all, a.Worker(worker))
	}
	seen := map[string]bool{}
	for _, address := range all {
		if seen[address] {
			t.Errorf("%s is assigned twice", address)
		}
		seen[address] = true
		if parsed, err := netip.ParseAddrPort(address); err != nil || !parsed.Addr().IsLoopback() {
			t.Errorf("%s is not a loopback address: %v", address, err)
		}
	}
}
