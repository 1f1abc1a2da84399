package agent

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/opencontainers/go-digest"
	"github.com/spf13/afero"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/chunkstore"
	"oakpick/internal/distribution/registry"
)

// Agent is the agent process. One goroutine, the event loop, owns Core and processes queued
// events. Other goroutines carry out Core's effects and queue the results. All goroutines belong
// to group and end with its context.
type Agent struct {
	settings    Settings
	log         *slog.Logger
	store       *chunkstore.Store
	core        *Core
	client      *registry.Client
	tracker     *trackerClient
	uploadSlots registry.Slots
	metrics     *metrics
	events      chan Event
	group       *errgroup.Group
	startedAt   time.Time

	cancels map[uint64]context.CancelFunc // by ID of the fetches in progress; used by the event loop only

	mu        sync.Mutex
	chunkSets map[digest.Digest]distribution.ChunkSet // copies of Core's chunk sets, for the server
}

const (
	rateBurstBytes     = 64 << 10 // largest burst of the rate limiters
	maxHeaderBytes     = 8 << 10  // headers of a request to the agent
	idleTimeoutFactor  = 10       // an idle connection is closed after this many request timeouts
	eventQueueCapacity = 256
)

// Run runs the agent until the context ends or an error occurs that the agent can't recover from.
func Run(ctx context.Context, settings Settings, log *slog.Logger) error {
	// Listen gets a context that never ends, so that a shutdown isn't reported as a listen error.
	listener, err := new(net.ListenConfig).Listen(context.WithoutCancel(ctx), "tcp", settings.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer listener.Close() //nolint:errcheck // the server closes it as well; a second close fails
	a, err := newAgent(settings, log, afero.NewOsFs())
	if err != nil {
		return err
	}
	defer a.client.Close()
	err = a.serve(ctx, listener)
	if ctx.Err() != nil {
		return nil // a requested shutdown is not a failure, and neither are errors caused by it
	}
	return err
}

// serve runs the server and the event loop until the context ends or one of them fails.
func (a *Agent) serve(ctx context.Context, listener net.Listener) error {
	a.group, ctx = errgroup.WithContext(ctx)
	server := &http.Server{
		Handler:           a.handler(ctx),
		ReadHeaderTimeout: a.requestTimeout(),
		IdleTimeout:       idleTimeoutFactor * a.requestTimeout(),
		MaxHeaderBytes:    maxHeaderBytes,
	}
	a.group.Go(func() error { return server.Serve(listener) })
	a.group.Go(func() error { a.run(ctx); return nil })
	a.group.Go(func() error { <-ctx.Done(); return errors.Join(ctx.Err(), server.Close()) })
	a.log.Info("agent is serving", "agent", a.settings.Agent, "listen", a.settings.Listen)
	return a.group.Wait()
}

// requestTimeout returns the timeout of small requests, which are all but the chunk transfers.
func (a *Agent) requestTimeout() time.Duration { return a.core.settings.StallTimeout }

// newAgent creates an agent from the settings and the state found on disk.
func newAgent(settings Settings, log *slog.Logger, files afero.Fs) (*Agent, error) {
	store, err := chunkstore.Open(files, settings.Directory)
	if err != nil {
		return nil, err
	}
	stored, err := LoadStoredState(store, settings.Names)
	if err != nil {
		return nil, err
	}
	for _, d := range stored.Damaged {
		log.Warn("removed damaged chunk from disk; it is fetched again if needed", "chunk", d.String())
	}
	session, err := store.NextSession(time.Now().UnixMilli())
	if err != nil {
		return nil, err
	}
	seed, err := randomSeed()
	if err != nil {
		return nil, err
	}
	core := NewCore(settings.coreSettings(session, seed), stored)
	a := &Agent{
		settings:    settings,
		log:         log,
		store:       store,
		core:        core,
		uploadSlots: registry.NewSlots(settings.UploadSlots),
		events:      make(chan Event, eventQueueCapacity),
		startedAt:   time.Now(),
		cancels:     map[uint64]context.CancelFunc{},
		chunkSets:   map[digest.Digest]distribution.ChunkSet{},
	}
	a.metrics = newMetrics(a)
	a.client = registry.NewClient(a.requestTimeout(), newLimiter(settings.DownloadBytesPerSecond), a.metrics.countControlBytes)
	a.tracker = newTrackerClient(settings.Trackers, a.requestTimeout(), a.metrics.countControlBytes)
	a.publishState()
	return a, nil
}

func randomSeed() (uint64, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return 0, fmt.Errorf("generate seed: %w", err)
	}
	return binary.LittleEndian.Uint64(seed[:]), nil
}

// newLimiter returns a limiter for a byte rate, or nil (no limit) if the rate is 0.
func newLimiter(bytesPerSecond int64) *rate.Limiter {
	if bytesPerSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(bytesPerSecond), rateBurstBytes)
}
