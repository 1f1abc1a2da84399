package config

import "fmt"

// Connections that a process needs beside those of users and workers, at most.
const (
	// StateConnections and StateRenewalConnections are connections to the state service.
	StateConnections        = 6
	StateRenewalConnections = 4
	// ArchiveReadConnections are those for looking up ended jobs in the archive.
	ArchiveReadConnections = 1
	// CloudConnections are those to the cloud.
	CloudConnections = 6
	perPeer          = 4 // both ways, while one replaces another
	spare            = 8 // listeners, the runtime's own, and operators' tools
	atLeast          = 16

	// connectionMemory is what a connection of the front takes at most: two buffers
	// of 4 KiB, its goroutine and a request in progress. All of them together may
	// take half of the process's memory.
	connectionMemory = 24 << 10
)

// Sockets is how max_connections is shared out.
type Sockets struct {
	Frontend int // users, workers and health checks
	Commands int // direct commands to workers, at least
	shared   int // both together
}

// Sockets shares out the sockets. Workers' own connections, users and health
// checks have their place first.
func (s *Settings) Sockets() Sockets {
	shared := min(s.Limits.MaxConnections-s.ownSockets(), int(s.Limits.MemoryMB/2*(1<<20)/connectionMemory))
	commands := max(1, shared/16)
	return Sockets{Frontend: shared - commands, Commands: commands, shared: shared}
}

func (s *Settings) ownSockets() int {
	return StateConnections + StateRenewalConnections + ArchiveReadConnections + CloudConnections + perPeer*(s.Size-1) + spare + s.ExtensionSockets
}

// CommandsNow is how many connections direct commands may take while the front
// holds so many: what is left, a quarter of all at most.
func (s Sockets) CommandsNow(front int) int {
	return max(s.Commands, min(s.shared/4, s.shared-front))
}

// budgets names the fields with which a process can't do its work at all.
func (s *Settings) budgets() (problems []error) {
	if need := s.ownSockets() + atLeast; s.Limits.MaxConnections < need {
		problems = append(problems, fmt.Errorf("settings: settings.limits.max_connections: %d can't hold what %d controllers need: %d",
			s.Limits.MaxConnections, s.Size, need))
	}
	return problems
}
