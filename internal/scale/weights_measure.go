package scale

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/registry"
)

// verify reads every byte that agents serve.
func (r *weightsRun) verify(ctx context.Context) error {
	want := r.store.sum(r.wanted())
	var mu sync.Mutex
	err := each(r.agents, func(a *agentProcess) error {
		got, err := a.sum(ctx, fleetName)
		if err == nil && got != want {
			err = fmt.Errorf("%s %w", a.settings.Agent, errDiffers)
		}
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			r.report.Verified++
		}
		return err
	})
	return err
}

// measure notes what each agent has fetched from where, and what it takes while idle.
func (r *weightsRun) measure(ctx context.Context, m *distribution.Manifest) error {
	first, err := r.takeMetrics()
	if err != nil {
		return err
	}
	r.report.PeersMB, r.report.FromStoreMB = map[string]float64{}, map[string]float64{}
	fetching := 0.0
	for name, x := range first {
		r.report.PeersMB[name] = x[`oakpick_agent_downloaded_bytes{from="peers"}`] / mebibyte
		r.report.FromStoreMB[name] = x[`oakpick_agent_downloaded_bytes{from="store"}`] / mebibyte
		r.report.MemoryMB = max(r.report.MemoryMB, x["process_resident_memory_bytes"]/mebibyte)
		fetching += x[`oakpick_agent_control_bytes_total`]
	}
	agents := float64(len(first))
	r.report.ControlBytesPerS = fetching / agents / r.report.FleetS
	r.report.FetchedMB = float64(m.Size) / mebibyte * agents
	if r.p.IdleS == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(r.p.IdleS * float64(time.Second))):
	}
	second, err := r.takeMetrics()
	if err != nil {
		return err
	}
	for _, name := range slices.Collect(maps.Keys(first)) {
		spent := second[name]["process_cpu_seconds_total"] - first[name]["process_cpu_seconds_total"]
		r.report.IdleCores += spent / r.p.IdleS / agents
		r.report.IdleControlBytesPerS += (second[name]["oakpick_agent_control_bytes_total"] - first[name]["oakpick_agent_control_bytes_total"]) / r.p.IdleS / agents
	}
	return nil
}

// takeMetrics reads the metrics of all agents that are to be ready.
func (r *weightsRun) takeMetrics() (map[string]map[string]float64, error) {
	var mu sync.Mutex
	out := map[string]map[string]float64{}
	err := each(r.agents, func(a *agentProcess) error {
		x, err := a.metrics()
		mu.Lock()
		defer mu.Unlock()
		out[a.settings.Agent] = x
		return err
	})
	return out, err
}

// fromStore times as many clients as there are agents, each of which fetches everything from
// the store, whose uplink they share.
func (r *weightsRun) fromStore(ctx context.Context) (time.Duration, error) {
	m := r.wanted()
	began := time.Now()
	var group errgroup.Group
	for range r.p.Agents {
		group.Go(func() error {
			limit := rate.NewLimiter(rate.Limit(r.p.RateMB*mebibyte), pacedBytes)
			client := registry.NewClient(time.Minute, limit, nil)
			defer client.Close()
			return fetchAll(ctx, client, r.storeAddress(), m)
		})
	}
	err := group.Wait()
	return time.Since(began), err
}

// fetchAll fetches and verifies every chunk of a version.
func fetchAll(ctx context.Context, client *registry.Client, store string, m *distribution.Manifest) error {
	for _, c := range m.Chunks {
		hash := c.Digest.Algorithm().Digester()
		fetched := client.Blob(ctx, registry.BlobRequest{
			Address: store, Name: fleetName, Manifest: m.Digest, Chunk: c, StallTimeout: clientOwnStalls * time.Second, Timeout: time.Hour,
		}, func(body io.Reader) { _, _ = io.Copy(hash.Hash(), body) }) // the digest tells whether all came
		if fetched.Fault != "" || hash.Digest() != c.Digest {
			return fmt.Errorf("a client that fetches from the store: %s: %q", c.Digest, fetched.Fault)
		}
	}
	return nil
}
