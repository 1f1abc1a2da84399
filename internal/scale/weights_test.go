package scale

import (
	"bytes"
	"os"
	"strings"
	"testing"
)

// smallWeights is a run of a few agents and some megabytes.
func smallWeights(t *testing.T) WeightsParameters {
	t.Helper()
	t.Setenv(asProcess, "1")
	return WeightsParameters{
		Agents: 6, Zones: 2, Controllers: 3, SizeMB: 8, ChunkMB: 0.25, RateMB: 8, StoreSlots: 3, UploadSlots: 3, SlowZone: 1, ReportS: 0.3, Runs: 1, Seed: 1,
	}
}

func playSmallWeights(t *testing.T, p WeightsParameters) *WeightsReport {
	t.Helper()
	var progress bytes.Buffer
	r, err := RunWeights(t.Context(), p, []string{os.Args[0]}, []string{os.Args[0]}, &progress)
	if err != nil {
		t.Fatalf("%v\n%s", err, progress.String())
	}
	return r
}

// Real agents and controllers, with a killed source, a killed leader, another version and wrong
// bytes from the store: every agent that is left serves every byte of the last version, and the
// report tells where the bytes came from. Times have no part in the verdict.
func TestSmallWeightsRun(t *testing.T) {
	p := smallWeights(t)
	p.Faults = []string{"wrong@0.1", "cut@0.2", "kill@0.4", "leader@0.5", "version@0.6"}
	p.FromStore = true
	r := playSmallWeights(t, p)
	if !r.Sound() || len(r.Runs) != 1 {
		t.Fatalf("%+v", r)
	}
	run := r.Runs[0]
	if len(run.Applied) != len(p.Faults) {
		t.Errorf("of the faults %v these were applied: %v", p.Faults, run.Applied)
	}
	if run.Verified != p.Agents-len(run.Failed) || len(run.Failed) != 1 || run.AloneS <= 0 || run.FromStoreS <= 0 || run.StoreCopies <= 0 {
		t.Errorf("%+v", run)
	}
	if len(run.Progress) == 0 || len(run.PeersMB) != run.Verified || run.ControlBytesPerS <= 0 || run.MemoryMB <= 0 {
		t.Errorf("nothing was measured: %+v", run)
	}
	var table, page, text bytes.Buffer
	if err := r.WriteTable(&table); err != nil || !strings.Contains(table.String(), "median ratio") {
		t.Errorf("%v %s", err, table.String())
	}
	if err := r.WriteHTML(&page); err != nil || strings.Count(page.String(), "<svg") != 3 || !strings.Contains(page.String(), "stroke-opacity") {
		t.Errorf("%v, %d plots", err, strings.Count(page.String(), "<svg"))
	}
	if err := r.WriteJSON(&text); err != nil || !strings.Contains(text.String(), "store_copies") {
		t.Error(err)
	}
}

// Every bad parameter is named, and nothing is started.
func TestBadWeightsParametersAreNamed(t *testing.T) {
	for want, change := range map[string]func(*WeightsParameters){
		"--agents":      func(p *WeightsParameters) { p.Agents = 0 },
		"--zones":       func(p *WeightsParameters) { p.Zones = 9 },
		"--chunk-mb":    func(p *WeightsParameters) { p.ChunkMB = 99 },
		"--slow-zone":   func(p *WeightsParameters) { p.SlowZone = 0 },
		"--controllers": func(p *WeightsParameters) { p.Controllers = 2 },
		"--faults":      func(p *WeightsParameters) { p.Faults = []string{"kill@soon"} },
		"flood@1":       func(p *WeightsParameters) { p.Faults = []string{"leader@1", "flood@1"} },
	} {
		p := smallWeights(t)
		change(&p)
		r, err := RunWeights(t.Context(), p, []string{"/nothing/that/could/start"}, nil, &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), want) || r != nil {
			t.Errorf("%q isn't in %v", want, err)
		}
	}
}
