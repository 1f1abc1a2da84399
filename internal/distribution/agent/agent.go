package agent

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
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

// Agent is the process: one owner of Core that works through a queue of events, and the
// goroutines that carry its effects out.
type Agent struct {
	settings Settings
	log      *slog.Logger
	store    *chunkstore.Store
	core     *Core
	client   *registry.Client
	tracker  *trackerClient
	slots    registry.Slots
	metrics  *metrics
	events   chan Event
	group    *errgroup.Group
	ctx      context.Context
	began    time.Time

	cancels map[uint64]context.CancelFunc // of fetches; the owner's

	mu   sync.Mutex
	held map[digest.Digest]distribution.ChunkSet // as Core last had it
}

const (
	eventsWaiting = 256
	eventsAtOnce  = 64
	ticksAReport  = 20
	rateBurst     = 64 << 10 // bytes that are paced at a time
)

// Run serves until the context ends or something that the agent can't do without fails.
func Run(ctx context.Context, settings Settings, log *slog.Logger) error {
	listener, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer listener.Close()
	a, err := newAgent(settings, log, afero.NewOsFs())
	if err != nil {
		return err
	}
	parent := ctx
	a.group, a.ctx = errgroup.WithContext(parent)
	server := &http.Server{Handler: a.handler(), ReadHeaderTimeout: a.wait(), IdleTimeout: idleShare * a.wait(), MaxHeaderBytes: 8 << 10}
	a.group.Go(func() error { return server.Serve(listener) })
	a.group.Go(func() error { a.own(); return nil })
	a.group.Go(func() error { <-a.ctx.Done(); return errors.Join(a.ctx.Err(), server.Close()) })
	log.Info("agent serves", "agent", settings.Agent, "listen", settings.Listen)
	err = a.group.Wait()
	a.client.Close()
	if parent.Err() != nil {
		return nil // what is said of being closed is no failure
	}
	return err
}

// idleShare is for how many waits an idle connection is kept.
const idleShare = 10

// wait is how long a small request may take.
func (a *Agent) wait() time.Duration { return a.core.settings.StallTimeout }

func newAgent(settings Settings, log *slog.Logger, files afero.Fs) (*Agent, error) {
	store, err := chunkstore.Open(files, settings.Directory)
	if err != nil {
		return nil, err
	}
	stored, err := LoadStored(store, settings.Names)
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
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, err
	}
	core := NewCore(settings.core(session, binary.LittleEndian.Uint64(seed[:])), stored)
	a := &Agent{
		settings: settings, log: log, store: store, core: core, began: time.Now(),
		slots:  registry.NewSlots(settings.UploadSlots),
		events: make(chan Event, eventsWaiting), cancels: map[uint64]context.CancelFunc{},
		held: map[digest.Digest]distribution.ChunkSet{},
	}
	a.metrics = newMetrics(a)
	a.client = registry.NewClient(core.settings.StallTimeout, limiter(settings.DownloadBytes), a.metrics.control)
	a.tracker = newTrackerClient(settings.Trackers, core.settings.StallTimeout, a.metrics.control)
	a.publish()
	return a, nil
}

// limiter paces bytes; nil: no limit.
func limiter(bytesPerS int64) *rate.Limiter {
	if bytesPerS == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(bytesPerS), rateBurst)
}

// own is the owner's loop.
func (a *Agent) own() {
	tick := time.NewTicker(a.core.settings.ReportInterval / ticksAReport)
	defer tick.Stop()
	for {
		var events []Event
		select {
		case <-a.ctx.Done():
			return
		case <-tick.C:
			events = append(events, Tick{})
		case e := <-a.events:
			events = append(events, e)
		}
		events = a.drain(events)
		effects := a.core.Step(time.Since(a.began), events...)
		a.forgetCancels(events)
		a.publish()
		for _, e := range effects {
			a.perform(e)
		}
	}
}

// drain takes what else has come.
func (a *Agent) drain(events []Event) []Event {
	for len(events) < eventsAtOnce {
		select {
		case e := <-a.events:
			events = append(events, e)
		default:
			return events
		}
	}
	return events
}

func (a *Agent) forgetCancels(events []Event) {
	for _, e := range events {
		if r, ok := e.(ChunkResult); ok {
			delete(a.cancels, r.ID)
		}
	}
}

// publish lets the server and the metrics see what Core has.
func (a *Agent) publish() {
	a.metrics.take(a.core)
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.held)
	for d := range a.core.versions {
		a.held[d], _ = a.core.Chunks(d)
	}
}

// push brings an event to the owner.
func (a *Agent) push(e Event) {
	select {
	case a.events <- e:
	case <-a.ctx.Done():
	}
}

// do carries something out beside the owner and brings what came of it back.
func (a *Agent) do(what func() Event) {
	a.group.Go(func() error { a.push(what()); return nil })
}

func (a *Agent) perform(effect Effect) {
	switch e := effect.(type) {
	case Report:
		a.do(func() Event { return a.tracker.report(a.ctx, e.Inventory) })
	case GetManifest:
		a.do(func() Event { return a.getManifest(e) })
	case GetChunkSet:
		a.do(func() Event {
			f := a.client.Chunks(a.ctx, e.From.Address, e.Name, e.Manifest)
			return ChunkSetResult{Source: e.From.Name, Manifest: e.Manifest, Chunks: f.Chunks, Fault: f.Fault}
		})
	case GetChunk:
		ctx, cancel := context.WithCancel(a.ctx)
		a.cancels[e.ID] = cancel
		a.do(func() Event { defer cancel(); return a.getChunk(ctx, e) })
	case CancelChunk:
		if cancel := a.cancels[e.ID]; cancel != nil {
			cancel()
		}
	case Activate:
		a.do(func() Event { return a.activate(e) })
	case Remove:
		a.do(func() Event {
			removed, err := a.store.Remove(e.Chunk)
			a.disk(err)
			return RemoveResult{e.Chunk, removed}
		})
	case Verify:
		a.do(func() Event {
			sound, err := a.store.Verify(e.Chunk)
			a.disk(err)
			if err != nil || sound {
				return Tick{}
			}
			return ChunkLost(e)
		})
	case Log:
		a.log.Info(e.Text, e.Args...)
	}
}

// disk logs what the disk says.
func (a *Agent) disk(err error) {
	if err != nil {
		a.log.Error("disk", "error", err.Error())
	}
}

// address is where a peer is asked.
func (a *Agent) address(p Peer) string {
	if p.Name == distribution.StoreSource {
		return a.settings.Store
	}
	return p.Address
}

// getManifest looks on the own disk, or asks a peer and stores what it gives.
func (a *Agent) getManifest(e GetManifest) Event {
	r := ManifestResult{Source: e.From.Name, Digest: e.Digest}
	if e.From.Name == "" {
		m, err := a.store.Manifest(e.Digest)
		if err != nil {
			r.Fault = distribution.FaultMissing
			return r
		}
		r.Manifest = m
		return r
	}
	m, fetched := a.client.Manifest(a.ctx, a.address(e.From), e.Name, e.Digest)
	if fetched.Fault != "" {
		r.Fault = fetched.Fault
		return r
	}
	if err := a.store.PutManifest(m); err != nil {
		a.disk(err)
		r.Fault = distribution.FaultDisk
		return r
	}
	r.Manifest = m
	return r
}

// getChunk fetches a chunk into the store.
func (a *Agent) getChunk(ctx context.Context, e GetChunk) Event {
	r := ChunkResult{ID: e.ID, PartialBytes: e.Offset}
	var stored error
	fetched := a.client.Blob(ctx, registry.BlobRequest{
		Address: a.address(e.From), Name: e.Name, Manifest: e.Manifest, Chunk: e.Chunk, Offset: e.Offset, Stall: e.StallTimeout, Within: e.Timeout,
	}, func(body io.Reader) {
		r.ReceivedBytes, r.PartialBytes, stored = a.store.Write(e.Chunk, e.Offset, body)
	})
	r.Chunks, r.RetryAfter = fetched.Chunks, fetched.RetryAfter
	r.Fault = ClassifyFetch(stored, r.ReceivedBytes, fetched.Fault)
	if r.Fault == distribution.FaultDisk {
		a.disk(stored)
	}
	r.Cancelled = r.Fault != "" && ctx.Err() != nil
	return r
}

// activate makes a version active if every chunk of it is there.
func (a *Agent) activate(e Activate) Event {
	err := a.store.Activate(e.Name, distribution.ActiveVersion{Manifest: e.Manifest, Revision: e.Revision})
	if err != nil {
		a.log.Error("weights can't be activated", "name", e.Name, "manifest", e.Manifest.String(), "error", err.Error())
	}
	return ActivateResult{e.Name, e.Manifest, err != nil}
}
