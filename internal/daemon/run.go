package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"oakpick/internal/config"
	"oakpick/internal/distribution"
	"oakpick/internal/protocol"
	"oakpick/internal/transport"
)

const (
	memoryLimitShare = 0.7 // of the process's memory, for the Go heap
	gcPercent        = 300
	// peerIdleIntervals is for how many heartbeat intervals an idle connection of a peer is kept.
	peerIdleIntervals = 40
)

// Run serves until the context ends, which is no error, or something that the process cannot do
// without fails. It returns once every goroutine of the process has ended.
func Run(ctx context.Context, cfg *config.Config, extensions config.Extensions, log *slog.Logger) error {
	tuneRuntime(cfg.Settings.Limits)
	listeners, err := listen(ctx, cfg)
	if err != nil {
		return err
	}
	defer listeners.close()
	goroutines, groupCtx := errgroup.WithContext(ctx)
	d, err := newDaemon(&process{
		config: cfg, log: log, identity: newIdentity(), startedAt: time.Now(), goroutines: goroutines, ctx: groupCtx,
	}, extensions)
	if err != nil {
		return err
	}
	d.start(listeners)
	log.Info("serving", "node", cfg.Node, "api_listen", cfg.APIListen, "peer_listen", cfg.PeerListen)
	if err := goroutines.Wait(); ctx.Err() == nil {
		return err
	}
	return nil // what the servers say of being closed is no failure
}

// tuneRuntime keeps the Go runtime within the limits of the process.
func tuneRuntime(limits config.Limits) {
	runtime.GOMAXPROCS(max(1, int(limits.CPU)))
	debug.SetMemoryLimit(int64(limits.MemoryMB * memoryLimitShare * (1 << 20)))
	debug.SetGCPercent(gcPercent)
}

// listeners are those of the process, but for the tracker's.
type listeners struct {
	api   net.Listener // users and workers
	peers net.Listener // peers and operators
}

func listen(ctx context.Context, cfg *config.Config) (*listeners, error) {
	var listenConfig net.ListenConfig
	api, err := listenConfig.Listen(ctx, "tcp4", cfg.APIListen)
	if err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	peers, err := listenConfig.Listen(ctx, "tcp4", cfg.PeerListen)
	if err != nil {
		_ = api.Close() // the error that counts is the other
		return nil, fmt.Errorf("cluster_listen: %w", err)
	}
	return &listeners{api: api, peers: peers}, nil
}

// close closes both. The servers may have closed them before, so errors say nothing.
func (l *listeners) close() {
	_ = l.api.Close()
	_ = l.peers.Close()
}

// daemon is the parts of a controller's process.
type daemon struct {
	process    *process
	loop       *eventLoop
	apiServer  *transport.APIServer
	peerServer *transport.PeerServer
	tracker    *trackerService // nil: not switched on
}

// newDaemon sets the parts up. Nothing runs yet but the tracker's listener.
func newDaemon(p *process, extensions config.Extensions) (*daemon, error) {
	settings := p.config.Settings
	clients := newClients(p.config)
	d := &daemon{process: p, loop: newEventLoop(p, clients)}
	limit := transport.NewConcurrencyLimit(settings.Limits.MaxConnections/4, p.heartbeatInterval(),
		func() { d.loop.metrics.shed.Add(1) })
	sockets := settings.Sockets()
	d.apiServer = transport.NewAPIServer(d.loop, limit, sockets.API, config.Seconds(settings.Workers.LeaseS))
	clients.workers = transport.NewWorkerClient(settings.Workers,
		func() int { return sockets.CommandLimit(d.apiServer.OpenConnections()) })
	mounted := map[string]http.Handler{protocol.PathAdmin: newAdminHandler(d.loop, limit)}
	if extensions.Distribution != nil {
		var err error
		if d.tracker, err = newTrackerService(p, clients, extensions.Distribution); err != nil {
			return nil, err
		}
		d.loop.observeLeadership = d.tracker.loop.observeLeadership
		mounted[distribution.PathPrefix] = d.tracker.peerHandler()
	}
	d.peerServer = transport.NewPeerServer(d.loop, limit, mounted)
	return d, nil
}

// start starts every goroutine. They end with the process's context.
func (d *daemon) start(l *listeners) {
	if d.tracker != nil {
		d.tracker.start()
	}
	p := d.process
	p.goroutines.Go(func() error { return d.apiServer.Serve(l.api) })
	p.goroutines.Go(func() error {
		maxStreams := p.config.Settings.Sockets().API
		return d.peerServer.Serve(p.ctx, l.peers, maxStreams, peerIdleIntervals*p.heartbeatInterval())
	})
	p.goroutines.Go(func() error { d.loop.run(); return nil })
	p.goroutines.Go(func() error {
		<-p.ctx.Done()
		_ = l.api.Close() // ends apiServer.Serve
		return p.ctx.Err()
	})
}
