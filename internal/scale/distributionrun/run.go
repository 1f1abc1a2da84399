package distributionrun

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/BurntSushi/toml"

	"oakpick/internal/config"
	"oakpick/internal/distribution"
	"oakpick/internal/distribution/operator"
	"oakpick/internal/scale/testbed"
)

// Commands start the real processes of a run.
type Commands struct {
	Controller []string // the path of a settings file is added
	Agent      []string // --config and the path of a settings file are added
}

// Run runs the experiment as often as the parameters say. It writes its progress, a line at a
// time. It ends every process that it has started, also when the context ends; then the report
// is partial.
func Run(ctx context.Context, p Parameters, commands Commands, progress io.Writer) (*Report, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	report := &Report{Parameters: p}
	for n := range p.Runs {
		one := p
		one.Seed += uint64(n)
		one.FromStore = p.FromStore && n == 0
		run, err := runOnce(ctx, one, commands, testbed.NewProgressLog(progress))
		if run != nil {
			report.Runs = append(report.Runs, *run)
		}
		if testbed.Interrupted(err) {
			report.Partial = fmt.Sprintf("interrupted in run %d", n+1)
			break
		}
		if err != nil {
			return report, err
		}
	}
	report.setMedianRatio()
	return report, nil
}

// experiment is one run while it lasts.
type experiment struct {
	parameters Parameters
	commands   Commands
	directory  string
	progress   *testbed.ProgressLog

	testbed  *testbed.Testbed
	store    *simulatedStore
	operator *operator.Client
	agents   []*agentProcess // of the fleet

	mu      sync.Mutex
	report  *RunReport
	version *distribution.Manifest // that the fleet is to serve
}

// runOnce builds the testbed, runs the experiment and removes it. There is no report if the
// testbed could not be built.
func runOnce(ctx context.Context, p Parameters, commands Commands, progress *testbed.ProgressLog) (*RunReport, error) {
	directory, err := os.MkdirTemp("", "oakpick-weights-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(directory) }() // a temporary directory left behind does no harm
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := &experiment{
		parameters: p, commands: commands, progress: progress, directory: directory, store: newSimulatedStore(p), report: &RunReport{},
	}
	defer e.store.close()
	defer e.killAgents()
	if err := e.build(); err != nil {
		return nil, err
	}
	defer e.testbed.Close()
	if err := e.open(ctx); err != nil {
		return nil, err
	}
	err = e.run(ctx)
	e.report.Crashed = append(e.report.Crashed, e.testbed.Controllers.Crashed()...)
	return e.report, err
}

// build makes the testbed, whose controllers have the tracker switched on, and its operator.
func (e *experiment) build() error {
	extensions := filepath.Join(e.directory, "extensions.toml")
	if err := writeExtensions(extensions, e.parameters); err != nil {
		return err
	}
	controller := e.commands.Controller
	command := append([]string{controller[0], "--extensions", extensions}, controller[1:]...)
	e.testbed = testbed.New(e.parameters.testbed(), command, e.directory)
	e.operator = &operator.Client{HTTP: http.Client{Timeout: operatorTimeout}}
	for controller := range e.parameters.Controllers {
		e.operator.Controllers = append(e.operator.Controllers, e.testbed.Addresses.Tracker(controller))
	}
	return nil
}

// operatorTimeout is for how long a controller may take to answer the operator.
const operatorTimeout = time.Second

// writeExtensions writes the file that switches the tracker on.
func writeExtensions(path string, p Parameters) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	extensions := config.Extensions{Distribution: &config.Distribution{
		Port: testbed.TrackerPort, StoreSlots: p.StoreSlots,
		Connections:        max(minTrackerConnections, trackerConnectionsPerAgent*p.Agents),
		InventoryIntervalS: p.InventoryIntervalS, IdleInventoryIntervalS: idleIntervals * p.InventoryIntervalS,
	}}
	return errors.Join(toml.NewEncoder(file).Encode(extensions), file.Close())
}

// open starts the simulated store and the controllers, and returns once they serve the tracker.
func (e *experiment) open(ctx context.Context) error {
	if err := e.testbed.Start(ctx); err != nil {
		return err
	}
	if err := e.store.serve(ctx, e.testbed.Addresses.WeightStore(), e.parameters.Agents+e.parameters.StoreSlots); err != nil {
		return err
	}
	if err := e.testbed.Controllers.StartAll(); err != nil {
		return err
	}
	return waitUntil(ctx, controlTimeout, "no controller serves the tracker", func() bool {
		_, err := e.operator.Names(ctx)
		return err == nil
	})
}

// run times one agent alone, then the fleet, then clients that use the store only.
func (e *experiment) run(ctx context.Context) error {
	alone, err := e.runAlone(ctx)
	if err != nil {
		return fmt.Errorf("one agent alone: %w", err)
	}
	e.report.AloneS = alone.Seconds()
	e.progress.Logf("one alone: %.2f s", alone.Seconds())
	if err := e.runFleet(ctx, alone); err != nil {
		return fmt.Errorf("the fleet: %w", err)
	}
	e.progress.Logf("%d agents: %.2f s, %.2f times as long; the store sent %.2f copies", e.parameters.Agents, e.report.FleetS, e.report.Ratio, e.report.StoreCopies)
	if !e.parameters.FromStore {
		return nil
	}
	took, err := e.runFromStore(ctx)
	e.report.FromStoreS = took.Seconds()
	e.progress.Logf("%d clients from the store: %.2f s", e.parameters.Agents, took.Seconds())
	return err
}

// record changes the report while several goroutines do.
func (e *experiment) record(change func(report *RunReport)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e.report)
}
