package scale

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"
)

// An invalid parameter is rejected with an error that names its flag, and a run that exceeds the
// machine's limits with an error that names a remedy. No process is started.
func TestRunRefusesBadParametersByName(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Parameters)
		want   string
	}{
		{"no workers", func(p *Parameters) { p.Workers = 0 }, "--workers"},
		{"negative tasks", func(p *Parameters) { p.Running = -1 }, "--running"},
		{"no starts", func(p *Parameters) { p.Starts = 0 }, "--starts"},
		{"infinite rate of jobs", func(p *Parameters) { p.Jobs = math.Inf(1) }, "--jobs"},
		{"no teams", func(p *Parameters) { p.Teams = 0 }, "--teams"},
		{"even number of controllers", func(p *Parameters) { p.Controllers = 4 }, "--controllers"},
		{"step above the full size", func(p *Parameters) { p.Steps = []float64{0.5, 2} }, "--steps"},
		{"no steps", func(p *Parameters) { p.Steps = nil }, "--steps"},
		{"unknown dimension", func(p *Parameters) { p.Vary = "luck" }, "--vary"},
		{"unknown fault", func(p *Parameters) { p.Faults = []string{"leader", "flood"} }, "--faults"},
		{"no windows", func(p *Parameters) { p.Windows = 0 }, "--windows"},
		{"accelerators without machines", func(p *Parameters) { p.Accelerators = 10_000 }, "--accelerators"},
		{"more workers than open files", func(p *Parameters) { p.Workers = 20_000 }, "no more than"},
		{"more memory than the machine has", func(p *Parameters) { p.MemoryMB = 90_000 }, "half of the machine's memory"},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, _ := smallParameters(t)
			test.change(&p)
			report, err := Run(t.Context(), p, []string{"/nothing/that/could/start"}, &bytes.Buffer{})
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%q is missing in error %v", test.want, err)
			}
			if report != nil {
				t.Errorf("run was not rejected: %+v", report)
			}
		})
	}
}

func TestCheckNamesEveryProblem(t *testing.T) {
	p, _ := smallParameters(t)
	p.Workers, p.Teams, p.Vary = 0, 0, "luck"
	if err := p.Check(); err == nil || strings.Count(err.Error(), "--") < 3 {
		t.Errorf("error doesn't name every invalid parameter: %v", err)
	}
}

// A step scales the dimension that Vary selects; the other dimensions keep their full size.
func TestStepScalesVariedDimension(t *testing.T) {
	type size struct {
		workers, running int
		starts           float64
		ended            int
	}
	for vary, want := range map[string]size{
		"all":     {15, 75, 7.5, 250},
		"workers": {15, 150, 15, 500},
		"running": {30, 75, 15, 500},
		"starts":  {30, 150, 7.5, 500},
		"ended":   {30, 150, 15, 250},
	} {
		t.Run(vary, func(t *testing.T) {
			p, _ := smallParameters(t)
			p.Vary = vary
			step := p.step(0.5)
			if got := (size{step.Workers, step.Running, step.Starts, step.Ended}); got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

// Programs that read JSON reports depend on these names.
func TestReportKeepsNamesOfParameters(t *testing.T) {
	p, _ := smallParameters(t)
	text, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"Workers":30,"Accelerators":48,"Running":150,"Starts":15,"Jobs":2,"Teams":5,"Gang":8,"Urgent":1,"Cancelled":0.1,"Ended":500,"Archived":2000,` +
		`"Controllers":3,"Steps":[0.5,1],"Vary":"all","Settle":9000000000,"Measure":3000000000,"Windows":3,"Faults":null,"Recover":6000000000,` +
		`"Provoke":false,"Seed":1,"ReportS":2,"LeaseS":10,"CancelS":25,"RPS":200,"WriteRPS":40,"ValueKB":4,"CPU":0.5,"MemMB":128,"Sockets":400}`
	if string(text) != want {
		t.Errorf("got %s, want %s", text, want)
	}
}
