package config

import (
	"fmt"
	"testing"
)

// At 1.5 times the largest observed fleet there are fewer than two connections per machine. The
// API server takes precedence, and commands share the remaining connections.
func TestConnectionLimitsCoverWorkersUsersAndCommands(t *testing.T) {
	for _, c := range []struct {
		maxConnections, size, workers, users int
		memoryMB                             float64
	}{
		{2590, 3, 1840, 200, 271}, {2356, 5, 1101, 300, 322}, {700, 3, 64, 100, 98}, {900, 3, 440, 100, 98}, {64, 3, 8, 4, 32},
	} {
		t.Run(fmt.Sprintf("%d connections", c.maxConnections), func(t *testing.T) {
			s := Settings{ControllerCount: c.size, Limits: Limits{MaxConnections: c.maxConnections, MemoryMB: c.memoryMB}}
			if err := s.checkMaxConnections(); err != nil {
				t.Fatal(err)
			}
			limits := s.ConnectionLimits()
			if needed := c.workers + c.users; limits.API < needed {
				t.Errorf("%d connections for the API server, which needs %d", limits.API, needed)
			}
			for open := 0; open <= limits.API; open++ {
				if n := limits.CommandLimit(open); n < 1 || open+n+s.reservedConnections() > c.maxConnections {
					t.Fatalf("%d connections for commands with %d open to the API server", n, open)
				}
			}
		})
	}
}

func TestConnectionLimitsFitHalfOfTheMemory(t *testing.T) {
	s := Settings{ControllerCount: 3, Limits: Limits{MaxConnections: 100_000, MemoryMB: 64}}
	if limits := s.ConnectionLimits(); limits.API*maxConnectionBytes > 32<<20 {
		t.Errorf("%d connections to the API server in 64 MB", limits.API)
	}
}

func TestTooFewConnectionsAreRejected(t *testing.T) {
	s := Settings{ControllerCount: 5, Limits: Limits{MaxConnections: 48, MemoryMB: 64}}
	if s.checkMaxConnections() == nil {
		t.Error("48 connections accepted for five controllers")
	}
}

// With the minimum memory and connections that the capacity page lists for 4,000 workers and 500
// users, each worker and user has a connection, and some connections remain for commands.
func TestConnectionLimitsHoldALargeFleet(t *testing.T) {
	const workers, users = 4000, 500
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d controllers", size), func(t *testing.T) {
			s := Settings{ControllerCount: size, Limits: Limits{MaxConnections: 4900, MemoryMB: 225}}
			limits := s.ConnectionLimits()
			if limits.API < workers+users {
				t.Errorf("%d connections for %d workers and %d users", limits.API, workers, users)
			}
			if n := limits.CommandLimit(workers + users); n < workers/20 {
				t.Errorf("%d connections for commands", n)
			}
		})
	}
}
