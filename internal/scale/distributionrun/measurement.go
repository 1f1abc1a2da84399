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

// errWrongContent is returned if an agent serves content that differs from the version's.
var errWrongContent = errors.New("serves content that differs from the version's")

// verify reads all content that the agents serve and compares its digest with the version's.
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

// measure reports how much each agent has fetched from each source, and the resource usage of idle
// agents.
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

// metricsTimeout is the time within which all agents have to return their metrics.
const metricsTimeout = 30 * time.Second

// readMetrics returns the metrics of all agents that haven't failed permanently, by agent. It ignores
// the end of the context, so that the report of an interrupted run contains what was fetched.
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
	if errors.Is(err, context.DeadlineExceeded) { // testbed.Interrupted would treat this error as an interruption
		return byAgent, &TimeoutError{After: metricsTimeout, Problem: "an agent doesn't tell its metrics"}
	}
	return byAgent, err
}

// Timeouts of the clients that fetch only from the store. They are long because the store serves all
// clients at the same time, which makes each of them slow.
const (
	clientResponseTimeout = time.Minute
	clientStallTimeout    = 20 * time.Second
	clientFetchTimeout    = time.Hour
)

// runFromStore starts one client per agent that fetches the version only from the store, and measures
// the time until all clients have finished. The clients share the store's uplink.
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

// StoreFetchError reports that a client could not fetch a chunk from the store.
type StoreFetchError struct {
	Chunk distribution.Chunk
	Fault distribution.Fault // empty if only the digest is wrong
}

// Error names the chunk and the fault.
func (e *StoreFetchError) Error() string {
	return fmt.Sprintf("fetch from the store: chunk %s: %q", e.Chunk.Digest, e.Fault)
}

// fetchFromStore fetches every chunk of a version from the store and verifies its digest.
func fetchFromStore(ctx context.Context, client *registry.Client, store string, version *distribution.Manifest) error {
	for _, chunk := range version.Chunks {
		hash := chunk.Digest.Algorithm().Digester()
		fetched := client.Blob(ctx, registry.BlobRequest{
			Address: store, Name: fleetName, Manifest: version.Digest, Chunk: chunk, StallTimeout: clientStallTimeout, Timeout: clientFetchTimeout,
		}, func(body io.Reader) { _, _ = io.Copy(hash.Hash(), body) }) // the digest shows whether the content is complete
		if fetched.Fault != "" || hash.Digest() != chunk.Digest {
			return &StoreFetchError{Chunk: chunk, Fault: fetched.Fault}
		}
	}
	return nil
}
