package scale

import (
	"bytes"
	"context"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"oakpick/internal/scale/testbed"
)

// smallParameters returns the parameters of a short run with 30 workers, and the command that starts
// a controller.
func smallParameters(t *testing.T) (p Parameters, command []string) {
	t.Helper()
	t.Setenv(runAsControllerEnv, "1")
	return Parameters{
		Load: Load{
			Workers: 30, Accelerators: 48, Running: 150, Starts: 15, Jobs: 2, Teams: 5, LargestGang: 8, Urgent: 1, Cancelled: 0.1, Ended: 500, Archived: 2000,
			Controllers: 3,
		},
		Procedure: Procedure{
			Steps: []float64{0.5, 1}, Vary: "all", Settle: 9 * time.Second, Measure: 3 * time.Second, Windows: 3,
			Recover: 6 * time.Second, Seed: 1,
		},
		Limits: Limits{
			HeartbeatIntervalS: 2, LeaseS: 10, CancelWithinS: 25, StateRPS: 200, StateWriteRPS: 40, StateValueKB: 4, CPU: 0.5, MemoryMB: 128, Sockets: 400,
		},
	}, []string{os.Args[0]}
}

// runSmall runs the experiment and fails the test on an error.
func runSmall(ctx context.Context, t *testing.T, p Parameters, command []string) *Report {
	t.Helper()
	var progress bytes.Buffer
	report, err := Run(ctx, p, command, &progress)
	if err != nil {
		t.Fatalf("%v\n%s", err, progress.String())
	}
	return report
}

// checkControllersGone fails the test if a controller still listens on its address.
func checkControllersGone(t *testing.T, p Parameters) {
	t.Helper()
	for controller := range p.Controllers {
		var config net.ListenConfig
		listener, err := config.Listen(t.Context(), "tcp4", testbed.NewAddresses().API(controller))
		if err != nil {
			t.Errorf("address of %s is still in use: %v", testbed.ControllerName(controller), err)
			continue
		}
		_ = listener.Close() // the address is free: Listen succeeded
	}
}

// An operator lowers write_share and raises it again while the state service rejects a large
// transaction. Pipeline jobs have archived, ended, cancelled and unfinished prerequisites. The rules
// must hold, no controller may crash, and tasks must start again well before the fault ends.
//
// This guards against a write budget that no longer fills after such changes, so that no task starts
// until the settings are changed again (docs/incidents/2026-12-03-write-budget-never-fills.md).
func TestRunKeepsRulesWhenWriteShareChanges(t *testing.T) {
	p, command := smallParameters(t)
	p.Steps, p.Pipelines, p.Jobs, p.Starts, p.Running = []float64{1}, 3, 1, 40, 300
	p.Faults = []string{"write-share"}
	report := runSmall(t.Context(), t, p, command)
	if !report.Sound() {
		t.Errorf("violations %v, crashed %v, partial %q", report.Violations, report.Crashed, report.Partial)
	}
	if len(report.Faults) != 1 || report.Faults[0].LongestStartGapS > writeShareDuration.Seconds()/2 {
		t.Errorf("no task started for too long: %+v", report.Faults)
	}
}

// Controllers start tasks on simulated workers, keep the rules while the leader is killed, and
// leave no process behind. The test checks no measured times.
func TestRunKeepsRulesWhenLeaderIsKilled(t *testing.T) {
	p, command := smallParameters(t)
	p.Faults = []string{"leader"}
	report := runSmall(t.Context(), t, p, command)
	if !report.Sound() {
		t.Errorf("violations %v, crashed %v, partial %q", report.Violations, report.Crashed, report.Partial)
	}
	if len(report.Steps) != 2 || len(report.Faults) != 1 {
		t.Fatalf("%d steps and %d faults, want 2 and 1", len(report.Steps), len(report.Faults))
	}
	for _, s := range report.Steps {
		if s.StartsPerS == 0 || s.Workers == 0 || s.Latencies["submit"].Count == 0 || s.MessagesPerS["report"] == 0 || s.WorkerBytesPerS == 0 || s.Leader.MemoryMB == 0 || s.StateKeys == 0 {
			t.Errorf("figures are missing: %+v", s)
		}
	}
	if len(report.Lines) == 0 {
		t.Error("no lines were fitted")
	}
	checkControllersGone(t, p)
}

func TestRunReportsDuplicateStart(t *testing.T) {
	p, command := smallParameters(t)
	p.Steps, p.DuplicateStart = []float64{1}, true
	report := runSmall(t.Context(), t, p, command)
	if report.Sound() || !strings.Contains(strings.Join(report.Violations, "\n"), "ran_twice") {
		t.Errorf("the duplicate start is not among the violations: %v", report.Violations)
	}
}

func TestInterruptedRunIsPartialAndLeavesNoProcess(t *testing.T) {
	p, command := smallParameters(t)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	report := runSmall(ctx, t, p, command)
	if report.Partial == "" || report.Sound() {
		t.Error("an interrupted run is not reported as partial")
	}
	checkControllersGone(t, p)
}
