package distributionrun

import (
	_ "embed" // for pageTemplate
	"fmt"
	"html/template"
	"io"

	"gonum.org/v1/plot"
)

//go:embed report.html
var pageTemplate string

// page is the data of the HTML template.
type page struct {
	*Report
	Plots []runPlots
}

// runPlots is a run with its plots as SVG.
type runPlots struct {
	Number                   int
	Run                      RunReport
	Progress, Sources, Store template.HTML
}

// WriteHTML writes an HTML page with plots of each agent's progress, of the bytes by source and of the
// load on the store.
func (r *Report) WriteHTML(w io.Writer) error {
	parsed, err := template.New("weights").Parse(pageTemplate)
	if err != nil {
		return err
	}
	p := page{Report: r}
	for i, run := range r.Runs {
		plots, err := newRunPlots(i+1, run)
		if err != nil {
			return fmt.Errorf("plots of run %d: %w", i+1, err)
		}
		p.Plots = append(p.Plots, plots)
	}
	return parsed.Execute(w, p)
}

func newRunPlots(number int, run RunReport) (runPlots, error) {
	plots := runPlots{Number: number, Run: run}
	for _, target := range []struct {
		svg  *template.HTML
		plot func(RunReport) (*plot.Plot, error)
	}{
		{&plots.Progress, plotProgress},
		{&plots.Sources, plotSources},
		{&plots.Store, plotStore},
	} {
		drawn, err := target.plot(run)
		if err != nil {
			return runPlots{}, err
		}
		if *target.svg, err = drawSVG(drawn); err != nil {
			return runPlots{}, err
		}
	}
	return plots, nil
}
