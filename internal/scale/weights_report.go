package scale

import (
	"bytes"
	_ "embed" // the page's template
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// WeightsReport is what the runs found.
type WeightsReport struct {
	Parameters WeightsParameters  `json:"parameters"`
	Runs       []WeightsRunReport `json:"runs"`
	// MedianRatio is of the times of all agents and of one alone, over the runs.
	MedianRatio float64 `json:"median_ratio"`
	Partial     string  `json:"partial,omitempty"`
}

// WeightsRunReport is what one run found.
type WeightsRunReport struct {
	AloneS      float64 `json:"alone_s"`
	FleetS      float64 `json:"fleet_s"` // until the last agent served the version, its bytes to be verified after
	Ratio       float64 `json:"ratio"`
	StoreCopies float64 `json:"store_copies"` // bytes that the store sent, by the version's size
	FromStoreS  float64 `json:"from_store_s,omitempty"`
	Verified    int     `json:"verified"` // agents that serve every byte of the version

	ReadyS      map[string]float64 `json:"ready_s"`
	PeersMB     map[string]float64 `json:"from_peers_mb"`
	FromStoreMB map[string]float64 `json:"from_store_mb"`
	FetchedMB   float64            `json:"fetched_mb"` // by all agents
	Progress    []Progress         `json:"progress"`
	Applied     []string           `json:"faults_applied,omitempty"` // in the order in which they were over
	Failed      []string           `json:"failed,omitempty"`         // agents
	Ended       []string           `json:"ended_by_themselves,omitempty"`

	MemoryMB             float64 `json:"agent_memory_mb"` // the largest, after the fetch
	ControlBytesPerS     float64 `json:"agent_control_bytes_per_s"`
	IdleCores            float64 `json:"agent_idle_cores"`
	IdleControlBytesPerS float64 `json:"agent_idle_control_bytes_per_s"`
}

// Progress is how far the agents were at a moment, as the leader knew it.
type Progress struct {
	AtS     float64        `json:"at_s"`
	StoreMB float64        `json:"store_sent_mb"`
	Chunks  map[string]int `json:"chunks"`
}

func (r *WeightsReport) summarize() {
	var ratios []float64
	for _, run := range r.Runs {
		if run.Ratio > 0 {
			ratios = append(ratios, run.Ratio)
		}
	}
	if len(ratios) > 0 {
		slices.Sort(ratios)
		r.MedianRatio = stat.Quantile(0.5, stat.Empirical, ratios, nil)
	}
}

// Sound tells whether nothing was left out and no controller ended by itself.
func (r *WeightsReport) Sound() bool {
	return r.Partial == "" && !slices.ContainsFunc(r.Runs, func(run WeightsRunReport) bool { return len(run.Ended) > 0 })
}

// WriteJSON writes everything.
func (r *WeightsReport) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// WriteTable writes a line a run.
func (r *WeightsReport) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "run\talone s\tagents s\tratio\tstore copies\tfrom the store s\tverified\tagent MB\tcontrol B/s\tidle cores\tidle B/s\tfailed")
	for i, run := range r.Runs {
		fmt.Fprintf(table, "%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%d\t%.0f\t%.0f\t%.4f\t%.0f\t%v\n", i+1, run.AloneS, run.FleetS, run.Ratio, run.StoreCopies, run.FromStoreS,
			run.Verified, run.MemoryMB, run.ControlBytesPerS, run.IdleCores, run.IdleControlBytesPerS, run.Failed)
	}
	fmt.Fprintf(table, "\nmedian ratio\t%.2f\n", r.MedianRatio)
	if r.Partial != "" {
		fmt.Fprintf(table, "partial\t%s\n", r.Partial)
	}
	return table.Flush()
}

//go:embed weights_report.html
var weightsPage string

// page is what the template is filled with.
type page struct {
	*WeightsReport
	Plots []runPlots
}

type runPlots struct {
	Number                   int
	Run                      WeightsRunReport
	Progress, Sources, Store template.HTML
}

// WriteHTML writes a page with plots: progress by agent, bytes by source, load on the store.
func (r *WeightsReport) WriteHTML(w io.Writer) error {
	parsed, err := template.New("weights").Parse(weightsPage)
	if err != nil {
		return err
	}
	p := page{WeightsReport: r}
	for i, run := range r.Runs {
		plots := runPlots{Number: i + 1, Run: run}
		for _, one := range []struct {
			into *template.HTML
			plot func(WeightsRunReport) (*plot.Plot, error)
		}{{&plots.Progress, plotProgress}, {&plots.Sources, plotSources}, {&plots.Store, plotStore}} {
			drawn, err := one.plot(run)
			if err != nil {
				return err
			}
			if *one.into, err = asSVG(drawn); err != nil {
				return err
			}
		}
		p.Plots = append(p.Plots, plots)
	}
	return parsed.Execute(w, p)
}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

var (
	blue   = color.RGBA{R: 30, G: 90, B: 180, A: 255}
	orange = color.RGBA{R: 230, G: 120, B: 20, A: 255}
	faint  = color.NRGBA{R: 30, G: 90, B: 180, A: 90}
)

func asSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	// Nothing in it comes from outside: numbers, and the texts here.
	return template.HTML(out.String()), nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.X.Min, p.Y.Min = 0, 0
	return p
}

// plotProgress has a line an agent.
func plotProgress(run WeightsRunReport) (*plot.Plot, error) {
	p := newPlot("Progress by agent, as the leader knew it", "seconds", "chunks")
	for _, name := range slices.Sorted(maps.Keys(run.ReadyS)) {
		var points plotter.XYs
		for _, at := range run.Progress {
			if n, known := at.Chunks[name]; known {
				points = append(points, plotter.XY{X: at.AtS, Y: float64(n)})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = faint
		p.Add(line)
	}
	return p, nil
}

// plotSources has a bar an agent: what came from peers, and from the store on top.
func plotSources(run WeightsRunReport) (*plot.Plot, error) {
	p := newPlot("Bytes by source", "agents, in the order of their names", "MiB")
	var peers, store plotter.Values
	for _, name := range slices.Sorted(maps.Keys(run.PeersMB)) {
		peers = append(peers, run.PeersMB[name])
		store = append(store, run.FromStoreMB[name])
	}
	if len(peers) == 0 {
		return p, nil
	}
	width := vg.Length(float64(plotWidth) * 0.8 / float64(len(peers)))
	below, err := plotter.NewBarChart(peers, width)
	if err != nil {
		return nil, err
	}
	above, err := plotter.NewBarChart(store, width)
	if err != nil {
		return nil, err
	}
	below.Color, above.Color = blue, orange
	above.StackOn(below)
	p.Add(below, above)
	p.Legend.Add("from peers", below)
	p.Legend.Add("from the store", above)
	p.Y.Max *= 1.25 // room for the legend
	p.Legend.Top, p.Legend.XOffs = true, -plotWidth/40
	return p, nil
}

// plotStore has what the store sent each second.
func plotStore(run WeightsRunReport) (*plot.Plot, error) {
	p := newPlot("Load on the store", "seconds", "MiB a second")
	var points plotter.XYs
	before := Progress{}
	for _, at := range run.Progress {
		if at.AtS > before.AtS {
			points = append(points, plotter.XY{X: at.AtS, Y: (at.StoreMB - before.StoreMB) / (at.AtS - before.AtS)})
		}
		before = at
	}
	if len(points) == 0 {
		return p, nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return nil, err
	}
	line.Color = orange
	p.Add(line)
	return p, nil
}
