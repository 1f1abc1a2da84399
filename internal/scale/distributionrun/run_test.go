package distributionrun

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

// smallParameters returns the parameters of a run with few agents and a few megabytes.
func smallParameters(t *testing.T) Parameters {
	t.Helper()
	t.Setenv(asProcessEnv, "1")
	return Parameters{
		Agents: 6, Zones: 2, Controllers: 3, SizeMB: 8, ChunkMB: 0.25, RateMB: 8, StoreSlots: 3, UploadSlots: 3, SlowZone: 1, InventoryIntervalS: 0.3, Runs: 1, Seed: 1,
	}
}

// runSmall runs the experiment and fails the test on an error.
func runSmall(t *testing.T, p Parameters) *Report {
	t.Helper()
	var progress bytes.Buffer
	commands := Commands{Controller: []string{os.Args[0]}, Agent: []string{os.Args[0]}}
	report, err := Run(t.Context(), p, commands, &progress)
	if err != nil {
		t.Fatalf("%v\n%s", err, progress.String())
	}
	return report
}

// Faults kill the leader and an agent that others fetch from, corrupt and truncate responses of the
// store, and change the version of a fleet of real agents. Every remaining agent must serve every byte
// of the last version, and the report must contain the sources of the bytes. The test sets no limits on
// durations.
func TestRunWithFaultsVerifiesEveryRemainingAgent(t *testing.T) {
	p := smallParameters(t)
	p.Faults = []string{"wrong@0.1", "cut@0.2", "kill@0.4", "leader@0.5", "version@0.6"}
	p.FromStore = true
	report := runSmall(t, p)
	if !report.Sound() || len(report.Runs) != 1 {
		t.Fatalf("%+v", report)
	}
	run := report.Runs[0]
	if len(run.FaultsApplied) != len(p.Faults) {
		t.Errorf("want the faults %v, applied: %v", p.Faults, run.FaultsApplied)
	}
	if run.Verified != p.Agents-len(run.FailedAgents) || len(run.FailedAgents) != 1 || run.AloneS <= 0 || run.FromStoreS <= 0 || run.StoreCopies <= 0 {
		t.Errorf("%+v", run)
	}
	if len(run.Progress) == 0 || len(run.FromPeersMB) != run.Verified || run.ControlBytesPerS <= 0 || run.MemoryMB <= 0 {
		t.Errorf("measurements are missing: %+v", run)
	}
	checkFormats(t, report)
}

// checkFormats checks the table, the HTML page and the JSON of a report.
func checkFormats(t *testing.T, report *Report) {
	t.Helper()
	var table, page, text bytes.Buffer
	if err := report.WriteTable(&table); err != nil || !strings.Contains(table.String(), "median ratio") {
		t.Errorf("%v %s", err, table.String())
	}
	if err := report.WriteHTML(&page); err != nil || strings.Count(page.String(), "<svg") != 3 || !strings.Contains(page.String(), "stroke-opacity") {
		t.Errorf("%v, %d plots", err, strings.Count(page.String(), "<svg"))
	}
	if err := report.WriteJSON(&text); err != nil || !strings.Contains(text.String(), "store_copies") {
		t.Error(err)
	}
}

// An invalid parameter is rejected with an error that names its flag. No process is started.
func TestRunRefusesBadParametersByName(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Parameters)
		want   string
	}{
		{"no agents", func(p *Parameters) { p.Agents = 0 }, "--agents"},
		{"more zones than there are", func(p *Parameters) { p.Zones = 9 }, "--zones"},
		{"chunks larger than the version", func(p *Parameters) { p.ChunkMB = 99 }, "--chunk-mb"},
		{"links without a rate", func(p *Parameters) { p.SlowZone = 0 }, "--slow-zone"},
		{"controllers without a majority", func(p *Parameters) { p.Controllers = 2 }, "--controllers"},
		{"fault without a time", func(p *Parameters) { p.Faults = []string{"kill@soon"} }, "--faults"},
		{"unknown fault", func(p *Parameters) { p.Faults = []string{"leader@1", "flood@1"} }, "flood@1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := smallParameters(t)
			test.change(&p)
			report, err := Run(t.Context(), p, Commands{Controller: []string{"/nothing/that/could/start"}}, &bytes.Buffer{})
			if err == nil || !strings.Contains(err.Error(), test.want) || report != nil {
				t.Errorf("want %q in the error and no report, got error %v and report %v", test.want, err, report)
			}
		})
	}
}
