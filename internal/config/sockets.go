package config

import "fmt"

// Connections that a process needs beside those of users and workers, at most.
const (
	// StateConnections and StateRenewalConnections are connections to the state service.
	StateConnections        = 6
	StateRenewalConnections = 4
	// ArchiveReadConnections are those for looking up finished jobs in the archive.
	ArchiveReadConnections = 1
	// CloudConnections are those to the cloud.
	CloudConnections   = 6
	connectionsPerPeer = 4 // both directions, while one replaces another
	spareConnections   = 8 // listeners, the runtime's own, and operators' tools
)

const (
	// minSharedConnections is the least for users, workers and commands, with which a
	// process can do its work at all.
	minSharedConnections = 16
	// maxConnectionBytes is the memory that a connection to the API server takes at most:
	// two buffers of 4 KiB, its goroutine and a request in progress. All of them together
	// may take half of the process's memory.
	maxConnectionBytes = 24 << 10
	// commandShare is the part of the shared connections that commands have at least,
	// maxCommandShare the part that they may have at most: 1/16 and 1/4.
	commandShare    = 16
	maxCommandShare = 4
)

// Sockets is how max_connections is divided.
type Sockets struct {
	API      int // connections of users, workers and health checks to the API server
	Commands int // connections for direct commands to workers, at least
	shared   int // the sum of both
}

// Sockets divides max_connections. Workers' own connections, users and health checks take
// precedence over commands.
func (s *Settings) Sockets() Sockets {
	const megabyte = 1 << 20
	shared := min(s.Limits.MaxConnections-s.reservedSockets(), int(s.Limits.MemoryMB/2*megabyte/maxConnectionBytes))
	commands := max(1, shared/commandShare)
	return Sockets{API: shared - commands, Commands: commands, shared: shared}
}

// CommandLimit returns how many connections direct commands may take while the API server
// holds the given number: what that leaves, a quarter of all at most.
func (s Sockets) CommandLimit(frontend int) int {
	return max(s.Commands, min(s.shared/maxCommandShare, s.shared-frontend))
}

// reservedSockets is how many connections are for neither users nor workers.
func (s *Settings) reservedSockets() int {
	return StateConnections + StateRenewalConnections + ArchiveReadConnections + CloudConnections +
		connectionsPerPeer*(s.Size-1) + spareConnections + s.ExtensionSockets
}

// checkSockets tells whether max_connections is enough for the process to do its work.
func (s *Settings) checkSockets() error {
	needed := s.reservedSockets() + minSharedConnections
	if s.Limits.MaxConnections >= needed {
		return nil
	}
	return settingsError("settings.limits.max_connections",
		fmt.Errorf("%d can't hold what %d controllers need: %d", s.Limits.MaxConnections, s.Size, needed))
}
