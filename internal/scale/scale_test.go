package scale

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"oakpick/internal/config"
	"oakpick/internal/daemon"
	"oakpick/internal/distribution/agent"
)

// asProcess has the test's own program run as a controller or an agent, so that no other has
// to be built first.
const asProcess = "OAKPICK_TEST_AS_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(asProcess) == "" {
		os.Exit(m.Run())
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	fmt.Fprintln(os.Stderr, runAs(os.Args[1:], log))
	os.Exit(1)
}

// runAs serves as the arguments say: as an agent, or as a controller, with extensions or not.
func runAs(arguments []string, log *slog.Logger) error {
	last := arguments[len(arguments)-1]
	if arguments[0] == "--config" {
		settings, err := agent.LoadSettings(last)
		if err != nil {
			return err
		}
		return agent.Run(context.Background(), settings, log)
	}
	cfg, err := config.Load(last)
	if err != nil {
		return err
	}
	var extensions config.Extensions
	if arguments[0] == "--extensions" {
		if extensions, err = config.LoadExtensions(arguments[1], cfg); err != nil {
			return err
		}
	}
	return daemon.Run(context.Background(), cfg, extensions, log)
}

// small is a run of some tens of workers and a few seconds.
func small(t *testing.T) (Parameters, []string) {
	t.Helper()
	t.Setenv(asProcess, "1")
	return Parameters{
		Workers: 30, Accelerators: 48, Running: 150, Starts: 15, Jobs: 2, Teams: 5, Gang: 8, Urgent: 1, Cancelled: 0.1, Ended: 500, Archived: 2000,
		Controllers: 3, Steps: []float64{0.5, 1}, Vary: "all", Settle: 9 * time.Second, Measure: 3 * time.Second, Windows: 3,
		Recover: 6 * time.Second, Seed: 1, ReportS: 2, LeaseS: 10, CancelS: 25, RPS: 200, WriteRPS: 40, ValueKB: 4, CPU: 0.5, MemMB: 128, Sockets: 400,
	}, []string{os.Args[0]}
}

// playAll runs, and fails the test if that is refused.
func playAll(ctx context.Context, t *testing.T, p Parameters, command []string) *Report {
	t.Helper()
	var progress bytes.Buffer
	r, err := Run(ctx, p, command, &progress)
	if err != nil {
		t.Fatalf("%v\n%s", err, progress.String())
	}
	return r
}

// noneLeft fails if a controller still listens.
func noneLeft(t *testing.T, p Parameters) {
	t.Helper()
	for i := range p.Controllers {
		l, err := net.Listen("tcp4", newAddresses().front(i))
		if err != nil {
			t.Errorf("%s was left behind: %v", controllerName(i), err)
			continue
		}
		l.Close()
	}
}

// Real controllers start tasks on hollow workers, keep the rules while the leader ends, and
// are gone afterwards. Times have no part in the verdict.
func TestSmallRunKeepsTheRules(t *testing.T) {
	p, command := small(t)
	p.Faults = []string{"leader"}
	r := playAll(t.Context(), t, p, command)
	if !r.Sound() {
		t.Errorf("rules broken %v, ended %v, partial %q", r.Broken, r.Ended, r.Partial)
	}
	if len(r.Steps) != 2 || len(r.Faults) != 1 {
		t.Fatalf("%d steps and %d faults", len(r.Steps), len(r.Faults))
	}
	for _, s := range r.Steps {
		if s.Starts == 0 || s.Workers == 0 || s.Times["submit"].Count == 0 || s.MessagesPerS["report"] == 0 || s.WorkerBytesPerS == 0 || s.Leader.MemoryMB == 0 || s.StateKeys == 0 {
			t.Errorf("nothing was measured: %+v", s)
		}
	}
	if len(r.Lines) == 0 {
		t.Error("no lines were fitted")
	}
	noneLeft(t, p)
}

// A task that is started twice on purpose is found.
func TestBrokenRuleIsFound(t *testing.T) {
	p, command := small(t)
	p.Steps, p.Provoke = []float64{1}, true
	r := playAll(t.Context(), t, p, command)
	if r.Sound() || !strings.Contains(strings.Join(r.Broken, "\n"), "ran_twice") {
		t.Errorf("rules broken: %v", r.Broken)
	}
}

// An interrupted run says so and leaves no process.
func TestInterruptedRunLeavesNothing(t *testing.T) {
	p, command := small(t)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	r := playAll(ctx, t, p, command)
	if r.Partial == "" || r.Sound() {
		t.Error("an interrupted run is called whole")
	}
	noneLeft(t, p)
}

// Every bad parameter is named, and what the machine can't bear is refused with what would
// have to change. Nothing is started.
func TestBadParametersAreNamed(t *testing.T) {
	for _, c := range []struct {
		change func(*Parameters)
		want   string
	}{
		{func(p *Parameters) { p.Workers = 0 }, "--workers"},
		{func(p *Parameters) { p.Running = -1 }, "--running"},
		{func(p *Parameters) { p.Starts = 0 }, "--starts"},
		{func(p *Parameters) { p.Jobs = math.Inf(1) }, "--jobs"},
		{func(p *Parameters) { p.Teams = 0 }, "--teams"},
		{func(p *Parameters) { p.Controllers = 4 }, "--controllers"},
		{func(p *Parameters) { p.Steps = []float64{0.5, 2} }, "--steps"},
		{func(p *Parameters) { p.Steps = nil }, "--steps"},
		{func(p *Parameters) { p.Vary = "luck" }, "--vary"},
		{func(p *Parameters) { p.Faults = []string{"leader", "flood"} }, "--faults"},
		{func(p *Parameters) { p.Windows = 0 }, "--windows"},
		{func(p *Parameters) { p.Accelerators = 10_000 }, "--accelerators"},
		{func(p *Parameters) { p.Workers = 20_000 }, "no more than"},
		{func(p *Parameters) { p.MemMB = 90_000 }, "half of the machine's memory"},
	} {
		p, _ := small(t)
		c.change(&p)
		r, err := Run(t.Context(), p, []string{"/nothing/that/could/start"}, &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q isn't in %v", c.want, err)
		}
		if r != nil {
			t.Errorf("%s: something was played", c.want)
		}
	}
	p, _ := small(t)
	p.Workers, p.Teams, p.Vary = 0, 0, "luck"
	if err := p.Check(); err == nil || strings.Count(err.Error(), "--") < 3 {
		t.Errorf("not every problem is named: %v", err)
	}
}

// A line through points that lie on one is that line, and its error is nothing.
func TestFit(t *testing.T) {
	l, ok := fit("y", "x", []float64{1, 2, 4}, []float64{5, 7, 11})
	if !ok || math.Abs(l.Slope-2) > 1e-9 || math.Abs(l.Intercept-3) > 1e-9 || l.Error > 1e-9 {
		t.Errorf("%+v", l)
	}
	if _, ok := fit("y", "x", []float64{2, 2, 2}, []float64{1, 2, 3}); ok {
		t.Error("a line through points of one size")
	}
	l, _ = fit("y", "x", []float64{0, 1, 2, 3}, []float64{0, 1.2, 1.8, 3})
	if math.Abs(l.Error-math.Sqrt(0.072/2/5)) > 1e-9 { // worked out by hand
		t.Errorf("the error is %v", l.Error)
	}
}

// Steps are parts of what varies; the rest is whole.
func TestSteps(t *testing.T) {
	p, _ := small(t)
	for vary, want := range map[string][4]float64{
		"all": {15, 75, 7.5, 250}, "workers": {15, 150, 15, 500}, "running": {30, 75, 15, 500}, "starts": {30, 150, 7.5, 500}, "ended": {30, 150, 15, 250},
	} {
		p.Vary = vary
		s := p.step(0.5)
		if got := [4]float64{float64(s.Workers), float64(s.Running), s.Starts, float64(s.Ended)}; got != want {
			t.Errorf("%s: %v, not %v", vary, got, want)
		}
	}
}

// The pages of ended jobs hold each of them once, within the limit on values.
func TestEndedPagesFit(t *testing.T) {
	pages := endedPages(1000, 4)
	for key, value := range pages {
		if len(value) > 4<<10 {
			t.Errorf("%s has %d bytes", key, len(value))
		}
	}
	if len(pages) < 5 {
		t.Errorf("%d pages", len(pages))
	}
}
