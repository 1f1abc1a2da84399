package config

import "testing"

// At 1.5 times the largest fleet seen there is less than two connections a
// machine: the front has its place first, and commands share what it leaves.
func TestSocketsAreSharedOut(t *testing.T) {
	for _, x := range []struct {
		most, size, workers, users int
		mem                        float64
	}{
		{2590, 3, 1840, 200, 271}, {2356, 5, 1101, 300, 322}, {700, 3, 64, 100, 98}, {900, 3, 440, 100, 98}, {64, 3, 8, 4, 32},
	} {
		s := Settings{Size: x.size, Limits: Limits{MaxConnections: x.most, MemoryMB: x.mem}}
		if err := s.checkSockets(); err != nil {
			t.Fatal(err)
		}
		k := s.Sockets()
		if front := x.workers + x.users; k.Frontend < front {
			t.Errorf("%d sockets: %d for the front, which needs %d", x.most, k.Frontend, front)
		}
		for front := 0; front <= k.Frontend; front++ {
			if n := k.CommandsNow(front); n < 1 || front+n+s.reservedSockets() > x.most {
				t.Fatalf("%d sockets: %d for commands beside %d of the front", x.most, n, front)
			}
		}
	}
	s := Settings{Size: 3, Limits: Limits{MaxConnections: 100_000, MemoryMB: 64}}
	if k := s.Sockets(); k.Frontend*maxConnectionBytes > 32<<20 {
		t.Errorf("%d connections of the front in 64 MB", k.Frontend)
	}
	s = Settings{Size: 5, Limits: Limits{MaxConnections: 48, MemoryMB: 64}}
	if s.checkSockets() == nil {
		t.Error("five controllers can't do with 48 sockets")
	}
}

// With the least memory and sockets that the capacity page names for them, 4,000 workers and
// 500 users have a connection each, and commands have some beside them.
func TestSocketsHoldALargeFleet(t *testing.T) {
	const workers, users = 4000, 500
	for _, size := range []int{3, 5} {
		s := Settings{Size: size, Limits: Limits{MaxConnections: 4900, MemoryMB: 225}}
		k := s.Sockets()
		if k.Frontend < workers+users {
			t.Errorf("%d controllers: %d connections for %d workers and %d users", size, k.Frontend, workers, users)
		}
		if n := k.CommandsNow(workers + users); n < workers/20 {
			t.Errorf("%d controllers: %d connections for commands", size, n)
		}
	}
}
