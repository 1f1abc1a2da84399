package distributionrun

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/registry"
)

// errWrongContent says that an agent serves other bytes than those of the version.
var errWrongContent = errors.New("serves other bytes than the version's")

// verify reads every byte that agents serve.
func (e *experiment) verify(ctx context.Context) error {
	wanted := e.store.contentDigest(e.wantedVersion())
	return forEachWorking(e.agents, func(a *agentProcess) error {
		served, err := a.contentDigest(ctx, fleetName)
		if err != nil {
			return err
		}
		if served != wanted {
			return fmt.Errorf("%s %w", a.settings.Agent, errWrongContent)
		}
		e.record(func(report *RunReport) { report.Verified++ })
		return nil
	})
}

// measure reports what each agent has fetched from where, and what it takes while idle.
func (e *experiment) measure(ctx context.Context, version *distribution.Manifest) error {
	fetched, err := e.readMetrics(ctx)
	if err != nil {
		return err
	}
	e.record(func(report *RunReport) { report.setFetched(fetched, version.Size) })
	idle := e.parameters.IdleS
	if idle == 0 {
		return nil
	}
	if err := sleep(ctx, time.Duration(idle*float64(time.Second))); err != nil {
		return err
	}
	later, err := e.readMetrics(ctx)
	if err != nil {
		return err
	}
	e.record(func(report *RunReport) { report.setIdle(fetched, later, idle) })
	return nil
}

// metricsTimeout is for how long agents may take to tell their metrics.
const metricsTimeout = 30 * time.Second

// readMetrics reads the metrics of all agents that haven't failed for good, by agent. It does so
// for interrupted runs, too, whose report tells what was fetched until then.
func (e *experiment) readMetrics(ctx context.Context) (map[string]agentMetrics, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), metricsTimeout)
	defer cancel()
	var mu sync.Mutex
	byAgent := map[string]agentMetrics{}
	err := forEachWorking(e.agents, func(a *agentProcess) error {
		metrics, err := a.readMetrics(ctx)
		mu.Lock()
		defer mu.Unlock()
		byAgent[a.settings.Agent] = metrics
		return err
	})
	if errors.Is(err, context.DeadlineExceeded) { // which is not an interrupted run
		return byAgent, &TimeoutError{After: metricsTimeout, Problem: "an agent doesn't tell its metrics"}
	}
	return byAgent, err
}

// Timeouts of the clients that fetch from the store only. It serves all of them at once, slowly.
const (
	clientResponseTimeout = time.Minute
	clientStallTimeout    = 20 * time.Second
	clientFetchTimeout    = time.Hour
)

// runFromStore times as many clients as there are agents, each of which fetches everything from
// the store, whose uplink they share.
func (e *experiment) runFromStore(ctx context.Context) (time.Duration, error) {
	version := e.wantedVersion()
	startedAt := time.Now()
	var group errgroup.Group
	for range e.parameters.Agents {
		group.Go(func() error {
			limit := rate.NewLimiter(rate.Limit(e.parameters.linkBytesPerS()), rateLimitBurstBytes)
			client := registry.NewClient(clientResponseTimeout, limit, nil)
			defer client.Close()
			return fetchFromStore(ctx, client, e.testbed.Addresses.WeightStore(), version)
		})
	}
	err := group.Wait()
	return time.Since(startedAt), err
}

// StoreFetchError says that a client could not fetch a chunk from the store.
type StoreFetchError struct {
	Chunk distribution.Chunk
	Fault distribution.Fault // empty: the bytes are wrong
}

// Error names the chunk and the fault.
func (e *StoreFetchError) Error() string {
	return fmt.Sprintf("a client that fetches from the store: %s: %q", e.Chunk.Digest, e.Fault)
}

// fetchFromStore fetches and verifies every chunk of a version.
func fetchFromStore(ctx context.Context, client *registry.Client, store string, version *distribution.Manifest) error {
	for _, chunk := range version.Chunks {
		hash := chunk.Digest.Algorithm().Digester()
		fetched := client.Blob(ctx, registry.BlobRequest{
			Address: store, Name: fleetName, Manifest: version.Digest, Chunk: chunk, StallTimeout: clientStallTimeout, Timeout: clientFetchTimeout,
		}, func(body io.Reader) { _, _ = io.Copy(hash.Hash(), body) }) // the digest tells whether all came
		if fetched.Fault != "" || hash.Digest() != chunk.Digest {
			return &StoreFetchError{Chunk: chunk, Fault: fetched.Fault}
		}
	}
	return nil
}
