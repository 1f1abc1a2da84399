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

// Commands are the commands that start the processes of a run.
type Commands struct {
	Controller []string // --extensions FILE is inserted after the program, and the path of a settings file is appended
	Agent      []string // --config and the path of a settings file are appended
}

// Run repeats the experiment as often as the parameters specify and writes progress lines. Before it
// returns, it kills every process that it has started. If the context ends early, the report is
// partial.
func Run(ctx context.Context, p Parameters, commands Commands, progress io.Writer) (*Report, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	report := &Report{Parameters: p}
	for n := range p.Runs {
		runParameters := p
		runParameters.Seed += uint64(n)
		runParameters.FromStore = p.FromStore && n == 0
		run, err := runOnce(ctx, runParameters, commands, testbed.NewProgressLog(progress))
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

// experiment is the state of one run.
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
	version *distribution.Manifest // version that the fleet is to serve
}

// runOnce builds the testbed, runs the experiment and closes the testbed. It returns no report if
// the testbed could not be built and started.
func runOnce(ctx context.Context, p Parameters, commands Commands, progress *testbed.ProgressLog) (*RunReport, error) {
	directory, err := os.MkdirTemp("", "oakpick-weights-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(directory) }() // a leftover temporary directory does no harm
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
	if err := e.start(ctx); err != nil {
		return nil, err
	}
	err = e.run(ctx)
	e.report.Crashed = append(e.report.Crashed, e.testbed.Controllers.Crashed()...)
	return e.report, err
}

// build creates the testbed, whose controllers serve the weights tracker, and the operator's client.
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

// operatorTimeout is the timeout of the operator's requests to a controller.
const operatorTimeout = time.Second

// writeExtensions writes the extensions file that enables the weights tracker.
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

// start starts the simulated store and the controllers, and waits until a controller serves the
// tracker.
func (e *experiment) start(ctx context.Context) error {
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

// run measures a single agent, then the fleet, then, if requested, clients that use only the store.
func (e *experiment) run(ctx context.Context) error {
	aloneTime, err := e.runAlone(ctx)
	if err != nil {
		return fmt.Errorf("single agent: %w", err)
	}
	e.report.AloneS = aloneTime.Seconds()
	e.progress.Logf("single agent: %.2f s", aloneTime.Seconds())
	if err := e.runFleet(ctx, aloneTime); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	e.progress.Logf("fleet of %d agents: %.2f s, %.2f times the single agent's time; the store sent %.2f copies", e.parameters.Agents, e.report.FleetS, e.report.Ratio, e.report.StoreCopies)
	if !e.parameters.FromStore {
		return nil
	}
	took, err := e.runFromStore(ctx)
	e.report.FromStoreS = took.Seconds()
	e.progress.Logf("%d clients that use only the store: %.2f s", e.parameters.Agents, took.Seconds())
	return err
}

// record changes the report under the lock, because several goroutines change it at the same time.
func (e *experiment) record(change func(report *RunReport)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e.report)
}
