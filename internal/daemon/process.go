package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"oakpick/internal/config"
	"oakpick/internal/storage"
	"oakpick/internal/timing"
	"oakpick/internal/transport"
)

// process holds the values that all parts of a controller process share. It is immutable.
type process struct {
	config     *config.Config
	log        *slog.Logger
	identity   identity
	startedAt  time.Time       // zero point of the monotonic clock
	goroutines *errgroup.Group // all goroutines of the process
	ctx        context.Context // ends when the process has to stop
}

// uptime returns the time since the process started. It is the monotonic clock of all steps.
func (p *process) uptime() time.Duration { return time.Since(p.startedAt) }

func (p *process) heartbeatInterval() time.Duration {
	return config.Seconds(p.config.Settings.Workers.HeartbeatIntervalS)
}

// pastDeadline reports whether a deadline on the monotonic clock has passed. A deadline of 0 never
// passes.
func (p *process) pastDeadline(deadline time.Duration) bool {
	return deadline > 0 && p.uptime() >= deadline
}

// identity distinguishes this process from earlier processes of the same node.
type identity struct {
	incarnation string // hexadecimal
	seed        uint64 // for random numbers
}

func newIdentity() identity {
	var random [16]byte
	_, _ = rand.Read(random[:]) // never returns an error
	return identity{
		incarnation: hex.EncodeToString(random[:8]),
		seed:        binary.LittleEndian.Uint64(random[8:]),
	}
}

// clients holds the clients for the other components.
type clients struct {
	state   *storage.Client
	cloud   *transport.CloudClient
	workers *transport.WorkerClient
	peers   *transport.PeerClient
}

// newClients creates all clients except the one for workers, which depends on the API server.
func newClients(cfg *config.Config) *clients {
	workers := cfg.Settings.Workers
	stateTimeout := config.Seconds(workers.HeartbeatIntervalS) / 2
	return &clients{
		state: storage.NewClient(cfg.Services.State, stateTimeout, timing.LeaderLease(workers)/2),
		cloud: transport.NewCloudClient(cfg.Services.Cloud, workers),
		peers: transport.NewPeerClient(cfg.Node, cfg.Peers, workers),
	}
}
