package scale

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
	"golang.org/x/sync/errgroup"

	"oakpick/internal/config"
	"oakpick/internal/distribution"
	"oakpick/internal/distribution/agent"
	"oakpick/internal/distribution/operator"
)

// Names of the weights of a run: one agent alone fetches the first, the fleet the second.
const (
	aloneName = "models/alone"
	fleetName = "models/fleet"
)

const (
	trackerPort     = 8082
	storePort       = 5000
	readyLook       = 50 * time.Millisecond  // between looks whether agents are ready
	progressLook    = 200 * time.Millisecond // between looks at how far they are
	patience        = 20                     // times what one alone took, until a run is given up
	patienceLeast   = time.Minute
	minimumShare    = 64 // of the rate: the least rate of a source
	stallReports    = 3
	clientOwnStalls = 20 // of the clients that fetch from the store alone
	wrongAnswers    = 5  // of a fault
)

// weightsRun is one run while it lasts.
type weightsRun struct {
	p         WeightsParameters
	play      *play
	addresses addresses
	dir       string
	command   []string // an agent's
	store     *weightsStore
	operator  *operator.Client
	agents    []*agentProcess
	say       func(format string, args ...any)
	report    *WeightsRunReport

	mu      sync.Mutex
	version *distribution.Manifest // that the fleet is to serve
}

// RunWeights plays the runs one after the other. It ends every process that it has started,
// also when the context ends; then the report is partial.
func RunWeights(ctx context.Context, p WeightsParameters, controller, agentCommand []string, progress io.Writer) (*WeightsReport, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	say := func(format string, args ...any) { fmt.Fprintf(progress, format+"\n", args...) }
	report := &WeightsReport{Parameters: p}
	for n := range p.Runs {
		one := p
		one.Seed += uint64(n)
		one.FromStore = p.FromStore && n == 0
		run, err := playWeights(ctx, one, controller, agentCommand, say)
		if run != nil {
			report.Runs = append(report.Runs, *run)
		}
		if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
			report.Partial = fmt.Sprintf("interrupted in run %d", n+1)
			break
		}
		if err != nil {
			return report, err
		}
	}
	report.summarize()
	return report, nil
}

func playWeights(ctx context.Context, p WeightsParameters, controller, agentCommand []string, say func(string, ...any)) (*WeightsRunReport, error) {
	dir, err := os.MkdirTemp("", "oakpick-weights-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &weightsRun{p: p, dir: dir, command: agentCommand, say: say, store: newWeightsStore(p), report: &WeightsRunReport{}}
	defer r.store.close()
	defer r.killAll()
	if err := r.open(ctx, controller); err != nil {
		return nil, err
	}
	defer func() { // the processes first: they speak to the rest
		r.play.controllers.killAll()
		cancel()
		<-r.play.loop.over
		r.play.servers.close()
	}()
	err = r.run(ctx)
	r.report.Ended = append(r.report.Ended, r.play.controllers.failed()...)
	return r.report, err
}

// open starts the stand-ins and the controllers.
func (r *weightsRun) open(ctx context.Context, controller []string) error {
	extensions := filepath.Join(r.dir, "extensions.toml")
	if err := writeExtensions(extensions, r.p); err != nil {
		return err
	}
	command := append([]string{controller[0], "--extensions", extensions}, controller[1:]...)
	r.play = newPlay(r.p.controllers(), command, r.dir, io.Discard)
	r.addresses = r.play.controllers.addresses
	if err := r.play.servers.open(r.addresses); err != nil {
		r.play.servers.close()
		return err
	}
	go r.play.loop.run(ctx)
	if err := r.store.serve(r.storeAddress(), r.p.Agents+r.p.StoreSlots); err != nil {
		return err
	}
	if err := r.play.controllers.startAll(); err != nil {
		return err
	}
	r.operator = &operator.Client{HTTP: http.Client{Timeout: time.Second}}
	for i := range r.p.Controllers {
		r.operator.Controllers = append(r.operator.Controllers, r.trackerAddress(i))
	}
	return r.until(ctx, time.Minute, "no controller serves the tracker", func() bool {
		_, err := r.operator.Names(ctx)
		return err == nil
	})
}

// controllers are the parameters of the controllers and what is round them.
func (p *WeightsParameters) controllers() Parameters {
	return Parameters{
		Workers: 2, Running: 2, Starts: 1, Jobs: 1, Teams: 1, Controllers: p.Controllers, ReportS: 2 * p.ReportS, LeaseS: 10 * p.ReportS, CancelS: 25 * p.ReportS,
		RPS: 200, WriteRPS: 40, ValueKB: 8, CPU: 1, MemMB: 256, Sockets: max(1000, 8*p.Agents), Seed: p.Seed,
	}
}

// writeExtensions writes the file that switches the tracker on.
func writeExtensions(path string, p WeightsParameters) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	return toml.NewEncoder(file).Encode(config.Extensions{Distribution: &config.Distribution{
		Port: trackerPort, StoreFetchers: p.StoreSlots, Connections: max(64, 4*p.Agents), InventoryIntervalS: p.ReportS, IdleInventoryIntervalS: 4 * p.ReportS,
	}})
}

func (r *weightsRun) storeAddress() string {
	return fmt.Sprintf("%s:%d", r.addresses.ip(0, 4), storePort)
}

func (r *weightsRun) trackerAddress(controller int) string {
	return fmt.Sprintf("%s:%d", r.addresses.ip(0, firstController+controller), trackerPort)
}

// until looks again and again whether something is so.
func (r *weightsRun) until(ctx context.Context, most time.Duration, what string, so func() bool) error {
	deadline := time.Now().Add(most)
	for !so() {
		if time.Now().After(deadline) {
			return fmt.Errorf("after %v: %s", most, what)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyLook):
		}
	}
	return nil
}

// addAgent makes an agent's settings.
func (r *weightsRun) addAgent(i int, name string) (*agentProcess, error) {
	zones := r.play.controllers.settings.Zones[:r.p.Zones]
	rate := r.p.RateMB * mebibyte
	if zone := i % len(zones); zone == 0 && name == fleetName {
		rate *= r.p.SlowZone
	}
	s := agent.Defaults()
	s.Agent, s.Zone = fmt.Sprintf("%s-%03d", filepath.Base(name), i), zones[i%len(zones)]
	s.Listen, s.Directory = r.addresses.worker(i), filepath.Join(r.dir, s.Agent)
	s.Store, s.Names = r.storeAddress(), []string{name}
	s.UploadSlots, s.ReportS, s.StallS = r.p.UploadSlots, r.p.ReportS, stallReports*r.p.ReportS
	s.UploadBytes, s.DownloadBytes = int64(rate), int64(rate)
	s.MinimumRate = max(1, int64(rate/minimumShare))
	for c := range r.p.Controllers {
		s.Trackers = append(s.Trackers, r.trackerAddress((c+i)%r.p.Controllers))
	}
	return newAgentProcess(r.command, r.dir, s)
}

func (r *weightsRun) killAll() {
	for _, a := range r.agents {
		a.kill()
	}
}

// use has a name refer to a version, however often that has to be asked.
func (r *weightsRun) use(ctx context.Context, name string, m *distribution.Manifest) error {
	return r.until(ctx, time.Minute, "the name can't be changed", func() bool {
		_, err := r.operator.Use(ctx, name, m.Digest)
		return err == nil
	})
}

func (r *weightsRun) run(ctx context.Context) error {
	alone, err := r.alone(ctx)
	if err != nil {
		return fmt.Errorf("one agent alone: %w", err)
	}
	r.report.AloneS = alone.Seconds()
	r.say("one alone: %.2f s", alone.Seconds())
	if err := r.fleet(ctx, alone); err != nil {
		return fmt.Errorf("the fleet: %w", err)
	}
	r.say("%d agents: %.2f s, %.2f times as long; the store sent %.2f copies", r.p.Agents, r.report.FleetS, r.report.Ratio, r.report.StoreCopies)
	if !r.p.FromStore {
		return nil
	}
	took, err := r.fromStore(ctx)
	r.report.FromStoreS = took.Seconds()
	r.say("%d clients from the store: %.2f s", r.p.Agents, took.Seconds())
	return err
}

// alone times one agent that fetches everything from the store.
func (r *weightsRun) alone(ctx context.Context) (time.Duration, error) {
	count, size := r.p.chunks()
	m, err := r.store.publish(count, size, nil, 0)
	if err != nil {
		return 0, err
	}
	a, err := r.addAgent(0, aloneName)
	if err != nil {
		return 0, err
	}
	defer a.kill()
	if err := a.start(ctx); err != nil {
		return 0, err
	}
	began := time.Now()
	if err := r.use(ctx, aloneName, m); err != nil {
		return 0, err
	}
	most := patienceLeast + time.Duration(patience*r.p.SizeMB/r.p.RateMB*float64(time.Second))
	err = r.until(ctx, most, "it is not ready", func() bool { return a.active(ctx, aloneName) == m.Digest })
	return time.Since(began), err
}

// fleet times all agents, with faults at their times, and verifies what they serve.
func (r *weightsRun) fleet(ctx context.Context, alone time.Duration) error {
	count, size := r.p.chunks()
	m, err := r.store.publish(count, size, nil, 0)
	if err != nil {
		return err
	}
	r.version = m
	for i := range r.p.Agents {
		a, err := r.addAgent(i, fleetName)
		if err != nil {
			return err
		}
		r.agents = append(r.agents, a)
	}
	if err := each(r.agents, func(a *agentProcess) error { return a.start(ctx) }); err != nil {
		return err
	}
	sentBefore := r.store.sent.Load()
	began := time.Now()
	watched, stopWatching := context.WithCancel(ctx)
	var beside errgroup.Group
	beside.Go(func() error { r.watch(watched, began, sentBefore); return nil })
	if err := r.use(ctx, fleetName, m); err != nil {
		stopWatching()
		return errors.Join(err, beside.Wait())
	}
	for _, f := range r.p.Faults {
		fault, err := parseFault(f)
		if err != nil {
			stopWatching()
			return errors.Join(err, beside.Wait())
		}
		beside.Go(func() error { return r.fault(watched, fault, alone) })
	}
	err = r.until(ctx, patienceLeast+patience*alone, "not all are ready", func() bool { return r.look(ctx, began) })
	r.report.FleetS = time.Since(began).Seconds()
	r.report.Ratio = r.report.FleetS / alone.Seconds()
	r.report.StoreCopies = float64(r.store.sent.Load()-sentBefore) / float64(m.Size)
	stopWatching()
	return errors.Join(err, beside.Wait(), r.verify(ctx), r.measure(ctx, m))
}

func (r *weightsRun) wanted() *distribution.Manifest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// look tells whether every agent that is to be ready is, and notes when each was.
func (r *weightsRun) look(ctx context.Context, began time.Time) bool {
	m := r.wanted()
	all := true
	var mu sync.Mutex
	_ = each(r.agents, func(a *agentProcess) error {
		ready := a.active(ctx, fleetName) == m.Digest
		mu.Lock()
		defer mu.Unlock()
		all = all && ready
		if r.report.ReadyS == nil {
			r.report.ReadyS = map[string]float64{}
		}
		if _, known := r.report.ReadyS[a.settings.Agent]; ready && !known {
			r.report.ReadyS[a.settings.Agent] = time.Since(began).Seconds()
		}
		return nil
	})
	return all && m == r.wanted()
}

// watch notes how far the agents are and what the store has sent, again and again.
func (r *weightsRun) watch(ctx context.Context, began time.Time, sentBefore int64) {
	tick := time.NewTicker(progressLook)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		at := Progress{AtS: time.Since(began).Seconds(), StoreMB: float64(r.store.sent.Load()-sentBefore) / mebibyte, Chunks: map[string]int{}}
		if s, err := r.operator.Status(ctx, fleetName); err == nil {
			for _, member := range s.Members {
				at.Chunks[member.Agent] = member.Chunks
			}
		}
		r.mu.Lock()
		r.report.Progress = append(r.report.Progress, at)
		r.mu.Unlock()
	}
}
