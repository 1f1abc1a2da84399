package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"oakpick/internal/fake"
)

// Run plays the steps one after the other and the faults after the last, and says on
// progress what it is at. It ends every process that it has started, also when the context
// ends; then the report is partial.
func Run(ctx context.Context, p Parameters, command []string, progress io.Writer) (*Report, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	report := &Report{Parameters: p, Broken: []string{}, Ended: []string{}}
	for i, part := range p.Steps {
		err := playStep(ctx, p, part, i == len(p.Steps)-1, command, report, progress)
		if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
			report.Partial = fmt.Sprintf("interrupted in step %g", part)
			break
		}
		if err != nil {
			return report, err
		}
	}
	report.Lines = lines(report.Steps)
	return report, nil
}

// play is one step while it runs.
type play struct {
	p           Parameters
	loop        *loop
	world       *fake.World
	meter       *meter
	times       *answerTimes
	servers     *servers
	controllers *controllers
	workload    *workload
	progress    io.Writer
	cut         map[string]bool // hosts that are cut off
	restarted   int             // the controller that was ended last
}

func playStep(ctx context.Context, p Parameters, part float64, last bool, command []string, report *Report, progress io.Writer) error {
	dir, err := os.MkdirTemp("", "oakpick-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	y := newPlay(p.step(part), command, dir, progress)
	if err := y.servers.open(y.controllers.addresses); err != nil {
		y.servers.close()
		return err
	}
	go y.loop.run(ctx)
	defer func() { // the processes first: they speak to the rest
		y.controllers.killAll()
		cancel()
		<-y.loop.over
		y.servers.close()
	}()
	if err := y.controllers.startAll(); err != nil {
		return err
	}
	go y.probe(ctx)
	y.loop.do(y.workload.begin)
	return y.measure(ctx, part, last, report)
}

func newPlay(p Parameters, command []string, dir string, progress io.Writer) *play {
	s := p.settings()
	a := newAddresses()
	y := &play{p: p, loop: newLoop(), meter: newMeter(), times: &answerTimes{}, progress: progress, cut: map[string]bool{}}
	var names, fronts []string
	for i := range p.Controllers {
		names = append(names, controllerName(i))
		fronts = append(fronts, a.front(i))
	}
	carrier := newCarrier(y.loop, y.meter, fronts, p.userConnections(), y.times)
	y.world = fake.NewLive(s, p.types(s.Zones), names, carrier.to)
	y.loop.world = y.world
	y.controllers = newControllers(command, a, s, dir)
	y.servers = newServers(y.loop, y.meter, p.RPS)
	y.workload = newWorkload(p, y.world, y.meter, y.times)
	w := y.world
	w.State.MaxListed = mostListed
	w.State.Restore(endedPages(p.Ended, p.ValueKB))
	w.State.Restore(archivedPages(p.Archived, p.ValueKB))
	w.Cloud.Address = a.worker
	accelerated := (p.accelerated() + len(s.Zones) - 1) / len(s.Zones)
	plain := (p.Workers - p.accelerated() + len(s.Zones) - 1) / len(s.Zones)
	w.Cloud.CapacityOf = map[string]int{acceleratedType: accelerated, plainType: plain}
	w.OnBoot = y.servers.boot
	w.Network = y.network()
	return y
}

// mostListed is how many entries the state service lists at a time.
const mostListed = 1000

// The latencies of the components outside, beside those of the machine itself.
const (
	stateTook    = 6 * time.Millisecond
	stateTookNow = 200 * time.Millisecond // now and then
	stateRarely  = 0.002
	cloudTook    = 200 * time.Millisecond
)

// network gives the latencies, and keeps machines that are cut off from being reached.
func (y *play) network() func(kind, from, to string) fake.Delivery {
	rng := rand.New(rand.NewPCG(y.p.Seed, 2))
	return func(kind, from, to string) fake.Delivery {
		f := fake.Delivery{}
		switch kind {
		case fake.KindState:
			f.RequestDelay = stateTook / 2
			f.ResponseDelay = f.RequestDelay
			if rng.Float64() < stateRarely {
				f.ResponseDelay = stateTookNow
			}
		case fake.KindCloud:
			f.RequestDelay = cloudTook / 2
			f.ResponseDelay = f.RequestDelay
		case fake.KindHeartbeat:
			f.LoseRequest = y.cut[from]
		case fake.KindCommands:
			f.LoseRequest = y.cut[to]
		}
		return f
	}
}

// probe has the load balancer's health checks made.
func (y *play) probe(ctx context.Context) {
	failures := make([]int, y.p.Controllers)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for i := range failures {
			if y.controllers.healthy(i) {
				failures[i] = max(0, failures[i]-1)
			} else {
				failures[i] = min(2, failures[i]+1)
			}
			switch n := y.world.Controllers[i]; failures[i] {
			case 0:
				y.loop.do(func() { n.Unhealthy = false })
			case 2:
				y.loop.do(func() { n.Unhealthy = true })
			}
		}
	}
}

// say writes a line of progress.
func (y *play) say(format string, args ...any) {
	fmt.Fprintf(y.progress, format+"\n", args...)
}

// sleep waits, and says now and then what there is.
func (y *play) sleep(ctx context.Context, what string, d time.Duration) error {
	const often = 10 * time.Second
	for end := time.Now().Add(d); ; {
		left := time.Until(end)
		if left <= 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(min(left, often)):
		}
		if left > often {
			var workers, tasks, broken int
			y.loop.wait(func() {
				workers, tasks, broken = len(y.world.MachineNames()), y.world.TasksOnMachines(), len(y.world.Violations)
			})
			y.say("  %s: %d workers up, %d tasks on machines, %d rules broken", what, workers, tasks, broken)
		}
	}
}

func (y *play) measure(ctx context.Context, part float64, last bool, report *Report) error {
	y.say("step %g: %d workers, %d tasks, %.0f starts/s, %d ended jobs, %d controllers", part, y.p.Workers, y.p.Running, y.p.Starts, y.p.Ended, y.p.Controllers)
	if err := y.sleep(ctx, "settles", y.p.Settle); err != nil {
		return err
	}
	if y.p.Provoke {
		if err := y.provoke(ctx); err != nil {
			return err
		}
	}
	step, err := y.step(ctx, part)
	if err == nil {
		report.Steps = append(report.Steps, *step)
		y.say("%s", step.Summary())
		if last {
			err = y.faults(ctx, report)
		}
	}
	y.loop.wait(func() {
		report.Broken = append(report.Broken, y.world.Violations...)
		for _, id := range y.workload.unanswered(forgottenAfter) {
			report.Broken = append(report.Broken, "forgotten: nobody has been told of "+id)
		}
	})
	report.Ended = append(report.Ended, y.controllers.failed()...)
	return err
}

// provoke has a task started twice, as soon as one runs.
func (y *play) provoke(ctx context.Context) error {
	const tries, apart = 60, 500 * time.Millisecond
	for range tries {
		started := false
		y.loop.wait(func() { started = y.world.DuplicateStart() })
		if started {
			return nil
		}
		if err := y.sleep(ctx, "nothing runs yet", apart); err != nil {
			return err
		}
	}
	return errors.New("no task runs that could be started twice")
}

// forgottenAfter is for how long a question about an accepted job may go unanswered.
const forgottenAfter = 75 * time.Second
