package distributionrun

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"oakpick/internal/distribution"
	"oakpick/internal/distribution/agent"
)

// Names of the weights of a run. A single agent fetches aloneName, then the fleet fetches fleetName.
const (
	aloneName = "models/alone"
	fleetName = "models/fleet"
)

// The timeout of a fetch is minFetchTimeout plus fetchTimeoutFactor times the single agent's time.
// For the single agent itself, that time is estimated from the version's size and the link's rate.
const (
	fetchTimeoutFactor = 20
	minFetchTimeout    = time.Minute
)

// Ratios of agent settings to the link's rate and the inventory interval.
const (
	minimumRateDivisor = 64 // link's rate divided by the minimum rate of a source
	stallIntervals     = 3  // stall timeout of a fetch, as a multiple of the inventory interval
)

// newAgent writes the settings of the i-th agent that fetches the given name.
func (e *experiment) newAgent(i int, name string) (*agentProcess, error) {
	p, addresses := e.parameters, e.testbed.Addresses
	zones := e.testbed.Settings.Zones[:p.Zones]
	zone := i % len(zones)
	rate := p.linkBytesPerS()
	if zone == 0 && name == fleetName {
		rate *= p.SlowZone
	}
	settings := agent.Defaults()
	settings.Agent, settings.Zone = fmt.Sprintf("%s-%03d", filepath.Base(name), i), zones[zone]
	settings.Listen, settings.Directory = addresses.Worker(i), filepath.Join(e.directory, settings.Agent)
	settings.Store, settings.Names = addresses.WeightStore(), []string{name}
	settings.UploadSlots, settings.ReportIntervalS, settings.StallTimeoutS = p.UploadSlots, p.InventoryIntervalS, stallIntervals*p.InventoryIntervalS
	settings.UploadBytesPerSecond, settings.DownloadBytesPerSecond = int64(rate), int64(rate)
	settings.MinBytesPerSecond = max(1, int64(rate/minimumRateDivisor))
	for c := range p.Controllers {
		settings.Trackers = append(settings.Trackers, addresses.Tracker((c+i)%p.Controllers))
	}
	return newAgentProcess(e.commands.Agent, e.directory, settings)
}

func (e *experiment) killAgents() {
	for _, a := range e.agents {
		a.kill()
	}
}

// useVersion makes a name refer to a version. It repeats the request until a controller accepts it.
func (e *experiment) useVersion(ctx context.Context, name string, version *distribution.Manifest) error {
	return waitUntil(ctx, controlTimeout, "no controller accepted the version of the name", func() bool {
		_, err := e.operator.SetManifest(ctx, name, version.Digest)
		return err == nil
	})
}

// runAlone measures how long a single agent takes to fetch a version from the store.
func (e *experiment) runAlone(ctx context.Context) (time.Duration, error) {
	count, size := e.parameters.chunks()
	version, err := e.store.publish(count, size)
	if err != nil {
		return 0, err
	}
	a, err := e.newAgent(0, aloneName)
	if err != nil {
		return 0, err
	}
	defer a.kill()
	if err := a.start(ctx); err != nil {
		return 0, err
	}
	startedAt := time.Now()
	if err := e.useVersion(ctx, aloneName, version); err != nil {
		return 0, err
	}
	expected := e.parameters.SizeMB / e.parameters.RateMB
	timeout := minFetchTimeout + time.Duration(fetchTimeoutFactor*expected*float64(time.Second))
	err = waitUntil(ctx, timeout, "the agent does not serve the version", func() bool { return a.activeManifest(ctx, aloneName) == version.Digest })
	return time.Since(startedAt), err
}

// fleetFetch describes the fleet's fetch of a version.
type fleetFetch struct {
	version    *distribution.Manifest // initial version; newVersionFault replaces it in experiment.version
	startedAt  time.Time
	sentBefore int64 // bytes that the store had sent at the start
}

// runFleet measures how long the fleet takes to fetch a version while faults are injected. Then it
// verifies the content that the agents serve and reads their metrics.
func (e *experiment) runFleet(ctx context.Context, aloneTime time.Duration) error {
	faults, err := parseFaults(e.parameters.Faults)
	if err != nil {
		return err
	}
	if err := e.startFleet(ctx); err != nil {
		return err
	}
	fetch := fleetFetch{version: e.wantedVersion(), startedAt: time.Now(), sentBefore: e.store.sentBytes.Load()}
	fetching, stop := context.WithCancel(ctx)
	defer stop()
	var background errgroup.Group
	background.Go(func() error { e.recordProgress(fetching, fetch); return nil })
	if err := e.useVersion(ctx, fleetName, fetch.version); err != nil {
		stop()
		return errors.Join(err, background.Wait())
	}
	for _, fault := range faults {
		background.Go(func() error { return e.injectFault(fetching, fault, aloneTime) })
	}
	err = waitUntil(ctx, minFetchTimeout+fetchTimeoutFactor*aloneTime, "not all agents serve the version", func() bool { return e.fleetReady(ctx, fetch) })
	e.reportFetch(fetch, aloneTime)
	stop()
	return errors.Join(err, background.Wait(), e.verify(ctx), e.measure(ctx, fetch.version))
}

// startFleet publishes the fleet's version and starts its agents.
func (e *experiment) startFleet(ctx context.Context) error {
	count, size := e.parameters.chunks()
	version, err := e.store.publish(count, size)
	if err != nil {
		return err
	}
	e.version = version
	for i := range e.parameters.Agents {
		a, err := e.newAgent(i, fleetName)
		if err != nil {
			return err
		}
		e.agents = append(e.agents, a)
	}
	return forEachWorking(e.agents, func(a *agentProcess) error { return a.start(ctx) })
}

// wantedVersion returns the version that the fleet is to serve.
func (e *experiment) wantedVersion() *distribution.Manifest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// fleetReady reports whether every agent that hasn't failed permanently serves the wanted version.
// It records when each agent first served it.
func (e *experiment) fleetReady(ctx context.Context, fetch fleetFetch) bool {
	wanted := e.wantedVersion()
	var notReady atomic.Bool
	_ = forEachWorking(e.agents, func(a *agentProcess) error { // always nil
		if a.activeManifest(ctx, fleetName) != wanted.Digest {
			notReady.Store(true)
			return nil
		}
		e.record(func(report *RunReport) { report.setReady(a.settings.Agent, time.Since(fetch.startedAt)) })
		return nil
	})
	return !notReady.Load() && wanted == e.wantedVersion()
}

func (e *experiment) reportFetch(fetch fleetFetch, aloneTime time.Duration) {
	e.record(func(report *RunReport) {
		report.FleetS = time.Since(fetch.startedAt).Seconds()
		report.Ratio = report.FleetS / aloneTime.Seconds()
		report.StoreCopies = float64(e.store.sentBytes.Load()-fetch.sentBefore) / float64(fetch.version.Size)
	})
}

// progressInterval is the interval between progress records.
const progressInterval = 200 * time.Millisecond

// recordProgress records the number of chunks of each agent and the bytes that the store has sent,
// until the context ends.
func (e *experiment) recordProgress(ctx context.Context, fetch fleetFetch) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		progress := Progress{
			AtS: time.Since(fetch.startedAt).Seconds(), StoreSentMB: float64(e.store.sentBytes.Load()-fetch.sentBefore) / mebibyte, Chunks: map[string]int{},
		}
		if status, err := e.operator.Status(ctx, fleetName); err == nil {
			for _, member := range status.Members {
				progress.Chunks[member.Agent] = member.Chunks
			}
		}
		e.record(func(report *RunReport) { report.Progress = append(report.Progress, progress) })
	}
}
