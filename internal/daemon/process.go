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

// process is what every part of a controller's process shares. It doesn't change.
type process struct {
	config     *config.Config
	log        *slog.Logger
	identity   identity
	startedAt  time.Time       // when the monotonic clock of the steps began
	goroutines *errgroup.Group // owns every goroutine
	ctx        context.Context // ends with the process
}

// uptime is the monotonic clock of the steps.
func (p *process) uptime() time.Duration { return time.Since(p.startedAt) }

func (p *process) heartbeatInterval() time.Duration {
	return config.Seconds(p.config.Settings.Workers.HeartbeatIntervalS)
}

// pastDeadline tells whether the time is over until which something may be sent, by the
// monotonic clock; 0: it has none.
func (p *process) pastDeadline(deadline time.Duration) bool {
	return deadline > 0 && p.uptime() >= deadline
}

// identity tells this process from earlier ones of the same node.
type identity struct {
	incarnation string // hexadecimal
	seed        uint64 // of random numbers
}

func newIdentity() identity {
	var random [16]byte
	_, _ = rand.Read(random[:]) // it never fails
	return identity{
		incarnation: hex.EncodeToString(random[:8]),
		seed:        binary.LittleEndian.Uint64(random[8:]),
	}
}

// clients are those of the other components.
type clients struct {
	state   *storage.Client
	cloud   *transport.CloudClient
	workers *transport.WorkerClient
	peers   *transport.PeerClient
}

// newClients makes all but the workers' client, which depends on the API server.
func newClients(cfg *config.Config) *clients {
	workers := cfg.Settings.Workers
	stateTimeout := config.Seconds(workers.HeartbeatIntervalS) / 2
	return &clients{
		state: storage.NewClient(cfg.Services.State, stateTimeout, timing.LeaderLease(workers)/2),
		cloud: transport.NewCloudClient(cfg.Services.Cloud, workers),
		peers: transport.NewPeerClient(cfg.Node, cfg.Peers, workers),
	}
}
