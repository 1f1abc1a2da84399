package distributionrun

import (
	"bytes"
	"html/template"
	"image/color"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth            = 16 * vg.Centimeter
	plotHeight           = 8 * vg.Centimeter
	barWidthFraction     = 0.8  // of the space per bar; the rest is the gap between bars
	legendHeadroomFactor = 1.25 // height of the y axis relative to the bars, which leaves room for the legend
)

var (
	blue            = color.RGBA{R: 30, G: 90, B: 180, A: 255}
	orange          = color.RGBA{R: 230, G: 120, B: 20, A: 255}
	translucentBlue = color.NRGBA{R: 30, G: 90, B: 180, A: 90}
)

// drawSVG returns a plot as SVG for an HTML page.
func drawSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	// The SVG needs no escaping: it contains only numbers and the texts of this file.
	return template.HTML(out.String()), nil
}

// newPlot returns a plot whose axes begin at 0.
func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.X.Min, p.Y.Min = 0, 0
	return p
}

// plotProgress draws one line per agent, which shows the number of chunks that the agent holds over
// time.
func plotProgress(run RunReport) (*plot.Plot, error) {
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
		line.Color = translucentBlue
		p.Add(line)
	}
	return p, nil
}

// plotSources draws one bar per agent, with the bytes from peers and, on top, those from the store.
func plotSources(run RunReport) (*plot.Plot, error) {
	p := newPlot("Bytes by source", "agents, in the order of their names", "MiB")
	var peers, store plotter.Values
	for _, name := range slices.Sorted(maps.Keys(run.FromPeersMB)) {
		peers = append(peers, run.FromPeersMB[name])
		store = append(store, run.FromStoreMB[name])
	}
	if len(peers) == 0 {
		return p, nil
	}
	width := vg.Length(float64(plotWidth) * barWidthFraction / float64(len(peers)))
	peerBars, err := plotter.NewBarChart(peers, width)
	if err != nil {
		return nil, err
	}
	storeBars, err := plotter.NewBarChart(store, width)
	if err != nil {
		return nil, err
	}
	peerBars.Color, storeBars.Color = blue, orange
	storeBars.StackOn(peerBars)
	p.Add(peerBars, storeBars)
	p.Legend.Add("from peers", peerBars)
	p.Legend.Add("from the store", storeBars)
	p.Y.Max *= legendHeadroomFactor
	p.Legend.Top, p.Legend.XOffs = true, -plotWidth/40
	return p, nil
}

// plotStore draws the rate at which the store sent bytes over time.
func plotStore(run RunReport) (*plot.Plot, error) {
	p := newPlot("Load on the store", "seconds", "MiB a second")
	var points plotter.XYs
	var before Progress
	for _, at := range run.Progress {
		if at.AtS > before.AtS {
			points = append(points, plotter.XY{X: at.AtS, Y: (at.StoreSentMB - before.StoreSentMB) / (at.AtS - before.AtS)})
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
