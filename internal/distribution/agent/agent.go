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

// Agent is the process. One goroutine owns Core and works through a queue of events; others
// carry Core's effects out and put the results into the queue. All of them belong to group
// and end with its context.
type Agent struct {
	settings  Settings
	log       *slog.Logger
	store     *chunkstore.Store
	core      *Core
	client    *registry.Client
	tracker   *trackerClient
	slots     registry.Slots
	metrics   *metrics
	events    chan Event
	group     *errgroup.Group
	startedAt time.Time

	cancels map[uint64]context.CancelFunc // of fetches under way; used by Core's owner only

	mu        sync.Mutex
	chunkSets map[digest.Digest]distribution.ChunkSet // as Core last had them, for the server
}

const (
	rateBurstBytes     = 64 << 10 // that are paced at a time
	maxHeaderBytes     = 8 << 10  // of a request to the agent
	idleTimeoutFactor  = 10       // request timeouts for which an idle connection is kept
	eventQueueCapacity = 256
)

// Run serves until the context ends or something that the agent can't do without fails.
func Run(ctx context.Context, settings Settings, log *slog.Logger) error {
	// That the context may have ended already is handled below, as the end of the run.
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
		return nil // being asked to end is no failure, nor are the errors that follow from it
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
	a.log.Info("agent serves", "agent", a.settings.Agent, "listen", a.settings.Listen)
	return a.group.Wait()
}

// requestTimeout bounds small requests: everything but a chunk's bytes.
func (a *Agent) requestTimeout() time.Duration { return a.core.settings.StallTimeout }

// newAgent reads what is on disk and builds the agent around it.
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
		log.Warn("a stored chunk was damaged and is fetched anew", "chunk", d.String())
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
		settings:  settings,
		log:       log,
		store:     store,
		core:      core,
		slots:     registry.NewSlots(settings.UploadSlots),
		events:    make(chan Event, eventQueueCapacity),
		startedAt: time.Now(),
		cancels:   map[uint64]context.CancelFunc{},
		chunkSets: map[digest.Digest]distribution.ChunkSet{},
	}
	a.metrics = newMetrics(a)
	a.client = registry.NewClient(a.requestTimeout(), newLimiter(settings.DownloadBytes), a.metrics.countControlBytes)
	a.tracker = newTrackerClient(settings.Trackers, a.requestTimeout(), a.metrics.countControlBytes)
	a.publishState()
	return a, nil
}

func randomSeed() (uint64, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return 0, fmt.Errorf("seed: %w", err)
	}
	return binary.LittleEndian.Uint64(seed[:]), nil
}

// newLimiter paces bytes; nil means no limit.
func newLimiter(bytesPerSecond int64) *rate.Limiter {
	if bytesPerSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(bytesPerSecond), rateBurstBytes)
}
