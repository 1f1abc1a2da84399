package config

import "fmt"

// Maximum number of connections that a process uses for purposes other than users and workers.
const (
	// StateConnections is the number of connections for requests to the state service, except for
	// lease renewals and revocations.
	StateConnections = 6
	// StateRenewalConnections is the number of connections for lease renewals and revocations, which
	// are also requests to the state service.
	StateRenewalConnections = 4
	// ArchiveReadConnections is the number of connections for reading ended jobs from the archive.
	ArchiveReadConnections = 1
	// CloudConnections is the number of connections for requests to the cloud.
	CloudConnections = 6
	// connectionsPerPeer is the number of connections with each other controller: one in each
	// direction, and one more in each direction while a new connection replaces an old one.
	connectionsPerPeer = 4
	spareConnections   = 8 // for listeners, the Go runtime's own file descriptors, and operators' tools
)

const (
	// minSharedConnections is the minimum number of connections for users, workers and commands
	// together, below which a process can't work.
	minSharedConnections = 16
	// maxConnectionBytes is the maximum memory that a connection to the API server uses: two
	// buffers of 4 KiB, its goroutine and a request in progress. All connections together may use
	// half of the process's memory.
	maxConnectionBytes = 24 << 10
	// Commands get at least 1/minCommandDivisor and at most 1/maxCommandDivisor of the shared
	// connections.
	minCommandDivisor = 16
	maxCommandDivisor = 4
)

// ConnectionLimits holds the parts of max_connections that the API server and direct commands to
// workers may use.
type ConnectionLimits struct {
	API         int // connections to the API server: workers, users and health checks
	MinCommands int // minimum number of connections for direct commands to workers
	shared      int // sum of both
}

// ConnectionLimits divides max_connections. Connections that workers, users and health checks open
// take precedence over direct commands.
func (s *Settings) ConnectionLimits() ConnectionLimits {
	const megabyte = 1 << 20
	shared := min(s.Limits.MaxConnections-s.reservedConnections(), int(s.Limits.MemoryMB/2*megabyte/maxConnectionBytes))
	commands := max(1, shared/minCommandDivisor)
	return ConnectionLimits{API: shared - commands, MinCommands: commands, shared: shared}
}

// CommandLimit returns how many connections direct commands may use while the API server has the
// given number of open connections: the remaining ones, but at most a quarter of all shared
// connections.
func (l ConnectionLimits) CommandLimit(openAPI int) int {
	return max(l.MinCommands, min(l.shared/maxCommandDivisor, l.shared-openAPI))
}

// reservedConnections returns the number of connections for purposes other than users and workers.
func (s *Settings) reservedConnections() int {
	return StateConnections + StateRenewalConnections + ArchiveReadConnections + CloudConnections +
		connectionsPerPeer*(s.ControllerCount-1) + spareConnections + s.ExtensionConnections
}

// checkMaxConnections returns an error if max_connections is too small for the process to work.
func (s *Settings) checkMaxConnections() error {
	needed := s.reservedConnections() + minSharedConnections
	if s.Limits.MaxConnections >= needed {
		return nil
	}
	return settingsError("settings.limits.max_connections",
		fmt.Errorf("%d is too small for %d controllers, which need at least %d", s.Limits.MaxConnections, s.ControllerCount, needed))
}
