package config

import (
	"fmt"
	"testing"
)

// At 1.5 times the largest observed fleet there are fewer than two connections per machine. The
// API server takes precedence, and commands share the remaining connections.
func TestSocketsCoverWorkersUsersAndCommands(t *testing.T) {
	for _, c := range []struct {
		maxConnections, size, workers, users int
		memoryMB                             float64
	}{
		{2590, 3, 1840, 200, 271}, {2356, 5, 1101, 300, 322}, {700, 3, 64, 100, 98}, {900, 3, 440, 100, 98}, {64, 3, 8, 4, 32},
	} {
		t.Run(fmt.Sprintf("%d connections", c.maxConnections), func(t *testing.T) {
			s := Settings{Size: c.size, Limits: Limits{MaxConnections: c.maxConnections, MemoryMB: c.memoryMB}}
			if err := s.checkSockets(); err != nil {
				t.Fatal(err)
			}
			sockets := s.ConnectionLimits()
			if needed := c.workers + c.users; sockets.API < needed {
				t.Errorf("%d connections for the API server, which needs %d", sockets.API, needed)
			}
			for open := 0; open <= sockets.API; open++ {
				if n := sockets.CommandLimit(open); n < 1 || open+n+s.reservedSockets() > c.maxConnections {
					t.Fatalf("%d connections for commands with %d open to the API server", n, open)
				}
			}
		})
	}
}

func TestSocketsFitHalfOfTheMemory(t *testing.T) {
	s := Settings{Size: 3, Limits: Limits{MaxConnections: 100_000, MemoryMB: 64}}
	if sockets := s.ConnectionLimits(); sockets.API*maxConnectionBytes > 32<<20 {
		t.Errorf("%d connections to the API server in 64 MB", sockets.API)
	}
}

func TestTooFewSocketsAreRejected(t *testing.T) {
	s := Settings{Size: 5, Limits: Limits{MaxConnections: 48, MemoryMB: 64}}
	if s.checkSockets() == nil {
		t.Error("48 connections accepted for five controllers")
	}
}

// With the minimum memory and connections that the capacity page lists for 4,000 workers and 500
// users, each of them has a connection, and some connections remain for commands.
func TestSocketsHoldALargeFleet(t *testing.T) {
	const workers, users = 4000, 500
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d controllers", size), func(t *testing.T) {
			s := Settings{Size: size, Limits: Limits{MaxConnections: 4900, MemoryMB: 225}}
			sockets := s.ConnectionLimits()
			if sockets.API < workers+users {
				t.Errorf("%d connections for %d workers and %d users", sockets.API, workers, users)
			}
			if n := sockets.CommandLimit(workers + users); n < workers/20 {
				t.Errorf("%d connections for commands", n)
			}
		})
	}
}
