package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"

	"oakpick/internal/scale/testbed"
)

// Line is a regression line of a dependent variable against an independent one.
type Line struct {
	Dependent   string  `json:"of"`
	Independent string  `json:"against"`
	Intercept   float64 `json:"intercept"`
	Slope       float64 `json:"slope"`
	// StandardError is the standard error of Slope.
	StandardError float64 `json:"error"`
	Points        int     `json:"points"`
	// R2 is the share of the dependent variable's variance that the line explains.
	R2 float64 `json:"r2"`
}

// at returns the line's value at x.
func (l Line) at(x float64) float64 { return l.Intercept + l.Slope*x }

// minPoints is the minimum number of points for which a line has a standard error.
const minPoints = 3

// fitLine fits a line by least squares. It returns false if there are fewer than minPoints points or
// if all have the same x.
func fitLine(dependent, independent string, xs, ys []float64) (Line, bool) {
	points := float64(len(xs))
	spread := stat.Variance(xs, nil) * (points - 1)
	if len(xs) < minPoints || spread == 0 {
		return Line{}, false
	}
	line := Line{Dependent: dependent, Independent: independent, Points: len(xs)}
	line.Intercept, line.Slope = stat.LinearRegression(xs, ys, nil, false)
	line.R2 = stat.RSquared(xs, ys, nil, line.Intercept, line.Slope)
	if math.IsNaN(line.R2) {
		line.R2 = 1 // every point has the same y
	}
	residuals := 0.0
	for i, x := range xs {
		residual := ys[i] - line.at(x)
		residuals += residual * residual
	}
	line.StandardError = math.Sqrt(residuals / (points - 2) / spread)
	return line, true
}

// variable is a named figure of a window.
type variable struct {
	name  string
	value func(window) float64
}

// loadVariables returns the independent variables, which are the dimensions of the load.
func loadVariables() []variable {
	return []variable{
		{"workers", func(w window) float64 { return w.workers }},
		{"tasks running", func(w window) float64 { return w.running }},
		{"starts/s", func(w window) float64 { return w.starts }},
	}
}

// costVariables returns the dependent variables, which may grow with the load.
func costVariables() []variable {
	return []variable{
		{"leader cores", func(w window) float64 { return w.cores[w.leader] }},
		{"leader MB", func(w window) float64 { return w.usage[w.leader].MemoryMB }},
		{"leader sockets", func(w window) float64 { return float64(w.usage[w.leader].Sockets) }},
		{"follower cores", window.followerCores},
		{"follower MB", window.followerMemoryMB},
		{"state requests/s", func(w window) float64 { return w.traffic[testbed.StateTraffic].messages }},
		{"state bytes/s", func(w window) float64 { return w.traffic[testbed.StateTraffic].bytes }},
		{"keys written/s", func(w window) float64 { return w.puts }},
		{"reports/s", func(w window) float64 { return w.traffic[testbed.HeartbeatTraffic].messages }},
		{"commands/s", func(w window) float64 { return w.traffic[testbed.CommandTraffic].messages }},
		{"workers' bytes/s", window.workerBytes},
		{"cloud calls/s", func(w window) float64 { return w.traffic[testbed.CloudTraffic].messages }},
	}
}

// fitLines fits every cost variable against every load variable. It uses the windows of all steps,
// except windows with different leaders at the beginning and at the end.
func fitLines(steps []StepReport) []Line {
	var windows []window
	for _, step := range steps {
		for _, w := range step.windows {
			if w.sameLeader {
				windows = append(windows, w)
			}
		}
	}
	var lines []Line
	for _, load := range loadVariables() {
		xs := valuesIn(load, windows)
		for _, cost := range costVariables() {
			if line, ok := fitLine(cost.name, load.name, xs, valuesIn(cost, windows)); ok {
				lines = append(lines, line)
			}
		}
	}
	return lines
}

func valuesIn(v variable, windows []window) []float64 {
	values := make([]float64, len(windows))
	for i, w := range windows {
		values[i] = v.value(w)
	}
	return values
}
