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
	memoryLimitShare = 0.7 // share of the process's memory that the Go runtime may use
	gcPercent        = 300
	// peerIdleHeartbeatIntervals is the number of heartbeat intervals after which an idle
	// connection of a peer is closed.
	peerIdleHeartbeatIntervals = 40
)

// Run runs a controller until the context ends or an essential part of the process fails. It
// returns nil in the first case and the error in the second, once all goroutines of the process
// have ended.
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
	return nil // the servers' errors result from the shutdown
}

// tuneRuntime configures the Go runtime for the limits of the process.
func tuneRuntime(limits config.Limits) {
	runtime.GOMAXPROCS(max(1, int(limits.CPU)))
	debug.SetMemoryLimit(int64(limits.MemoryMB * memoryLimitShare * (1 << 20)))
	debug.SetGCPercent(gcPercent)
}

// listeners holds the listeners of the process, except the tracker's.
type listeners struct {
	api   net.Listener // users and workers
	peers net.Listener // peers and operators
}

// listen opens the listeners. Its errors begin with the settings key that holds the address.
func listen(ctx context.Context, cfg *config.Config) (*listeners, error) {
	var listenConfig net.ListenConfig
	api, err := listenConfig.Listen(ctx, "tcp4", cfg.APIListen)
	if err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	peers, err := listenConfig.Listen(ctx, "tcp4", cfg.PeerListen)
	if err != nil {
		_ = api.Close() // the other error is the one to report
		return nil, fmt.Errorf("cluster_listen: %w", err)
	}
	return &listeners{api: api, peers: peers}, nil
}

// close closes both listeners. The servers may have closed them already, so errors are ignored.
func (l *listeners) close() {
	_ = l.api.Close()
	_ = l.peers.Close()
}

// daemon holds the parts of a controller process.
type daemon struct {
	process    *process
	loop       *eventLoop
	apiServer  *transport.APIServer
	peerServer *transport.PeerServer
	tracker    *trackerService // nil if the tracker is disabled
}

// newDaemon creates the parts. It opens the tracker's listener, but starts no goroutine.
func newDaemon(p *process, extensions config.Extensions) (*daemon, error) {
	settings := p.config.Settings
	clients := newClients(p.config)
	d := &daemon{process: p, loop: newEventLoop(p, clients)}
	limit := transport.NewConcurrencyLimit(settings.Limits.MaxConnections/4, p.heartbeatInterval(),
		func() { d.loop.metrics.shed.Add(1) })
	connectionLimits := settings.ConnectionLimits()
	d.apiServer = transport.NewAPIServer(d.loop, limit, connectionLimits.API, config.Seconds(settings.Workers.LeaseS))
	clients.workers = transport.NewWorkerClient(settings.Workers,
		func() int { return connectionLimits.CommandLimit(d.apiServer.OpenConnections()) })
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

// start starts all goroutines. They end with the process's context.
func (d *daemon) start(l *listeners) {
	if d.tracker != nil {
		d.tracker.start()
	}
	p := d.process
	p.goroutines.Go(func() error { return d.apiServer.Serve(l.api) })
	p.goroutines.Go(func() error {
		maxStreams := p.config.Settings.ConnectionLimits().API
		return d.peerServer.Serve(p.ctx, l.peers, maxStreams, peerIdleHeartbeatIntervals*p.heartbeatInterval())
	})
	p.goroutines.Go(func() error { d.loop.run(); return nil })
	p.goroutines.Go(func() error {
		<-p.ctx.Done()
		_ = l.api.Close() // ends apiServer.Serve
		return p.ctx.Err()
	})
}
